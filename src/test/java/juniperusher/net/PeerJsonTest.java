package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.concurrent.FutureTask;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against texts of peers that use up the stack of the thread that parses them. */
public class PeerJsonTest {
    private static final long DEPLOYED_STACK_BYTES = 256 * 1024;

    @DataProvider
    public Object[][] nested() {
        return new Object[][] {
            {"[".repeat(1_000)},
            {"[".repeat(33) + "]".repeat(33)},
            {"{\"a\":".repeat(200_000)},
            {"[\"\\\"]]]]\"," + "[".repeat(1_000)}, // brackets in a string are none
            {"x" + "[".repeat(1_000)}
        };
    }

    @Test(dataProvider = "nested")
    public void textThatNestsTooDeepIsRefusedOnASmallStack(String text) throws Exception {
        FutureTask<Void> parsing = new FutureTask<>(() -> {
            assertThrows(IllegalArgumentException.class, () -> PeerJson.parse(text));
            return null;
        });
        new Thread(null, parsing, "small", DEPLOYED_STACK_BYTES).start();
        parsing.get();
    }

    @Test
    public void bracketsInStringsAndSiblingsDoNotNest() {
        String text = "[" + "[],".repeat(100) + "\"" + "[".repeat(100) + "\\\"" + "{".repeat(100) + "\"]";
        assertEquals(PeerJson.parse(text).asArray().size(), 101);
        assertEquals(PeerJson.parse("[".repeat(32) + "]".repeat(32)).asArray().size(), 1);
    }
}
