package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Recovery from incomplete snapshots, from old segments that were not removed and from lost outcomes. */
public class JournalSegmentsTest {
    private static final long DISK_BYTES = 3 << 20;
    private static final long LARGE_DISK_BYTES = 64 << 20; // a snapshot takes long enough to be seen half written

    private static RpcRequest request(String id) {
        return new RpcRequest(id, "http", 1, 7, 1_900_000_000_000L, "to", false, new byte[10]);
    }

    private static List<String> unfinishedIds(Path folder) throws IOException {
        return Journal.read(folder).stream().map(entry -> entry.request().id()).toList();
    }

    private static Path newestSegment(Path folder) throws IOException {
        List<Path> segments = JournalSegments.all(folder);
        return segments.get(segments.size() - 1);
    }

    /**
     * A kill may leave any part of a new snapshot. A finished message must not be resumed, and an unfinished one must
     * not be lost.
     */
    @Test
    public void snapshotCutAtAnyByteNeitherRevivesNorLosesMessages() throws IOException {
        Path folder = Files.createTempDirectory("segments");
        Journal before = new Journal(folder, DISK_BYTES, 10);
        int finished = before.writeAccepted(request("over"), "c");
        before.writeAccepted(request("owed"), "c");
        Path oldSegment = newestSegment(folder);
        byte[] withoutEnd = Files.readAllBytes(oldSegment);
        before.writeAcknowledged(finished);
        byte[] withEnd = Files.readAllBytes(oldSegment);
        before.close();
        // writes a snapshot to a new segment and removes the old one
        new Journal(folder, DISK_BYTES, 10).close();
        byte[] snapshot = Files.readAllBytes(newestSegment(folder));
        for (int cut = 0; cut <= snapshot.length; cut++) {
            assertEquals(idsAfterCut(withEnd, Arrays.copyOf(snapshot, cut)), List.of("owed"), "cut at byte " + cut);
        }
        assertEquals(
                idsAfterCut(withoutEnd, snapshot),
                List.of("owed"),
                "the old segment was not removed and lacks the end");
    }

    private static List<String> idsAfterCut(byte[] old, byte[] next) throws IOException {
        Path folder = Files.createTempDirectory("cut");
        Files.write(folder.resolve("journal-00000001"), old);
        Files.write(folder.resolve("journal-00000002"), next);
        return unfinishedIds(folder);
    }

    @Test
    public void attemptWithoutOutcomeMayHaveRunAfterALaterAttempt() throws IOException {
        Path folder = Files.createTempDirectory("segments");
        Journal journal = new Journal(folder, DISK_BYTES, 10);
        int number = journal.writeAccepted(request("a"), "c");
        Attempt first = journal.writeAttempt(number, 0);
        journal.writeAttempt(number, 1); // the outcome of the first attempt was not recorded
        journal.writeOutcome(number, true);
        UnfinishedMessage recovered =
                new Journal(folder, DISK_BYTES, 10).recovered().get(0);
        assertTrue(recovered.mayHaveRun());
        assertEquals(recovered.firstPossibleRun(), first);
    }

    /**
     * At an upgrade two processes write snapshots into one folder. Neither snapshot may replace the messages of the
     * other process.
     */
    @Test
    public void successorSnapshotKeepsTheOwnersMessages() throws IOException {
        Path folder = Files.createTempDirectory("segments");
        Journal owner = new Journal(folder, DISK_BYTES, 10);
        owner.writeAccepted(request("owners"), "c");
        Journal successor = new Journal(folder, DISK_BYTES, 10, true);
        successor.writeAccepted(request("successors"), "c");
        assertEquals(unfinishedIds(folder), List.of("owners", "successors"));
    }

    // Guards against a third copy of the state in the folder: a kill left a snapshot half written, or the old segment
    // beside a complete one, and the next process wrote its own beside both.
    @Test
    public void startNeedsRoomForTwoCopiesWhereverASnapshotWasKilled() throws Exception {
        Path killed = Files.createTempDirectory("segments");
        Journal journal = new Journal(killed, LARGE_DISK_BYTES, 10);
        fill(journal);
        journal.close();
        byte[] old = Files.readAllBytes(newestSegment(killed));
        new Journal(killed, LARGE_DISK_BYTES, 10).close();
        byte[] snapshot = Files.readAllBytes(newestSegment(killed));
        for (int written : List.of(snapshot.length * 9 / 10, snapshot.length - 1, snapshot.length)) {
            Path folder = Files.createTempDirectory("killed");
            Files.write(folder.resolve("journal-00000001"), old);
            Files.write(folder.resolve("journal-00000002"), Arrays.copyOf(snapshot, written));
            int unfinished = unfinishedIds(folder).size();
            try (FolderWatch watch = new FolderWatch(folder)) {
                assertEquals(
                        new Journal(folder, LARGE_DISK_BYTES, 10).recovered().size(), unfinished);
                assertTrue(
                        watch.mostBytes() <= LARGE_DISK_BYTES,
                        "killed after " + written + " bytes: the folder held " + watch.mostBytes());
            }
        }
    }

    // Guards against the same third copy at an upgrade, whose old process is killed while it writes a snapshot.
    @Test
    public void takeOverNeedsRoomForTwoCopiesAfterAKilledSnapshot() throws Exception {
        Path folder = Files.createTempDirectory("segments");
        Journal owner = new Journal(folder, LARGE_DISK_BYTES, 10);
        Journal successor = new Journal(folder, LARGE_DISK_BYTES, 10, true);
        fill(owner);
        Path segment = newestSegmentBelow(folder, 10_000);
        byte[] state = Files.readAllBytes(segment);
        owner.close();
        Path next = folder.resolve(String.format("journal-%08d", JournalSegments.number(segment) + 1));
        Files.write(next, Arrays.copyOf(asSnapshot(state), state.length * 9 / 10));
        try (FolderWatch watch = new FolderWatch(folder)) {
            assertTrue(successor.takeOverFromPredecessor().size() > 300);
            assertTrue(watch.mostBytes() <= LARGE_DISK_BYTES, "the folder held " + watch.mostBytes());
        }
    }

    // Guards against a new process of an upgrade whose first snapshot repeats the ends that the old one remembers: the
    // folder has no room for them beside a snapshot of the old one.
    @Test
    public void successorBeginsWithoutACopyOfTheOwnersEnds() throws Exception {
        Path folder = Files.createTempDirectory("segments");
        Journal owner = new Journal(folder, DISK_BYTES, 10);
        for (int i = 0; i < 1_000; i++) {
            int number = owner.writeAccepted(onceRequest("id-" + i), "c");
            owner.writeEnd(number, new RpcEnd("id-" + i, "to", RpcEnd.Kind.DELIVERED, 0));
            owner.writeAcknowledged(number);
        }
        Journal successor = new Journal(folder, DISK_BYTES, 10, true);
        assertTrue(successor.sizeBytes() <= 512, "the first snapshot takes " + successor.sizeBytes() + " bytes");
        assertEquals(successor.otherProcessKnowledge("http id-7").end().kind(), RpcEnd.Kind.DELIVERED);
        owner.close();
        successor.takeOverFromPredecessor();
        assertEquals(successor.recentEnd("http id-7").kind(), RpcEnd.Kind.DELIVERED);
        successor.close();
        Journal restarted = new Journal(folder, DISK_BYTES, 10);
        assertEquals(restarted.recentEnd("http id-999").kind(), RpcEnd.Kind.DELIVERED);
    }

    private static RpcRequest onceRequest(String id) {
        return new RpcRequest(id, "http", 1, 7, 1_900_000_000_000L, "to", true, new byte[10]);
    }

    /** Accepts messages until there is no room for more. */
    private static void fill(Journal journal) {
        byte[] body = new byte[64 * 1024];
        for (int i = 0; ; i++) {
            try {
                journal.writeAccepted(
                        new RpcRequest("m" + i, "http", 1, 7, 1_900_000_000_000L, "to", false, body), "c");
            } catch (JournalUnavailableException e) {
                return;
            }
        }
    }

    /** The bytes of a segment that begins as a snapshot of all its messages does, without its end. */
    private static byte[] asSnapshot(byte[] segment) {
        // a journal's first snapshot is empty: without its last record all that follows belongs to it
        int first = 8 + ByteBuffer.wrap(segment).getInt();
        int last = 8 + ByteBuffer.wrap(segment).getInt(first);
        byte[] begun = Arrays.copyOf(segment, segment.length - last);
        System.arraycopy(segment, first + last, begun, first, segment.length - first - last);
        return begun;
    }

    private static Path newestSegmentBelow(Path folder, int number) throws IOException {
        List<Path> segments = JournalSegments.all(folder).stream()
                .filter(path -> JournalSegments.number(path) < number)
                .toList();
        return segments.get(segments.size() - 1);
    }

    // Guards against refused messages in the journal of an earlier version, whose message numbers could overflow: a
    // new process sent them.
    @Test
    public void neverSentMessageWithANegativeNumberIsReturned() throws IOException {
        Path folder = Files.createTempDirectory("segments");
        UnfinishedMessage refused =
                new UnfinishedMessage(Integer.MIN_VALUE + 5, request("refused"), "c", 0, 0, null, null, null);
        Files.write(folder.resolve("journal-00000001"), JournalRecords.accepted(refused));
        UnfinishedMessage recovered =
                new Journal(folder, DISK_BYTES, 10).recovered().get(0);
        assertEquals(recovered.end().kind(), RpcEnd.Kind.HANDED_BACK);
        assertTrue(recovered.number() > 0, "number " + recovered.number());
    }

    // Guards against segment numbers that outgrow the digits of a segment's name, so that a restart reads no journal.
    @Test
    public void messagesOutlastTheHighestSegmentNumber() throws Exception {
        Path folder = Files.createTempDirectory("segments");
        new Journal(folder, DISK_BYTES, 10).close();
        Files.move(newestSegment(folder), folder.resolve("journal-999999998"));
        List<String> accepted = new ArrayList<>();
        Journal owner = new Journal(folder, DISK_BYTES, 10);
        for (int upgrade = 1; upgrade <= 3; upgrade++) {
            Journal successor = new Journal(folder, DISK_BYTES, 10, true);
            accepted.add("before-" + upgrade);
            owner.writeAccepted(request("before-" + upgrade), "c");
            accepted.add("during-" + upgrade);
            successor.writeAccepted(request("during-" + upgrade), "c");
            assertEquals(unfinishedIds(folder).stream().sorted().toList(), sorted(accepted), "upgrade " + upgrade);
            owner.close();
            successor.takeOverFromPredecessor();
            successor.close();
            owner = new Journal(folder, DISK_BYTES, 10);
            assertEquals(unfinishedIds(folder).stream().sorted().toList(), sorted(accepted), "restart " + upgrade);
        }
    }

    private static List<String> sorted(List<String> ids) {
        return ids.stream().sorted().toList();
    }
}
