package juniperusher.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import juniperusher.lab.fleet.OwnershipWorld;
import juniperusher.store.Op;
import juniperusher.store.Reply;
import juniperusher.store.Request;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Exclusive ownership: a single {@link Lease}, then several processes with faults in virtual time. */
class LeaseTest {
    private static final String SEED = "20261202";
    private static final LeaseTiming TERMS = new LeaseTiming(5, 1, 1, 0.5, 0.5);

    private static Step.SendRequest requestIn(List<Step> steps) {
        return steps.stream()
                .filter(Step.SendRequest.class::isInstance)
                .map(Step.SendRequest.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no request in " + steps));
    }

    /** A lease that was requested at 0 s and gave the ownership at 0.4 s. */
    private static Lease heldLease() {
        Lease lease = new Lease(TERMS, "thing", "me/1", 7);
        Step.SendRequest grant = requestIn(lease.acquire(0));
        Step.SendRequest claim = requestIn(lease.answerReceived(grant.number(), new Reply.Leased(4, 5), 0.2));
        assertTrue(lease.answerReceived(claim.number(), new Reply.Done(true, 9, List.of()), 0.4)
                .contains(new Step.Acquired(new Holding("thing", 9))));
        return lease;
    }

    @Test
    void leaseEndsByItsRequestTimeLessTheMargin() {
        Lease lease = heldLease();
        assertTrue(lease.isOwner(3.9));
        assertFalse(lease.isOwner(4.0), "ttl of 5 s from the request at 0 s, less the margin of 1 s");
        assertEquals(Lease.State.HOLDING, lease.state(), "the state is only updated by a tick");
        assertTrue(lease.tick(4.0).contains(new Step.Uncertain(new Holding("thing", 9))));
    }

    @Test
    void lateAnswerRenewsFromItsOwnRequestTime() {
        Lease lease = heldLease();
        Step.SendRequest first = requestIn(lease.tick(1.2));
        Step.SendRequest second = requestIn(lease.tick(1.8)); // the first has timed out
        lease.answerReceived(first.number(), new Reply.Leased(4, 5), 2.5);
        assertTrue(lease.isOwner(5.1));
        assertFalse(lease.isOwner(5.3), "1.2 s and the ttl of 5 s, less the margin of 1 s");
        lease.answerReceived(second.number(), new Reply.Leased(4, 5), 2.6);
        assertTrue(lease.isOwner(5.7));
    }

    @Test
    void uncertainHoldingIsRestoredOrEndedByTheStore() {
        for (boolean confirmed : new boolean[] {true, false}) {
            Lease lease = heldLease();
            Step.SendRequest renewal = requestIn(lease.tick(4.5)); // suspended past the end of its lease
            assertEquals(Lease.State.UNCERTAIN, lease.state());
            List<Step> steps = lease.answerReceived(
                    renewal.number(), confirmed ? new Reply.Leased(4, 5) : new Reply.NoLease(4), 4.6);
            assertEquals(confirmed, lease.isOwner(4.6));
            assertEquals(confirmed, steps.contains(new Step.Acquired(new Holding("thing", 9))));
            assertEquals(!confirmed, steps.contains(new Step.Lost(new Holding("thing", 9))));
        }
    }

    @Test
    void repeatedClaimFindsTheOneWhoseAnswerWasLost() {
        Lease lease = new Lease(TERMS, "thing", "me/1", 7);
        lease.answerReceived(requestIn(lease.acquire(0)).number(), new Reply.Leased(4, 5), 0.1);
        Step.SendRequest again = requestIn(lease.tick(0.7));
        lease.answerReceived(
                again.number(),
                new Reply.Done(false, 12, List.of(List.of(new juniperusher.store.Entry("thing", "me/1", 9, 9, 4)))),
                0.8);
        assertEquals(new Holding("thing", 9), lease.holding(), "the token is the revision that created the key");
    }

    @Test
    void keyOfAnEarlierRunIsNotOwned() {
        Lease lease = new Lease(TERMS, "thing", "me/2", 7);
        Step.SendRequest claim =
                requestIn(lease.answerReceived(requestIn(lease.acquire(0)).number(), new Reply.Leased(5, 5), 0.1));
        lease.answerReceived(
                claim.number(),
                new Reply.Done(false, 12, List.of(List.of(new juniperusher.store.Entry("thing", "me/1", 9, 9, 4)))),
                0.2);
        assertNull(lease.holding());
        assertTrue(lease.nextTickAt() <= 0.7 && lease.nextTickAt() >= 0.45, "next claim at " + lease.nextTickAt());
    }

    @Test
    void watchOnTheStoreEndsAHoldingAndReportsAFreeResource() {
        Lease lease = heldLease();
        lease.keyChanged(true, 9, 1);
        lease.keyChanged(false, 8, 1);
        assertTrue(lease.isOwner(1), "reports of its own key and of the deletion of an earlier one");
        List<Step> steps = lease.keyChanged(true, 20, 1.1);
        assertTrue(steps.contains(new Step.Lost(new Holding("thing", 9))));
        assertFalse(lease.isOwner(1.1));
        Step.SendRequest claim =
                requestIn(lease.answerReceived(requestIn(steps).number(), new Reply.Leased(4, 5), 1.2));
        lease.answerReceived(
                claim.number(),
                new Reply.Done(
                        false, 21, List.of(List.of(new juniperusher.store.Entry("thing", "other/1", 20, 20, 8)))),
                1.3);
        assertTrue(lease.nextTickAt() > 1.5);
        assertTrue(requestIn(lease.keyChanged(false, 20, 1.35)).request() instanceof Request.Txn, "claims immediately");
    }

    @Test
    void releaseEndsTheHoldingAndRevokesTheLease() {
        Lease lease = heldLease();
        List<Step> steps = lease.release(1);
        assertTrue(steps.contains(new Step.Lost(new Holding("thing", 9))));
        assertEquals(new Request.Revoke(4), requestIn(steps).request());
        assertFalse(lease.isOwner(1));
        assertEquals(List.of(), lease.tick(50));
    }

    @Test
    void fencedTransactionRequiresTheToken() {
        juniperusher.store.StoreState store = new juniperusher.store.StoreState();
        Request.Txn claim = new Request.Txn(List.of(), List.of(new Op.Put("thing", "me", 0)), List.of());
        long token = ((Reply.Done) store.answer(claim, 0)).revision();
        Request.Txn act = new Holding("thing", token)
                .fence(new Request.Txn(List.of(), List.of(new Op.Put("x", "y", 0)), List.of()));
        assertTrue(((Reply.Done) store.answer(act, 1)).succeeded());
        store.answer(new Request.Txn(List.of(), List.of(new Op.Delete("thing")), List.of()), 2);
        store.answer(claim, 3);
        assertFalse(((Reply.Done) store.answer(act, 4)).succeeded(), "the key was created again");
    }

    @Test
    void inconsistentTimesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new LeaseTiming(5, 1, 3, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTiming(5, 0, 1, 1, 1));
    }

    // ---- several processes ----

    private static void injectFault(OwnershipWorld world, int code) {
        String node = String.valueOf((char) ('a' + code / 16 % 3));
        switch (code % 16) {
            case 0, 1 -> world.stop(node);
            case 2, 3 -> world.go(node);
            case 4 -> world.kill(node);
            case 5 -> world.start(node);
            case 6 -> world.cut(node, true);
            case 7 -> world.cut(node, false);
            case 8 -> world.deaf(node, true);
            case 9 -> world.deaf(node, false);
            case 10 -> world.slow(node, code / 48 % 5 * 0.4 + 0.01);
            case 11 -> world.storeDown(code / 48 % 2 == 0);
            default -> {} // no fault, only time passes
        }
    }

    /** Random scripts of up to 40 faults, 0.1 to 4 s apart. */
    @Property(tries = 10_000, seed = SEED)
    void randomFaultsNeverCauseTwoOwners(@ForAll @Size(max = 40) List<@IntRange(max = 99_999) Integer> script) {
        OwnershipWorld world = new OwnershipWorld(TERMS, 3, script.hashCode());
        double now = 0;
        for (int code : script) {
            injectFault(world, code);
            now += 0.1 + code / 1_000 % 40 / 10.0;
            world.run(now);
            assertNull(
                    world.broken(),
                    () -> world.broken() + "\n" + world.timeline().draw());
        }
        for (String node : List.of("a", "b", "c")) {
            world.go(node);
            world.start(node);
            world.cut(node, false);
            world.deaf(node, false);
            world.slow(node, 0.01);
        }
        world.storeDown(false);
        world.run(now + 3 * TERMS.ttlSeconds());
        assertNull(
                world.broken(), () -> world.broken() + "\n" + world.timeline().draw());
        assertNotEquals(
                "",
                world.owner(),
                () -> "no owner in the end\n" + world.timeline().draw());
    }

    /** If the store ends leases early, two processes may consider themselves owners; the token lets only one act. */
    @Property(tries = 1_000, seed = SEED)
    void tokenFencesIfTheStoreEndsLeasesEarly(@ForAll @Size(max = 30) List<@IntRange(max = 99_999) Integer> script) {
        OwnershipWorld world = new OwnershipWorld(TERMS, 3, script.hashCode());
        double now = 0;
        for (int code : script) {
            injectFault(world, code);
            if (code % 16 > 11) {
                world.endEarly();
            }
            now += 0.1 + code / 1_000 % 40 / 10.0;
            world.run(now);
        }
        assertNull(
                world.broken(), () -> world.broken() + "\n" + world.timeline().draw());
    }

    /** Checks the checker: it reports two owners if the clocks drift by more than the margin. */
    @Test
    void clockDriftAboveTheMarginCausesTwoOwners() {
        TreeSet<String> breaks = new TreeSet<>();
        for (int seed = 0; seed < 50; seed++) {
            OwnershipWorld world = new OwnershipWorld(TERMS, 3, seed, 0.6);
            world.run(3);
            world.cut(world.owner().isEmpty() ? "a" : world.owner(), true);
            world.run(15);
            breaks.add(String.valueOf(world.broken()).replaceAll(".* s: two owners.*", "two owners"));
        }
        assertTrue(breaks.contains("two owners"), "only " + breaks);
    }

    private static void assertTimeline(String name, OwnershipWorld world) throws Exception {
        assertNull(world.broken());
        assertEquals(
                Files.readString(Path.of("src/test/resources/timelines", name + ".txt")),
                world.timeline().draw());
    }

    @Test
    void ownerSuspendedPastItsLeaseDoesNotActOnResume() throws Exception {
        OwnershipWorld world = new OwnershipWorld(TERMS, 3, 1);
        world.run(2);
        String first = world.owner();
        world.stop(first);
        world.run(12);
        assertNotEquals(first, world.owner());
        world.go(first);
        world.run(14);
        assertTimeline("stopped-owner", world);
    }

    @Test
    void disconnectedOwnerIsUncertainBeforeTheNextOwns() throws Exception {
        OwnershipWorld world = new OwnershipWorld(TERMS, 2, 2);
        world.run(2);
        String first = world.owner();
        world.cut(first, true);
        world.run(10);
        world.cut(first, false);
        world.run(12);
        assertTimeline("cut-owner", world);
    }

    @Test
    void ownerKeepsItsTokenOverAnOutageOfTheStore() throws Exception {
        OwnershipWorld world = new OwnershipWorld(TERMS, 2, 3);
        world.run(2);
        world.storeDown(true);
        world.run(20);
        assertEquals("", world.owner(), "the holding is uncertain");
        world.storeDown(false);
        world.run(24);
        assertTimeline("store-down", world);
    }
}
