package juniperusher.core;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import juniperusher.Control;
import juniperusher.Protocol.Woken;
import juniperusher.http.Config;
import org.testng.annotations.Test;

/** What the decision loop does with time. */
public class DecisionLoopTest {
    @Test
    public void whatIsLeftOfAnRpcsTimeIsReadWhenTheRoundTakesIt() throws Exception {
        var settings = Config.read(CallsTest.config()).settings().settings();
        DecisionLoop loop = new DecisionLoop(new Control(settings, 1), null, 0.005, actions -> {});
        CompletableFuture<Long> read = new CompletableFuture<>();
        loop.postDeferred(() -> {
            read.complete(System.nanoTime());
            return new Woken(-5);
        });
        Thread.sleep(30); // the core is busy elsewhere
        long from = System.nanoTime();
        Thread thread = new Thread(loop);
        thread.start();
        assertTrue(read.get(2, TimeUnit.SECONDS) - from >= 0, "read when posted: the answer would be late");
        loop.stop();
        thread.join(2_000);
        assertTrue(!thread.isAlive(), "it does not stop");
    }
}
