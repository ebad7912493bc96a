package juniperusher.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import juniperusher.distribution.SubscriberStep.Reason;
import juniperusher.lab.fleet.Ledger;
import juniperusher.lab.fleet.LedgerCodec;
import org.junit.jupiter.api.Test;

/** A single subscriber, driven by one message at a time. */
class SubscriberTest {
    private static final Timing TIMING = Timing.DEFAULT;
    private static final int MAX_STATE_BYTES = 1_000;
    private static final long SEED = 20_261_202;
    private static final LedgerCodec CODEC = new LedgerCodec(100);

    private final Subscriber<Ledger> subscriber = new Subscriber<>("r", TIMING, MAX_STATE_BYTES, CODEC, SEED);
    private double now;
    private long connection;

    private List<SubscriberStep<Ledger>> receive(ControlMessage message) {
        now += 0.01;
        return subscriber.received(connection, message, now);
    }

    /** Advances the time to the next attempt to connect, and opens the connection. */
    private ControlMessage.Subscribe connect() {
        now = Math.max(now, subscriber.nextTickAt());
        SubscriberStep.Connect<Ledger> connect = assertInstanceOf(
                SubscriberStep.Connect.class, subscriber.tick(now).get(0));
        connection = connect.connection();
        SubscriberStep.Send<Ledger> send = assertInstanceOf(
                SubscriberStep.Send.class, subscriber.connected(connection, now).get(0));
        return assertInstanceOf(ControlMessage.Subscribe.class, send.message());
    }

    private static ControlMessage.SnapshotPart part(Version version, int part, int parts, byte[] whole) {
        int size = whole.length / parts;
        byte[] piece = java.util.Arrays.copyOfRange(whole, part * size, (part + 1) * size);
        int checksum = ControlMessageCodec.checksum(whole, 0, whole.length);
        return new ControlMessage.SnapshotPart(version.term(), version, part, parts, checksum, piece);
    }

    private static ControlMessage.Delta delta(Version from, byte[]... deltas) {
        List<Change> changes = new java.util.ArrayList<>();
        for (byte[] one : deltas) {
            changes.add(new Change(new Version(from.term(), from.revision() + changes.size() + 1), one));
        }
        return new ControlMessage.Delta(from.term(), from, changes);
    }

    private static ControlMessage.Heartbeat heartbeat(Version newest, Version sent, double age, long heard) {
        return new ControlMessage.Heartbeat(newest.term(), newest, sent, age, heard, 0);
    }

    /** Subscribes and activates version 1.1. */
    private void subscribeWithFirstState() {
        subscriber.start(List.of("a", "b"), now);
        assertEquals(Version.NONE, connect().version());
        receive(part(new Version(1, 1), 0, 1, CODEC.encode(Ledger.EMPTY)));
        assertEquals(new Version(1, 1), subscriber.version());
    }

    private static <T> T first(Class<T> type, List<SubscriberStep<Ledger>> steps) {
        return steps.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElse(null);
    }

    private static Reason disconnectReason(List<SubscriberStep<Ledger>> steps) {
        SubscriberStep.Disconnect<?> step = first(SubscriberStep.Disconnect.class, steps);
        return step == null ? null : step.reason();
    }

    @Test
    void activatesASnapshotOnlyWhenComplete() {
        subscribeWithFirstState();
        Ledger before = subscriber.state();
        byte[] whole = CODEC.encode(new Ledger(7, 7));
        for (int i = 0; i < 3; i++) {
            assertNull(first(SubscriberStep.Replaced.class, receive(part(new Version(1, 8), i, 4, whole))));
            assertSame(before, subscriber.state());
        }
        assertEquals(
                new Ledger(7, 7),
                first(SubscriberStep.Replaced.class, receive(part(new Version(1, 8), 3, 4, whole)))
                        .state());
        assertEquals(new Version(1, 8), subscriber.version());
    }

    @Test
    void refusesADamagedSnapshotAndKeepsTheState() {
        subscribeWithFirstState();
        Ledger before = subscriber.state();
        byte[] whole = CODEC.encode(new Ledger(7, 7));
        whole[3] ^= 1; // before the checksum is computed
        List<SubscriberStep<Ledger>> steps = receive(part(new Version(1, 8), 0, 1, whole));
        assertEquals(
                new Version(1, 8), first(SubscriberStep.Refused.class, steps).version());
        assertEquals(Reason.DAMAGED, disconnectReason(steps));
        assertSame(before, subscriber.state());
        assertEquals(new Version(1, 1), subscriber.version());
        assertEquals(1, subscriber.refusedCount());
    }

    @Test
    void refusesASnapshotWithAWrongChecksum() {
        subscribeWithFirstState();
        byte[] whole = CODEC.encode(new Ledger(7, 7));
        receive(part(new Version(1, 8), 0, 2, whole));
        ControlMessage.SnapshotPart second = part(new Version(1, 8), 1, 2, whole);
        second.bytes()[5] ^= 1;
        assertEquals(Reason.DAMAGED, disconnectReason(receive(second)));
        assertEquals(new Version(1, 1), subscriber.version());
    }

    @Test
    void refusesAnOversizedSnapshotBeforeItIsComplete() {
        subscribeWithFirstState();
        byte[] whole = new byte[4 * MAX_STATE_BYTES];
        assertNull(disconnectReason(receive(part(new Version(1, 8), 0, 8, whole))));
        assertNull(disconnectReason(receive(part(new Version(1, 8), 1, 8, whole))));
        assertEquals(Reason.DAMAGED, disconnectReason(receive(part(new Version(1, 8), 2, 8, whole))));
    }

    /** Otherwise the source would send the same damaged change again after each reconnection. */
    @Test
    void requestsASnapshotAfterADamagedChange() {
        subscribeWithFirstState();
        byte[] damaged = LedgerCodec.change(5, 12);
        damaged[0] ^= 1;
        List<SubscriberStep<Ledger>> steps = receive(delta(new Version(1, 1), LedgerCodec.change(4, 12), damaged));
        assertEquals(Reason.DAMAGED, disconnectReason(steps));
        assertEquals(Ledger.EMPTY, subscriber.state(), "the valid change before the damaged one is not applied either");
        assertEquals(Version.NONE, connect().version());
        receive(part(new Version(1, 3), 0, 1, CODEC.encode(new Ledger(2, 9))));
        assertEquals(new Version(1, 3), subscriber.version());
        subscriber.disconnected(connection, now);
        assertEquals(new Version(1, 3), connect().version());
    }

    @Test
    void reconnectsAfterAGap() {
        subscribeWithFirstState();
        assertEquals(Reason.GAP, disconnectReason(receive(delta(new Version(1, 2), LedgerCodec.change(4, 12)))));
        assertEquals(new Version(1, 1), connect().version());
    }

    @Test
    void appliesTheUnknownPartOfADelta() {
        subscribeWithFirstState();
        byte[] second = LedgerCodec.change(2, 12);
        byte[] third = LedgerCodec.change(3, 12);
        receive(delta(new Version(1, 1), second));
        Ledger once = subscriber.state();
        List<SubscriberStep<Ledger>> steps = receive(delta(new Version(1, 1), second, third));
        SubscriberStep.Advanced<?> advanced = first(SubscriberStep.Advanced.class, steps);
        assertEquals(new Version(1, 2), advanced.fromVersion());
        assertEquals(once.changes() + 1, subscriber.state().changes());
        assertTrue(receive(delta(new Version(1, 1), second)).size() == 1, "only an acknowledgement");
        assertEquals(1, subscriber.duplicateCount());
    }

    /** The same revision of another term names another state. */
    @Test
    void aDeltaFromAnotherTermIsAGap() {
        subscribeWithFirstState();
        assertEquals(Reason.GAP, disconnectReason(receive(delta(new Version(2, 1), LedgerCodec.change(4, 12)))));
    }

    @Test
    void refusesAnOlderTerm() {
        subscribeWithFirstState();
        subscriber.observeTerm(2);
        List<SubscriberStep<Ledger>> steps = receive(delta(new Version(1, 1), LedgerCodec.change(4, 12)));
        assertEquals(Reason.OUTDATED_TERM, disconnectReason(steps));
        assertEquals(new Version(1, 1), subscriber.version());
        assertEquals(2, connect().term());
    }

    @Test
    void connectsToTheNextSourceAfterSilence() {
        subscribeWithFirstState();
        assertEquals("a", subscriber.source());
        double heard = now;
        assertEquals(heard + TIMING.silenceTimeoutSeconds(), subscriber.nextTickAt(), 1e-9);
        assertTrue(
                subscriber.tick(heard + TIMING.silenceTimeoutSeconds() - 0.01).isEmpty());
        now = heard + TIMING.silenceTimeoutSeconds();
        assertEquals(Reason.SILENCE, disconnectReason(subscriber.tick(now)));
        connect();
        assertEquals("b", subscriber.source());
        assertTrue(now - heard < TIMING.silenceTimeoutSeconds() + 2 * TIMING.initialBackoffSeconds());
    }

    @Test
    void backoffGrowsToItsMaximum() {
        subscriber.start(List.of("a", "b"), now);
        double longest = 0;
        for (int i = 0; i < 20; i++) {
            now = subscriber.nextTickAt();
            SubscriberStep.Connect<Ledger> connect = assertInstanceOf(
                    SubscriberStep.Connect.class, subscriber.tick(now).get(0));
            subscriber.disconnected(connect.connection(), now);
            longest = Math.max(longest, subscriber.nextTickAt() - now);
            assertTrue(subscriber.nextTickAt() - now >= TIMING.initialBackoffSeconds() / 2);
        }
        assertTrue(longest > TIMING.maxBackoffSeconds() / 2 && longest <= TIMING.maxBackoffSeconds());
    }

    @Test
    void respectsTheRetryAfterDelay() {
        subscribeWithFirstState();
        assertEquals(Reason.BUSY, disconnectReason(receive(new ControlMessage.Busy(1, 20))));
        assertTrue(subscriber.nextTickAt() >= now + 20);
        assertTrue(subscriber.nextTickAt() <= now + 20 + TIMING.initialBackoffSeconds());
    }

    /** Staleness counts from the sending of the acknowledgement to which the heartbeat refers. */
    @Test
    void neverUnderestimatesStaleness() {
        subscribeWithFirstState();
        assertEquals(Double.POSITIVE_INFINITY, subscriber.stalenessSeconds(now));
        Version version = subscriber.version();
        double acknowledged = now; // when the snapshot was acknowledged
        now += 2;
        receive(heartbeat(version, version, 0.5, 1));
        assertEquals(now - acknowledged + 0.5, subscriber.stalenessSeconds(now), 1e-9);
        double second = now;
        now += 2;
        receive(new ControlMessage.Heartbeat(1, version, version, 0.5, 2, 1.5));
        assertEquals(now - (second + 1.5) + 0.5, subscriber.stalenessSeconds(now), 1e-9);
        double previousStaleness = subscriber.stalenessSeconds(now);
        now += 2;
        receive(heartbeat(version, version, Double.POSITIVE_INFINITY, 3));
        assertEquals(
                previousStaleness + 2.01,
                subscriber.stalenessSeconds(now),
                1e-9,
                "the source does not know its own age");
        receive(heartbeat(new Version(1, 2), version, 0, 4));
        assertTrue(subscriber.stalenessSeconds(now) > previousStaleness + 2, "the source has a newer version");
    }

    @Test
    void leavesAStaleSource() {
        subscribeWithFirstState();
        Version version = subscriber.version();
        receive(heartbeat(version, version, TIMING.maxSourceAgeSeconds() + 1, 1));
        double from = now;
        assertTrue(subscriber.nextTickAt() <= from + TIMING.silenceTimeoutSeconds());
        now = subscriber.nextTickAt();
        assertEquals(Reason.STALE_SOURCE, disconnectReason(subscriber.tick(now)));
        connect();
        assertEquals("b", subscriber.source());
    }

    @Test
    void aHeartbeatRevealsALostMessage() {
        subscribeWithFirstState();
        assertEquals(Reason.GAP, disconnectReason(receive(heartbeat(new Version(1, 2), new Version(1, 2), 0, 1))));
    }

    @Test
    void ignoresLateEventsOfAnEarlierConnection() {
        subscribeWithFirstState();
        long first = connection;
        subscriber.disconnected(first, now);
        connect();
        assertTrue(subscriber
                .received(first, delta(new Version(1, 1), LedgerCodec.change(1, 12)), now)
                .isEmpty());
        assertTrue(subscriber.disconnected(first, now).isEmpty());
        assertTrue(subscriber.connected(first, now).isEmpty());
        assertEquals(new Version(1, 1), subscriber.version());
        assertEquals("b", subscriber.source());
    }

    @Test
    void keepsAConnectionThatIsAmongTheNewSources() {
        subscribeWithFirstState();
        assertTrue(subscriber.start(List.of("c", "a"), now).isEmpty());
        assertEquals("a", subscriber.source());
        assertEquals(Reason.STOPPED, disconnectReason(subscriber.start(List.of("c"), now)));
        connect();
        assertEquals("c", subscriber.source());
        assertEquals(Reason.STOPPED, disconnectReason(subscriber.stop(now)));
        assertEquals(Double.POSITIVE_INFINITY, subscriber.nextTickAt());
        assertEquals(new Version(1, 1), subscriber.version());
    }

    @Test
    void retriesThePreferredSource() {
        subscribeWithFirstState();
        subscriber.start(List.of("c", "a"), now);
        Version version = subscriber.version();
        List<SubscriberStep<Ledger>> steps = List.of();
        for (int i = 1; disconnectReason(steps) == null && i < 3 * TIMING.preferredSourceRetrySeconds(); i++) {
            receive(heartbeat(version, version, 0, i));
            now += TIMING.heartbeatIntervalSeconds();
            steps = subscriber.tick(now);
        }
        assertEquals(Reason.PREFERENCE, disconnectReason(steps));
        assertEquals("c", first(SubscriberStep.Connect.class, steps).source());
        assertTrue(
                now > TIMING.preferredSourceRetrySeconds() && now < 2 * TIMING.preferredSourceRetrySeconds() + 20,
                "at " + now);
    }

    /** A relay can start with the state on its disk while no control process is reachable. */
    @Test
    void resumesARestoredStateWithItsAge() {
        subscriber.resume(new Version(3, 9), new Ledger(9, 9), -500);
        subscriber.start(List.of("a"), now);
        assertEquals(new Version(3, 9), subscriber.version());
        assertEquals(500, subscriber.stalenessSeconds(now), 1e-9);
        ControlMessage.Subscribe subscribe = connect();
        assertEquals(new Version(3, 9), subscribe.version());
        assertEquals(3, subscribe.term());
        assertFalse(subscribe.republishes());
        subscriber.resume(new Version(3, 8), new Ledger(8, 8), 0);
        assertEquals(new Version(3, 9), subscriber.version(), "an older state is ignored");
    }

    @Test
    void refusesATimeThatGoesBackwards() {
        subscriber.start(List.of("a"), 5);
        assertThrows(IllegalArgumentException.class, () -> subscriber.tick(4));
    }
}
