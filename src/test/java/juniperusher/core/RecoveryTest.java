package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.clock.SteadyClock;
import juniperusher.http.Config;
import juniperusher.membership.EndpointUpdate;
import juniperusher.membership.Membership;
import juniperusher.membership.WatchTiming;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a new process does with messages that the previous one may have sent. */
public class RecoveryTest {
    private static final int ATTEMPT_ZONE = 1; // zone of the attempt in flight when the process ended
    private static final long TIMEOUT_SECONDS = 5; // limit for events that have to happen
    private static final MessageClass UNSAFE_CLASS = messageClass("once", Effect.UNSAFE, false, 5);

    private final BlockingQueue<Subchannels.StartPermission> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<RpcEnd> ends = new LinkedBlockingQueue<>();
    private Path folder;
    private Relay relay;

    private static MessageClass messageClass(String name, Effect effect, boolean zoneOnly, double repeatWindowSeconds) {
        return new MessageClass(name, effect, zoneOnly, repeatWindowSeconds, false, 3, 20, 1, 0.5);
    }

    @BeforeMethod
    public void createFolder() throws Exception {
        folder = Files.createTempDirectory("recovery");
        calls.clear();
        ends.clear();
    }

    @AfterMethod
    public void stopRelay() throws Exception {
        relay.close();
        relay.closeJournal();
    }

    /** Writes the journal of a process that accepted one message, started an attempt if {@code inFlight}, and ended. */
    private void writeJournal(String className, int classIndex, boolean inFlight, long millisLeft) throws Exception {
        Journal journal = new Journal(folder, 3 << 20, 10);
        int number = journal.writeAccepted(
                new RpcRequest("m", "test", classIndex, 7, SteadyClock.millis() + millisLeft, "", false, new byte[0]),
                className);
        if (inFlight) {
            journal.writeAttempt(number, ATTEMPT_ZONE);
        }
        journal.close();
    }

    private void restart(int zone, MessageClass... classes) throws Exception {
        Settings file = Config.read(CallsTest.configFile()).parsedSettings().settings();
        Settings settings = new Settings(
                file.senders(),
                file.zone(),
                file.watchesList(),
                file.weight(),
                file.overQuotaShare(),
                file.halvesWorth(),
                file.crossZoneFee(),
                file.routeFees(),
                file.rules(),
                file.limits(),
                List.of(classes),
                file.kinds(),
                file.tenants());
        relay = new Relay(
                settings,
                1,
                0.005,
                folder,
                3 << 20,
                new Counters(),
                new Subchannels() {
                    @Override
                    public Call call(
                            Target subchannel,
                            List<RpcRequest> rpcs,
                            double timeout,
                            StartPermission permission,
                            ResultListener resultListener) {
                        calls.add(permission);
                        return why -> resultListener.ended(0, CallResult.of(why));
                    }

                    @Override
                    public void probe(Target subchannel, ProbeListener probeListener) {
                        throw new UnsupportedOperationException();
                    }

                    @Override
                    public void closeIdle(Target subchannel) {
                        throw new UnsupportedOperationException();
                    }
                },
                (to, note) -> {},
                null);
        relay.addFront(new Front() {
            @Override
            public String name() {
                return "test";
            }

            @Override
            public boolean reportsEnd(RpcEnd end) {
                return true;
            }

            @Override
            public void report(RpcEnd end, boolean maybeRepeated, Runnable acknowledged) {
                acknowledged.run();
                ends.add(end);
            }
        });
        relay.start(new Membership(WatchTiming.DEFAULT, List.of(), 7)
                .initialize(
                        new EndpointUpdate(true, 1, List.of(), Set.of()),
                        List.of(new Target(5, 7, 0, zone, 10, Phase.READY)),
                        0));
    }

    private void assertEnd(RpcEnd.Kind kind) throws Exception {
        RpcEnd end = ends.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(end == null ? null : end.kind(), kind);
        assertTrue(calls.isEmpty(), "the message was sent again");
    }

    private static void waitUntil(long untilMillis) throws InterruptedException {
        while (SteadyClock.millis() <= untilMillis) {
            Thread.sleep(1);
        }
    }

    @Test
    public void keyedMessageIsRepeatedWithinItsWindow() throws Exception {
        writeJournal("keyed", 0, true, 20_000);
        restart(0, messageClass("keyed", Effect.KEYED, false, 60));
        assertTrue(calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).mayStart());
    }

    @Test
    public void repeatWindowContinuesAcrossARestart() throws Exception {
        writeJournal("keyed", 0, true, 20_000);
        waitUntil(SteadyClock.millis() + 50);
        restart(0, messageClass("keyed", Effect.KEYED, false, 0.05));
        // the destination drops the client's repeat too if it comes within the window
        assertEnd(RpcEnd.Kind.HANDED_BACK);
    }

    @Test
    public void callDoesNotStartAfterTheRepeatWindow() throws Exception {
        writeJournal("keyed", 0, true, 20_000);
        long sent = SteadyClock.millis();
        restart(0, messageClass("keyed", Effect.KEYED, false, 2));
        Subchannels.StartPermission late = calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        waitUntil(sent + 2_000);
        assertFalse(late.mayStart());
    }

    @Test
    public void zoneKeyedMessageIsNotRepeatedInAnotherZone() throws Exception {
        writeJournal("keyed", 0, true, 300);
        restart(0, messageClass("keyed", Effect.KEYED, true, 60));
        assertEnd(RpcEnd.Kind.GIVEN_UP);
    }

    @Test
    public void overdueZoneKeyedMessageFails() throws Exception {
        writeJournal("keyed", 0, true, -1);
        restart(ATTEMPT_ZONE, messageClass("keyed", Effect.KEYED, true, 60));
        assertEnd(RpcEnd.Kind.GIVEN_UP);
    }

    @Test
    public void classIsFoundByNameWhenItsIndexChanged() throws Exception {
        writeJournal("once", 0, true, 20_000);
        restart(0, messageClass("often", Effect.SAFE, false, 0), UNSAFE_CLASS);
        assertEnd(RpcEnd.Kind.GIVEN_UP);
    }

    @Test
    public void messageOfARemovedClassIsReturnedIfItNeverRan() throws Exception {
        writeJournal("gone", 7, false, 20_000);
        restart(0, messageClass("often", Effect.SAFE, false, 0));
        assertEnd(RpcEnd.Kind.HANDED_BACK);
    }

    @Test
    public void messageOfARemovedClassFailsIfItMayHaveRun() throws Exception {
        writeJournal("gone", 0, true, 20_000);
        restart(0, messageClass("often", Effect.SAFE, false, 0));
        assertEnd(RpcEnd.Kind.GIVEN_UP);
    }

    @Test
    public void messageWithoutAnAttemptIsSent() throws Exception {
        writeJournal("once", 3, false, 20_000);
        restart(0, UNSAFE_CLASS);
        assertTrue(calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).mayStart());
    }
}
