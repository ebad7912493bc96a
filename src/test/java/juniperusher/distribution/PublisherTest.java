package juniperusher.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.lab.fleet.Ledger;
import juniperusher.lab.fleet.LedgerCodec;
import org.junit.jupiter.api.Test;

/** A single publisher, driven by one message at a time. */
class PublisherTest {
    private static final long SEED = 20_261_202;
    private static final int STATE_BYTES = 1_000;
    private static final Limits LIMITS = new Limits(3, 400, 8, 100, 100, 100, 1, 5, 10_000, 10, 10_000, 30);
    private static final Timing TIMING = Timing.DEFAULT;

    private final Publisher<Ledger> publisher = new Publisher<>(TIMING, LIMITS, new LedgerCodec(STATE_BYTES), SEED);
    private double now;

    private void lead() {
        publisher.replaceState(new Version(0, 1), Ledger.EMPTY, now);
        publisher.lead(1, now);
        assertEquals(new Version(1, 2), publisher.newestVersion());
    }

    private List<ControlMessage> subscribe(long connection, String name, Version has) {
        return sent(publisher.received(connection, new ControlMessage.Subscribe(name, false, has.term(), has), now));
    }

    private List<ControlMessage> acknowledge(long connection, Version has, long received) {
        return sent(publisher.received(connection, new ControlMessage.Acknowledge(1, has, received), now));
    }

    private List<PublisherStep> publish(int count) throws DamagedStateException {
        List<byte[]> deltas = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            deltas.add(LedgerCodec.change(i, 20));
        }
        return publisher.publish(deltas, now);
    }

    private static List<ControlMessage> sent(List<PublisherStep> steps) {
        return steps.stream()
                .filter(PublisherStep.Send.class::isInstance)
                .map(step -> ((PublisherStep.Send) step).message())
                .toList();
    }

    private static <T> List<T> of(Class<T> type, List<? extends Object> all) {
        return all.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Test
    void sendsChangesOrASnapshotDependingOnTheLog() throws DamagedStateException {
        lead();
        now = 1;
        publish(5);
        List<ControlMessage> near = subscribe(1, "near", new Version(1, 4));
        assertEquals(
                new Version(1, 7), of(ControlMessage.Delta.class, near).get(0).toVersion());
        now = 2;
        publish(10);
        List<ControlMessage> far = subscribe(2, "far", new Version(1, 4));
        assertEquals(0, of(ControlMessage.Delta.class, far).size());
        ControlMessage.SnapshotPart part =
                of(ControlMessage.SnapshotPart.class, far).get(0);
        assertEquals(new Version(1, 17), part.version());
        assertEquals(STATE_BYTES / LIMITS.maxPartBytes(), part.partCount());
    }

    @Test
    void windowLimitsUnacknowledgedBytes() {
        lead();
        List<ControlMessage> first = subscribe(1, "r", Version.NONE);
        int bytes = first.stream().mapToInt(ControlMessageCodec::encodedSize).sum();
        assertTrue(bytes >= LIMITS.windowBytes() && bytes < LIMITS.windowBytes() + 200, bytes + " B");
        assertEquals(0, acknowledge(1, Version.NONE, 0).size());
        int parts = of(ControlMessage.SnapshotPart.class, first).size();
        long received = first.size();
        while (parts < STATE_BYTES / LIMITS.maxPartBytes()) {
            List<ControlMessage> more = acknowledge(1, Version.NONE, received);
            assertFalse(more.isEmpty());
            assertTrue(publisher.memory().maxInFlightBytes() < LIMITS.windowBytes() + 200);
            received += more.size();
            parts += of(ControlMessage.SnapshotPart.class, more).size();
        }
        assertEquals(STATE_BYTES / LIMITS.maxPartBytes(), parts);
    }

    @Test
    void sendsMissedChangesTogetherAfterAFullWindow() throws DamagedStateException {
        lead();
        subscribe(1, "r", new Version(1, 2));
        int sent = 0;
        for (int i = 0; i < 9; i++) {
            now += 1;
            sent += sent(publish(1)).size();
        }
        assertTrue(sent < 9, "sent " + sent);
        List<ControlMessage> rest = acknowledge(1, new Version(1, 2), 1 + sent);
        ControlMessage.Delta delta = of(ControlMessage.Delta.class, rest).get(0);
        assertTrue(delta.changes().size() > 1);
        assertEquals(
                new Version(1, 11),
                of(ControlMessage.Delta.class, rest).get(rest.size() - 1).toVersion());
    }

    @Test
    void sendsTheNewestSnapshotToASubscriberBeyondTheLog() throws DamagedStateException {
        lead();
        subscribe(1, "r", new Version(1, 2));
        int sent = 1;
        for (int i = 0; i < 100; i++) {
            now += 1;
            sent += sent(publish(1)).size();
        }
        List<ControlMessage> rest = acknowledge(1, new Version(1, 2), sent);
        assertEquals(
                publisher.newestVersion(),
                of(ControlMessage.SnapshotPart.class, rest).get(0).version());
        assertTrue(publisher.memory().logChanges() <= LIMITS.maxLogChanges());
    }

    @Test
    void rejectsWithGrowingRetryAfterWhenNoSnapshotSlotIsFree() {
        lead();
        subscribe(1, "first", Version.NONE);
        double before = 0;
        for (int i = 2; i < 40; i++) {
            List<PublisherStep> steps =
                    publisher.received(i, new ControlMessage.Subscribe("r" + i, false, 0, Version.NONE), now);
            ControlMessage.Busy busy =
                    of(ControlMessage.Busy.class, sent(steps)).get(0);
            assertInstanceOf(PublisherStep.Close.class, steps.get(steps.size() - 1));
            assertTrue(busy.retryAfterSeconds() > 0 && busy.retryAfterSeconds() <= 1.5 * LIMITS.maxRetryAfterSeconds());
            before = Math.max(before, busy.retryAfterSeconds());
        }
        assertTrue(before > 5, "retry-after delays do not grow, maximum " + before);
        assertEquals(1, publisher.memory().subscribers());
        assertEquals(1, publisher.memory().snapshotSlotsInUse());
        assertEquals(
                0,
                of(ControlMessage.Busy.class, subscribe(99, "near", new Version(1, 2)))
                        .size(),
                "a subscriber that needs no snapshot is accepted");
    }

    /** A slow subscriber must not block the slot for ever; its own snapshot continues. */
    @Test
    void aSlowSubscriberLosesItsSnapshotSlot() {
        lead();
        int received = subscribe(1, "slow", Version.NONE).size();
        for (int i = 0; i < 6; i++) {
            now += 1;
            received += acknowledge(1, Version.NONE, 1).size();
        }
        assertEquals(0, publisher.memory().snapshotSlotsInUse());
        assertEquals(
                0,
                of(ControlMessage.Busy.class, subscribe(2, "next", Version.NONE))
                        .size());
        assertFalse(acknowledge(1, Version.NONE, received).isEmpty());
    }

    @Test
    void closesAConnectionWithoutAcknowledgements() {
        lead();
        subscribe(1, "dead", new Version(1, 2));
        boolean closed = false;
        while (!closed && now < 20) {
            now = publisher.nextTickAt();
            closed = !of(PublisherStep.Close.class, publisher.tick(now)).isEmpty();
        }
        assertTrue(now > TIMING.acknowledgementTimeoutSeconds() && now < TIMING.acknowledgementTimeoutSeconds() + 3);
        assertEquals(1, publisher.counters().acknowledgementTimeouts());
        assertEquals(0, publisher.memory().inFlightBytes());
    }

    @Test
    void aNewConnectionReplacesAHalfOpenOne() {
        lead();
        subscribe(1, "r", new Version(1, 2));
        List<PublisherStep> steps =
                publisher.received(2, new ControlMessage.Subscribe("r", false, 1, new Version(1, 2)), now);
        assertEquals(new PublisherStep.Close(1), steps.get(0));
        assertEquals(1, publisher.memory().subscribers());
    }

    @Test
    void subscriberLimitAppliesToRelaysOnly() {
        lead();
        for (int i = 0; i < 3; i++) {
            subscribe(i, "r" + i, new Version(1, 2));
        }
        assertEquals(
                1,
                of(ControlMessage.Busy.class, subscribe(9, "r9", new Version(1, 2)))
                        .size());
        ControlMessage control = new ControlMessage.Subscribe("c2", true, 1, Version.NONE);
        List<ControlMessage> sent = sent(publisher.received(10, control, now));
        assertFalse(of(ControlMessage.SnapshotPart.class, sent).isEmpty());
    }

    /** The adapter can then encode the frame once. */
    @Test
    void subscribersOfTheSameVersionShareAMessage() throws DamagedStateException {
        lead();
        subscribe(1, "a", new Version(1, 2));
        subscribe(2, "b", new Version(1, 2));
        now = 1;
        List<ControlMessage> sent = sent(publish(3));
        assertEquals(2, sent.size());
        assertSame(sent.get(0), sent.get(1));
    }

    @Test
    void batchesTheChangesOfABurst() throws DamagedStateException {
        lead();
        subscribe(1, "r", new Version(1, 2));
        now = 0.5;
        assertEquals(1, sent(publish(1)).size());
        for (int i = 0; i < 3; i++) {
            assertEquals(0, sent(publish(1)).size());
        }
        assertEquals(now + TIMING.batchIntervalSeconds(), publisher.nextTickAt(), 1e-9);
        now = publisher.nextTickAt();
        List<ControlMessage> sent = of(ControlMessage.class, sent(publisher.tick(now)));
        assertEquals(3, of(ControlMessage.Delta.class, sent).get(0).changes().size());
    }

    @Test
    void onlyTheLeaderPublishes() throws DamagedStateException {
        assertThrows(IllegalStateException.class, () -> publisher.lead(1, now), "no state yet");
        publisher.replaceState(new Version(0, 1), Ledger.EMPTY, now);
        assertThrows(IllegalStateException.class, () -> publish(1));
        publisher.lead(1, now);
        publish(1);
        publisher.resign(now);
        assertThrows(IllegalStateException.class, () -> publish(1));
        assertEquals(2, publisher.ageSeconds(now + 2), 1e-9);
        publisher.lead(1, now);
        assertEquals(new Version(1, 3), publisher.newestVersion(), "a term begins with only one empty change");
    }

    @Test
    void aNewerTermDeposesTheLeader() {
        lead();
        List<PublisherStep> steps =
                publisher.received(1, new ControlMessage.Subscribe("r", false, 5, new Version(5, 9)), now);
        assertEquals(new PublisherStep.Deposed(5), steps.get(0));
        assertEquals(new PublisherStep.NewerTerm(5), steps.get(1));
        assertFalse(publisher.isLeading());
        assertEquals(List.of(new PublisherStep.Deposed(5)), publisher.lead(4, now));
    }

    /** Changes that follow the same revision of another term do not apply to that subscriber's state. */
    @Test
    void sendsASnapshotToASubscriberOfAnotherTerm() throws DamagedStateException {
        publisher.replaceState(new Version(1, 5), Ledger.EMPTY, now);
        publisher.lead(2, now);
        publish(2);
        List<ControlMessage> same = subscribe(1, "same", new Version(1, 5));
        assertEquals(
                new Version(2, 8), of(ControlMessage.Delta.class, same).get(0).toVersion());
        List<ControlMessage> other = subscribe(2, "other", new Version(1, 7));
        assertEquals(
                new Version(2, 8),
                of(ControlMessage.SnapshotPart.class, other).get(0).version());
    }

    /** Guards against sending an encoded state that would not bring the subscriber to a newer version. */
    @Test
    void doesNotReuseAnEncodedStateOlderThanTheSubscriber() throws DamagedStateException {
        publisher.replaceState(new Version(1, 5), Ledger.EMPTY, now);
        assertFalse(of(ControlMessage.SnapshotPart.class, subscribe(1, "new", Version.NONE))
                .isEmpty());
        publisher.closed(1, now);
        publisher.lead(2, now);
        List<ControlMessage> other = subscribe(2, "other", new Version(1, 7));
        assertEquals(
                new Version(2, 6),
                of(ControlMessage.SnapshotPart.class, other).get(0).version());
    }

    @Test
    void sendsOnlyHeartbeatsToASubscriberThatIsAhead() {
        publisher.replaceState(new Version(1, 5), Ledger.EMPTY, now);
        List<ControlMessage> sent = subscribe(1, "r", new Version(1, 8));
        assertEquals(1, sent.size());
        assertInstanceOf(ControlMessage.Heartbeat.class, sent.get(0));
    }

    @Test
    void refusesDamagedOrOversizedChanges() {
        lead();
        byte[] damaged = LedgerCodec.change(1, 20);
        damaged[0] ^= 1;
        List<byte[]> deltas = List.of(LedgerCodec.change(2, 20), damaged);
        assertThrows(DamagedStateException.class, () -> publisher.publish(deltas, now));
        assertThrows(IllegalArgumentException.class, () -> publisher.publish(List.of(new byte[101]), now));
        assertThrows(IllegalArgumentException.class, () -> publisher.publish(List.of(new byte[0]), now));
        assertEquals(new Version(1, 2), publisher.newestVersion());
        assertEquals(Ledger.EMPTY, publisher.state());
    }

    @Test
    void refusesInconsistentLimitsAndTiming() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Limits(3, 400, 8, 100, 100, 2 << 20, 1, 5, 10_000, 10, 4 << 20, 30));
        assertThrows(IllegalArgumentException.class, () -> new Timing(1, 1.5, 10, 2, 0.5, 6, 1, 4, 600, 0.1));
        assertThrows(IllegalArgumentException.class, () -> new Timing(1, 3, 10, 2, 0.5, 6, 1, 2, 600, 0.1));
    }
}
