package juniperusher.shard;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Tests the binary forms: round trips, damage at every byte, and deltas that are applied to the wrong map. */
class ShardMapCodecTest {
    private static final long SEED = 20261202;
    private static final int FORGERY_COUNT = 20_000;

    private final ShardMapCodec codec = new ShardMapCodec();
    private final ShardMap base = ShardMapTest.map();
    private final ShardMap next = base.withSteps(
            new ShardMapStep.PutRelay(new RelayInfo("d", "west", "w1", 3)),
            new ShardMapStep.Split(10, 20),
            new ShardMapStep.Move(20, "a"),
            new ShardMapStep.Release(40),
            new ShardMapStep.RemoveRelay("c"));

    /** Returns a copy of the bytes in which the checksum matches the content. */
    private static byte[] withValidChecksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, bytes.length - 4);
        byte[] sealed = bytes.clone();
        for (int i = 0; i < 4; i++) {
            sealed[bytes.length - 4 + i] = (byte) (checksum.getValue() >>> (24 - 8 * i));
        }
        return sealed;
    }

    private static void assertDamaged(String message, Function<byte[], ?> decoding, byte[] bytes) {
        DamagedMapException refusal = assertThrows(DamagedMapException.class, () -> decoding.apply(bytes));
        assertTrue(refusal.getMessage().contains(message), refusal.getMessage());
    }

    @Test
    void decodedSnapshotIsEqualAndEncodesToTheSameBytes() {
        byte[] bytes = codec.encode(next);
        ShardMap decoded = codec.decode(bytes);
        assertEquals(next, decoded);
        assertEquals(next.digest(), decoded.digest());
        assertArrayEquals(bytes, codec.encode(decoded));
        assertEquals(7, codec.decode(codec.encode(base)).epoch());
    }

    @Test
    void deltaAppliedToItsBaseYieldsItsResult() {
        byte[] bytes = codec.encodeDelta(base, next);
        assertEquals(next, codec.apply(base, bytes));
        assertEquals(next.relays(), codec.apply(base, bytes).relays());
        ShardMapDelta delta = codec.decodeDelta(bytes);
        assertEquals(7, delta.fromEpoch());
        assertEquals(8, delta.toEpoch());
        assertEquals(3, delta.changedRangeCount());
        assertArrayEquals(bytes, codec.encode(delta));
    }

    @Test
    void deltaMaySpanSeveralEpochs() {
        ShardMap third = next.withSteps(
                        new ShardMapStep.Move(20, "b"), new ShardMapStep.Merge(10), new ShardMapStep.Split(0, 5))
                .withSteps(new ShardMapStep.Move(5, "b"));
        assertEquals(third, codec.apply(base, codec.encodeDelta(base, third)));
        assertEquals(third, codec.apply(next, codec.encodeDelta(next, third)));
    }

    @Test
    void truncationAtEveryByteAndEveryFlippedBitAreRefused() {
        byte[] snapshot = codec.encode(next);
        byte[] delta = codec.encodeDelta(base, next);
        for (int length = 0; length < snapshot.length; length++) {
            assertDamaged("", codec::decode, Arrays.copyOf(snapshot, length));
        }
        for (int length = 0; length < delta.length; length++) {
            assertDamaged("", cut -> codec.apply(base, cut), Arrays.copyOf(delta, length));
        }
        for (int bit = 0; bit < 8 * snapshot.length; bit++) {
            byte[] flipped = snapshot.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertDamaged("", codec::decode, flipped);
        }
        for (int bit = 0; bit < 8 * delta.length; bit++) {
            byte[] flipped = delta.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertDamaged("", broken -> codec.apply(base, broken), flipped);
        }
    }

    @Test
    void trailingBytesAreRefused() {
        byte[] snapshot = codec.encode(next);
        assertDamaged("left over", codec::decode, withValidChecksum(Arrays.copyOf(snapshot, snapshot.length + 1)));
        byte[] delta = codec.encodeDelta(base, next);
        assertDamaged("left over", codec::decodeDelta, withValidChecksum(Arrays.copyOf(delta, delta.length + 1)));
    }

    /**
     * Guards against damage that the checksum does not detect. Such input must be refused by one of the expected
     * exceptions or decode to a valid map; any other exception fails the test.
     */
    @Test
    void changedBytesWithAValidChecksumAreRefusedOrDecodeToAValidMap() {
        SplittableRandom random = new SplittableRandom(SEED);
        byte[] snapshot = codec.encode(next);
        byte[] delta = codec.encodeDelta(base, next);
        int refused = 0;
        for (int i = 0; i < FORGERY_COUNT; i++) {
            byte[] forged = (i % 2 == 0 ? snapshot : delta).clone();
            for (int changes = random.nextInt(1, 4); changes > 0; changes--) {
                forged[random.nextInt(4, forged.length - 4)] = (byte) random.nextInt(256);
            }
            try {
                if (i % 2 == 0) {
                    ShardMap decoded = codec.decode(withValidChecksum(forged));
                    assertEquals(decoded, codec.decode(codec.encode(decoded)));
                } else {
                    assertEquals(next, codec.apply(base, withValidChecksum(forged)));
                }
            } catch (DamagedMapException | WrongBaseException expected) {
                refused++;
            }
        }
        assertTrue(refused > FORGERY_COUNT / 2, "seed " + SEED + ", refused " + refused);
    }

    @Test
    void errorsNameTheUnexpectedVersionOrKind() {
        byte[] newer = codec.encode(next);
        newer[3] = 2;
        assertDamaged("version 1 was expected, got 2", codec::decode, withValidChecksum(newer));
        assertDamaged("kind 'S' was expected, got 'D'", codec::decode, codec.encodeDelta(base, next));
        assertDamaged("kind 'D' was expected, got 'S'", codec::decodeDelta, codec.encode(base));
        assertDamaged("not a shard map", codec::decode, withValidChecksum(new byte[40]));
        assertDamaged("at least 8 bytes", codec::decode, new byte[0]);
    }

    @Test
    void deltaIsRefusedWhenAppliedTwiceOutOfOrderOrToAnotherEpoch() {
        ShardMap third = next.withSteps(new ShardMapStep.Move(0, "b"));
        byte[] first = codec.encodeDelta(base, next);
        byte[] second = codec.encodeDelta(next, third);
        WrongBaseException early = assertThrows(WrongBaseException.class, () -> codec.apply(base, second));
        assertEquals(8, early.expectedEpoch());
        assertEquals(7, early.actualEpoch());
        ShardMap applied = codec.apply(base, first);
        assertThrows(WrongBaseException.class, () -> codec.apply(applied, first), "twice");
        assertEquals(third, codec.apply(applied, second));
        assertThrows(WrongBaseException.class, () -> codec.apply(third, first), "late, after a newer epoch");
    }

    @Test
    void deltaForAnotherMapOfTheSameEpochIsRefused() {
        ShardMap other = base.withSteps(new ShardMapStep.Move(0, "b"));
        byte[] delta = codec.encodeDelta(next, next.withSteps(new ShardMapStep.Release(0)));
        WrongBaseException refusal = assertThrows(WrongBaseException.class, () -> codec.apply(other, delta));
        assertEquals("the delta was made from another map of epoch 8", refusal.getMessage());
    }

    /**
     * Two control processes may have continued independently from the same epoch. A relay that has the map of one of
     * them must be able to change to the map of the other.
     */
    @Test
    void deltaMayLeadToAMapNotDerivedFromItsBase() {
        ShardMap one = base.withSteps(new ShardMapStep.Move(30, "a"));
        ShardMap other = base.withSteps(new ShardMapStep.Move(30, "b")).withSteps(new ShardMapStep.Split(0, 5));
        assertEquals(other, codec.apply(one, codec.encodeDelta(one, other)));
    }

    @Test
    void spaceMayCoverTheWholeIntRange() {
        ShardMap wide = ShardMap.of(
                1,
                Integer.MIN_VALUE,
                Integer.MAX_VALUE,
                List.of(),
                List.of(ShardRange.unowned(Integer.MIN_VALUE, Integer.MAX_VALUE, "north", 0)));
        ShardMap cut = wide.withSteps(
                new ShardMapStep.Split(Integer.MIN_VALUE, -5), new ShardMapStep.Split(-5, Integer.MAX_VALUE - 1));
        assertEquals(cut, codec.decode(codec.encode(cut)));
        assertEquals(cut, codec.apply(wide, codec.encodeDelta(wide, cut)));
        assertEquals(Integer.MAX_VALUE - 1, cut.rangeOf(Integer.MAX_VALUE - 1).from());
    }

    @Test
    void deltaOverManyEpochsContainsOnlyTheFinalChanges() {
        ShardMap last = base;
        for (int epoch = 0; epoch < 30; epoch++) {
            last = last.withSteps(new ShardMapStep.Move(30, epoch % 2 == 0 ? "a" : "b"));
        }
        byte[] delta = codec.encodeDelta(base, last);
        assertEquals(last, codec.apply(base, delta));
        assertEquals(1, codec.decodeDelta(delta).changedRangeCount(), "one changed range");
    }

    @Test
    void deltaNeedsALaterEpochAndTheSameSpace() {
        assertThrows(IllegalArgumentException.class, () -> ShardMapDelta.between(next, base));
        assertThrows(IllegalArgumentException.class, () -> ShardMapDelta.between(base, base));
        ShardMap narrow = ShardMap.of(9, 0, 10, List.of(), List.of(ShardRange.unowned(0, 10, "north", 0)));
        assertThrows(IllegalArgumentException.class, () -> ShardMapDelta.between(base, narrow));
    }
}
