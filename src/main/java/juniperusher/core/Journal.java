package juniperusher.core;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the relay owes, in the folder that outlasts its process. Append-only segments hold records of a
 * length, a checksum and the fields; a torn or damaged tail ends a segment. When the room runs out, what is
 * still owed is copied into a new segment and the old ones go; both copies fit into the room at any time.
 * Nothing is synced: what is written survives the process, and only the loss of the machine loses it.
 *
 * <p>At an upgrade two processes share the folder. The one that holds the lock on {@code owner} is the owner;
 * a process that finds the lock held starts as a successor: it takes up nothing, writes segments of its own
 * numbers, and leaves the others' segments alone until {@link #adopt} finds the lock free (the other process
 * has ended), when it copies what they owe into its own and removes them.
 */
public final class Journal {
    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    private static final int HEADER = 8;
    private static final int SMALL = 560; // bytes of small records that an RPC may still write, at most
    private static final int SLACK = 8 * 1024; // bytes kept free for rounding up and for the folder itself
    private static final int MOST = 1 << 20; // bytes of a record; a longer one is damage
    private static final long LATELY = 120_000; // ms for which the id of an RPC that is over is remembered
    private static final byte TAKEN = 1;
    private static final byte ATTEMPT = 2;
    private static final byte OUTCOME = 3;
    private static final byte ENDED = 4;
    private static final byte ACKNOWLEDGED = 5;
    private static final byte REMEMBERED = 6;
    private static final int SUCCESSOR_SEGMENTS = 10_000; // numbers of segments beyond the owner's
    private static final int SUCCESSOR_NUMBERS = 1 << 24; // numbers of RPCs beyond the owner's
    private static final String OWNER = "owner";

    private final Path folder;
    private final long limit;
    private final long reserve;
    private final Map<Integer, Owed> owed = new LinkedHashMap<>();
    private final Map<String, Long> lately = new LinkedHashMap<>();
    private final List<Owed> recovered;
    private FileChannel segment;
    private int segmentNumber;
    private long used;
    private long live;
    private int lastNumber;
    private final java.util.Set<Path> mine = new java.util.HashSet<>(); // segments that this one may remove
    private FileChannel ownerFile;
    private java.nio.channels.FileLock owning;
    private boolean owner;

    /**
     * An attempt, from which a window for repeats runs.
     *
     * @param at   wall-clock time in milliseconds just before its first byte, so that it outlives the process
     * @param zone place of the endpoint's zone in the settings
     */
    public record Attempt(long at, int zone) {}

    /**
     * An RPC that is owed its end, or whose end is still to be told.
     *
     * @param className name of its class, whose place may differ in the settings of the next process
     * @param takenAt   wall-clock time in microseconds at which it was taken on, 0 where a journal of an
     *                  earlier version does not tell
     * @param ran       the first attempt that may have run, or null
     * @param out       the attempt that has no outcome yet, or null
     * @param end       its end, if it has one, else null
     */
    public record Owed(
            int number,
            RpcRequest request,
            String className,
            long takenAt,
            int attempts,
            Attempt ran,
            Attempt out,
            RpcEnd end) {
        /** Whether an attempt may have run; one without an outcome counts once the process has ended. */
        public boolean mayHaveRun() {
            return ran != null;
        }

        /** What a restart has to assume of it. */
        Owed settled() {
            return new Owed(number, request, className, takenAt, attempts, ran == null ? out : ran, null, end);
        }

        private Owed sent(Attempt attempt) {
            return new Owed(number, request, className, takenAt, attempts + 1, ran, attempt, null);
        }

        private Owed answered(boolean neverRan) {
            return new Owed(
                    number, request, className, takenAt, attempts, ran == null && !neverRan ? out : ran, null, null);
        }

        private Owed over(RpcEnd newEnd) {
            return new Owed(number, request, className, takenAt, attempts, ran, null, newEnd);
        }

        private Owed numbered(int newNumber) {
            return new Owed(newNumber, request, className, takenAt, attempts, ran, out, end);
        }

        private long size() {
            return HEADER
                    + 64
                    + 3L
                            * (request.id().length()
                                    + request.front().length()
                                    + request.returnAddress().length()
                                    + className.length()
                                    + request.idempotencyKey().length()
                                    + request.orderKey().length()
                                    + request.tenant().length())
                    + (end == null ? request.body().length : 0);
        }
    }

    /** Opens the journal in the folder, reads what is owed and starts a clean segment with it. */
    public Journal(Path folder, long diskBytes, int held) throws IOException {
        this(folder, diskBytes, held, false);
    }

    /** The same; {@code successor} makes it one whatever the lock says, for tests within one process. */
    Journal(Path folder, long diskBytes, int held, boolean successor) throws IOException {
        this.folder = folder;
        limit = diskBytes - SLACK;
        reserve = Math.min(limit / 4, (long) held * SMALL);
        Files.createDirectories(folder);
        ownerFile = FileChannel.open(folder.resolve(OWNER), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            owning = successor ? null : ownerFile.tryLock();
            owner = owning != null;
        } catch (java.nio.channels.OverlappingFileLockException e) {
            owner = true; // this very process holds it: a journal opened again, as tests do
        } catch (IOException e) {
            // Guards a start where the file system has no locks: the folder is taken as this process's own.
            LOG.atWarn().log("journal: the folder cannot be locked, and is taken as this process's: {}", e.toString());
            owner = true;
        }
        List<Path> old = segments(folder);
        if (!owner) {
            // Guards the other process's journal: read to learn its numbers only, and left as it is.
            Journal other = new Journal(folder);
            for (Path path : old) {
                segmentNumber = Math.max(segmentNumber, number(path));
            }
            segmentNumber += SUCCESSOR_SEGMENTS;
            lastNumber = other.lastNumber + SUCCESSOR_NUMBERS;
            lately.putAll(other.lately);
            LOG.atInfo()
                    .addKeyValue("segments", old.size())
                    .log("journal: another process owns the folder; " + "what it owes is taken up once it ends");
            old = List.of();
        }
        for (Path path : old) {
            replay(Files.readAllBytes(path));
            segmentNumber = Math.max(segmentNumber, number(path));
            used += Files.size(path);
            mine.add(path);
        }
        owed.replaceAll((number, left) -> left.settled());
        recovered = List.copyOf(owed.values());
        live = owed.values().stream().mapToLong(Owed::size).sum()
                + lately.keySet().stream().mapToLong(Journal::rememberedSize).sum();
        compact();
    }

    private Journal(Path folder) throws IOException {
        this(folder, segments(folder));
    }

    /** Whether another process owned the folder at the start and has not yet been taken over from. */
    public synchronized boolean successor() {
        return !owner;
    }

    /**
     * Waits until the process that owned the folder has ended, then takes what it owed into this journal
     * under new numbers and removes its segments. Returns what was taken, settled as a restart would: an
     * attempt that was out may have run. Returns nothing if this journal owned the folder from the start.
     */
    public List<Owed> adopt() throws IOException, InterruptedException {
        FileChannel file;
        synchronized (this) {
            if (owner) {
                return List.of();
            }
            file = ownerFile;
        }
        java.nio.channels.FileLock lock = null;
        while (lock == null) {
            try {
                lock = file.lock(); // blocks until the other process has ended
            } catch (java.nio.channels.OverlappingFileLockException e) {
                Thread.sleep(20); // the owner is a journal of this very process, as in tests
            }
        }
        synchronized (this) {
            owning = lock;
            owner = true;
            List<Path> theirs = segments(folder).stream()
                    .filter(path -> !mine.contains(path))
                    .toList();
            Journal other = new Journal(folder, theirs);
            List<Owed> taken = new java.util.ArrayList<>();
            for (Owed left : other.owed.values()) {
                Owed entry = left.settled().numbered(++lastNumber);
                owed.put(entry.number(), entry);
                live += entry.size();
                taken.add(entry);
                write(takenRecord(entry));
                if (entry.end() != null) {
                    write(endedRecord(entry.number(), entry.end()));
                }
            }
            other.lately.forEach((key, at) -> live += lately.put(key, at) == null ? rememberedSize(key) : 0);
            for (Path path : theirs) {
                Files.deleteIfExists(path);
            }
            LOG.atInfo()
                    .addKeyValue("segments", theirs.size())
                    .addKeyValue("owed", taken.size())
                    .log("journal: taken over from the process before");
            return taken;
        }
    }

    private Journal(Path folder, List<Path> segments) throws IOException {
        this.folder = folder;
        limit = 0;
        reserve = 0;
        for (Path path : segments) {
            replay(Files.readAllBytes(path));
        }
        recovered = List.copyOf(owed.values());
    }

    /** What the journal in the folder holds, read without changing it. */
    public static List<Owed> read(Path folder) throws IOException {
        return new Journal(folder).recovered;
    }

    private static List<Path> segments(Path folder) throws IOException {
        try (Stream<Path> paths = Files.list(folder)) {
            return paths.filter(path -> path.getFileName().toString().matches("journal-\\d{8,9}"))
                    .sorted(java.util.Comparator.comparingInt(Journal::number))
                    .toList();
        }
    }

    private static int number(Path path) {
        return Integer.parseInt(path.getFileName().toString().substring("journal-".length()));
    }

    /** What an earlier process left, in the order taken. */
    public List<Owed> recovered() {
        return recovered;
    }

    /** Closes the open segment. */
    public synchronized void close() {
        try {
            segment.close();
            ownerFile.close(); // and with it the lock: a successor takes over
        } catch (IOException e) {
            LOG.debug("journal: {}", e.toString());
        }
    }

    /** Wall-clock time in microseconds at which an RPC that is owed was taken on; 0 if that is not known. */
    public synchronized long takenAt(int number) {
        Owed entry = owed.get(number);
        return entry == null ? 0 : entry.takenAt();
    }

    /** Bytes in the folder. */
    public synchronized long bytes() {
        return used;
    }

    /** Writes an RPC of that class down as taken on; its number, or -1 if there is no room for it. */
    public synchronized int taken(RpcRequest request, String className) {
        Owed entry = new Owed(lastNumber + 1, request, className, nowMicros(), 0, null, null, null);
        long size = entry.size();
        if (used + live + 2 * size + reserve > limit) {
            compact();
        }
        if (used + live + 2 * size + reserve > limit) {
            return -1;
        }
        lastNumber++;
        owed.put(entry.number(), entry);
        live += size;
        write(takenRecord(entry));
        return entry.number();
    }

    private static long nowMicros() {
        return java.time.temporal.ChronoUnit.MICROS.between(java.time.Instant.EPOCH, java.time.Instant.now());
    }

    /** An attempt is about to leave for an endpoint in that zone. */
    public synchronized Attempt attempt(int number, int zone) {
        Attempt attempt = new Attempt(System.currentTimeMillis(), zone);
        owed.put(number, owed.get(number).sent(attempt));
        append(record(ATTEMPT, out -> {
            out.writeInt(number);
            write(out, attempt);
        }));
        return attempt;
    }

    /** The attempt that was out has ended. */
    public synchronized void outcome(int number, boolean neverRan) {
        owed.put(number, owed.get(number).answered(neverRan));
        append(record(OUTCOME, out -> {
            out.writeInt(number);
            out.writeBoolean(neverRan);
        }));
    }

    /** The RPC has its final answer, which may still have to be told. */
    public synchronized void ended(int number, RpcEnd end) {
        Owed entry = owed.get(number);
        live -= entry.size();
        entry = entry.over(end);
        owed.put(number, entry);
        live += entry.size();
        append(endedRecord(number, end));
        remember(entry, System.currentTimeMillis());
    }

    /** The RPC's end is told, or needs no telling. */
    public synchronized void acknowledged(int number) {
        Owed entry = owed.remove(number);
        if (entry != null) {
            live -= entry.size();
            append(record(ACKNOWLEDGED, out -> out.writeInt(number)));
        }
    }

    /** Whether an RPC of this key, which is taken on only once, ended a short while ago. */
    public synchronized boolean lately(String key) {
        Long at = lately.get(key);
        return at != null && System.currentTimeMillis() - at < LATELY;
    }

    private void remember(Owed entry, long at) {
        // What was handed back never ran and may come again under its id.
        if (entry.request().once() && entry.end().kind() != RpcEnd.Kind.HANDED_BACK) {
            live += lately.put(entry.request().key(), at) == null
                    ? rememberedSize(entry.request().key())
                    : 0;
        }
    }

    private static long rememberedSize(String key) {
        return HEADER + 16 + 3L * key.length();
    }

    // ---- records ----

    private interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(byte type, Fields fields) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(type);
            fields.write(out);
            byte[] body = bytes.toByteArray();
            CRC32C sum = new CRC32C();
            sum.update(body);
            return ByteBuffer.allocate(HEADER + body.length)
                    .putInt(body.length)
                    .putInt((int) sum.getValue())
                    .put(body)
                    .array();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] takenRecord(Owed entry) {
        RpcRequest request = entry.request();
        return record(TAKEN, out -> {
            out.writeInt(entry.number());
            out.writeUTF(request.id());
            out.writeUTF(request.front());
            out.writeInt(request.messageClass());
            out.writeInt(request.destination());
            out.writeLong(request.deadline());
            out.writeUTF(request.returnAddress());
            out.writeBoolean(request.once());
            out.writeInt(entry.attempts());
            out.writeBoolean(entry.ran() != null);
            out.writeBoolean(entry.out() != null);
            byte[] body = entry.end() == null ? request.body() : new byte[0];
            out.writeInt(body.length);
            out.write(body);
            out.writeUTF(entry.className()); // from here on: unknown to versions before this one
            write(out, entry.ran());
            write(out, entry.out());
            out.writeUTF(request.idempotencyKey());
            out.writeUTF(request.orderKey());
            out.writeUTF(request.tenant());
            out.writeLong(entry.takenAt());
        });
    }

    private static void write(DataOutputStream out, Attempt attempt) throws IOException {
        out.writeLong(attempt == null ? 0 : attempt.at());
        out.writeInt(attempt == null ? -1 : attempt.zone());
    }

    /**
     * Reads an attempt. Guards records of an earlier version, which tell neither time nor zone: the window of
     * such an attempt counts as over.
     */
    private static Attempt attempt(DataInputStream in) throws IOException {
        return in.available() > 0 ? new Attempt(in.readLong(), in.readInt()) : new Attempt(0, -1);
    }

    private static byte[] endedRecord(int number, RpcEnd end) {
        return record(ENDED, out -> {
            out.writeInt(number);
            out.writeByte(end.kind().ordinal());
            out.writeDouble(end.retryIn());
            out.writeLong(System.currentTimeMillis());
        });
    }

    private void replay(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.remaining() >= HEADER) {
            int length = in.getInt();
            int expected = in.getInt();
            if (length <= 0 || length > MOST || length > in.remaining()) {
                return; // torn by the end of the process
            }
            CRC32C sum = new CRC32C();
            sum.update(bytes, in.position(), length);
            if ((int) sum.getValue() != expected) {
                return;
            }
            try {
                replay(new DataInputStream(new java.io.ByteArrayInputStream(bytes, in.position(), length)));
            } catch (IOException | RuntimeException e) {
                LOG.warn("journal: a record that cannot be read ends the segment: {}", e.toString());
                return;
            }
            in.position(in.position() + length);
        }
    }

    private void replay(DataInputStream in) throws IOException {
        byte type = in.readByte();
        if (type == REMEMBERED) {
            lately.put(in.readUTF(), in.readLong());
            return;
        }
        int number = in.readInt();
        Owed entry = owed.get(number);
        if (type == TAKEN) {
            String id = in.readUTF();
            RpcRequest head = new RpcRequest(
                    id,
                    in.readUTF(),
                    in.readInt(),
                    in.readInt(),
                    in.readLong(),
                    in.readUTF(),
                    in.readBoolean(),
                    new byte[0]);
            int attempts = in.readInt();
            boolean ran = in.readBoolean();
            boolean out = in.readBoolean();
            byte[] body = in.readNBytes(in.readInt());
            String className = in.available() > 0 ? in.readUTF() : "";
            Attempt first = attempt(in);
            Attempt last = attempt(in);
            String key = in.available() > 0 ? in.readUTF() : "";
            String orderKey = in.available() > 0 ? in.readUTF() : "";
            String tenant = in.available() > 0 ? in.readUTF() : "";
            long takenAt = in.available() > 0 ? in.readLong() : 0;
            owed.put(
                    number,
                    new Owed(
                            number,
                            new RpcRequest(
                                    id,
                                    head.front(),
                                    head.messageClass(),
                                    head.destination(),
                                    head.deadline(),
                                    head.returnAddress(),
                                    head.once(),
                                    body,
                                    false,
                                    key,
                                    orderKey,
                                    tenant),
                            className,
                            takenAt,
                            attempts,
                            ran ? first : null,
                            out ? last : null,
                            null));
            lastNumber = Math.max(lastNumber, number);
        } else if (entry != null && type == ATTEMPT) {
            owed.put(number, entry.sent(attempt(in)));
        } else if (entry != null && type == OUTCOME) {
            owed.put(number, entry.answered(in.readBoolean()));
        } else if (entry != null && type == ENDED) {
            RpcEnd end = new RpcEnd(
                    entry.request().id(),
                    entry.request().returnAddress(),
                    RpcEnd.Kind.values()[in.readByte()],
                    in.readDouble());
            owed.put(number, entry.over(end));
            remember(owed.get(number), in.readLong());
        } else if (type == ACKNOWLEDGED) {
            owed.remove(number);
        }
    }

    // ---- segments ----

    private void append(byte[] record) {
        if (used + live + record.length > limit) {
            compact(); // the state already holds what the record says
        } else {
            write(record);
        }
    }

    private void write(byte[] record) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(record);
            while (bytes.hasRemaining()) {
                used += segment.write(bytes);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the journal cannot be written", e);
        }
    }

    private void compact() {
        try {
            // Guards the other process's segments at an upgrade: only this one's own are removed.
            List<Path> old = segments(folder).stream().filter(mine::contains).toList();
            if (segment != null) {
                segment.close();
            }
            long before = used;
            Path next = folder.resolve(String.format("journal-%08d", ++segmentNumber));
            segment = FileChannel.open(next, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            mine.add(next);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            long now = System.currentTimeMillis();
            lately.entrySet().removeIf(entry -> {
                boolean gone = now - entry.getValue() >= LATELY;
                live -= gone ? rememberedSize(entry.getKey()) : 0;
                return gone;
            });
            for (Map.Entry<String, Long> entry : lately.entrySet()) {
                all.write(record(REMEMBERED, out -> {
                    out.writeUTF(entry.getKey());
                    out.writeLong(entry.getValue());
                }));
            }
            for (Owed entry : owed.values()) {
                all.write(takenRecord(entry));
                if (entry.end() != null) {
                    all.write(endedRecord(entry.number(), entry.end()));
                }
            }
            write(all.toByteArray());
            for (Path path : old) {
                Files.delete(path);
                mine.remove(path);
            }
            used -= before;
        } catch (IOException e) {
            throw new UncheckedIOException("the journal cannot be compacted", e);
        }
    }
}
