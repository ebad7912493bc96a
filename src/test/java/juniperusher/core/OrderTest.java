package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Kind;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.Tenant;
import juniperusher.clock.SteadyClock;
import juniperusher.http.Config;
import juniperusher.membership.Membership;
import juniperusher.membership.Timing;
import juniperusher.membership.Update;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Messages of one key are delivered one at a time, as taken on, whatever ends, restarts or is upgraded. */
public class OrderTest {
    private static final long SOON = 5; // s for what has to happen
    private static final long QUIET = 300; // ms in which what must not happen would have happened
    private static final long DISK = 3 << 20;
    private static final int DESTINATION = 7;
    private static final int KEYED = 0;
    private static final int ONCE = 1;
    private static final double WINDOW = 60;
    private static final double KEY_QUIET = 0.5; // s, longer than a restart takes here
    private static final String KEY = "booking-1";

    /** A call that stays out until the test ends it, or the relay gives it up. */
    private record Out(List<RpcRequest> requests, Subchannels.Results results, AtomicBoolean given) {
        List<String> ids() {
            return requests.stream().map(RpcRequest::id).toList();
        }

        void ends(CallEnd end) {
            for (int place = 0; place < requests.size(); place++) {
                results.ended(place, CallResult.of(end));
            }
        }
    }

    /** An end that is told, and the acknowledgement that the test gives. */
    private record Told(RpcEnd end, Runnable acknowledged) {}

    private final BlockingQueue<Out> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
    private final List<Relay> relays = new ArrayList<>();
    private Path folder;

    @BeforeMethod
    public void fresh() throws Exception {
        folder = Files.createTempDirectory("order");
        calls.clear();
        told.clear();
        relays.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (Relay relay : relays) {
            stop(relay);
        }
    }

    private static void stop(Relay relay) throws InterruptedException {
        relay.close();
        relay.closeJournal();
    }

    private static MessageClass ordered(String name, Effect effect) {
        return new MessageClass(name, effect, false, WINDOW, true, 3, 20, 1, 0.5);
    }

    private static Settings settings() throws Exception {
        Settings file = Config.read(CallsTest.config()).settings().settings();
        Rules rules = file.rules();
        Rules quiet = new Rules(
                rules.drainGrace(),
                rules.coldFrom(),
                rules.warmWithin(),
                rules.tipMultiple(),
                rules.tipAfter(),
                KEY_QUIET,
                rules.askWithin());
        return new Settings(
                file.senders(),
                file.zone(),
                file.askForList(),
                file.weight(),
                file.overShareWorth(),
                file.halving(),
                file.crossZoneFee(),
                file.routeFees(),
                quiet,
                file.allowed(),
                List.of(ordered("keyed", Effect.KEYED), ordered("once", Effect.UNSAFE)),
                List.of(new Kind(5, false)),
                List.of(new Tenant("named", 10), new Tenant("", 0)));
    }

    /** A relay on the folder; the second of an upgrade while the first one's process lives. */
    private Relay relay(boolean successor) throws Exception {
        Settings settings = settings();
        Journal journal = new Journal(folder, DISK, 50, successor);
        Relay relay = new Relay(
                settings,
                1,
                0.005,
                folder,
                journal,
                new Counters(),
                new Subchannels() {
                    @Override
                    public Call call(
                            Target target,
                            List<RpcRequest> requests,
                            double timeout,
                            Clearance clearance,
                            Results results) {
                        Out out = new Out(requests, results, new AtomicBoolean());
                        calls.add(out);
                        return why -> {
                            out.given().set(true);
                            out.ends(why);
                        };
                    }

                    @Override
                    public void probe(Target target, Probed probed) {
                        probed.probed(true, false, 0);
                    }

                    @Override
                    public void closeIdle(Target target) {
                        // no connection is kept here
                    }
                },
                (to, note) -> {},
                null);
        relay.add(new Front() {
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
                told.add(new Told(end, acknowledged));
            }
        });
        relays.add(relay);
        return relay;
    }

    private Relay started(boolean successor) throws Exception {
        Relay relay = relay(successor);
        relay.shareWaits();
        start(relay);
        return relay;
    }

    private static void start(Relay relay) {
        relay.start(new Membership(Timing.USUAL, List.of(), 7)
                .known(
                        new Update(true, 1, List.of(), Set.of()),
                        List.of(new Target(5, DESTINATION, 0, 0, 100, Phase.READY)),
                        0));
    }

    private static RpcRequest request(String id, int messageClass, long left) {
        return new RpcRequest(
                id,
                "test",
                messageClass,
                DESTINATION,
                SteadyClock.millis() + left,
                "",
                false,
                new byte[0],
                false,
                "",
                KEY,
                "named");
    }

    private static RpcRequest request(String id) {
        return request(id, KEYED, 15_000);
    }

    private static void takeOn(Relay relay, RpcRequest request) {
        relay.offer(request, new Channel() {
            @Override
            public void takenOn() {
                // its client hears of it
            }

            @Override
            public void refused(UnavailableStatus status) {
                throw new AssertionError("refused: " + request.id());
            }
        });
    }

    private Out nextCall(String id) throws InterruptedException {
        Out out = calls.poll(SOON, TimeUnit.SECONDS);
        assertEquals(out == null ? null : out.ids(), List.of(id));
        return out;
    }

    private Told nextTold(String id) throws InterruptedException {
        Told one = told.poll(SOON, TimeUnit.SECONDS);
        assertEquals(one == null ? null : one.end().id(), id);
        return one;
    }

    private void nothingIsSent() throws InterruptedException {
        Out out = calls.poll(QUIET, TimeUnit.MILLISECONDS);
        assertNull(out, "sent out of its turn: " + (out == null ? "" : out.ids()));
    }

    // ---- taking on ----

    @Test
    public void twoHandedInAtOnceAreSentInTheOrderOfTheirAnswers() throws Exception {
        Relay relay = started(false);
        CountDownLatch firstAnswered = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        List<String> answers = java.util.Collections.synchronizedList(new ArrayList<>());
        Thread first = new Thread(() -> relay.offer(request("m1"), answering(() -> {
            answers.add("m1");
            firstAnswered.countDown();
            await(goOn); // between its answer and the module's hearing of it
        })));
        first.start();
        await(firstAnswered);
        Thread second = new Thread(() -> relay.offer(request("m2"), answering(() -> answers.add("m2"))));
        second.start();
        nothingIsSent();
        goOn.countDown();
        first.join();
        second.join();
        assertEquals(answers, List.of("m1", "m2"));
        nextCall("m1").ends(CallEnd.DELIVERED);
        nextCall("m2").ends(CallEnd.DELIVERED);
    }

    private static Channel answering(Runnable takenOn) {
        return new Channel() {
            @Override
            public void takenOn() {
                takenOn.run();
            }

            @Override
            public void refused(UnavailableStatus status) {
                throw new AssertionError("refused");
            }
        };
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(SOON, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    public void othersOfNoKeyOrAnotherAreFreeAndNoCallHoldsTwoOfOneKey() throws Exception {
        Relay relay = started(false);
        takeOn(relay, request("m1"));
        takeOn(relay, request("m2"));
        Out first = nextCall("m1");
        RpcRequest free = new RpcRequest(
                "free", "test", KEYED, DESTINATION, SteadyClock.millis() + 9_000, "", false, new byte[0]);
        takeOn(relay, free);
        nextCall("free").ends(CallEnd.DELIVERED);
        nothingIsSent();
        first.ends(CallEnd.DELIVERED);
        nextCall("m2").ends(CallEnd.DELIVERED);
    }

    // ---- ends ----

    @Test
    public void theNextWaitsUntilTheStatusReportIsAcknowledged() throws Exception {
        Relay relay = started(false);
        takeOn(relay, request("m1", ONCE, 15_000));
        takeOn(relay, request("m2", ONCE, 15_000));
        nextCall("m1").ends(CallEnd.BROKEN); // it may have run: given up
        Told end = nextTold("m1");
        assertEquals(end.end().kind(), RpcEnd.Kind.GIVEN_UP);
        nothingIsSent();
        end.acknowledged().run();
        nextCall("m2").ends(CallEnd.DELIVERED);
    }

    /** A shared call ends whole before the end of one of its messages is told; then the next of its key may go. */
    @Test
    public void theNextWaitsUntilTheSharedCallOfTheFirstHasEnded() throws Exception {
        Relay relay = relay(false);
        RpcRequest other = new RpcRequest(
                "other", "test", KEYED, DESTINATION, SteadyClock.millis() + 15_000, "", false, new byte[0]);
        takeOn(relay, request("m1", KEYED, 1_200));
        takeOn(relay, other);
        takeOn(relay, request("m2"));
        start(relay); // one round decides on all of them
        Out shared = calls.poll(SOON, TimeUnit.SECONDS);
        assertEquals(shared.ids(), List.of("m1", "other"));
        Told end = nextTold("m1"); // its own time is up
        assertTrue(shared.given().get(), "its end is told while the call with it is out");
        Out again = calls.poll(SOON, TimeUnit.SECONDS);
        assertEquals(again.ids(), List.of("other"), "the next of the key has to wait for the acknowledgement");
        again.ends(CallEnd.DELIVERED);
        nothingIsSent();
        end.acknowledged().run();
        nextCall("m2").ends(CallEnd.DELIVERED);
    }

    // ---- restarts ----

    @Test
    public void aRestartKeepsTheOrderAndARestThatIsOwed() throws Exception {
        Relay before = started(false);
        for (int i = 1; i <= 3; i++) {
            takeOn(before, request("m" + i));
        }
        nextCall("m1"); // out as the process ends
        stop(before);
        started(false);
        nextCall("m1").ends(CallEnd.DELIVERED);
        nextCall("m2").ends(CallEnd.DELIVERED);
        nextCall("m3").ends(CallEnd.DELIVERED);
    }

    @Test
    public void theKeyRestsAfterARestartThatFindsAnAttemptOut() throws Exception {
        Relay before = started(false);
        takeOn(before, request("m1"));
        takeOn(before, request("m2"));
        nextCall("m1");
        stop(before);
        long restarted = System.nanoTime();
        started(false);
        nextCall("m1").ends(CallEnd.DELIVERED);
        nextCall("m2").ends(CallEnd.DELIVERED);
        double rested = (System.nanoTime() - restarted) / 1e9;
        assertTrue(rested >= KEY_QUIET, "s after the restart: " + rested);
    }

    @Test
    public void aRestartBetweenAnEndAndItsAcknowledgementKeepsTheNextWaiting() throws Exception {
        Relay before = started(false);
        takeOn(before, request("m1", ONCE, 15_000));
        takeOn(before, request("m2", ONCE, 15_000));
        nextCall("m1").ends(CallEnd.BROKEN);
        nextTold("m1"); // never acknowledged
        stop(before);
        started(false);
        Told again = nextTold("m1");
        nothingIsSent();
        again.acknowledged().run();
        nextCall("m2").ends(CallEnd.DELIVERED);
    }

    @Test
    public void whatARestartGivesUpHoldsTheNextUntilThatIsAcknowledged() throws Exception {
        Relay before = started(false);
        takeOn(before, request("m1", ONCE, 15_000));
        takeOn(before, request("m2", ONCE, 15_000));
        nextCall("m1");
        stop(before);
        started(false);
        Told end = nextTold("m1");
        assertEquals(end.end().kind(), RpcEnd.Kind.GIVEN_UP);
        nothingIsSent();
        end.acknowledged().run();
        nextCall("m2").ends(CallEnd.DELIVERED);
    }

    @Test
    public void keyAndTenantAndTimeOutliveTheProcess() throws Exception {
        Journal before = new Journal(folder, DISK, 10);
        int number = before.taken(request("m1"), "keyed");
        long takenAt = before.acceptedAtMicros(number);
        assertTrue(takenAt > 0);
        before.close();
        Journal after = new Journal(folder, DISK, 10);
        Journal.Owed left = after.recovered().get(0);
        assertEquals(left.request().orderKey(), KEY);
        assertEquals(left.request().tenant(), "named");
        assertEquals(left.acceptedAtMicros(), takenAt);
        after.close();
    }

    // ---- upgrades ----

    @Test
    public void aSuccessorSendsNothingInOrderBeforeTheOwnerHasEndedAndThenAllInTheOrderTaken() throws Exception {
        Relay owner = started(false);
        takeOn(owner, request("m1"));
        Out first = nextCall("m1");
        Relay successor = started(true); // returns once the owner has yielded
        takeOn(successor, request("m2"));
        takeOn(owner, request("m3")); // on a connection that is still open there
        takeOn(successor, request("m4"));
        first.ends(CallEnd.DELIVERED);
        nothingIsSent();
        assertEquals(owner.held(), 0, "the owner waits for what its successor sends");
        relays.remove(owner);
        stop(owner);
        for (int i = 2; i <= 4; i++) {
            nextCall("m" + i).ends(CallEnd.DELIVERED);
        }
        takeOn(successor, request("m5"));
        nextCall("m5").ends(CallEnd.DELIVERED);
    }

    @Test
    public void anOwnerTakesItsOrderBackFromASuccessorThatHasDied() throws Exception {
        Relay owner = started(false);
        SuccessorMark mark = new SuccessorMark(folder);
        mark.set();
        assertTrue(mark.awaitYield(SOON * 1_000));
        takeOn(owner, request("m1"));
        nothingIsSent();
        mark.clear();
        nextCall("m1").ends(CallEnd.DELIVERED);
        assertFalse(mark.isSet());
    }

    @Test
    public void aMessageHeldBackAtAnUpgradeIsStillAnsweredInTime() throws Exception {
        started(false);
        Relay successor = started(true);
        takeOn(successor, request("m1", KEYED, 800));
        Told end = nextTold("m1");
        assertEquals(end.end().kind(), RpcEnd.Kind.HANDED_BACK);
        assertTrue(calls.isEmpty());
    }
}
