package juniperusher.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The binary forms of {@link ShardMap} and {@link ShardMapDelta}: a mark, the kind, a version, the content in numbers
 * of variable length, and CRC32C of it all. Equal maps have equal bytes. What is not whole, undamaged, of this version
 * and valid is refused as a whole with {@link DamagedMapException}. Without state; safe to share between threads.
 */
public final class ShardMapCodec {
    /** The whole map. */
    public byte[] encode(ShardMap map) {
        ByteWriter writer = Envelope.begin(Envelope.SNAPSHOT);
        writer.putUnsigned(map.epoch());
        writer.putSigned(map.from());
        RelayTable table = map.table();
        putTexts(writer, table.regions());
        putRelays(writer, table.list(), table);
        RangeColumns columns = map.columns();
        writer.putUnsigned(columns.size());
        for (int i = 0; i < columns.size(); i++) {
            writer.putUnsigned((long) map.end(i) - columns.start(i));
            putOwner(writer, columns, i, map.epoch());
        }
        return Envelope.seal(writer);
    }

    /**
     * The map that {@link #encode(ShardMap)} was given.
     *
     * @throws DamagedMapException where the bytes are anything else
     */
    public ShardMap decode(byte[] bytes) {
        ByteReader reader = Envelope.open(bytes, Envelope.SNAPSHOT);
        try {
            ShardMap map = readMap(reader);
            reader.expectEnd();
            return map;
        } catch (InvalidMapException broken) {
            throw new DamagedMapException("the bytes are no valid map", broken);
        }
    }

    private static ShardMap readMap(ByteReader reader) {
        long epoch = reader.getUnsigned();
        int from = readInt(reader.getSigned());
        List<String> regions = readTexts(reader, "regions");
        List<RelayInfo> relays = readRelays(reader, regions);
        RelayTable table = new RelayTable(relays, regions);
        if (!table.list().equals(relays) || !table.regions().equals(regions)) {
            throw new DamagedMapException("relays and regions were expected in the order of their names");
        }
        int count = reader.getCount("ranges");
        RangeColumns columns = new RangeColumns(count);
        int start = from;
        for (int i = 0; i < count; i++) {
            long length = reader.getUnsigned();
            readOwner(reader, start, epoch, table, columns);
            start = readInt(start + length);
        }
        return new ShardMap(epoch, from, start, table, columns);
    }

    /** What makes {@code result} of {@code base}, see {@link ShardMapDelta#between}. */
    public byte[] encodeDelta(ShardMap base, ShardMap result) {
        return encode(ShardMapDelta.between(base, result));
    }

    /** The delta. */
    public byte[] encode(ShardMapDelta delta) {
        ByteWriter writer = Envelope.begin(Envelope.DELTA);
        writer.putUnsigned(delta.fromEpoch());
        writer.putUnsigned(delta.toEpoch() - delta.fromEpoch());
        writer.putFixed(delta.fromDigest(), Long.BYTES);
        writer.putFixed(delta.toDigest(), Long.BYTES);
        putTexts(writer, delta.regions() == null ? List.of() : delta.regions());
        putTexts(writer, delta.removedRelays());
        putRelaysWithRegion(writer, delta.putRelays());
        writer.putUnsigned(delta.edits().size());
        int next = 0;
        for (ShardMapDelta.Edit edit : delta.edits()) {
            putEdit(writer, delta, edit, next);
            next += edit.added();
        }
        return Envelope.seal(writer);
    }

    private static void putEdit(ByteWriter writer, ShardMapDelta delta, ShardMapDelta.Edit edit, int first) {
        boolean inPlace = edit.dropped() == 1 && edit.added() == 1;
        writer.putUnsigned((long) edit.kept() << 1 | (inPlace ? 1 : 0));
        if (!inPlace) {
            writer.putUnsigned(edit.dropped());
            writer.putUnsigned(edit.added());
        }
        RangeColumns added = delta.added();
        for (int i = first; i < first + edit.added(); i++) {
            if (i > first) {
                writer.putUnsigned((long) added.start(i) - added.start(i - 1));
            }
            putOwner(writer, added, i, delta.toEpoch());
        }
    }

    /**
     * The delta that {@link #encode(ShardMapDelta)} was given.
     *
     * @throws DamagedMapException where the bytes are anything else
     */
    public ShardMapDelta decodeDelta(byte[] bytes) {
        ByteReader reader = Envelope.open(bytes, Envelope.DELTA);
        try {
            ShardMapDelta delta = readDelta(reader);
            reader.expectEnd();
            return delta;
        } catch (InvalidMapException broken) {
            throw new DamagedMapException("the bytes are no valid delta", broken);
        }
    }

    private static ShardMapDelta readDelta(ByteReader reader) {
        long fromEpoch = reader.getUnsigned();
        long toEpoch = fromEpoch + reader.getUnsigned();
        if (fromEpoch < 0 || toEpoch <= fromEpoch) {
            throw new DamagedMapException("a later epoch than " + fromEpoch + " was expected, got " + toEpoch);
        }
        long fromDigest = reader.getFixed(Long.BYTES);
        long toDigest = reader.getFixed(Long.BYTES);
        List<String> regions = readTexts(reader, "regions");
        List<String> removed = readTexts(reader, "relays");
        List<RelayInfo> put = readRelaysWithRegion(reader);
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
                removed,
                put,
                regions.isEmpty() ? null : regions,
                edits,
                added);
    }

    private static ShardMapDelta.Edit readEdit(ByteReader reader, long toEpoch, RangeColumns added) {
        long tag = reader.getUnsigned();
        int kept = readInt(tag >>> 1);
        boolean inPlace = (tag & 1) == 1;
        int dropped = inPlace ? 1 : readInt(reader.getUnsigned());
        int count = inPlace ? 1 : reader.getCount("ranges");
        if (dropped < 1 || count < 1) {
            throw new DamagedMapException("an edit replaces " + dropped + " ranges by " + count);
        }
        int start = 0;
        for (int i = 0; i < count; i++) {
            if (i > 0) {
                start = readInt(start + reader.getUnsigned());
            }
            int owner = reader.getUpTo(Integer.MAX_VALUE, "an owner") - 1;
            int region = owner == RangeColumns.UNOWNED ? reader.getUpTo(Short.MAX_VALUE, "a region") : 0;
            added.add(start, owner, region, toEpoch - reader.getUnsigned());
        }
        return new ShardMapDelta.Edit(kept, dropped, count);
    }

    /**
     * The map that the encoded delta makes of this one.
     *
     * @throws DamagedMapException where the bytes are no delta, or do not lead to the map that it was made for
     * @throws WrongBaseException where it was made from another map
     */
    public ShardMap apply(ShardMap base, byte[] delta) {
        return decodeDelta(delta).applyTo(base);
    }

    /** The owner's index and one, or 0 and the region; then the epochs since the move. */
    private static void putOwner(ByteWriter writer, RangeColumns columns, int index, long epoch) {
        int owner = columns.owner(index);
        writer.putUnsigned(owner + 1L);
        if (owner == RangeColumns.UNOWNED) {
            writer.putUnsigned(columns.region(index));
        }
        writer.putUnsigned(epoch - columns.movedAt(index));
    }

    private static void readOwner(ByteReader reader, int start, long epoch, RelayTable table, RangeColumns columns) {
        int owner = reader.getUpTo(table.size(), "an owner") - 1;
        int region = owner == RangeColumns.UNOWNED
                ? reader.getUpTo(table.regionCount(), "a region")
                : table.regionOfRelay(owner);
        columns.add(start, owner, region, epoch - reader.getUnsigned());
    }

    /** Names in order share beginnings with those before them; zones are numbered as they come. */
    private static void putRelays(ByteWriter writer, List<RelayInfo> relays, RelayTable table) {
        writer.putUnsigned(relays.size());
        Map<String, Integer> zones = new HashMap<>();
        String before = "";
        for (RelayInfo relay : relays) {
            int shared = sharedPrefix(before, relay.name());
            writer.putUnsigned(shared);
            writer.putText(relay.name().substring(shared));
            writer.putUnsigned(table.regionIndex(relay.region()));
            putZone(writer, zones, relay.zone());
            writer.putUnsigned(relay.weight());
            before = relay.name();
        }
    }

    private static void putZone(ByteWriter writer, Map<String, Integer> zones, String zone) {
        Integer index = zones.get(zone);
        if (index == null) {
            writer.putUnsigned(zones.size());
            writer.putText(zone);
            zones.put(zone, zones.size());
        } else {
            writer.putUnsigned(index);
        }
    }

    private static List<RelayInfo> readRelays(ByteReader reader, List<String> regions) {
        int count = reader.getCount("relays");
        List<RelayInfo> relays = new ArrayList<>(count);
        List<String> zones = new ArrayList<>();
        String before = "";
        for (int i = 0; i < count; i++) {
            int shared = reader.getUpTo(before.length(), "a shared beginning");
            String name = before.substring(0, shared) + reader.getText();
            String region = regions.get(reader.getUpTo(regions.size() - 1, "a region"));
            String zone = readZone(reader, zones);
            relays.add(new RelayInfo(name, region, zone, readInt(reader.getUnsigned())));
            before = name;
        }
        return relays;
    }

    private static String readZone(ByteReader reader, List<String> zones) {
        int index = reader.getUpTo(zones.size(), "a zone");
        if (index == zones.size()) {
            zones.add(reader.getText());
        }
        return zones.get(index);
    }

    private static void putRelaysWithRegion(ByteWriter writer, List<RelayInfo> relays) {
        writer.putUnsigned(relays.size());
        for (RelayInfo relay : relays) {
            writer.putText(relay.name());
            writer.putText(relay.region());
            writer.putText(relay.zone());
            writer.putUnsigned(relay.weight());
        }
    }

    private static List<RelayInfo> readRelaysWithRegion(ByteReader reader) {
        int count = reader.getCount("relays");
        List<RelayInfo> relays = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            relays.add(
                    new RelayInfo(reader.getText(), reader.getText(), reader.getText(), readInt(reader.getUnsigned())));
        }
        return relays;
    }

    private static void putTexts(ByteWriter writer, List<String> texts) {
        writer.putUnsigned(texts.size());
        texts.forEach(writer::putText);
    }

    private static List<String> readTexts(ByteReader reader, String what) {
        int count = reader.getCount(what);
        List<String> texts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            texts.add(reader.getText());
        }
        return texts;
    }

    private static int sharedPrefix(String one, String other) {
        int most = Math.min(one.length(), other.length());
        int shared = 0;
        while (shared < most && one.charAt(shared) == other.charAt(shared)) {
            shared++;
        }
        return shared;
    }

    private static int readInt(long value) {
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new DamagedMapException("a number of 32 bits was expected, got " + value);
        }
        return (int) value;
    }
}
