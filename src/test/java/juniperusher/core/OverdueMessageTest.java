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

/** A message ends at its deadline although its call never reports a result. */
public class OverdueMessageTest {
    private static final int DESTINATION = 7;
    // longer than the time after a start in which overdue messages are not checked
    private static final long TIMEOUT_MILLIS = 2_500;
    private static final long MARGIN_MILLIS = 1_000;

    /** Calls that never report a result, not even after they are abandoned. */
    private static final Subchannels UNRESPONSIVE_SUBCHANNELS = new Subchannels() {
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
    public void messageEndsThoughItsCallNeverReportsAResult() throws Exception {
        Settings settings = Config.read(CallsTest.configFile()).settings().settings();
        BlockingQueue<RpcEnd> reportedEnds = new LinkedBlockingQueue<>();
        Counters counters = new Counters();
        Relay relay = new Relay(
                settings,
                1,
                0.005,
                Files.createTempDirectory("last-resort"),
                3 << 20,
                counters,
                UNRESPONSIVE_SUBCHANNELS,
                (to, note) -> {},
                null);
        relay.add(front(reportedEnds));
        relay.start(new Membership(Timing.USUAL, List.of(), DESTINATION)
                .known(
                        new Update(true, 1, List.of(), Set.of()),
                        List.of(new Target(5, DESTINATION, 1, 0, 100, Phase.READY)),
                        0));
        try {
            relay.offer(request(), channelExpectingAcceptance());
            RpcEnd end = reportedEnds.poll(TIMEOUT_MILLIS + MARGIN_MILLIS, TimeUnit.MILLISECONDS);
            assertNotNull(end, "no end was reported");
            assertEquals(end.kind(), RpcEnd.Kind.GIVEN_UP);
            assertEquals(counters.get("expired_total", "class", "0"), 1);
            assertEquals(relay.held(), 0);
            assertNull(reportedEnds.poll(MARGIN_MILLIS, TimeUnit.MILLISECONDS), "a second end was reported");
        } finally {
            relay.close();
            relay.closeJournal();
        }
    }

    private static RpcRequest request() {
        return new RpcRequest(
                "m", "test", 0, DESTINATION, SteadyClock.millis() + TIMEOUT_MILLIS, "", false, new byte[0]);
    }

    private static Channel channelExpectingAcceptance() {
        return new Channel() {
            @Override
            public void takenOn() {
                // expected
            }

            @Override
            public void refused(UnavailableStatus status) {
                throw new AssertionError("refused");
            }
        };
    }

    private static Front front(BlockingQueue<RpcEnd> reportedEnds) {
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
                reportedEnds.add(end);
                acknowledged.run();
            }
        };
    }
}
