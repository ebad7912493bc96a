package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.net.InboundConnections.ConnectionState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which connections are shed when there are too many inbound ones. */
public class InboundConnectionsTest {
    private final List<String> shed = new ArrayList<>();
    private final List<String> dropped = new ArrayList<>();

    @BeforeMethod
    public void clear() {
        shed.clear();
        dropped.clear();
    }

    private InboundConnections.InboundConnection connection(String name, ConnectionState state, long ageMillis) {
        long since = System.nanoTime() - ageMillis * 1_000_000;
        return new InboundConnections.InboundConnection() {
            @Override
            public ConnectionState state() {
                return state;
            }

            @Override
            public long stateSinceNanos() {
                return since;
            }

            @Override
            public void closeGracefully() {
                shed.add(name);
            }

            @Override
            public void closeNow() {
                dropped.add(name);
            }
        };
    }

    @Test
    public void shedsMuteThenLongestIdleButNeverServedConnections() {
        InboundConnections inboundConnections = new InboundConnections(6, () -> {});
        inboundConnections.add(connection("handling", ConnectionState.HANDLING, 60_000));
        inboundConnections.add(connection("just opened", ConnectionState.NO_DATA, 1));
        inboundConnections.add(connection("idle", ConnectionState.IDLE, 10));
        inboundConnections.add(connection("longest idle", ConnectionState.IDLE, 500));
        inboundConnections.add(connection("no data", ConnectionState.NO_DATA, 400));
        inboundConnections.add(connection("stalled", ConnectionState.RECEIVING, 1_500));
        assertEquals(shed, List.of());
        assertTrue(inboundConnections.isCrowded(), "each connection should close after its response");
        for (int i = 0; i < 6; i++) {
            inboundConnections.add(connection("new " + i, ConnectionState.HANDLING, 0));
        }
        assertEquals(shed, List.of("no data", "longest idle", "idle", "stalled", "just opened", "new 5"));
        assertEquals(inboundConnections.size(), 6);
        // Connections that were shed but are not closed yet are dropped once there are too many, the earliest first.
        assertEquals(dropped, List.of("no data", "longest idle", "idle", "stalled", "just opened"));
    }

    @Test
    public void endingIdleConnectionsSparesThoseJustOpened() {
        InboundConnections inboundConnections = new InboundConnections(6, () -> {});
        inboundConnections.add(connection("handling", ConnectionState.HANDLING, 60_000));
        inboundConnections.add(connection("just opened", ConnectionState.NO_DATA, 1));
        inboundConnections.add(connection("idle", ConnectionState.IDLE, 1));
        inboundConnections.add(connection("no data", ConnectionState.NO_DATA, 400));
        inboundConnections.add(connection("partial request", ConnectionState.RECEIVING, 1));
        inboundConnections.closeAll(true);
        assertEquals(shed, List.of("idle", "no data"));
        shed.clear();
        inboundConnections.closeAll(false);
        assertEquals(shed, List.of("handling", "just opened", "idle", "no data", "partial request"));
        assertEquals(dropped, List.of());
    }

    @Test
    public void oldestFirstShedsLongestWaitingAndKeepsUnreadCall() {
        InboundConnections inboundConnections = InboundConnections.oldestFirst(4, () -> {});
        for (int i = 0; i < 4; i++) {
            inboundConnections.add(connection("partial request " + i, ConnectionState.RECEIVING, 40 - i));
        }
        inboundConnections.add(connection("call", ConnectionState.NO_DATA, 1));
        inboundConnections.add(connection("late arrival", ConnectionState.NO_DATA, 0));
        assertEquals(shed, List.of("partial request 0", "partial request 1"));
    }
}
