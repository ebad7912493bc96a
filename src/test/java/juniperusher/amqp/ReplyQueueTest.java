package juniperusher.amqp;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import juniperusher.clock.SteadyClock;
import org.testng.annotations.Test;

/** Outcomes in a reply queue that no client consumes. */
public class ReplyQueueTest {
    private static final Content OUTCOME = new Content("", "", "", "", "", "", new byte[0]);

    @Test
    public void unfetchedEndIsDroppedAfterRetention() throws Exception {
        List<String> dropped = new ArrayList<>();
        ReplyQueue queue = new ReplyQueue();
        queue.setRetention(30);
        long now = SteadyClock.millis();
        queue.add(new ReplyQueue.Delivery("q", OUTCOME, false, now, () -> dropped.add("one")));
        assertEquals(dropped, List.of());
        assertEquals(queue.pendingCount(), 1);
        Thread.sleep(60);
        queue.add(new ReplyQueue.Delivery("q", OUTCOME, false, SteadyClock.millis(), () -> dropped.add("two")));
        assertEquals(dropped, List.of("one"), "the older one, once");
        assertEquals(queue.pendingCount(), 1);
    }

    /**
     * Guards against a NullPointerException when a client nacks an outcome that expired while it held it, or
     * disconnects, and nothing else is queued.
     */
    @Test
    public void expiredOutcomeThatIsPutBackIsDropped() {
        List<String> dropped = new ArrayList<>();
        ReplyQueue queue = new ReplyQueue();
        queue.setRetention(30);
        long created = SteadyClock.millis() - 60;
        queue.add(new ReplyQueue.Delivery("q", OUTCOME, true, created, () -> dropped.add("held")));
        assertEquals(dropped, List.of("held"), "once");
        assertEquals(queue.pendingCount(), 0);
    }
}
