package juniperusher.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the invariants of the map, its steps, and the input that it refuses. */
class ShardMapTest {
    static final RelayInfo A = new RelayInfo("a", "north", "n1", 1);
    static final RelayInfo B = new RelayInfo("b", "north", "n2", 2);
    static final RelayInfo C = new RelayInfo("c", "south", "s1", 1);
    static final List<RelayInfo> RELAYS = List.of(C, A, B);

    /**
     * A map of epoch 7. In region north, relay a owns [0, 10), relay b owns [10, 30), and [30, 40) is unowned; in
     * region south, relay c owns [40, 50).
     */
    static ShardMap map() {
        return ShardMap.of(
                7,
                0,
                50,
                RELAYS,
                List.of(
                        new ShardRange(0, 10, "north", "a", "n1", 3),
                        new ShardRange(10, 30, "north", "b", "n2", 7),
                        ShardRange.unowned(30, 40, "north", 0),
                        new ShardRange(40, 50, "south", "c", "s1", 1)));
    }

    private static void assertStepsRefused(String message, ShardMapStep... steps) {
        ShardMap map = map();
        InvalidStepException refusal = assertThrows(InvalidStepException.class, () -> map.withSteps(steps));
        assertTrue(refusal.getMessage().contains(message), refusal.getMessage());
        assertFalse(refusal.getMessage().contains("\n"));
        assertEquals(map(), map, "the map must not change");
    }

    private static void assertInvalidMap(String message, int to, ShardRange... ranges) {
        InvalidMapException refusal =
                assertThrows(InvalidMapException.class, () -> ShardMap.of(7, 0, to, RELAYS, List.of(ranges)));
        assertTrue(refusal.getMessage().contains(message), refusal.getMessage());
    }

    @Test
    void lookupFindsRangeAndOwnerOfEachDestination() {
        ShardMap map = map();
        assertEquals(new ShardRange(0, 10, "north", "a", "n1", 3), map.rangeOf(0));
        assertEquals("a", map.ownerOf(9));
        assertEquals("b", map.ownerOf(10));
        assertNull(map.ownerOf(39));
        assertEquals(ShardRange.unowned(30, 40, "north", 0), map.rangeOf(30));
        assertEquals("c", map.ownerOf(49));
        assertEquals(7, map.movedAt(29));
        assertThrows(IndexOutOfBoundsException.class, () -> map.rangeOf(-1));
        assertThrows(IndexOutOfBoundsException.class, () -> map.ownerOf(50));
    }

    @Test
    void relaysAndRangesAreListedInOrder() {
        ShardMap map = map();
        assertEquals(List.of(A, B, C), map.relays());
        assertEquals(List.of("north", "south"), map.regions());
        assertEquals(4, map.ranges().size());
        assertEquals(List.of(map.rangeOf(10)), map.rangesOwnedBy("b"));
        assertEquals(List.of(map.rangeOf(30)), map.unownedRanges());
        assertEquals(List.of(), map.rangesOwnedBy("nobody"));
        assertSame(map.relay("b"), map.relays().get(1));
        assertNull(map.relay("nobody"));
    }

    @Test
    void moveSetsOwnerAndEpochOfTheRange() {
        ShardMap next = map().withSteps(new ShardMapStep.Move(30, "a"));
        assertEquals(8, next.epoch());
        assertEquals(new ShardRange(30, 40, "north", "a", "n1", 8), next.rangeOf(35));
        assertEquals(7, next.movedAt(10), "the other ranges have not moved");
    }

    @Test
    void splitKeepsMovedAtAndMergeTakesTheLaterMovedAt() {
        ShardMap split = map().withSteps(new ShardMapStep.Split(10, 20));
        assertEquals(new ShardRange(20, 30, "north", "b", "n2", 7), split.rangeOf(20));
        ShardMap moved = split.withSteps(new ShardMapStep.Move(20, "a"), new ShardMapStep.Move(10, "a"));
        ShardMap merged = moved.withSteps(new ShardMapStep.Merge(10), new ShardMapStep.Merge(0));
        assertEquals(new ShardRange(0, 30, "north", "a", "n1", 9), merged.rangeOf(0));
        assertEquals(3, merged.rangeCount());
    }

    @Test
    void stepsOfOneEpochApplyInOrder() {
        ShardMap next = map().withSteps(
                        new ShardMapStep.PutRelay(new RelayInfo("d", "north", "n1", 1)),
                        new ShardMapStep.Split(10, 20),
                        new ShardMapStep.Split(20, 25),
                        new ShardMapStep.Move(20, "d"),
                        new ShardMapStep.Release(0),
                        new ShardMapStep.RemoveRelay("a"));
        assertEquals(8, next.epoch());
        assertEquals("d", next.ownerOf(24));
        assertEquals("b", next.ownerOf(25));
        assertNull(next.ownerOf(0));
        assertNull(next.relay("a"));
        ShardMap mergedAndSplit = map().withSteps(
                        new ShardMapStep.Split(10, 20), new ShardMapStep.Merge(10), new ShardMapStep.Split(10, 15));
        assertEquals(15, mergedAndSplit.rangeOf(20).from());
    }

    @Test
    void relayMayChangeZoneAndWeightWhileItOwnsRanges() {
        ShardMap next = map().withSteps(new ShardMapStep.PutRelay(new RelayInfo("b", "north", "n3", 9)));
        assertEquals(new ShardRange(10, 30, "north", "b", "n3", 7), next.rangeOf(10));
    }

    @Test
    void invalidStepRefusesTheWholeBatch() {
        assertStepsRefused("no range begins at 5", new ShardMapStep.Move(5, "b"));
        assertStepsRefused("no range begins at 50", new ShardMapStep.Move(50, "b"));
        assertStepsRefused(
                "no range begins at 20",
                new ShardMapStep.Split(10, 20),
                new ShardMapStep.Merge(10),
                new ShardMapStep.Release(20));
        assertStepsRefused("no relay of that name", new ShardMapStep.Move(0, "z"));
        assertStepsRefused("the range is of region 'north', the relay of 'south'", new ShardMapStep.Move(0, "c"));
        assertStepsRefused("owns the range already", new ShardMapStep.Move(0, "a"));
        assertStepsRefused("nobody owns the range", new ShardMapStep.Release(30));
        assertStepsRefused("inside of the range", new ShardMapStep.Split(0, 0));
        assertStepsRefused("inside of the range", new ShardMapStep.Split(0, 10));
        assertStepsRefused("another owner or region", new ShardMapStep.Merge(0));
        assertStepsRefused("another owner or region", new ShardMapStep.Release(40), new ShardMapStep.Merge(30));
        assertStepsRefused("no range behind it", new ShardMapStep.Merge(40));
        assertStepsRefused("no relay of that name", new ShardMapStep.RemoveRelay("z"));
        assertStepsRefused("is removed and owns the range from 0 on", new ShardMapStep.RemoveRelay("a"));
        assertStepsRefused(
                "of region 'east' owns the range", new ShardMapStep.PutRelay(new RelayInfo("a", "east", "e", 1)));
        assertStepsRefused("at least one step");
        assertStepsRefused("no range begins at 5", new ShardMapStep.Move(30, "a"), new ShardMapStep.Move(5, "b"));
    }

    @Test
    void gapsOverlapsAndInvalidOwnersAreRefused() {
        ShardRange first = new ShardRange(0, 10, "north", "a", "n1", 3);
        assertInvalidMap("from 10 on was expected", 20, first, new ShardRange(11, 20, "north", "a", "n1", 3));
        assertInvalidMap("from 10 on was expected", 20, first, new ShardRange(9, 20, "north", "a", "n1", 3));
        assertInvalidMap("from 10 on was expected", 20, first, new ShardRange(10, 10, "north", "a", "n1", 3));
        assertInvalidMap("the ranges end at 10, the space at 20", 20, first);
        assertInvalidMap("ranges from 0 to 0 were expected", 0);
        assertInvalidMap("no known relay", 10, new ShardRange(0, 10, "north", "z", "n1", 3));
        assertInvalidMap("of region 'south' owns", 10, new ShardRange(0, 10, "north", "c", "s1", 3));
        assertInvalidMap("zone 'n2' is not that of the owner", 10, new ShardRange(0, 10, "north", "a", "n2", 3));
        assertInvalidMap("moved at epoch 8", 10, new ShardRange(0, 10, "north", "a", "n1", 8));
        assertInvalidMap("moved at epoch -1", 10, new ShardRange(0, 10, "north", "a", "n1", -1));
        assertInvalidMap("visible characters", 10, ShardRange.unowned(0, 10, "", 0));
    }

    @Test
    void invalidRelaysAreRefused() {
        assertThrows(InvalidMapException.class, () -> new RelayInfo("", "north", "n1", 1));
        assertThrows(InvalidMapException.class, () -> new RelayInfo("a b", "north", "n1", 1));
        assertThrows(InvalidMapException.class, () -> new RelayInfo("a\ud800", "north", "n1", 1));
        assertThrows(InvalidMapException.class, () -> new RelayInfo("a", "north", "n1", 0));
        assertThrows(
                InvalidMapException.class,
                () -> ShardMap.of(1, 0, 1, List.of(A, A), List.of(ShardRange.unowned(0, 1, "north", 0))));
    }

    @Test
    void digestsOfDifferentMapsOfOneEpochDiffer() {
        ShardMap one = map().withSteps(new ShardMapStep.Move(30, "a"));
        ShardMap other = map().withSteps(new ShardMapStep.Move(30, "b"));
        assertEquals(one.epoch(), other.epoch());
        assertFalse(one.digest() == other.digest());
        assertEquals(
                one.digest(), map().withSteps(new ShardMapStep.Move(30, "a")).digest());
    }
}
