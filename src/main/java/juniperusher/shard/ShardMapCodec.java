package juniperusher.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes {@link ShardMap} (as a snapshot) and {@link ShardMapDelta}. Both binary forms consist of a magic
 * number, the kind, the version, the content with numbers of variable length, and a CRC32C checksum of all bytes before
 * it. Equal maps are encoded to equal bytes. Decoding throws {@link DamagedMapException} for input that is truncated,
 * damaged, invalid or of another version. Stateless; safe to share between threads.
 */
public final class ShardMapCodec {
    /** Encodes a whole map. */
    public byte[] encode(ShardMap map) {
        ByteWriter writer = BinaryFrame.begin(BinaryFrame.SNAPSHOT);
        writer.putVarint(map.epoch());
        writer.putZigZagVarint(map.from());
        RelayTable table = map.table();
        putTexts(writer, table.regions());
        putRelays(writer, table.relays(), table);
        RangeColumns columns = map.columns();
        writer.putVarint(columns.size());
        for (int i = 0; i < columns.size(); i++) {
            writer.putVarint((long) map.rangeEnd(i) - columns.start(i));
            putOwnerAndMove(writer, columns, i, map.epoch());
        }
        return BinaryFrame.finish(writer);
    }

    /**
     * Decodes the result of {@link #encode(ShardMap)}.
     *
     * @throws DamagedMapException if the bytes are not a valid snapshot
     */
    public ShardMap decode(byte[] bytes) {
        ByteReader reader = BinaryFrame.contentReader(bytes, BinaryFrame.SNAPSHOT);
        try {
            ShardMap map = readMap(reader);
            reader.expectEnd();
            return map;
        } catch (InvalidMapException invalid) {
            throw new DamagedMapException("the snapshot contains no valid map", invalid);
        }
    }

    private static ShardMap readMap(ByteReader reader) {
        long epoch = reader.getVarint();
        int from = checkedInt(reader.getZigZagVarint());
        List<String> regions = readTexts(reader, "regions");
        List<RelayInfo> relays = readRelays(reader, regions);
        RelayTable table = new RelayTable(relays, regions);
        if (!table.relays().equals(relays) || !table.regions().equals(regions)) {
            throw new DamagedMapException("relays and regions were expected in the order of their names");
        }
        int count = reader.getCount("ranges");
        RangeColumns columns = new RangeColumns(count);
        int start = from;
        for (int i = 0; i < count; i++) {
            long length = reader.getVarint();
            readOwnerAndMove(reader, start, epoch, table, columns);
            start = checkedInt(start + length);
        }
        return new ShardMap(epoch, from, start, table, columns);
    }

    /** Encodes the delta from {@code base} to {@code result}, see {@link ShardMapDelta#between}. */
    public byte[] encodeDelta(ShardMap base, ShardMap result) {
        return encode(ShardMapDelta.between(base, result));
    }

    /** Encodes a delta. */
    public byte[] encode(ShardMapDelta delta) {
        ByteWriter writer = BinaryFrame.begin(BinaryFrame.DELTA);
        writer.putVarint(delta.fromEpoch());
        writer.putVarint(delta.toEpoch() - delta.fromEpoch());
        writer.putFixed(delta.fromDigest(), Long.BYTES);
        writer.putFixed(delta.toDigest(), Long.BYTES);
        putTexts(writer, delta.resultRegions() == null ? List.of() : delta.resultRegions());
        putTexts(writer, delta.removedRelays());
        putRelaysWithRegion(writer, delta.changedRelays());
        writer.putVarint(delta.edits().size());
        int nextAddedRange = 0;
        for (ShardMapDelta.Edit edit : delta.edits()) {
            putEdit(writer, delta, edit, nextAddedRange);
            nextAddedRange += edit.addedCount();
        }
        return BinaryFrame.finish(writer);
    }

    /**
     * Writes the number of kept ranges, shifted left by one bit. The lowest bit is set if the edit replaces one range
     * by one; otherwise the numbers of removed and added ranges follow. Then writes the added ranges: the length of the
     * previous range except for the first one, and the owner.
     */
    private static void putEdit(ByteWriter writer, ShardMapDelta delta, ShardMapDelta.Edit edit, int firstAddedRange) {
        boolean replacesOneByOne = edit.removedCount() == 1 && edit.addedCount() == 1;
        writer.putVarint((long) edit.keptCount() << 1 | (replacesOneByOne ? 1 : 0));
        if (!replacesOneByOne) {
            writer.putVarint(edit.removedCount());
            writer.putVarint(edit.addedCount());
        }
        RangeColumns added = delta.addedRanges();
        for (int i = firstAddedRange; i < firstAddedRange + edit.addedCount(); i++) {
            if (i > firstAddedRange) {
                writer.putVarint((long) added.start(i) - added.start(i - 1));
            }
            putOwnerAndMove(writer, added, i, delta.toEpoch());
        }
    }

    /**
     * Decodes the result of {@link #encode(ShardMapDelta)}.
     *
     * @throws DamagedMapException if the bytes are not a valid delta
     */
    public ShardMapDelta decodeDelta(byte[] bytes) {
        ByteReader reader = BinaryFrame.contentReader(bytes, BinaryFrame.DELTA);
        try {
            ShardMapDelta delta = readDelta(reader);
            reader.expectEnd();
            return delta;
        } catch (InvalidMapException invalid) {
            throw new DamagedMapException("the delta is invalid", invalid);
        }
    }

    private static ShardMapDelta readDelta(ByteReader reader) {
        long fromEpoch = reader.getVarint();
        long toEpoch = fromEpoch + reader.getVarint();
        if (fromEpoch < 0 || toEpoch <= fromEpoch) {
            throw new DamagedMapException("a later epoch than " + fromEpoch + " was expected, got " + toEpoch);
        }
        long fromDigest = reader.getFixed(Long.BYTES);
        long toDigest = reader.getFixed(Long.BYTES);
        List<String> regions = readTexts(reader, "regions");
        List<String> removedRelays = readTexts(reader, "relays");
        List<RelayInfo> changedRelays = readRelaysWithRegion(reader);
        int count = reader.getCount("edits");
        List<ShardMapDelta.Edit> edits = new ArrayList<>(count);
        RangeColumns added = new RangeColumns(count);
        for (int i = 0; i < count; i++) {
            edits.add(readEdit(reader, toEpoch, added));
        }
        added.trim();
        return new ShardMapDelta(
                fromEpoch,
                toEpoch,
                fromDigest,
                toDigest,
                removedRelays,
                changedRelays,
                regions.isEmpty() ? null : regions,
                edits,
                added);
    }

    private static ShardMapDelta.Edit readEdit(ByteReader reader, long toEpoch, RangeColumns added) {
        long tag = reader.getVarint();
        int keptCount = checkedInt(tag >>> 1);
        boolean replacesOneByOne = (tag & 1) == 1;
        int removedCount = replacesOneByOne ? 1 : checkedInt(reader.getVarint());
        int addedCount = replacesOneByOne ? 1 : reader.getCount("ranges");
        if (removedCount < 1 || addedCount < 1) {
            throw new DamagedMapException("an edit replaces " + removedCount + " ranges by " + addedCount);
        }
        int start = 0;
        for (int i = 0; i < addedCount; i++) {
            if (i > 0) {
                start = checkedInt(start + reader.getVarint());
            }
            int owner = reader.getBounded(Integer.MAX_VALUE, "an owner") - 1;
            int region = owner == RangeColumns.UNOWNED ? reader.getBounded(Short.MAX_VALUE, "a region") : 0;
            added.add(start, owner, region, toEpoch - reader.getVarint());
        }
        return new ShardMapDelta.Edit(keptCount, removedCount, addedCount);
    }

    /**
     * Decodes the delta, applies it to the base map and returns the result map.
     *
     * @throws DamagedMapException if the bytes are not a valid delta, or the result is not the map that the delta was
     *     computed for
     * @throws WrongBaseException if the delta was computed from another map than {@code base}
     */
    public ShardMap apply(ShardMap base, byte[] delta) {
        return decodeDelta(delta).applyTo(base);
    }

    /**
     * Writes the owner's index plus one, or 0 and the region's index if the range is unowned; then the number of epochs
     * between the range's last move and {@code epoch}.
     */
    private static void putOwnerAndMove(ByteWriter writer, RangeColumns columns, int index, long epoch) {
        int owner = columns.owner(index);
        writer.putVarint(owner + 1L);
        if (owner == RangeColumns.UNOWNED) {
            writer.putVarint(columns.region(index));
        }
        writer.putVarint(epoch - columns.movedAt(index));
    }

    private static void readOwnerAndMove(
            ByteReader reader, int start, long epoch, RelayTable table, RangeColumns columns) {
        int owner = reader.getBounded(table.size(), "an owner") - 1;
        int region = owner == RangeColumns.UNOWNED
                ? reader.getBounded(table.regionCount(), "a region")
                : table.regionOfRelay(owner);
        columns.add(start, owner, region, epoch - reader.getVarint());
    }

    /**
     * Writes the relays in compressed form. Each name is written as the length of the prefix that it shares with the
     * previous name, and the rest. A zone is written in full when it first occurs, and as its number after that.
     */
    private static void putRelays(ByteWriter writer, List<RelayInfo> relays, RelayTable table) {
        writer.putVarint(relays.size());
        Map<String, Integer> zones = new HashMap<>();
        String previousName = "";
        for (RelayInfo relay : relays) {
            int prefixLength = commonPrefixLength(previousName, relay.name());
            writer.putVarint(prefixLength);
            writer.putText(relay.name().substring(prefixLength));
            writer.putVarint(table.regionIndex(relay.region()));
            putZone(writer, zones, relay.zone());
            writer.putVarint(relay.weight());
            previousName = relay.name();
        }
    }

    private static void putZone(ByteWriter writer, Map<String, Integer> zones, String zone) {
        Integer index = zones.get(zone);
        if (index == null) {
            writer.putVarint(zones.size());
            writer.putText(zone);
            zones.put(zone, zones.size());
        } else {
            writer.putVarint(index);
        }
    }

    private static List<RelayInfo> readRelays(ByteReader reader, List<String> regions) {
        int count = reader.getCount("relays");
        List<RelayInfo> relays = new ArrayList<>(count);
        List<String> zones = new ArrayList<>();
        String previousName = "";
        for (int i = 0; i < count; i++) {
            int prefixLength = reader.getBounded(previousName.length(), "the length of a shared prefix");
            String name = previousName.substring(0, prefixLength) + reader.getText();
            String region = regions.get(reader.getBounded(regions.size() - 1, "a region"));
            String zone = readZone(reader, zones);
            relays.add(new RelayInfo(name, region, zone, checkedInt(reader.getVarint())));
            previousName = name;
        }
        return relays;
    }

    private static String readZone(ByteReader reader, List<String> zones) {
        int index = reader.getBounded(zones.size(), "a zone");
        if (index == zones.size()) {
            zones.add(reader.getText());
        }
        return zones.get(index);
    }

    private static void putRelaysWithRegion(ByteWriter writer, List<RelayInfo> relays) {
        writer.putVarint(relays.size());
        for (RelayInfo relay : relays) {
            writer.putText(relay.name());
            writer.putText(relay.region());
            writer.putText(relay.zone());
            writer.putVarint(relay.weight());
        }
    }

    private static List<RelayInfo> readRelaysWithRegion(ByteReader reader) {
        int count = reader.getCount("relays");
        List<RelayInfo> relays = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            relays.add(new RelayInfo(
                    reader.getText(), reader.getText(), reader.getText(), checkedInt(reader.getVarint())));
        }
        return relays;
    }

    private static void putTexts(ByteWriter writer, List<String> texts) {
        writer.putVarint(texts.size());
        texts.forEach(writer::putText);
    }

    private static List<String> readTexts(ByteReader reader, String elementName) {
        int count = reader.getCount(elementName);
        List<String> texts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            texts.add(reader.getText());
        }
        return texts;
    }

    private static int commonPrefixLength(String one, String other) {
        int maxLength = Math.min(one.length(), other.length());
        int length = 0;
        while (length < maxLength && one.charAt(length) == other.charAt(length)) {
            length++;
        }
        return length;
    }

    /** Converts the value to an int; throws {@link DamagedMapException} if it does not fit. */
    private static int checkedInt(long value) {
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new DamagedMapException("a number of 32 bits was expected, got " + value);
        }
        return (int) value;
    }
}
