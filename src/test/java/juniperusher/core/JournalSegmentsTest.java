package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Recovery from incomplete snapshots, from old segments that were not removed and from lost outcomes. */
public class JournalSegmentsTest {
    private static final long DISK_BYTES = 3 << 20;

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
        Journal.Attempt first = journal.writeAttempt(number, 0);
        journal.writeAttempt(number, 1); // the outcome of the first attempt was not recorded
        journal.writeOutcome(number, true);
        Journal.UnfinishedMessage recovered =
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
}
