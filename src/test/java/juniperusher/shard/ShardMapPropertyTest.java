package juniperusher.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Applies random scripts of steps to a map, and compares it with a model that stores the owner of each destination
 * separately. jqwik prints the seed and shrinks a failing script.
 */
class ShardMapPropertyTest {
    private static final String SEED = "20261202";
    private static final int FROM = -20;
    private static final int TO = 60;
    private static final int NORTH_END = 30;
    private static final String[] RELAY_NAMES = {"a", "b", "c", "d", "e"};

    private final ShardMapCodec codec = new ShardMapCodec();

    /** The owner of each destination, and the epoch of its last move. */
    private static final class Model {
        private final String[] owners = new String[TO - FROM];
        private final long[] movedAt = new long[TO - FROM];

        Model copy() {
            Model copy = new Model();
            System.arraycopy(owners, 0, copy.owners, 0, owners.length);
            System.arraycopy(movedAt, 0, copy.movedAt, 0, movedAt.length);
            return copy;
        }

        void setOwner(ShardRange range, String owner, long epoch) {
            Arrays.fill(owners, range.from() - FROM, range.to() - FROM, owner);
            Arrays.fill(movedAt, range.from() - FROM, range.to() - FROM, epoch);
        }

        void check(ShardMap map) {
            for (int destination = FROM; destination < TO; destination++) {
                assertEquals(owners[destination - FROM], map.ownerOf(destination));
                assertTrue(
                        map.movedAt(destination) >= movedAt[destination - FROM],
                        "the map reports an earlier epoch than that of the last move");
            }
        }
    }

    private static RelayInfo relay(int number, int code) {
        String region = number % 2 == 0 ? "north" : "south";
        return new RelayInfo(RELAY_NAMES[number], region, region + code % 3, 1 + code % 4);
    }

    private static ShardMap firstMap() {
        return ShardMap.of(
                0,
                FROM,
                TO,
                List.of(relay(0, 0), relay(1, 1), relay(2, 2)),
                List.of(
                        ShardRange.unowned(FROM, NORTH_END, "north", 0),
                        ShardRange.unowned(NORTH_END, TO, "south", 0)));
    }

    /** Returns the step that the number encodes. Many of these steps cannot be applied to the map. */
    private static ShardMapStep stepForCode(ShardMap map, int code) {
        ShardRange range = map.ranges().get(code / 10 % map.rangeCount());
        int number = code / 1_000 % RELAY_NAMES.length;
        return switch (code % 10) {
            case 0, 1, 2 -> new ShardMapStep.Move(range.from(), RELAY_NAMES[number]);
            case 3, 4, 5 -> new ShardMapStep.Split(range.from(), range.from() + code / 1_000 % 20);
            case 6 -> new ShardMapStep.Merge(range.from());
            case 7 -> new ShardMapStep.Release(range.from());
            case 8 -> new ShardMapStep.PutRelay(relay(number, code / 10_000));
            default -> new ShardMapStep.RemoveRelay(RELAY_NAMES[number]);
        };
    }

    private static void applyToModel(Model model, ShardMap before, ShardMapStep step, long epoch) {
        if (step instanceof ShardMapStep.Move move) {
            model.setOwner(before.rangeOf(move.from()), move.owner(), epoch);
        } else if (step instanceof ShardMapStep.Release release) {
            model.setOwner(before.rangeOf(release.from()), null, epoch);
        }
    }

    private static void assertCovered(ShardMap map) {
        int next = FROM;
        for (ShardRange range : map.ranges()) {
            assertEquals(next, range.from(), "the ranges have a gap or overlap");
            assertTrue(range.size() > 0);
            assertTrue(range.movedAt() <= map.epoch());
            assertEquals(range.from() < NORTH_END ? "north" : "south", range.region());
            if (range.isOwned()) {
                RelayInfo owner = map.relay(range.owner());
                assertEquals(range.region(), owner.region());
                assertEquals(owner.zone(), range.zone());
            }
            next = range.to();
        }
        assertEquals(TO, next);
        long owned = map.relays().stream()
                .flatMap(relay -> map.rangesOwnedBy(relay.name()).stream())
                .mapToLong(ShardRange::size)
                .sum();
        long unowned = map.unownedRanges().stream().mapToLong(ShardRange::size).sum();
        assertEquals(TO - FROM, owned + unowned, "each destination is in exactly one listed range");
    }

    /** Applies the script and returns the maps of all epochs, each of them checked against the model. */
    private static List<ShardMap> applyScript(List<Integer> script) {
        List<ShardMap> maps = new ArrayList<>(List.of(firstMap()));
        Model model = new Model();
        for (int code : script) {
            ShardMap before = maps.get(maps.size() - 1);
            ShardMapStep step = stepForCode(before, code);
            ShardMap copy = ShardMap.of(before.epoch(), FROM, TO, before.relays(), before.ranges());
            Model next = model.copy();
            try {
                ShardMap after = before.withSteps(step);
                applyToModel(next, before, step, after.epoch());
                assertEquals(before.epoch() + 1, after.epoch(), "each batch of steps increases the epoch by one");
                maps.add(after);
                model = next;
            } catch (InvalidStepException refused) {
                assertTrue(refused.getMessage().startsWith(step.toString())
                        || refused.getMessage().startsWith("the steps leave no valid map"));
            }
            assertEquals(copy, before, "the base map must not change");
            ShardMap last = maps.get(maps.size() - 1);
            assertCovered(last);
            model.check(last);
        }
        return maps;
    }

    @Property(tries = 1_000, seed = SEED)
    void everyEpochCoversTheSpaceWithAtMostOneOwnerEach(
            @ForAll @Size(max = 60) List<@IntRange(max = 99_999) Integer> script) {
        applyScript(script);
    }

    @Property(tries = 500, seed = SEED)
    void everySnapshotAndDeltaDecodesToItsMap(
            @ForAll @Size(max = 40) List<@IntRange(max = 99_999) Integer> script,
            @ForAll @IntRange(max = 999) int pick) {
        List<ShardMap> maps = applyScript(script);
        for (ShardMap map : maps) {
            ShardMap decoded = codec.decode(codec.encode(map));
            assertEquals(map, decoded);
            assertEquals(map.digest(), decoded.digest());
        }
        ShardMap base = maps.get(pick % maps.size());
        for (ShardMap result : maps) {
            if (result.epoch() > base.epoch()) {
                byte[] delta = codec.encodeDelta(base, result);
                assertEquals(result, codec.apply(base, delta));
                assertThrows(WrongBaseException.class, () -> codec.apply(result, delta), "twice");
            }
        }
    }

    /**
     * Steps that are applied as one batch must yield the same relays, ranges and owners as the same steps applied one
     * by one, but increase the epoch only by one.
     */
    @Property(tries = 500, seed = SEED)
    void batchYieldsTheSameOwnersAsItsStepsOneByOne(
            @ForAll @Size(max = 30) List<@IntRange(max = 99_999) Integer> script) {
        ShardMap oneByOne = firstMap();
        List<ShardMapStep> steps = new ArrayList<>();
        for (int code : script) {
            ShardMapStep step = stepForCode(oneByOne, code);
            try {
                oneByOne = oneByOne.withSteps(step);
                steps.add(step);
            } catch (InvalidStepException refused) {
                assertTrue(oneByOne.epoch() == steps.size());
            }
        }
        if (!steps.isEmpty()) {
            ShardMap batch = firstMap().withSteps(steps);
            assertEquals(1, batch.epoch());
            assertEquals(oneByOne.relays(), batch.relays());
            assertEquals(oneByOne.rangeCount(), batch.rangeCount());
            for (int i = 0; i < batch.rangeCount(); i++) {
                ShardRange expected = oneByOne.ranges().get(i);
                ShardRange range = batch.ranges().get(i);
                assertEquals(expected.from(), range.from());
                assertTrue(Objects.equals(expected.owner(), range.owner()));
                assertEquals(expected.movedAt() > 0 ? 1 : 0, range.movedAt());
            }
        }
    }
}
