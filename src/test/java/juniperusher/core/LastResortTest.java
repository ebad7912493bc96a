package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.nio.file.Files;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.clock.SteadyClock;
import juniperusher.http.Config;
import juniperusher.membership.Membership;
import juniperusher.membership.Timing;
import juniperusher.membership.Update;
import org.testng.annotations.Test;

/** A message gets its one final answer though its call never says how it ended. */
public class LastResortTest {
    private static final int DESTINATION = 7;
    private static final long LEFT = 2_500; // ms, beyond the time after a start in which nothing is expired
    private static final long SOON = 1_000; // ms

    /** Calls of which nothing is heard any more, not even when they are given up. */
    private static final Subchannels DEAF = new Subchannels() {
        @Override
        public Call call(
                Target target, List<RpcRequest> requests, double timeout, Clearance clearance, Results results) {
            return why -> {};
        }

        @Override
        public void probe(Target target, Probed probed) {
            // never answered
        }

        @Override
        public void closeIdle(Target target) {
            // no connection is kept here
        }
    };

    @Test
    public void aCallOfWhichNothingIsHeardKeepsNoMessageFromItsEnd() throws Exception {
        Settings settings = Config.read(CallsTest.config()).settings().settings();
        BlockingQueue<RpcEnd> told = new LinkedBlockingQueue<>();
        Counters counters = new Counters();
        Relay relay = new Relay(
                settings,
                1,
                0.005,
                Files.createTempDirectory("last-resort"),
                3 << 20,
                counters,
                DEAF,
                (to, note) -> {},
                null);
        relay.add(front(told));
        relay.start(new Membership(Timing.USUAL, List.of(), DESTINATION)
                .known(
                        new Update(true, 1, List.of(), Set.of()),
                        List.of(new Target(5, DESTINATION, 1, 0, 100, Phase.READY)),
                        0));
        try {
            relay.offer(request(), accepted());
            RpcEnd end = told.poll(LEFT + SOON, TimeUnit.MILLISECONDS);
            assertNotNull(end, "no end was told");
            assertEquals(end.kind(), RpcEnd.Kind.GIVEN_UP);
            assertEquals(counters.get("expired_total", "class", "0"), 1);
            assertEquals(relay.held(), 0);
            assertNull(told.poll(SOON, TimeUnit.MILLISECONDS), "a second end was told");
        } finally {
            relay.close();
            relay.closeJournal();
        }
    }

    private static RpcRequest request() {
        return new RpcRequest("m", "test", 0, DESTINATION, SteadyClock.millis() + LEFT, "", false, new byte[0]);
    }

    private static Channel accepted() {
        return new Channel() {
            @Override
            public void takenOn() {
                // as wanted
            }

            @Override
            public void refused(UnavailableStatus status) {
                throw new AssertionError("refused");
            }
        };
    }

    private static Front front(BlockingQueue<RpcEnd> told) {
        return new Front() {
            @Override
            public String name() {
                return "test";
            }

            @Override
            public boolean tells(RpcEnd end) {
                return end.kind() != RpcEnd.Kind.DELIVERED;
            }

            @Override
            public void report(RpcEnd end, boolean again, Runnable acknowledged) {
                told.add(end);
                acknowledged.run();
            }
        };
    }
}
