package juniperusher.core;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import juniperusher.clock.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * What the relay owes, in the folder that outlasts its process. Append-only segments hold its steps; when the room runs
 * out, what is still owed is copied into a new segment and the old ones go. Both copies fit into the room at any time.
 * Nothing is synced: what is written survives the process, and only the loss of the machine loses it.
 *
 * <p>The folder may fail for a while. A step that binds (a message is taken on, an attempt leaves) happens only once it
 * is written; else it is refused, and the state in memory stays as it was. A step that reports what has happened (an
 * outcome, an end, its acknowledgement) counts in memory at once; the journal is then {@link #behind} until
 * {@link #catchUp} has written all that is owed to a new segment.
 *
 * <p>At an upgrade two processes share the folder. The one that holds the lock on {@code owner} is the owner; a process
 * that finds the lock held starts as a successor: it takes up nothing, writes segments of its own numbers, and leaves
 * the others' segments alone until {@link #adopt} finds the lock free (the other process has ended), when it copies
 * what they owe into its own and removes them.
 *
 * <p>Safe for threads.
 */
public final class Journal {
    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    private static final int SMALL = 560; // bytes of small records that an RPC may still write, at most
    private static final int SLACK = 8 * 1024; // bytes kept free for rounding up and for the folder itself
    private static final long LATELY = 120_000; // ms for which the id of an RPC that is over is remembered
    private static final int SUCCESSOR_SEGMENTS = 10_000; // numbers of segments beyond the owner's
    private static final int SUCCESSOR_NUMBERS = 1 << 24; // numbers of RPCs beyond the owner's
    private static final long STEPPED = 1_000; // ms between the two clocks that are worth a line in the log
    private static final String OWNER = "owner";
    private static final long OPEN_PATIENCE = 20_000; // ms for a folder that cannot be read at a start
    private static final long OPEN_PAUSE = 50; // ms between two tries to read it
    private static final long RETRY = 20_000_000; // ns between two tries to catch up with a folder that fails

    private final Path folder;
    private final long limit;
    private final long reserve;
    private final Map<Integer, Owed> owed = new LinkedHashMap<>();
    private final Map<String, Long> lately = new LinkedHashMap<>();
    private final List<Owed> recovered;
    private final List<Runnable> onceWritten = new ArrayList<>();
    private JournalSegments segments;
    private int firstSegment; // of those that a snapshot of this journal stands for
    private long live;
    private int lastNumber;
    private FileChannel ownerFile;
    private FileLock owning;
    private boolean owner;
    private boolean behind; // the file lacks steps that have happened
    private boolean failing; // the last write failed
    private long failures;
    private long retryAt; // System.nanoTime of the next try to catch up, while the folder fails
    private Runnable whenBehind = () -> {};

    /**
     * An attempt, from which a window for repeats runs.
     *
     * @param at   steady time in milliseconds just before its first byte, see {@link SteadyClock}
     * @param zone place of the endpoint's zone in the settings
     */
    public record Attempt(long at, int zone) {}

    /**
     * An RPC that is owed its end, or whose end is still to be told.
     *
     * @param className name of its class, whose place may differ in the settings of the next process
     * @param takenAt   steady time in microseconds at which it was taken on, 0 where a journal of an
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

        /** Whether its id is remembered; what was handed back never ran and may come again under its id. */
        boolean rememberedAsOnce() {
            return request.once() && end.kind() != RpcEnd.Kind.HANDED_BACK;
        }

        /** What a restart has to assume of it. */
        Owed settled() {
            return new Owed(number, request, className, takenAt, attempts, ran == null ? out : ran, null, end);
        }

        /** An attempt leaves. One before it whose outcome was not written down may have run. */
        Owed sent(Attempt attempt) {
            return new Owed(number, request, className, takenAt, attempts + 1, ran == null ? out : ran, attempt, null);
        }

        Owed answered(boolean neverRan) {
            return new Owed(
                    number, request, className, takenAt, attempts, ran == null && !neverRan ? out : ran, null, null);
        }

        Owed over(RpcEnd newEnd) {
            return new Owed(number, request, className, takenAt, attempts, ran, null, newEnd);
        }

        Owed numbered(int newNumber) {
            return new Owed(newNumber, request, className, takenAt, attempts, ran, out, end);
        }

        long size() {
            return JournalRecords.HEADER
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
        open(successor);
        recovered = List.copyOf(owed.values());
        live = owed.values().stream().mapToLong(Owed::size).sum()
                + lately.keySet().stream().mapToLong(Journal::rememberedSize).sum();
        behind = true;
        writeSnapshot(); // where it fails what is owed is known all the same, and the old segments stay
    }

    /** Guards a start against a folder that fails for a while: what it holds is owed, and cannot be left. */
    private void open(boolean successor) throws IOException {
        long until = System.nanoTime() + OPEN_PATIENCE * 1_000_000;
        for (boolean told = false; ; told = true) {
            try {
                Files.createDirectories(folder);
                lock(successor);
                read();
                return;
            } catch (FileAlreadyExistsException | NotDirectoryException | AccessDeniedException e) {
                throw e; // no such folder can be had, and waiting does not help
            } catch (IOException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
                if (!told) {
                    LOG.atWarn().log("journal: the folder cannot be read yet: {}", e.toString());
                }
                pause(e);
            }
        }
    }

    private static void pause(IOException why) throws IOException {
        try {
            Thread.sleep(OPEN_PAUSE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw why;
        }
    }

    private void lock(boolean successor) throws IOException {
        if (ownerFile != null) {
            return;
        }
        ownerFile = FileChannel.open(folder.resolve(OWNER), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            owning = successor ? null : ownerFile.tryLock();
            owner = owning != null;
        } catch (OverlappingFileLockException e) {
            owner = true; // this very process holds it: a journal opened again, as tests do
        } catch (IOException e) {
            // Guards a start where the file system has no locks: the folder is taken as this process's own.
            LOG.atWarn().log("journal: the folder cannot be locked, and is taken as this process's: {}", e.toString());
            owner = true;
        }
    }

    private void read() throws IOException {
        List<Path> found = JournalSegments.all(folder);
        JournalReplay replay = JournalReplay.of(found);
        resumeClock(replay);
        lately.putAll(replay.lately());
        lastNumber = replay.lastNumber();
        int newest = found.isEmpty() ? 0 : JournalSegments.number(found.get(found.size() - 1));
        if (!owner) {
            // Guards the other process's journal: read to learn its numbers only, and left as it is.
            firstSegment = newest + SUCCESSOR_SEGMENTS;
            lastNumber += SUCCESSOR_NUMBERS;
            segments = new JournalSegments(folder, firstSegment);
            LOG.atInfo()
                    .addKeyValue("segments", found.size())
                    .log("journal: another process owns the folder; what it owes is taken up once it ends");
            return;
        }
        segments = new JournalSegments(folder, newest);
        for (Path path : found) {
            segments.own(path);
        }
        replay.owed().forEach((number, left) -> owed.put(number, left.settled()));
    }

    private static void resumeClock(JournalReplay replay) {
        if (replay.clock() == null) {
            return;
        }
        boolean resumed = SteadyClock.resume(replay.clock());
        long ahead = SteadyClock.millis() - System.currentTimeMillis();
        // A wall clock that has stepped since, or a machine that has started again, explains what a timeline shows.
        LOG.atLevel(resumed && Math.abs(ahead) < STEPPED ? Level.DEBUG : Level.INFO)
                .addKeyValue("resumed", resumed)
                .addKeyValue("ahead_of_wall_ms", ahead)
                .log("journal: the clock of the process before");
    }

    /** Whether another process owned the folder at the start and has not yet been taken over from. */
    public synchronized boolean successor() {
        return !owner;
    }

    /**
     * Waits until the process that owned the folder has ended, then takes what it owed into this journal under new
     * numbers and removes its segments. Returns what was taken, settled as a restart would: an attempt that was out may
     * have run. Returns nothing if this journal owned the folder from the start.
     */
    public List<Owed> adopt() throws IOException, InterruptedException {
        FileChannel file;
        synchronized (this) {
            if (owner) {
                return List.of();
            }
            file = ownerFile;
        }
        FileLock lock = null;
        while (lock == null) {
            try {
                lock = file.lock(); // blocks until the other process has ended
            } catch (OverlappingFileLockException e) {
                Thread.sleep(20); // the owner is a journal of this very process, as in tests
            }
        }
        synchronized (this) {
            owning = lock;
            owner = true;
            return takeOver();
        }
    }

    private List<Owed> takeOver() throws IOException {
        List<Path> theirs = JournalSegments.all(folder).stream()
                .filter(path -> !segments.owns(path))
                .toList();
        JournalReplay other = JournalReplay.of(theirs);
        List<Owed> taken = new ArrayList<>();
        for (Owed left : other.owed().values()) {
            Owed entry = left.settled().numbered(++lastNumber);
            owed.put(entry.number(), entry);
            live += entry.size();
            taken.add(entry);
        }
        other.lately().forEach((key, at) -> live += lately.put(key, at) == null ? rememberedSize(key) : 0);
        for (Path path : theirs) {
            segments.own(path);
        }
        firstSegment = 0; // from now on a snapshot stands for theirs too
        behind = true;
        writeSnapshot(); // their segments go once the new one is whole
        LOG.atInfo()
                .addKeyValue("segments", theirs.size())
                .addKeyValue("owed", taken.size())
                .log("journal: taken over from the process before");
        return taken;
    }

    /** What the journal in the folder holds, read without changing it. */
    public static List<Owed> read(Path folder) throws IOException {
        return List.copyOf(JournalReplay.of(JournalSegments.all(folder)).owed().values());
    }

    /** What an earlier process left, in the order taken. */
    public List<Owed> recovered() {
        return recovered;
    }

    /** Closes the open segment. */
    public synchronized void close() {
        segments.close();
        try {
            ownerFile.close(); // and with it the lock: a successor takes over
        } catch (IOException e) {
            LOG.debug("journal: {}", e.toString());
        }
    }

    /** Steady time in microseconds at which an RPC that is owed was taken on; 0 if that is not known. */
    public synchronized long takenAt(int number) {
        Owed entry = owed.get(number);
        return entry == null ? 0 : entry.takenAt();
    }

    /** Bytes in the folder. */
    public synchronized long bytes() {
        return segments.bytes();
    }

    /** How many writes to the folder have failed. */
    public synchronized long failures() {
        return failures;
    }

    // ---- steps that bind: written first ----

    /** Writes an RPC of that class down as taken on; its number, or -1 if it cannot be, and is not taken on. */
    public synchronized int taken(RpcRequest request, String className) {
        Owed entry = new Owed(lastNumber + 1, request, className, SteadyClock.micros(), 0, null, null, null);
        long size = entry.size();
        if (!hasRoom(size)) {
            behind = true; // a new segment holds only what is still owed
        }
        if (!writeSnapshot() || !hasRoom(size) || !append(JournalRecords.taken(entry))) {
            return -1;
        }
        lastNumber++;
        owed.put(entry.number(), entry);
        live += size;
        return entry.number();
    }

    private boolean hasRoom(long size) {
        return segments.bytes() + live + 2 * size + reserve <= limit;
    }

    /**
     * An attempt is about to leave for an endpoint in that zone. Throws a {@link JournalUnavailableException} if that
     * cannot be written down: then it must not leave.
     */
    public synchronized Attempt attempt(int number, int zone) {
        Attempt attempt = new Attempt(SteadyClock.millis(), zone);
        Owed entry = owed.get(number);
        Owed sent = entry.sent(attempt);
        byte[] record = JournalRecords.attempt(number, attempt);
        if (!fits(record)) {
            behind = true;
        }
        if (!writeSnapshot() || !append(record)) {
            throw new JournalUnavailableException(null);
        }
        owed.put(number, sent);
        return attempt;
    }

    // ---- steps that report what has happened: they count in memory at once ----

    /** The attempt that was out has ended. */
    public synchronized void outcome(int number, boolean neverRan) {
        owed.put(number, owed.get(number).answered(neverRan));
        note(JournalRecords.outcome(number, neverRan));
    }

    /** The RPC has its final answer, which may still have to be told; whether that is written down already. */
    public synchronized boolean ended(int number, RpcEnd end) {
        Owed entry = owed.get(number);
        live -= entry.size();
        entry = entry.over(end);
        owed.put(number, entry);
        live += entry.size();
        long now = SteadyClock.millis();
        if (entry.rememberedAsOnce()) {
            String key = entry.request().key();
            live += lately.put(key, now) == null ? rememberedSize(key) : 0;
        }
        return note(JournalRecords.ended(number, end, now));
    }

    /** The RPC's end is told, or needs no telling. */
    public synchronized void acknowledged(int number) {
        Owed entry = owed.remove(number);
        if (entry != null) {
            live -= entry.size();
            note(JournalRecords.acknowledged(number));
        }
    }

    /** Whether an RPC of this key, which is taken on only once, ended a short while ago. */
    public synchronized boolean lately(String key) {
        Long at = lately.get(key);
        return at != null && SteadyClock.millis() - at < LATELY;
    }

    private static long rememberedSize(String key) {
        return JournalRecords.HEADER + 16 + 3L * key.length();
    }

    // ---- the folder ----

    /** Whether the folder lacks steps that have happened, as it could not be written. */
    public synchronized boolean behind() {
        return behind;
    }

    /** Calls {@code action}, which must not wait, whenever {@link #catchUp} has to be called soon. */
    public synchronized void whenBehind(Runnable action) {
        whenBehind = action;
    }

    /** Runs the action once all that has happened is written down: at once, or within a later {@link #catchUp}. */
    public void onceWritten(Runnable action) {
        synchronized (this) {
            if (behind) {
                onceWritten.add(action);
                whenBehind.run();
                return;
            }
        }
        action.run();
    }

    /** Writes all that is owed to a new segment if the folder lacks something; whether it lacks nothing now. */
    public boolean catchUp() {
        List<Runnable> actions;
        synchronized (this) {
            if (!writeSnapshot()) {
                return false;
            }
            actions = List.copyOf(onceWritten);
            onceWritten.clear();
        }
        actions.forEach(Runnable::run); // not under the lock: they tell ends
        return true;
    }

    private boolean writeSnapshot() {
        if (!behind) {
            return true;
        }
        if (failing && System.nanoTime() - retryAt < 0) {
            return false; // guards the processor, and the folder, against a try for each step
        }
        try {
            segments.replace(snapshot());
        } catch (IOException e) {
            failed(e);
            return false;
        }
        behind = false;
        succeeded();
        return true;
    }

    private boolean fits(byte[] record) {
        return segments.bytes() + live + record.length <= limit;
    }

    /** Appends a step that has happened, or has it written with all the rest as soon as that can be. */
    private boolean note(byte[] record) {
        if (behind || !fits(record) || !append(record)) {
            behind = true; // the state already holds what the record says
            return writeSnapshot();
        }
        return true;
    }

    private boolean append(byte[] record) {
        try {
            segments.append(record);
            succeeded();
            return true;
        } catch (IOException e) {
            failed(e);
            return false;
        }
    }

    private void failed(IOException why) {
        failures++;
        retryAt = System.nanoTime() + RETRY;
        whenBehind.run();
        if (!failing) {
            failing = true;
            LOG.atError().log("journal: it cannot be written, so nothing is taken on or sent: {}", why.toString());
        }
    }

    private void succeeded() {
        if (failing) {
            failing = false;
            LOG.atInfo().addKeyValue("failures", failures).log("journal: it can be written again");
        }
    }

    private byte[] snapshot() {
        long now = SteadyClock.millis();
        lately.entrySet().removeIf(entry -> {
            boolean gone = now - entry.getValue() >= LATELY;
            live -= gone ? rememberedSize(entry.getKey()) : 0;
            return gone;
        });
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(JournalRecords.snapshotBegins(firstSegment, SteadyClock.mark()));
        lately.forEach((key, at) -> all.writeBytes(JournalRecords.remembered(key, at)));
        for (Owed entry : owed.values()) {
            all.writeBytes(JournalRecords.taken(entry));
            if (entry.end() != null) {
                all.writeBytes(JournalRecords.ended(entry.number(), entry.end(), now));
            }
        }
        all.writeBytes(JournalRecords.snapshotEnds(firstSegment));
        return all.toByteArray();
    }
}
