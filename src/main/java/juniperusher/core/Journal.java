package juniperusher.core;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import juniperusher.clock.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The write-ahead journal of the relay: the unfinished messages and the steps of each, in a folder that outlasts the
 * process. Steps are appended to segment files. When the disk bound is reached and it pays, a snapshot of everything
 * unfinished is written to a new segment and the old segments are removed; the bound leaves room for both copies at any
 * time ({@link JournalRoom}). Nothing is synced to the disk: written data survives the end of the process but not the
 * loss of the machine.
 *
 * <p>Writes may fail for a while. A step that needs permission (accepting a message, starting an attempt) happens only
 * after it is written; if the write fails, it is refused and the state in memory stays unchanged. A step that reports
 * an event (an outcome, an end, an acknowledgement) changes the state in memory at once; the journal is then {@link
 * #isBehind} until {@link #catchUp} has written a snapshot.
 *
 * <p>Two processes share the folder at an upgrade. The owner holds the lock on the file {@code owner}. A process that
 * finds the lock taken starts as the successor: it reads the other process's segments without resuming their messages,
 * writes its own segments under higher numbers, and waits in {@link #takeOverFromPredecessor} until the lock is free
 * because the owner has ended. Then it copies the owner's unfinished messages into its own journal and removes the
 * owner's segments.
 *
 * <p>Safe for threads.
 */
public final class Journal {
    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    private static final int REMEMBERED_ENDS_DIVISOR = 8; // the part of the journal that they may take
    // Between the owner's last segment and the successor's first: the owner writes further segments meanwhile.
    private static final int SUCCESSOR_SEGMENT_OFFSET = 10_000;
    // A difference of this size between the steady clock and the wall clock is logged at level INFO.
    private static final long CLOCK_STEP_MILLIS = 1_000;
    // How long a start waits for a folder that cannot be read.
    private static final long OPEN_TIMEOUT_MILLIS = 20_000;
    private static final long OPEN_RETRY_DELAY_MILLIS = 50;
    // Minimum time between two attempts to write a snapshot while writes fail.
    private static final long CATCH_UP_RETRY_NANOS = 20_000_000;

    private final Path folder;
    private final JournalRoom room;
    private final long maxRememberedEndBytes;
    private final JournalState state;
    private final List<UnfinishedMessage> recovered;
    private final List<Runnable> actionsOnceWritten = new ArrayList<>();
    private final OtherFiles otherFiles;
    private JournalSegments segments;
    private OtherProcessMessages otherProcess; // null until there is another process
    private int firstSegment = SegmentNumbers.NONE; // a snapshot replaces the segments from here on; NONE: all
    private OwnerLock ownerLock;
    private boolean isOwner;
    private boolean snapshotNeeded; // the segments lack steps, or room for them
    private boolean lastWriteFailed;
    private long failedWrites;
    private long snapshotCount;
    private long snapshotBytesWritten;
    private long longestSnapshotNanos;
    private long retryAtNanos; // System.nanoTime of the next attempt after a failed write
    private Runnable catchUpRequest = () -> {};

    /**
     * Opens the journal in the folder, reads its unfinished messages and writes them to a new segment. Waits up to 20
     * seconds for a folder that cannot be read.
     *
     * @param diskBytes upper bound of the folder's size
     * @param maxPending maximum number of pending messages, for whose further records room is reserved
     * @throws IOException if the folder cannot be created or read; a failing write is no error here
     */
    public Journal(Path folder, long diskBytes, int maxPending) throws IOException {
        this(folder, diskBytes, maxPending, false);
    }

    /**
     * Tests set {@code successor} to start as a successor whatever the lock's state, since both processes are one
     * there.
     */
    Journal(Path folder, long diskBytes, int maxPending, boolean successor) throws IOException {
        this.folder = folder;
        room = new JournalRoom(diskBytes, maxPending);
        maxRememberedEndBytes = room.limitBytes() / REMEMBERED_ENDS_DIVISOR;
        state = new JournalState(maxRememberedEndBytes);
        otherFiles = new OtherFiles(folder);
        openFolder(successor);
        recovered = List.copyOf(state.unfinished());
        snapshotNeeded = true;
        // if this fails, the unfinished messages are still known and the old segments stay
        writeSnapshotIfNeeded();
    }

    /** Retries while the folder cannot be read: starting without it would lose the unfinished messages in it. */
    private void openFolder(boolean successor) throws IOException {
        long untilNanos = System.nanoTime() + OPEN_TIMEOUT_MILLIS * 1_000_000;
        for (boolean logged = false; ; logged = true) {
            try {
                Files.createDirectories(folder);
                if (ownerLock == null) {
                    ownerLock = OwnerLock.open(folder, successor);
                    isOwner = ownerLock.isHeld();
                }
                readSegments();
                return;
            } catch (FileAlreadyExistsException | NotDirectoryException | AccessDeniedException e) {
                // the folder cannot exist or be accessed, so a retry does not help
                throw e;
            } catch (IOException e) {
                if (System.nanoTime() > untilNanos) {
                    throw e;
                }
                if (!logged) {
                    LOG.atWarn().log("journal: the folder cannot be read yet: {}", e.toString());
                }
                pauseBeforeRetry(e);
            }
        }
    }

    private static void pauseBeforeRetry(IOException cause) throws IOException {
        try {
            Thread.sleep(OPEN_RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw cause;
        }
    }

    private void readSegments() throws IOException {
        List<Path> found = JournalSegments.all(folder);
        JournalReplay replay = JournalReplay.of(found);
        resumeClock(replay);
        int newest = found.isEmpty() ? SegmentNumbers.NONE : JournalSegments.number(found.get(found.size() - 1));
        if (!isOwner) {
            // The other process still writes its segments: only the numbers that it uses are needed here. Its ends are
            // looked up in its segments, since a second copy of them would need room beside its snapshots.
            firstSegment = SegmentNumbers.plus(newest, SUCCESSOR_SEGMENT_OFFSET);
            state.setNumbers(MessageNumbers.apartFrom(replay.usedNumberRanges()));
            segments = new JournalSegments(folder, firstSegment);
            LOG.atInfo()
                    .addKeyValue("segments", found.size())
                    .addKeyValue("first_segment", firstSegment)
                    .addKeyValue("number_range", state.numberRange())
                    .log("journal: another process owns the folder; what it owes is taken up once it ends");
            return;
        }
        segments = new JournalSegments(folder, newest);
        addToOwnSegments(found, replay);
        state.setNumbers(new MessageNumbers(replay.lastNumberRange()));
        state.adopt(replay);
    }

    /**
     * Adds segments of an ended process to the own ones and removes those that nobody needs. The room for the next
     * snapshot is reserved beside one copy of the state, and a kill may have left two.
     */
    private void addToOwnSegments(List<Path> found, JournalReplay replay) throws IOException {
        for (Path path : found) {
            segments.addOwn(path);
        }
        List<Path> obsolete = replay.obsoleteSegments();
        if (obsolete.isEmpty()) {
            return;
        }
        long bytesBefore = segments.bytes();
        obsolete.forEach(segments::remove);
        LOG.atInfo()
                .addKeyValue("segments", obsolete.size())
                .addKeyValue("bytes", bytesBefore - segments.bytes())
                .log("journal: incomplete and replaced segments of an earlier process removed");
    }

    private static void resumeClock(JournalReplay replay) {
        if (replay.clockMark() == null) {
            return;
        }
        boolean resumed = SteadyClock.resume(replay.clockMark());
        long aheadMillis = SteadyClock.millis() - System.currentTimeMillis();
        // Logged because a wall clock step or a reboot explains irregular timelines.
        LOG.atLevel(resumed && Math.abs(aheadMillis) < CLOCK_STEP_MILLIS ? Level.DEBUG : Level.INFO)
                .addKeyValue("resumed", resumed)
                .addKeyValue("ahead_of_wall_ms", aheadMillis)
                .log("journal: steady clock compared with the one of the previous process");
    }

    /** Whether another process owned the folder at the start and its messages have not been taken over yet. */
    public synchronized boolean isSuccessor() {
        return !isOwner;
    }

    /**
     * Waits until the owner has ended, then adds its unfinished messages to this journal under new numbers and removes
     * its segments.
     *
     * @return the messages taken over, in the state that a restart assumes: an attempt in flight may have run; an empty
     *     list if this journal has owned the folder from the start
     */
    public List<UnfinishedMessage> takeOverFromPredecessor() throws IOException, InterruptedException {
        synchronized (this) {
            if (isOwner) {
                return List.of();
            }
        }
        ownerLock.await();
        synchronized (this) {
            isOwner = true;
            return takeOverSegments();
        }
    }

    private List<UnfinishedMessage> takeOverSegments() throws IOException {
        List<Path> otherSegments = JournalSegments.all(folder).stream()
                .filter(path -> !segments.owns(path))
                .toList();
        JournalReplay replay = JournalReplay.of(otherSegments);
        List<UnfinishedMessage> takenOver = state.adopt(replay);
        addToOwnSegments(otherSegments, replay);
        // from now on a snapshot replaces the other segments too
        firstSegment = SegmentNumbers.NONE;
        snapshotNeeded = true;
        // removes the other segments after the new one is complete
        writeSnapshotIfNeeded();
        if (otherProcess != null) {
            otherProcess.segmentsTakenOver();
        }
        LOG.atInfo()
                .addKeyValue("segments", otherSegments.size())
                .addKeyValue("owed", takenOver.size())
                .log("journal: taken over from the process before");
        return takenOver;
    }

    /** Reads the unfinished messages in the folder without changing it. */
    public static List<UnfinishedMessage> read(Path folder) throws IOException {
        return List.copyOf(
                JournalReplay.of(JournalSegments.all(folder)).unfinished().values());
    }

    /** Unfinished messages of an earlier process, in the order in which they were accepted. */
    public List<UnfinishedMessage> recovered() {
        return recovered;
    }

    /** Closes the open segment and releases the lock on the folder. */
    public synchronized void close() {
        segments.close();
        ownerLock.close();
    }

    /** Time at which an unfinished RPC was accepted, in microseconds of {@link SteadyClock}; 0 if unknown. */
    public synchronized long acceptedAtMicros(int number) {
        UnfinishedMessage entry = state.get(number);
        return entry == null ? 0 : entry.acceptedAtMicros();
    }

    /** Size of this journal's segments in bytes. */
    public synchronized long sizeBytes() {
        return segments.bytes();
    }

    /** Number of failed writes. */
    public synchronized long failedWrites() {
        return failedWrites;
    }

    /** Number of snapshots written since the start. */
    public synchronized long snapshotCount() {
        return snapshotCount;
    }

    /** Total size of the snapshots written since the start, in bytes. */
    public synchronized long snapshotBytesWritten() {
        return snapshotBytesWritten;
    }

    /** The longest time that a snapshot has taken, in seconds, for which all other steps had to wait. */
    public synchronized double longestSnapshotSeconds() {
        return longestSnapshotNanos / 1e9;
    }

    // ---- steps that are written before they happen ----

    /**
     * Records that an RPC of the class is accepted.
     *
     * @return the number of the new message
     * @throws JournalUnavailableException if it is not written and must not be accepted
     */
    public synchronized int writeAccepted(RpcRequest request, String className) {
        int number = state.nextNumber();
        UnfinishedMessage entry =
                new UnfinishedMessage(number, request, className, SteadyClock.micros(), 0, null, null, null);
        long size = entry.sizeBytes();
        if (!room.admits(roomUse(), size)) {
            state.forgetOldEnds(SteadyClock.millis());
            // a snapshot in a new segment frees the room of finished messages
            snapshotNeeded |= room.snapshotPaysForMessage(measuredRoomUse(), size);
        }
        if (!writeSnapshotIfNeeded() || !room.admits(roomUse(), size) || !append(JournalRecords.accepted(entry))) {
            throw new JournalUnavailableException(null);
        }
        state.put(entry);
        return number;
    }

    private JournalRoom.Use roomUse() {
        long otherProcessBytes = otherProcess == null ? 0 : otherProcess.segmentBytes();
        return new JournalRoom.Use(segments.bytes(), state.snapshotBytes(), otherProcessBytes, otherFiles.bytes());
    }

    /** As {@link #roomUse}, with a new look at what the other process of an upgrade has written meanwhile. */
    private JournalRoom.Use measuredRoomUse() {
        if (otherProcess != null) {
            try {
                otherProcess.measureSegments();
            } catch (IOException e) {
                LOG.debug("journal: the other process's segments cannot be measured: {}", e.toString());
            }
        }
        return roomUse();
    }

    /**
     * Records that an attempt is about to start for an endpoint in the zone. If it cannot be written, a {@link
     * JournalUnavailableException} is thrown and the attempt must not start.
     */
    public synchronized Attempt writeAttempt(int number, int zoneIndex) {
        Attempt attempt = new Attempt(SteadyClock.millis(), zoneIndex);
        UnfinishedMessage updated = state.get(number).withAttempt(attempt);
        byte[] record = JournalRecords.attempt(number, attempt);
        makeRoomFor(record);
        if (!writeSnapshotIfNeeded() || !append(record)) {
            throw new JournalUnavailableException(null);
        }
        state.put(updated);
        return attempt;
    }

    // ---- steps that have already happened: they change the state in memory at once ----

    /** Records the end of the attempt in flight. */
    public synchronized void writeOutcome(int number, boolean neverRan) {
        state.put(state.get(number).withOutcome(neverRan));
        appendOrSnapshot(JournalRecords.outcome(number, neverRan));
    }

    /**
     * Records the end of an RPC, which may still have to be reported.
     *
     * @return whether the end is already in the folder
     */
    public synchronized boolean writeEnd(int number, RpcEnd end) {
        UnfinishedMessage entry = state.get(number).withEnd(end);
        state.put(entry);
        long nowMillis = SteadyClock.millis();
        if (entry.keyIsRemembered()) {
            state.remember(entry.request().key(), new RememberedEnds.End(nowMillis, end.kind()));
        }
        return appendOrSnapshot(JournalRecords.ended(number, end, nowMillis));
    }

    /**
     * Records that the RPC's end is acknowledged or needs no report. The message is finished.
     *
     * @return whether it was unfinished until now
     */
    public synchronized boolean writeAcknowledged(int number) {
        if (!state.remove(number)) {
            return false;
        }
        appendOrSnapshot(JournalRecords.acknowledged(number));
        return true;
    }

    /** The end of an RPC with this key that is accepted only once, if it came within the last two minutes, or null. */
    synchronized RememberedEnds.End recentEnd(String key) {
        return state.recentEnd(key, SteadyClock.millis());
    }

    /**
     * What the other process of an upgrade knows of the message with this key, as far as it is in the folder now.
     *
     * @throws IOException if the folder cannot be read
     */
    synchronized OtherProcessMessages.Knowledge otherProcessKnowledge(String key) throws IOException {
        if (otherProcess == null) {
            otherProcess = new OtherProcessMessages(folder, path -> segments.owns(path), maxRememberedEndBytes);
        }
        return otherProcess.knowledgeOf(key);
    }

    // ---- writing and catching up ----

    /** Whether the folder lacks steps because it could not be written. */
    public synchronized boolean isBehind() {
        return snapshotNeeded;
    }

    /**
     * Sets the action that requests a call of {@link #catchUp}. It runs under this journal's lock and must not block.
     */
    public synchronized void onBehind(Runnable action) {
        catchUpRequest = action;
    }

    /** Runs the action once all steps so far are written: immediately, or during a later {@link #catchUp}. */
    public void runOnceWritten(Runnable action) {
        synchronized (this) {
            if (snapshotNeeded) {
                actionsOnceWritten.add(action);
                catchUpRequest.run();
                return;
            }
        }
        action.run();
    }

    /**
     * Writes a snapshot to a new segment if the folder lacks steps.
     *
     * @return whether the folder now holds all steps
     */
    public boolean catchUp() {
        List<Runnable> actions;
        synchronized (this) {
            if (!writeSnapshotIfNeeded()) {
                return false;
            }
            actions = List.copyOf(actionsOnceWritten);
            actionsOnceWritten.clear();
        }
        actions.forEach(Runnable::run); // outside of the lock, since they report ends
        return true;
    }

    private boolean writeSnapshotIfNeeded() {
        if (!snapshotNeeded) {
            return true;
        }
        if (lastWriteFailed && System.nanoTime() - retryAtNanos < 0) {
            // a snapshot for each step would load the processor and the failing folder
            return false;
        }
        long startNanos = System.nanoTime();
        byte[] snapshot = state.snapshot(firstSegment, SteadyClock.mark(), SteadyClock.millis());
        try {
            segments.replace(snapshot);
        } catch (IOException e) {
            onWriteFailed(e);
            return false;
        }
        snapshotCount++;
        snapshotBytesWritten += snapshot.length;
        longestSnapshotNanos = Math.max(longestSnapshotNanos, System.nanoTime() - startNanos);
        snapshotNeeded = false;
        onWriteSucceeded();
        return true;
    }

    /** Asks for a snapshot if the record of an accepted message needs room that a snapshot frees at a fair price. */
    private void makeRoomFor(byte[] record) {
        if (!room.fits(roomUse(), record.length)) {
            snapshotNeeded |= room.snapshotPaysForRecord(measuredRoomUse());
        }
    }

    /**
     * Appends a step that has happened, or a snapshot that includes it; if neither can be written now, a later snapshot
     * will include it.
     *
     * @return whether the step is in the folder
     */
    private boolean appendOrSnapshot(byte[] record) {
        makeRoomFor(record);
        if (snapshotNeeded || !append(record)) {
            // the state in memory already includes the step
            snapshotNeeded = true;
            return writeSnapshotIfNeeded();
        }
        return true;
    }

    private boolean append(byte[] record) {
        try {
            segments.append(record);
            onWriteSucceeded();
            return true;
        } catch (IOException e) {
            // a closed segment stays closed, so the next step goes to a new one
            snapshotNeeded |= !segments.isOpen();
            onWriteFailed(e);
            return false;
        }
    }

    private void onWriteFailed(IOException cause) {
        failedWrites++;
        retryAtNanos = System.nanoTime() + CATCH_UP_RETRY_NANOS;
        catchUpRequest.run();
        if (!lastWriteFailed) {
            lastWriteFailed = true;
            LOG.atError().log("journal: writes fail; no message is accepted or sent: {}", cause.toString());
        }
    }

    private void onWriteSucceeded() {
        if (lastWriteFailed) {
            lastWriteFailed = false;
            LOG.atInfo().addKeyValue("failures", failedWrites).log("journal: writes succeed again");
        }
    }
}
