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
import juniperusher.membership.EndpointUpdate;
import juniperusher.membership.Membership;
import juniperusher.membership.Snapshot;
import juniperusher.membership.WatchTiming;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Ends of calls, the checks before a call starts, and calls that several RPCs share. */
public class CallsTest {
    private static final Target TARGET = new Target(5, 7, 1, 0, 10, Phase.READY);

    private final List<Subchannels.ResultListener> startedCalls = new ArrayList<>();
    private final List<CallEnd> abandoned = new ArrayList<>();
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final List<CallResult> listenedResults = new CopyOnWriteArrayList<>();
    private Relay relay;
    private boolean mayStart;
    private volatile double timeoutSeconds; // timeout given to the last call

    /** Subchannels for tests that expect calls only. */
    private abstract static class CallsOnly implements Subchannels {
        @Override
        public void probe(Target subchannel, ProbeListener probeListener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void closeIdle(Target subchannel) {
            throw new UnsupportedOperationException();
        }
    }

    /** Calls that stay in flight until the test or a timeout ends them. */
    private final Subchannels unendingSubchannels = new CallsOnly() {
        @Override
        public Call call(
                Target subchannel,
                List<RpcRequest> rpcs,
                double timeout,
                StartPermission permission,
                ResultListener resultListener) {
            mayStart = permission.mayStart();
            timeoutSeconds = timeout;
            startedCalls.add(resultListener);
            return why -> {
                abandoned.add(why);
                for (int i = 0; i < rpcs.size(); i++) {
                    resultListener.ended(i, CallResult.of(why));
                }
            };
        }
    };

    static java.nio.file.Path configFile() throws java.io.IOException {
        var folder = Files.createTempDirectory("calls");
        String json = Files.readString(java.nio.file.Path.of("src/main/resources/selftest.json"))
                .replace("\"listen\": \"\"", "\"listen\": \"127.0.0.1:1\"")
                .replace("\"discovery\": \"\"", "\"discovery\": \"127.0.0.1:1\"");
        return Files.writeString(folder.resolve("c.json"), json);
    }

    @BeforeMethod
    public void createRelay() throws Exception {
        startedCalls.clear();
        abandoned.clear();
        listenedResults.clear();
        var file = configFile();
        relay = new Relay(
                Config.read(file).parsedSettings().settings(),
                1,
                0.005,
                file.resolveSibling("state"),
                3 << 20,
                new Counters(),
                unendingSubchannels,
                (to, note) -> {},
                null);
    }

    private Rpc rpc(int number, int messageClass, long millisLeft) {
        return new Rpc(
                number,
                new RpcRequest(
                        "m" + number,
                        "http",
                        messageClass,
                        7,
                        SteadyClock.millis() + millisLeft,
                        "",
                        false,
                        new byte[0]),
                LabSettings.NOTICE_CLASS,
                relay);
    }

    private SharedCall sharedCall() {
        return new SharedCall(TARGET, unendingSubchannels, () -> true, timers, listenedResults::add);
    }

    /**
     * Only the last RPC to join starts the call, so an exception at the start would leave the others without an end.
     */
    @Test
    public void callThatFailsToStartEndsForEveryRpc() {
        Subchannels broken = new CallsOnly() {
            @Override
            public Call call(
                    Target subchannel,
                    List<RpcRequest> rpcs,
                    double timeout,
                    StartPermission permission,
                    ResultListener resultListener) {
                throw new IllegalStateException("thrown by the test");
            }
        };
        SharedCall call = new SharedCall(TARGET, broken, () -> true, timers, listenedResults::add);
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

    private static Snapshot snapshotOf(Target... targets) {
        return new Membership(WatchTiming.DEFAULT, List.of(), 7)
                .initialize(new EndpointUpdate(true, 1, List.of(), Set.of()), List.of(targets), 0);
    }

    @Test
    public void onlyConclusiveEndsCountAsNeverRan() {
        Set<CallEnd> neverRan = EnumSet.noneOf(CallEnd.class);
        for (CallEnd end : CallEnd.values()) {
            if (end.outcome().neverRan()) {
                neverRan.add(end);
            }
        }
        assertEquals(
                neverRan,
                EnumSet.of(
                        CallEnd.TURNED_AWAY,
                        CallEnd.NO_SLOT,
                        CallEnd.SPENT,
                        CallEnd.OVER,
                        CallEnd.HELD_BACK,
                        CallEnd.NOT_CONNECTED,
                        CallEnd.UNROUTABLE));
        for (CallEnd interruption : List.of(CallEnd.BROKEN, CallEnd.TIMED_OUT, CallEnd.CALLED_OFF)) {
            assertEquals(interruption.adjustedForLastByte(false), CallEnd.NOT_CONNECTED);
            assertEquals(interruption.adjustedForLastByte(true), interruption);
        }
        assertEquals(
                CallEnd.FAILED.adjustedForLastByte(false), CallEnd.FAILED, "an answer counts whatever was written");
        assertEquals(
                CallEnd.SPOILT.adjustedForStatusLine(200, 1),
                CallEnd.DELIVERED,
                "the status line confirmed the delivery");
        assertEquals(
                CallEnd.SPOILT.adjustedForStatusLine(200, 2),
                CallEnd.SPOILT,
                "it is unknown which of the two was delivered");
        assertEquals(CallEnd.BROKEN.adjustedForStatusLine(500, 1), CallEnd.BROKEN);
    }

    @Test
    public void shorterDelayDoesNotEndLongerOne() throws Exception {
        CallPreconditions preconditions = new CallPreconditions();
        preconditions.updateMembers(snapshotOf(TARGET));
        assertTrue(preconditions.mayCall(5, 7));
        preconditions.delayCalls(7, 0.3);
        preconditions.delayCalls(7, 0.01);
        Thread.sleep(50);
        assertFalse(preconditions.mayCall(5, 7), "the longer delay was ended early");
        Thread.sleep(300);
        assertTrue(preconditions.mayCall(5, 7), "the delay has expired");
    }

    @Test
    public void veryLongDelayDoesNotOverflow() {
        CallPreconditions preconditions = new CallPreconditions();
        preconditions.updateMembers(snapshotOf(TARGET));
        preconditions.delayCalls(7, 1e300);
        assertFalse(preconditions.mayCall(5, 7), "the nanoseconds overflowed");
    }

    @Test
    public void noCallToDrainingGoneOrForeignEndpoint() {
        CallPreconditions preconditions = new CallPreconditions();
        preconditions.updateMembers(snapshotOf(TARGET));
        assertFalse(preconditions.mayCall(5, 8), "endpoint of another destination");
        assertFalse(preconditions.mayCall(6, 7), "endpoint that was never listed");
        preconditions.updateMembers(snapshotOf(new Target(5, 7, 1, 0, 10, Phase.DRAINING)));
        assertFalse(preconditions.mayCall(5, 7), "draining endpoint");
        preconditions.updateMembers(snapshotOf(TARGET));
        assertTrue(preconditions.mayCall(5, 7));
        preconditions.updateMembers(snapshotOf(TARGET.gone()));
        assertFalse(preconditions.mayCall(5, 7), "endpoint that is gone");
        assertEquals(preconditions.target(5).phase(), Phase.GONE);
        assertNull(preconditions.target(6));
    }

    @Test
    public void sharedCallStartsWhenAllJoinedAndHasOneResultPerRpc() throws Exception {
        SharedCall call = sharedCall();
        Rpc one = rpc(1, 0, 5_000);
        Rpc two = rpc(2, 1, 5_000);
        call.add(one, 4);
        call.add(two, 4);
        CompletableFuture<CallResult> first = join(call, one);
        Thread.sleep(50);
        assertEquals(startedCalls.size(), 0, "started before the journal had the second attempt");
        CompletableFuture<CallResult> second = join(call, two);
        while (startedCalls.isEmpty()) {
            Thread.sleep(1);
        }
        assertTrue(mayStart);
        startedCalls.get(0).ended(0, CallResult.of(CallEnd.DELIVERED));
        startedCalls.get(0).ended(1, CallResult.of(CallEnd.FAILED));
        assertEquals(first.get(1, TimeUnit.SECONDS).end(), CallEnd.DELIVERED);
        assertEquals(second.get(1, TimeUnit.SECONDS).end(), CallEnd.FAILED);
        assertEquals(abandoned, List.of());
        assertEquals(listenedResults.size(), 2, "results passed to the listener");
    }

    @Test
    public void rpcHasNoResultWhileItsCallIsInFlight() throws Exception {
        SharedCall call = sharedCall();
        Rpc shortTimeout = rpc(1, 0, 5_000);
        Rpc longTimeout = rpc(2, 1, 5_000);
        call.add(shortTimeout, 0.05);
        call.add(longTimeout, 0.4);
        CompletableFuture<CallResult> first = join(call, shortTimeout);
        CompletableFuture<CallResult> second = join(call, longTimeout);
        Thread.sleep(200);
        assertFalse(first.isDone(), "it could be sent again while this call is in flight");
        assertEquals(second.get(2, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(first.get(2, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(abandoned.get(0), CallEnd.TIMED_OUT, "the connection is closed");
    }

    @Test
    public void cancellingOneOfTwoKeepsTheCallInFlight() throws Exception {
        SharedCall call = sharedCall();
        Rpc one = rpc(1, 0, 5_000);
        Rpc two = rpc(2, 0, 5_000);
        call.add(one, 4);
        call.add(two, 4);
        CompletableFuture<CallResult> first = join(call, one);
        join(call, two);
        while (startedCalls.isEmpty()) {
            Thread.sleep(1);
        }
        Thread.sleep(20);
        call.cancel(one);
        call.cancel(one);
        assertEquals(abandoned, List.of(), "one RPC cancelled twice ended the call");
        call.cancel(two);
        assertEquals(first.get(1, TimeUnit.SECONDS).end(), CallEnd.CALLED_OFF);
    }

    @Test
    public void rpcThatFailsBeforeJoiningDoesNotBlockTheOthers() throws Exception {
        SharedCall call = sharedCall();
        Rpc recorded = rpc(1, 0, 5_000);
        // the journal does not know this number, so it cannot record the attempt
        Rpc unrecorded = rpc(2, 0, 5_000);
        unrecorded.start();
        call.add(recorded, 1);
        call.add(unrecorded, 1);
        CompletableFuture<CallResult> result = join(call, recorded);
        assertEquals(startedCalls.size(), 0, "not all have joined");
        unrecorded.applyDecision(call);
        assertEquals(startedCalls.size(), 1, "the call did not start without the failed RPC");
        assertEquals(result.get(5, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
    }

    /** The end of a message must not be reported while a call with it is in flight. */
    @Test
    public void sharedCallEndsBeforeTheEarliestDeadline() throws Exception {
        SharedCall call = sharedCall();
        Rpc earlyDeadline = rpc(1, 0, 300);
        Rpc lateDeadline = rpc(2, 0, 60_000);
        call.add(earlyDeadline, 50);
        call.add(lateDeadline, 50);
        long startedNanos = System.nanoTime();
        CompletableFuture<CallResult> first = join(call, earlyDeadline);
        CompletableFuture<CallResult> second = join(call, lateDeadline);
        assertEquals(first.get(5, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(second.get(5, TimeUnit.SECONDS).end(), CallEnd.TIMED_OUT);
        assertEquals(abandoned, List.of(CallEnd.TIMED_OUT), "the connection is closed before any end is reported");
        assertTrue(System.nanoTime() - startedNanos < 300_000_000L, "the call ended after the earlier deadline");
    }

    @Test
    public void sharedCallUsesTheEarliestDeadlineAsItsTimeout() throws Exception {
        SharedCall call = sharedCall();
        Rpc earlyDeadline = rpc(1, 0, 2_000);
        Rpc lateDeadline = rpc(2, 0, 60_000);
        call.add(earlyDeadline, 50);
        call.add(lateDeadline, 50);
        join(call, earlyDeadline);
        join(call, lateDeadline);
        while (startedCalls.isEmpty()) {
            Thread.sleep(1);
        }
        assertTrue(timeoutSeconds > 1 && timeoutSeconds < 2, "timeout of " + timeoutSeconds + " s");
        call.cancel(earlyDeadline);
        call.cancel(lateDeadline);
    }

    @Test
    public void internalFailureEndsTheCallInFlight() throws Exception {
        SharedCall call = sharedCall();
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
    public void noUnsafeCallStartsAfterItsStopTime() {
        assertTrue(rpc(1, 1, 5_000).mayStart());
        assertFalse(rpc(1, 1, -1).mayStart(), "its deadline has passed");
        relay.stopCallsAfter(SteadyClock.millis() - 1, Long.MAX_VALUE);
        assertFalse(rpc(1, 1, 5_000).mayStart(), "an unsafe call could be interrupted by the end of the process");
        assertTrue(rpc(2, 0, 5_000).mayStart(), "its class may be repeated");
    }
}
