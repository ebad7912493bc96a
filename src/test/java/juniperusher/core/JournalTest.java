package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** What a process recovers from the journal of an earlier one, wherever that one was cut off. */
public class JournalTest {
    private static final long DISK_BYTES = 3 << 20;

    private static RpcRequest request(String id, boolean acceptOnce, int bodyBytes) {
        return new RpcRequest(id, "http", 1, 7, 1_900_000_000_000L, "to", acceptOnce, new byte[bodyBytes]);
    }

    private static Path onlySegment(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            // The folder also holds the owner's lock file.
            List<Path> all = files.filter(path -> path.getFileName().toString().startsWith("journal-"))
                    .toList();
            assertEquals(all.size(), 1, "segments: " + all);
            return all.get(0);
        }
    }

    /** Records each step of an RPC and returns the state that a restart has to recover after each. */
    private static List<String> recordLifeCycle(Journal journal, boolean write) {
        List<String> states = new ArrayList<>(List.of("nothing"));
        int number = write ? journal.writeAccepted(request("a", true, 100), "c") : 0;
        states.add("0 attempts, ran=false, end=null");
        if (write) {
            journal.writeAttempt(number, 0);
        }
        states.add("1 attempts, ran=true, end=null"); // in flight without an outcome: it may have run
        if (write) {
            journal.writeOutcome(number, true);
        }
        states.add("1 attempts, ran=false, end=null");
        if (write) {
            journal.writeAttempt(number, 0);
        }
        states.add("2 attempts, ran=true, end=null");
        if (write) {
            journal.writeOutcome(number, false);
        }
        states.add("2 attempts, ran=true, end=null");
        if (write) {
            journal.writeEnd(number, new RpcEnd("a", "to", RpcEnd.Kind.GIVEN_UP, 0));
        }
        states.add("2 attempts, ran=true, end=GIVEN_UP");
        if (write) {
            journal.writeAcknowledged(number);
        }
        states.add("nothing");
        return states;
    }

    private static String recoveredState(Journal journal) {
        if (journal.recovered().isEmpty()) {
            return "nothing";
        }
        UnfinishedMessage entry = journal.recovered().get(0);
        return entry.attempts() + " attempts, ran=" + entry.mayHaveRun() + ", end="
                + (entry.end() == null ? null : entry.end().kind());
    }

    @Test
    public void segmentCutAtAnyByteKeepsTheCompleteRecords() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        List<String> states = recordLifeCycle(new Journal(folder, DISK_BYTES, 10), true);
        byte[] all = Files.readAllBytes(onlySegment(folder));
        List<Integer> ends = new ArrayList<>(List.of(0));
        while (ends.get(ends.size() - 1) < all.length) {
            int at = ends.get(ends.size() - 1);
            ends.add(at + 8 + ByteBuffer.wrap(all).getInt(at));
        }
        // A segment begins with a snapshot; that of a new journal has no records between its first and last one.
        states.addAll(0, List.of("nothing", "nothing"));
        assertEquals(ends.size(), states.size(), "records");
        for (int cut = 0; cut <= all.length; cut++) {
            int completeRecords = 0;
            while (completeRecords + 1 < ends.size() && ends.get(completeRecords + 1) <= cut) {
                completeRecords++;
            }
            Path copy = Files.createTempDirectory("cut");
            Files.write(copy.resolve("journal-00000001"), Arrays.copyOf(all, cut));
            assertEquals(
                    recoveredState(new Journal(copy, DISK_BYTES, 10)),
                    states.get(completeRecords),
                    "cut at byte " + cut);
        }
    }

    @Test
    public void damagedRecordEndsItsSegment() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 10);
        journal.writeAccepted(request("a", false, 10), "c");
        int completeBytes = (int) Files.size(onlySegment(folder));
        journal.writeAccepted(request("b", false, 10), "c");
        byte[] all = Files.readAllBytes(onlySegment(folder));
        for (int at = completeBytes; at < all.length; at++) {
            byte[] damaged = all.clone();
            damaged[at] ^= 0x10;
            Path copy = Files.createTempDirectory("damaged");
            Files.write(copy.resolve("journal-00000001"), damaged);
            assertEquals(new Journal(copy, DISK_BYTES, 10).recovered().size(), 1, "damage at byte " + at);
        }
    }

    @Test
    public void refusesMessagesWithoutRoomForBothCopies() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 100);
        int accepted = 0;
        while (accepts(journal, request("m" + accepted, false, 64 * 1024))) {
            accepted++;
            assertTrue(folderBytes(folder) <= DISK_BYTES, "more bytes than allowed");
        }
        assertTrue(accepted >= 15, "only " + accepted + " accepted");
        for (int number = 1; number <= accepted; number++) {
            journal.writeAttempt(number, 0);
            journal.writeOutcome(number, true);
            assertTrue(folderBytes(folder) <= DISK_BYTES, "more bytes than allowed");
        }
        assertEquals(new Journal(folder, DISK_BYTES, 100).recovered().size(), accepted);
        assertTrue(folderBytes(folder) <= DISK_BYTES, "more bytes than allowed after a restart");
    }

    private static int newestSegmentNumber(Path folder) throws IOException {
        List<Path> segments = JournalSegments.all(folder);
        return JournalSegments.number(segments.get(segments.size() - 1));
    }

    /** Accepts messages until there is no room for more, and returns their number. */
    private static int fill(Journal journal, int bodyBytes) {
        int accepted = 0;
        while (accepts(journal, request("m" + accepted, false, bodyBytes))) {
            accepted++;
        }
        return accepted;
    }

    // Guards against notices that come too late once the journal is full: each request that it refused wrote a
    // snapshot of all unfinished messages, though nothing had ended since the one before.
    @Test
    public void fullJournalRefusesWithoutWritingASnapshot() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 600);
        assertTrue(fill(journal, 20_000) > 60);
        int segment = newestSegmentNumber(folder);
        for (int i = 0; i < 200; i++) {
            assertFalse(accepts(journal, request("refused-" + i, false, 20_000)));
        }
        assertEquals(newestSegmentNumber(folder), segment, "segments begun for refused messages");
    }

    // Guards against the same late notices while a full journal gets room little by little: each message that was
    // accepted in the room of one that had ended wrote the whole state.
    @Test
    public void fullJournalWritesFourBytesOfSnapshotsForEachByteAcceptedAtMost() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 600);
        Deque<Integer> pending = new ArrayDeque<>();
        acceptWhileThereIsRoom(journal, pending);
        int accepted = pending.size();
        int initially = accepted;
        long snapshotBytes = 0;
        int segment = newestSegmentNumber(folder);
        for (int ended = 0; ended < 500; ended++) {
            int number = pending.remove();
            journal.writeEnd(number, new RpcEnd("m", "", RpcEnd.Kind.DELIVERED, 0));
            journal.writeAcknowledged(number);
            int before = pending.size();
            acceptWhileThereIsRoom(journal, pending);
            accepted += pending.size() - before;
            if (newestSegmentNumber(folder) != segment) {
                segment = newestSegmentNumber(folder);
                snapshotBytes += Files.size(onlySegment(folder));
            }
            assertTrue(pending.size() > initially * 3 / 4, "room of ended messages is not used: " + pending.size());
            assertTrue(folderBytes(folder) <= DISK_BYTES, "more bytes than allowed");
        }
        long acceptedBytes = accepted * 20_000L;
        assertTrue(snapshotBytes <= 4 * acceptedBytes, snapshotBytes + " bytes written for " + acceptedBytes);
    }

    private static void acceptWhileThereIsRoom(Journal journal, Deque<Integer> pending) {
        try {
            while (true) {
                pending.add(journal.writeAccepted(request("m", false, 20_000), "c"));
            }
        } catch (JournalUnavailableException e) {
            // full
        }
    }

    // Guards against steps of accepted messages that each write the whole state, while that takes over half of the
    // room.
    @Test
    public void stepsOfAStateOverHalfTheRoomAreAppended() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal before = new Journal(folder, DISK_BYTES, 100);
        int accepted = fill(before, 20_000);
        before.close();
        Journal journal = new Journal(folder, DISK_BYTES / 3 * 2, 100); // its limit was lowered
        int segment = newestSegmentNumber(folder);
        for (UnfinishedMessage entry : journal.recovered()) {
            journal.writeAttempt(entry.number(), 0);
            journal.writeOutcome(entry.number(), false);
            assertEquals(newestSegmentNumber(folder), segment, "a segment was begun for a step");
            assertTrue(folderBytes(folder) <= DISK_BYTES / 3 * 2, "more bytes than allowed");
        }
        for (UnfinishedMessage entry : journal.recovered()) {
            journal.writeEnd(entry.number(), new RpcEnd("m", "", RpcEnd.Kind.DELIVERED, 0));
            journal.writeAcknowledged(entry.number());
            assertTrue(folderBytes(folder) <= DISK_BYTES / 3 * 2, "more bytes than allowed");
        }
        assertTrue(accepted > 60);
        assertTrue(accepts(journal, request("next", false, 20_000)), "the room of ended messages is not used");
    }

    // Guards against a folder over its limit because only the journal's own files are counted.
    @Test
    public void otherFilesCountTowardsTheRoom() throws Exception {
        Path folder = Files.createTempDirectory("journal");
        Files.write(folder.resolve("maintenance"), new byte[200_000]);
        Files.write(folder.resolve("maintenance.new"), new byte[200_000]); // while it is replaced
        Journal journal = new Journal(folder, DISK_BYTES, 10);
        int accepted = fill(journal, 20_000);
        assertTrue(accepted > 50, "only " + accepted + " accepted");
        long copy = journal.sizeBytes();
        assertTrue(folderBytes(folder) + copy <= DISK_BYTES, "no room for a snapshot beside " + folderBytes(folder));
    }

    // Guards against a journal without an open segment, which refused every message until some other step was written.
    @Test
    public void acceptsMessagesAgainAfterItsSegmentWasClosed() throws Exception {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 100);
        Thread.currentThread().interrupt(); // makes the write fail and closes the segment's channel
        assertFalse(accepts(journal, request("refused", false, 10)));
        assertTrue(Thread.interrupted());
        long untilNanos = System.nanoTime() + 5_000_000_000L;
        while (!accepts(journal, request("accepted", false, 10))) {
            assertTrue(System.nanoTime() - untilNanos < 0, "refused for 5 s");
            Thread.sleep(10);
        }
        assertEquals(
                Journal.read(folder).stream().map(entry -> entry.request().id()).toList(), List.of("accepted"));
    }

    private static boolean accepts(Journal journal, RpcRequest request) {
        try {
            journal.writeAccepted(request, "c");
            return true;
        } catch (JournalUnavailableException e) {
            return false;
        }
    }

    @Test
    public void finishedMessagesFreeRoom() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 100);
        for (int i = 0; i < 400; i++) {
            int number = journal.writeAccepted(request("m" + i, false, 64 * 1024), "c");
            assertTrue(number > 0, "refused at " + i);
            journal.writeEnd(number, new RpcEnd("m" + i, "", RpcEnd.Kind.DELIVERED, 0));
            journal.writeAcknowledged(number);
            assertTrue(folderBytes(folder) <= DISK_BYTES, "more bytes than allowed");
        }
    }

    private static long folderBytes(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(path -> (path.toFile().length() + 511) / 512 * 512)
                    .sum();
        }
    }

    @Test
    public void keyAcceptedOnceIsRememberedAfterItsEndAndARestart() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 10);
        for (String id : List.of("done", "back")) {
            int number = journal.writeAccepted(request(id, true, 1), "c");
            journal.writeEnd(
                    number,
                    new RpcEnd(id, "to", id.equals("done") ? RpcEnd.Kind.DELIVERED : RpcEnd.Kind.HANDED_BACK, 0));
            journal.writeAcknowledged(number);
        }
        for (Journal each :
                List.of(journal, new Journal(folder, DISK_BYTES, 10), new Journal(folder, DISK_BYTES, 10))) {
            assertEquals(each.recentEnd("http done").kind(), RpcEnd.Kind.DELIVERED);
            assertNull(each.recentEnd("http back"), "a returned message may be resubmitted");
        }
    }

    @Test
    public void snapshotKeepsTheAttemptInFlight() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, DISK_BYTES, 10);
        int number = journal.writeAccepted(request("a", false, 10), "c");
        journal.writeAttempt(number, 0);
        for (int i = 0; i < 100; i++) {
            int other = journal.writeAccepted(request("m" + i, false, 64 * 1024), "c");
            journal.writeAcknowledged(other);
        }
        UnfinishedMessage entry =
                new Journal(folder, DISK_BYTES, 10).recovered().get(0);
        assertEquals(entry.attempts(), 1);
        assertTrue(entry.mayHaveRun());
        assertNull(entry.end());
    }
}
