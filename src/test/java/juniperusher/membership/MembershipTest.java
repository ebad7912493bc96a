package juniperusher.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final InetSocketAddress OLD = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress NEW = new InetSocketAddress("127.0.0.1", 2);
    private static final WatchTiming TIMING = new WatchTiming(4, 1, 0.5, 4, 4, 30);

    private final Membership membership = new Membership(TIMING, List.of(), 7);

    private static EndpointEntry entry(String id, Phase phase, int port) {
        return new EndpointEntry(id, port == 0 ? null : new InetSocketAddress("127.0.0.1", port), 7, 0, 0, 5, phase);
    }

    private static EndpointUpdate whole(long version, EndpointEntry... entries) {
        return new EndpointUpdate(true, version, List.of(entries), Set.of());
    }

    private static EndpointUpdate changes(long version, EndpointEntry... entries) {
        return new EndpointUpdate(false, version, List.of(entries), Set.of());
    }

    private static Step.Open opened(List<Step> steps) {
        return steps.stream()
                .filter(Step.Open.class::isInstance)
                .map(Step.Open.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no watch is opened in " + steps));
    }

    private Step.Open started(EndpointEntry... entries) {
        membership.initialize(whole(41, entries), List.of(), 0);
        return opened(membership.discoveryMoved(OLD, 0));
    }

    private Endpoint endpoint(String id) {
        return membership.snapshot().endpoints().values().stream()
                .filter(one -> one.id().equals(id) && one.target().phase() != Phase.GONE)
                .findFirst()
                .orElse(null);
    }

    @Test
    void versionOfASavedListIsNotUsed() {
        Step.Open first = started(entry("a", Phase.READY, 10));
        assertTrue(first.fullList(), "version 41 may be of another agent");
        assertFalse(membership.snapshot().confirmed());
        Step.Open watch =
                opened(membership.updateReceived(first.watchNumber(), whole(3, entry("a", Phase.READY, 10)), 0.1));
        assertFalse(watch.fullList());
        assertEquals(3, watch.afterVersion());
        assertTrue(membership.snapshot().confirmed());
        assertEquals("127.0.0.1:1", membership.snapshot().source());
    }

    @Test
    void endedWatchIsResumedFromItsVersion() {
        Step.Open first = started();
        Step.Open watch = opened(membership.updateReceived(first.watchNumber(), whole(3), 0.1));
        membership.updateReceived(watch.watchNumber(), changes(5, entry("a", Phase.READY, 10)), 0.2);
        assertEquals(List.of(), membership.watchEnded(watch.watchNumber(), 1));
        assertTrue(
                membership.nextTickAt() >= 1.25 && membership.nextTickAt() <= 1.5, "due at " + membership.nextTickAt());
        assertEquals(List.of(), membership.tick(1.2));
        assertEquals(5, opened(membership.tick(1.5)).afterVersion());
    }

    /**
     * Guards against a sustained overload of discovery: 14 relays that an overloaded discovery had refused requested
     * the full list four times a second each, which kept it overloaded.
     */
    @Test
    void refusedWatchesBackOffWithJitterAndKeepTheirVersion() {
        TreeSet<Double> firstRetries = new TreeSet<>();
        for (int seed = 1; seed <= 14; seed++) {
            Membership one = new Membership(TIMING, List.of(), seed);
            Step.Open first = opened(one.discoveryMoved(OLD, 0));
            Step.Open watch = opened(one.updateReceived(first.watchNumber(), whole(3), 0));
            double now = 0;
            for (double maxBackoff : new double[] {0.5, 1, 2, 4, 4}) {
                assertEquals(
                        List.of(new Step.Abandon(watch.watchNumber())), one.watchRefused(watch.watchNumber(), 0, now));
                assertTrue(
                        one.nextTickAt() >= now + maxBackoff / 2 && one.nextTickAt() <= now + maxBackoff,
                        "due " + one.nextTickAt());
                now = one.nextTickAt();
                firstRetries.add(maxBackoff == 0.5 ? now : 0);
                watch = opened(one.tick(now));
                assertFalse(watch.fullList(), "changes cost discovery less than the full list");
                assertEquals(3, watch.afterVersion());
            }
            for (double retryAfterSeconds : new double[] {3, 1e9}) {
                one.watchRefused(watch.watchNumber(), retryAfterSeconds, now);
                assertTrue(
                        one.nextTickAt() >= now + 2 + 1,
                        "half of the bound for the delay and at least half of the backoff");
                assertTrue(
                        one.nextTickAt() <= now + 4,
                        "the list is requested in time however long the retry-after delay");
                now = one.nextTickAt();
                watch = opened(one.tick(now));
            }
            one.dataReceived(watch.watchNumber(), now);
            one.watchEnded(watch.watchNumber(), now);
            assertTrue(one.nextTickAt() <= now + 0.5, "data has arrived, so the backoff starts short again");
        }
        firstRetries.remove(0.0);
        assertEquals(14, firstRetries.size(), "no two relays at the same time");
        assertTrue(
                firstRetries.last() - firstRetries.first() > 0.15,
                "from " + firstRetries.first() + " to " + firstRetries.last());
    }

    @Test
    void unreadableChangeIsRecoveredByTheFullListWhileTheWatchContinues() {
        Step.Open first = started();
        Step.Open watch = opened(membership.updateReceived(
                first.watchNumber(), whole(3, entry("a", Phase.READY, 10), entry("b", Phase.READY, 11)), 0.1));
        assertEquals(List.of(), membership.unreadableDataReceived(watch.watchNumber(), 1));
        assertTrue(membership.nextTickAt() < 1.2, "the lost change may be a drain");
        membership.updateReceived(watch.watchNumber(), changes(5, entry("a", Phase.DRAINING, 10)), 1.05);
        assertEquals(Phase.DRAINING, endpoint("a").target().phase(), "later updates of the watch are applied");
        Step.Open list = opened(membership.tick(1.2));
        assertTrue(list.fullList(), "the lost change can only be recovered by the full list");
        membership.updateReceived(watch.watchNumber(), changes(6, entry("a", Phase.READY, 10)), 1.3);
        assertEquals(Phase.READY, endpoint("a").target().phase());
        List<Step> steps = membership.updateReceived(
                list.watchNumber(), whole(6, entry("a", Phase.READY, 10), entry("b", Phase.DRAINING, 11)), 1.4);
        assertTrue(steps.contains(new Step.Abandon(watch.watchNumber())));
        assertEquals(6, opened(steps).afterVersion());
        assertEquals(Phase.DRAINING, endpoint("b").target().phase());
        assertEquals(
                List.of(), membership.updateReceived(watch.watchNumber(), whole(9), 1.5), "the watch was abandoned");
    }

    @Test
    void permanentlyUnreadableChangesDoNotFloodDiscovery() {
        Step.Open first = started();
        Step.Open open = opened(membership.updateReceived(first.watchNumber(), whole(3), 0));
        int lists = 0;
        double now = 0;
        while (now < 60) {
            membership.dataReceived(open.watchNumber(), now);
            membership.unreadableDataReceived(open.watchNumber(), now);
            now = membership.nextTickAt();
            Step.Open list = opened(membership.tick(now));
            lists++;
            open = opened(membership.updateReceived(list.watchNumber(), whole(3), now));
        }
        assertTrue(lists < 30, lists + " full lists in a minute");
    }

    /** Worst case of the time between the last byte of discovery before it falls silent and the third attempt. */
    @Test
    void changesMissedByASilentWatchAreReceivedWithinSixSeconds() {
        for (boolean list : new boolean[] {false, true}) {
            for (boolean empty : new boolean[] {false, true}) {
                for (int failures = 0; failures < 6; failures++) {
                    Membership one = new Membership(WatchTiming.DEFAULT, List.of(), failures);
                    Step.Open open = opened(one.discoveryMoved(OLD, 0));
                    double now = 0;
                    for (int i = 0; i < failures; i++) { // refusals lengthen the backoff
                        one.watchRefused(open.watchNumber(), 0, now);
                        now = one.nextTickAt();
                        open = opened(one.tick(now));
                    }
                    open = opened(one.updateReceived(open.watchNumber(), whole(3, entry("a", Phase.READY, 10)), now));
                    one.dataReceived(open.watchNumber(), now);
                    if (list) {
                        one.unreadableDataReceived(
                                open.watchNumber(), now); // so that the silent watch requests the full list
                    }
                    double silentFrom = now;
                    int silent = 2; // silent watches, one right after the other
                    while (silent-- > 0) {
                        now = one.nextTickAt() + 0.01;
                        open = one.tick(now).stream()
                                .filter(Step.Open.class::isInstance)
                                .map(Step.Open.class::cast)
                                .findFirst()
                                .orElse(open);
                        if (empty && silent == 1 && !open.fullList()) {
                            silentFrom = now; // an empty line still arrives
                            one.dataReceived(open.watchNumber(), now);
                        }
                    }
                    now = one.nextTickAt() + 0.01;
                    open = opened(one.tick(now));
                    assertTrue(now - silentFrom < 5.9, "third attempt after " + (now - silentFrom) + " s");
                    one.updateReceived(open.watchNumber(), whole(9, entry("a", Phase.DRAINING, 10)), now);
                    assertEquals(0, one.snapshot().count(Phase.READY));
                }
            }
        }
    }

    @Test
    void silentWatchBecomesCurrentAgainOnItsNextUpdate() {
        Step.Open first = started();
        Step.Open watch =
                opened(membership.updateReceived(first.watchNumber(), whole(3, entry("a", Phase.READY, 10)), 0));
        Step.Open second = opened(membership.tick(4.1));
        assertEquals(3, second.afterVersion());
        List<Step> steps =
                membership.updateReceived(watch.watchNumber(), changes(4, entry("a", Phase.DRAINING, 10)), 4.5);
        assertTrue(steps.contains(new Step.Abandon(second.watchNumber())));
        assertEquals(watch.watchNumber(), membership.currentWatch());
        assertEquals(Phase.DRAINING, endpoint("a").target().phase());
    }

    @Test
    void delayedUpdateOfAReplacedWatchIsIgnored() {
        Step.Open first = started();
        Step.Open watch =
                opened(membership.updateReceived(first.watchNumber(), whole(3, entry("a", Phase.READY, 10)), 0));
        membership.unreadableDataReceived(watch.watchNumber(), 1);
        membership.updateReceived(watch.watchNumber(), changes(7, entry("a", Phase.DRAINING, 10)), 1.01);
        assertEquals(
                List.of(),
                membership.updateReceived(watch.watchNumber(), changes(6, entry("a", Phase.READY, 10)), 1.02));
        assertEquals(Phase.DRAINING, endpoint("a").target().phase());
    }

    /** Guards against a repeated older change on the open watch that makes a draining endpoint ready again. */
    @Test
    void olderChangeOnTheOpenWatchIsNotAppliedAndTheFullListIsRequested() {
        Step.Open first = started();
        Step.Open watch =
                opened(membership.updateReceived(first.watchNumber(), whole(3, entry("a", Phase.READY, 10)), 0.1));
        membership.updateReceived(watch.watchNumber(), changes(5, entry("a", Phase.DRAINING, 10)), 0.2);
        membership.updateReceived(watch.watchNumber(), changes(4, entry("a", Phase.READY, 10)), 0.3);
        assertEquals(Phase.DRAINING, endpoint("a").target().phase());
        assertTrue(opened(membership.tick(1)).fullList(), "discovery may have gone back");
    }

    @Test
    void atMostThreeWatchesAreOpenInALongOutage() {
        Step.Open watch = opened(membership.updateReceived(started().watchNumber(), whole(1), 0));
        Set<Integer> open = new java.util.TreeSet<>(Set.of(watch.watchNumber()));
        int watches = 0;
        for (double now = 0; now < 30; now += 0.05) {
            for (Step step : membership.tick(now)) {
                if (step instanceof Step.Open next) {
                    watches++;
                    open.add(next.watchNumber());
                } else if (step instanceof Step.Abandon left) {
                    open.remove(left.watchNumber());
                }
            }
            assertTrue(open.size() <= 3, "open " + open);
        }
        assertTrue(watches >= 7 && watches <= 15, watches + " watches in 30 s");
    }

    @Test
    void addressChangeAbandonsTheOldWatchAndIgnoresItsData() {
        Step.Open first = started(entry("a", Phase.READY, 10));
        Step.Open watch =
                opened(membership.updateReceived(first.watchNumber(), whole(3, entry("a", Phase.READY, 10)), 0.1));
        List<Step> steps = membership.discoveryMoved(NEW, 1);
        assertEquals(new Step.Abandon(watch.watchNumber()), steps.get(0), "the old watch is abandoned first");
        assertEquals(NEW, opened(steps).address());
        assertTrue(opened(steps).fullList());
        assertEquals(
                List.of(),
                membership.updateReceived(watch.watchNumber(), changes(4, entry("a", Phase.DRAINING, 10)), 1.1));
        assertEquals(List.of(), membership.watchEnded(watch.watchNumber(), 1.2));
        assertEquals(Phase.READY, endpoint("a").target().phase());
        assertEquals(0.1, membership.lastDataAt(), "data from the old address is ignored");
    }

    @Test
    void rapidAddressChangesLeaveOneWatchAtTheLastAddress() {
        started();
        membership.discoveryMoved(NEW, 0.3);
        membership.discoveryMoved(OLD, 0.6);
        Step.Open last = opened(membership.discoveryMoved(NEW, 0.9));
        assertEquals(NEW, last.address());
        assertEquals(last.watchNumber(), membership.currentWatch());
    }

    @Test
    void drainInAFullListIsApplied() {
        Step.Open first = started(entry("a", Phase.READY, 10), entry("b", Phase.READY, 11));
        int a = endpoint("a").target().id();
        int b = endpoint("b").target().id();
        List<Step> steps =
                membership.updateReceived(first.watchNumber(), whole(50, entry("a", Phase.DRAINING, 10)), 0.1);
        Step.Publish change = (Step.Publish) steps.get(0);
        assertEquals(
                List.of(Phase.DRAINING, Phase.GONE),
                change.changedTargets().targets().stream().map(Target::phase).toList());
        assertEquals(
                List.of(b),
                change.vacatedEndpoints().stream().map(one -> one.target().id()).toList());
        assertFalse(change.changedTargets().fullList(), "only the differences are passed on");
        assertFalse(membership.snapshot().isReady(a, 7) || membership.snapshot().isReady(b, 7));
    }

    @Test
    void returningIdGetsANewNumber() {
        Step.Open first = started(entry("a", Phase.READY, 10));
        int before = endpoint("a").target().id();
        Step.Open watch =
                opened(membership.updateReceived(first.watchNumber(), whole(1, entry("a", Phase.READY, 10)), 0));
        membership.updateReceived(watch.watchNumber(), changes(2, entry("a", Phase.GONE, 0)), 1);
        assertNull(endpoint("a"));
        membership.updateReceived(watch.watchNumber(), changes(3, entry("a", Phase.READY, 12)), 2);
        assertNotEquals(before, endpoint("a").target().id());
        assertEquals(
                12, membership.snapshot().address(endpoint("a").target().id()).getPort());
        assertEquals(Phase.GONE, membership.snapshot().target(before).phase(), "calls to it may still be in flight");
        membership.updateReceived(watch.watchNumber(), changes(4), 32.5);
        assertNull(membership.snapshot().target(before), "removed after the retention time");
    }

    @Test
    void movedEndpointKeepsItsNumberAndVacatesItsOldAddress() {
        Step.Open first = started(entry("a", Phase.READY, 10));
        Endpoint before = endpoint("a");
        Step.Publish change = (Step.Publish) membership
                .updateReceived(first.watchNumber(), whole(1, entry("a", Phase.READY, 12)), 1)
                .get(0);
        assertEquals(before.target(), endpoint("a").target());
        assertEquals(List.of(before), change.vacatedEndpoints());
        assertEquals(12, endpoint("a").address().getPort());
    }

    @Test
    void missingAddressAndUnreadableEntryKeepThePreviousState() {
        Step.Open first = started(entry("a", Phase.READY, 10), entry("b", Phase.READY, 11));
        membership.updateReceived(
                first.watchNumber(), new EndpointUpdate(true, 1, List.of(entry("a", Phase.READY, 0)), Set.of("b")), 1);
        assertEquals(10, endpoint("a").address().getPort());
        assertEquals(Phase.READY, endpoint("b").target().phase());
    }

    @Test
    void endpointWithoutAddressIsDraining() {
        started(entry("a", Phase.READY, 0));
        assertEquals(Phase.DRAINING, endpoint("a").target().phase());
    }

    @Test
    void firstByteTimeoutGrowsForASlowAgent() {
        started();
        double now = 0;
        double delay = 3; // s until discovery answers
        for (int tries = 0; tries < 10; tries++) {
            int watch = membership.currentWatch();
            double since = now;
            while (now < since + delay && membership.currentWatch() == watch) {
                now += 0.05;
                membership.tick(now);
            }
            if (membership.currentWatch() == watch) {
                membership.updateReceived(watch, whole(5, entry("a", Phase.READY, 10)), now);
                assertEquals(Phase.READY, endpoint("a").target().phase());
                return;
            }
            while (membership.currentWatch() == 0) {
                now += 0.05;
                membership.tick(now);
            }
        }
        throw new AssertionError("no update was accepted");
    }

    @Test
    void emptyLineKeepsAWatchAndSilenceReplacesIt() {
        Step.Open first = started();
        Step.Open watch = opened(membership.updateReceived(first.watchNumber(), whole(1), 0));
        membership.dataReceived(watch.watchNumber(), 3);
        assertEquals(List.of(), membership.tick(6.9));
        assertFalse(opened(membership.tick(7.1)).fullList(), "its version is still valid");
    }

    @Test
    void unchangedListChangesNoTargets() {
        Step.Open first = started(entry("a", Phase.READY, 10));
        Step.Publish change = (Step.Publish) membership
                .updateReceived(first.watchNumber(), whole(9, entry("a", Phase.READY, 10)), 1)
                .get(0);
        assertEquals(List.of(), change.changedTargets().targets());
        assertEquals(9, membership.snapshot().version());
    }

    @Test
    void fixedTargetsSurviveFullLists() {
        Target broker = new Target(1_000_000, 1001, 1, 0, 20, Phase.READY);
        Snapshot known = membership.initialize(whole(1, entry("a", Phase.READY, 10)), List.of(broker), 0);
        assertEquals(
                List.of(1, 1_000_000),
                Membership.fullTargetList(known).targets().stream()
                        .map(Target::id)
                        .toList());
        Step.Open first = opened(membership.discoveryMoved(OLD, 0));
        membership.updateReceived(first.watchNumber(), whole(2), 1);
        assertTrue(membership.snapshot().isReady(1_000_000, 1001));
        assertFalse(membership.snapshot().isReady(1, 7));
    }

    @Test
    void noWatchIsOpenedAfterStop() {
        Step.Open first = started();
        assertEquals(List.of(new Step.Abandon(first.watchNumber())), membership.stop());
        assertEquals(List.of(), membership.tick(100));
        assertEquals(List.of(), membership.discoveryMoved(NEW, 101));
    }

    @Test
    void unknownSourceIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> membership.sourceUpdated("srv", whole(1), 0));
    }

    @Test
    void secondSourceAddsEndpointsAndCannotOverrideADrain() {
        Membership two = new Membership(TIMING, List.of("second"), 7);
        two.initialize(whole(1, entry("a", Phase.READY, 10)), List.of(), 0);
        two.sourceUpdated("second", whole(1, entry("a", Phase.READY, 20), entry("b", Phase.READY, 21)), 1);
        assertEquals(2, two.snapshot().count(Phase.READY));
        assertEquals(10, two.snapshot().address(1).getPort(), "discovery ranks first");
        Step.Open first = opened(two.discoveryMoved(OLD, 1));
        two.updateReceived(first.watchNumber(), whole(2, entry("a", Phase.DRAINING, 10)), 2);
        two.sourceUpdated("second", whole(2, entry("a", Phase.READY, 20), entry("b", Phase.READY, 21)), 3);
        assertFalse(two.snapshot().isReady(1, 7));
        assertTrue(two.snapshot().isReady(2, 7), "a list that never contained it does not remove it");
    }
}
