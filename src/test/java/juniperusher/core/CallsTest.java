package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.clock.SteadyClock;
import juniperusher.http.Config;
import juniperusher.lab.LabSettings;
import juniperusher.membership.Membership;
import juniperusher.membership.Snapshot;
import juniperusher.membership.Timing;
import juniperusher.membership.Update;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How calls end, what is asked before they start, and what RPCs that share one see of it. */
public class CallsTest {
    private static final Target TARGET = new Target(5, 7, 1, 0, 10, Phase.READY);

    private final List<Subchannels.Results> out = new ArrayList<>();
    private final List<CallEnd> abandoned = new ArrayList<>();
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final List<CallResult> heard = new CopyOnWriteArrayList<>();
    private Relay relay;
    private boolean cleared;
    private volatile double stated; // the time-out of the last call, in s

    /** Subchannels of which nothing but calls is asked. */
    private abstract static class CallsOnly implements Subchannels {
        @Override
        public void probe(Target subchannel, Probed probed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void closeIdle(Target subchannel) {
            throw new UnsupportedOperationException();
        }
    }

    /** Calls that stay out until the test ends them. */
    private final Subchannels stuck = new CallsOnly() {
        @Override
        public Call call(
                Target subchannel, List<RpcRequest> rpcs, double timeout, Clearance clearance, Results results) {
            cleared = clearance.mayStart();
            stated = timeout;
            out.add(results);
            return why -> {
                abandoned.add(why);
                for (int i = 0; i < rpcs.size(); i++) {
                    results.ended(i, CallResult.of(why));
                }
            };
        }
    };

    static java.nio.file.Path config() throws java.io.IOException {
        var folder = Files.createTempDirectory("calls");
        String json = Files.readString(java.nio.file.Path.of("src/main/resources/selftest.json"))
                .replace("\"listen\": \"\"", "\"listen\": \"127.0.0.1:1\"")
                .replace("\"discovery\": \"\"", "\"discovery\": \"127.0.0.1:1\"");
        return Files.writeString(folder.resolve("c.json"), json);
    }

    @BeforeMethod
    public void fresh() throws Exception {
        out.clear();
        abandoned.clear();
        heard.clear();
        var file = config();
        relay = new Relay(
                Config.read(file).settings().settings(),
                1,
                0.005,
                file.resolveSibling("state"),
                3 << 20,
                new Counters(),
                stuck,
                (to, note) -> {},
                null);
    }

    private Rpc rpc(int number, int messageClass, long left) {
        return new Rpc(
                number,
                new RpcRequest(
                        "m" + number, "http", messageClass, 7, SteadyClock.millis() + left, "", false, new byte[0]),
                LabSettings.NOTICE,
                relay);
    }

    private SharedCall shared() {
        return new SharedCall(TARGET, stuck, () -> true, timers, heard::add);
    }

    /** Guards against an RPC that nobody answers for: only the last to join starts the call. */
    @Test
    public void aCallThatFailsAtItsStartEndsForAllThatShareIt() {
        Subchannels broken = new CallsOnly() {
            @Override
            public Call call(
                    Target subchannel, List<RpcRequest> rpcs, double timeout, Clearance clearance, Results results) {
                throw new IllegalStateException("as the test wants");
            }
        };
        SharedCall call = new SharedCall(TARGET, broken, () -> true, timers, heard::add);
        Rpc first = rpc(1, 0, 5_000);
        Rpc second = rpc(2, 1, 5_000);
        call.add(first, 1);
        call.add(second, 1);
        CompletableFuture<CallResult> one = join(call, first);
        CompletableFuture<CallResult> two = join(call, second);
        assertEquals(one.getNow(null).end(), CallEnd.BROKEN);
        assertEquals(two.getNow(null).end(), CallEnd.BROKEN);
    }

    private static CompletableFuture<CallResult> join(SharedCall call, Rpc rpc) {
        return call.join(rpc);
    }

    private static Snapshot listed(Target... targets) {
        return new Membership(Timing.USUAL, List.of(), 7)
                .known(new Update(true, 1, List.of(), Set.of()), List.of(targets), 0);
    }

    @Test
    public void onlyWhatProvesThatItNeverRanSaysSo() {
        Set<CallEnd> never = EnumSet.noneOf(CallEnd.class);
        for (CallEnd end : CallEnd.values()) {
            if (end.outcome().neverRan()) {
                never.add(end);
            }
        }
        assertEquals(
                never,
                EnumSet.of(
                        CallEnd.TURNED_AWAY,
                        CallEnd.NO_SLOT,
                        CallEnd.SPENT,
                        CallEnd.OVER,
                        CallEnd.HELD_BACK,
                        CallEnd.NOT_CONNECTED,
                        CallEnd.UNROUTABLE));
        for (CallEnd cut : List.of(CallEnd.BROKEN, CallEnd.TIMED_OUT, CallEnd.CALLED_OFF)) {
            assertEquals(cut.given(false), CallEnd.NOT_CONNECTED);
            assertEquals(cut.given(true), cut);
        }
        assertEquals(CallEnd.FAILED.given(false), CallEnd.FAILED, "an answer outranks what was written");
        assertEquals(CallEnd.SPOILT.afterFirstLine(200, 1), CallEnd.DELIVERED, "that much was said");
        assertEquals(CallEnd.SPOILT.afterFirstLine(200, 2), CallEnd.SPOILT, "which of the two is unknown");
        assertEquals(CallEnd.BROKEN.afterFirstLine(500, 1), CallEnd.BROKEN);
    }

    @Test
    public void aShorterWaitNeverCutsALongerOne() throws Exception {
        CallPreconditions guards = new CallPreconditions();
        guards.updateMembers(listed(TARGET));
        assertTrue(guards.mayCall(5, 7));
        guards.delayCalls(7, 0.3);
        guards.delayCalls(7, 0.01);
        Thread.sleep(50);
        assertFalse(guards.mayCall(5, 7), "the wait was cut short");
        Thread.sleep(300);
        assertTrue(guards.mayCall(5, 7), "the wait is over");
    }

    @Test
    public void aWaitWithoutEndIsKept() {
        CallPreconditions guards = new CallPreconditions();
        guards.updateMembers(listed(TARGET));
        guards.delayCalls(7, 1e300);
        assertFalse(guards.mayCall(5, 7), "the clock's nanoseconds have run over");
    }

    @Test
    public void nothingGoesToAnEndpointThatDrainsOrIsGoneOrIsOfAnotherDestination() {
        CallPreconditions guards = new CallPreconditions();
        guards.updateMembers(listed(TARGET));
        assertFalse(guards.mayCall(5, 8), "another destination");
        assertFalse(guards.mayCall(6, 7), "never listed");
        guards.updateMembers(listed(new Target(5, 7, 1, 0, 10, Phase.DRAINING)));
        assertFalse(guards.mayCall(5, 7), "draining");
        guards.updateMembers(listed(TARGET));
        assertTrue(guards.mayCall(5, 7));
        guards.updateMembers(listed(TARGET.gone()));
        assertFalse(guards.mayCall(5, 7), "gone");
        assertEquals(guards.target(5).phase(), Phase.GONE);
        assertNull(guards.target(6));
    }

    @Test
    public void aSharedCallStartsWhenAllHaveJoinedAndEachHasItsOwnResult() throws Exception {
        SharedCall call = shared();
        Rpc one = rpc(1, 0, 5_000);
        Rpc two = rpc(2, 1, 5_000);
        call.add(one, 4);
        call.add(two, 4);
        CompletableFuture<CallResult> first = join(call, one);
        Thread.sleep(50);
        assertEquals(out.size(), 0, "begun before the second had its attempt written down");
        CompletableFuture<CallResult> second = join(call, two);
        while (out.isEmpty()) {
            Thread.sleep(1);
        }
        assertTrue(cleared);
        out.get(0).ended(0, CallResult.of(CallEnd.DELIVERED));
        out.get(0).ended(1, CallResult.of(CallEnd.FAILED));
        assertEquals(first.get(1, TimeUnit.SECONDS).end(), CallEnd.DELIVERED);
        assertEquals(second.get(1, TimeUnit.SECONDS).end(), CallEnd.FAILED);
        assertEquals(abandoned, List.of());
        assertEquals(heard.size(), 2, "a told wait has to be heard before the RPCs go on");
    }

    @Test
    public void anRpcStaysWithItsCallWhileTheCallIsOutForAnother() throws Exception {
        SharedCall call = shared();
        Rpc hasty = rpc(1, 0, 5_000);
        Rpc patient = rpc(2, 1, 5_000);
        call.add(hasty, 0.05);
        call.add(patient, 0.4);
        CompletableFuture<CallResult> first = join(call, hasty);
        CompletableFuture<CallResult> second = join(call, patient);
        Thread.sleep(200);
        assertFalse(first.isDone(), "it could be sent a second time while this call is out");
        assertEquals(second.get(2, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(first.get(2, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(abandoned.get(0), CallEnd.TIMED_OUT, "the connection is closed");
    }

    @Test
    public void callingOffOneOfTwoLeavesTheCallOut() throws Exception {
        SharedCall call = shared();
        Rpc one = rpc(1, 0, 5_000);
        Rpc two = rpc(2, 0, 5_000);
        call.add(one, 4);
        call.add(two, 4);
        CompletableFuture<CallResult> first = join(call, one);
        join(call, two);
        while (out.isEmpty()) {
            Thread.sleep(1);
        }
        Thread.sleep(20);
        call.cancel(one);
        call.cancel(one);
        assertEquals(abandoned, List.of(), "called off twice by one of them");
        call.cancel(two);
        assertEquals(first.get(1, TimeUnit.SECONDS).end(), CallEnd.CALLED_OFF);
    }

    @Test
    public void oneThatFailsBeforeItJoinsKeepsNobodyWaiting() throws Exception {
        SharedCall call = shared();
        Rpc sound = rpc(1, 0, 5_000);
        Rpc unknown = rpc(2, 0, 5_000); // the journal holds no such number: it cannot write the attempt down
        unknown.start();
        call.add(sound, 1);
        call.add(unknown, 1);
        CompletableFuture<CallResult> result = join(call, sound);
        assertEquals(out.size(), 0, "not all have joined");
        unknown.applyDecision(call);
        assertEquals(out.size(), 1, "the other was kept waiting");
        assertEquals(result.get(5, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
    }

    /** Guards against an end that is told while a call with the message is still out. */
    @Test
    public void aCallEndsWholeBeforeTheEarliestDeadlineOfThoseThatShareIt() throws Exception {
        SharedCall call = shared();
        Rpc brief = rpc(1, 0, 300);
        Rpc patient = rpc(2, 0, 60_000);
        call.add(brief, 50);
        call.add(patient, 50);
        long from = System.nanoTime();
        CompletableFuture<CallResult> first = join(call, brief);
        CompletableFuture<CallResult> second = join(call, patient);
        assertEquals(first.get(5, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(second.get(5, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(abandoned, List.of(CallEnd.TIMED_OUT), "the connection is closed before any end is told");
        assertTrue(System.nanoTime() - from < 300_000_000L, "not before the deadline of the first");
    }

    @Test
    public void aCallOfSeveralStatesTheEarliestDeadlineAsItsTimeOut() throws Exception {
        SharedCall call = shared();
        Rpc brief = rpc(1, 0, 2_000);
        Rpc patient = rpc(2, 0, 60_000);
        call.add(brief, 50);
        call.add(patient, 50);
        join(call, brief);
        join(call, patient);
        while (out.isEmpty()) {
            Thread.sleep(1);
        }
        assertTrue(stated > 1 && stated < 2, "stated " + stated + " s");
        call.cancel(brief);
        call.cancel(patient);
    }

    @Test
    public void whatFailsInThisRelayWhileItsCallIsOutEndsTheCallFirst() throws Exception {
        SharedCall call = shared();
        Rpc one = rpc(1, 0, 5_000);
        Rpc two = rpc(2, 0, 5_000);
        call.add(one, 4);
        call.add(two, 4);
        CompletableFuture<CallResult> first = join(call, one);
        CompletableFuture<CallResult> second = join(call, two);
        call.fail(one);
        assertEquals(abandoned, List.of(CallEnd.CALLED_OFF));
        assertTrue(first.isDone());
        assertEquals(second.get(1, TimeUnit.SECONDS).end(), CallEnd.CALLED_OFF);
    }

    @Test
    public void noUnsafeCallStartsOnceTheEndIsNear() {
        assertTrue(rpc(1, 1, 5_000).mayStart());
        assertFalse(rpc(1, 1, -1).mayStart(), "its time is up");
        relay.noCallsAfter(SteadyClock.millis() - 1, Long.MAX_VALUE);
        assertFalse(rpc(1, 1, 5_000).mayStart(), "an order could be cut off by the end of the process");
        assertTrue(rpc(2, 0, 5_000).mayStart(), "a notice may be repeated");
    }
}
