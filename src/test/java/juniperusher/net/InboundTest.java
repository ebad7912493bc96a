package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.net.Inbound.Standing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which connections are shed when there are too many inbound ones. */
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
        inbound.add(connection("just opened", Standing.MUTE, 1));
        inbound.add(connection("idle", Standing.IDLE, 10));
        inbound.add(connection("longest idle", Standing.IDLE, 500));
        inbound.add(connection("mute", Standing.MUTE, 400));
        inbound.add(connection("stalled", Standing.UNFINISHED, 1_500));
        assertEquals(shed, List.of());
        assertTrue(inbound.isCrowded(), "each connection should close after its response");
        for (int i = 0; i < 6; i++) {
            inbound.add(connection("new " + i, Standing.SERVED, 0));
        }
        assertEquals(shed, List.of("mute", "longest idle", "idle", "stalled", "just opened", "new 5"));
        assertEquals(inbound.size(), 6);
        // Connections that were shed but are not closed yet are dropped once there are too many, the earliest first.
        assertEquals(dropped, List.of("mute", "longest idle", "idle", "stalled", "just opened"));
    }

    @Test
    public void endingIdleConnectionsSparesThoseJustOpened() {
        Inbound inbound = new Inbound(6, () -> {});
        inbound.add(connection("served", Standing.SERVED, 60_000));
        inbound.add(connection("just opened", Standing.MUTE, 1));
        inbound.add(connection("idle", Standing.IDLE, 1));
        inbound.add(connection("mute", Standing.MUTE, 400));
        inbound.add(connection("partial request", Standing.UNFINISHED, 1));
        inbound.endAll(true);
        assertEquals(shed, List.of("idle", "mute"));
        shed.clear();
        inbound.endAll(false);
        assertEquals(shed, List.of("served", "just opened", "idle", "mute", "partial request"));
        assertEquals(dropped, List.of());
    }

    @Test
    public void oldestFirstShedsLongestWaitingAndKeepsUnreadCall() {
        Inbound inbound = Inbound.oldestFirst(4, () -> {});
        for (int i = 0; i < 4; i++) {
            inbound.add(connection("partial request " + i, Standing.UNFINISHED, 40 - i));
        }
        inbound.add(connection("call", Standing.MUTE, 1));
        inbound.add(connection("late arrival", Standing.MUTE, 0));
        assertEquals(shed, List.of("partial request 0", "partial request 1"));
    }
}
