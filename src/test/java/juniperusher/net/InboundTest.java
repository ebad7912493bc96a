package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.net.Inbound.Standing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who goes when too many connections have come in. */
public class InboundTest {
    private final List<String> shed = new ArrayList<>();
    private final List<String> dropped = new ArrayList<>();

    @BeforeMethod
    public void clear() {
        shed.clear();
        dropped.clear();
    }

    private Inbound.Guest connection(String name, Standing standing, long ageMillis) {
        long since = System.nanoTime() - ageMillis * 1_000_000;
        return new Inbound.Guest() {
            @Override
            public Standing standing() {
                return standing;
            }

            @Override
            public long since() {
                return since;
            }

            @Override
            public void shed() {
                shed.add(name);
            }

            @Override
            public void drop() {
                dropped.add(name);
            }
        };
    }

    @Test
    public void shedsMuteThenLongestIdleButNeverServedConnections() {
        Inbound inbound = new Inbound(6, () -> {});
        inbound.add(connection("served", Standing.SERVED, 60_000));
        inbound.add(connection("just come", Standing.MUTE, 1));
        inbound.add(connection("idle", Standing.IDLE, 10));
        inbound.add(connection("longer idle", Standing.IDLE, 500));
        inbound.add(connection("mute", Standing.MUTE, 400));
        inbound.add(connection("hangs", Standing.UNFINISHED, 1_500));
        assertEquals(shed, List.of());
        assertTrue(inbound.isCrowded(), "each should end with its answer");
        for (int i = 0; i < 6; i++) {
            inbound.add(connection("new " + i, Standing.SERVED, 0));
        }
        assertEquals(shed, List.of("mute", "longer idle", "idle", "hangs", "just come", "new 5"));
        assertEquals(inbound.size(), 6);
        // Those that were shed and have not closed yet are dropped, the earliest first, once they are many.
        assertEquals(dropped, List.of("mute", "longer idle", "idle", "hangs", "just come"));
    }

    @Test
    public void endingIdleConnectionsSparesThoseJustOpened() {
        Inbound inbound = new Inbound(6, () -> {});
        inbound.add(connection("served", Standing.SERVED, 60_000));
        inbound.add(connection("just come", Standing.MUTE, 1));
        inbound.add(connection("idle", Standing.IDLE, 1));
        inbound.add(connection("mute", Standing.MUTE, 400));
        inbound.add(connection("half a call", Standing.UNFINISHED, 1));
        inbound.endAll(true);
        assertEquals(shed, List.of("idle", "mute"));
        shed.clear();
        inbound.endAll(false);
        assertEquals(shed, List.of("served", "just come", "idle", "mute", "half a call"));
        assertEquals(dropped, List.of());
    }

    @Test
    public void oldestFirstShedsLongestWaitingAndKeepsUnreadCall() {
        Inbound inbound = Inbound.oldestFirst(4, () -> {});
        for (int i = 0; i < 4; i++) {
            inbound.add(connection("half a call " + i, Standing.UNFINISHED, 40 - i));
        }
        inbound.add(connection("call", Standing.MUTE, 1));
        inbound.add(connection("straggler", Standing.MUTE, 0));
        assertEquals(shed, List.of("half a call 0", "half a call 1"));
    }
}
