package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Segments of a journal that are cut off in the middle of a compaction, or that stay where they should go. */
public class JournalSegmentsTest {
    private static final long ROOM = 3 << 20;

    private static RpcRequest request(String id) {
        return new RpcRequest(id, "http", 1, 7, 1_900_000_000_000L, "to", false, new byte[10]);
    }

    private static List<String> owed(Path folder) throws IOException {
        return Journal.read(folder).stream().map(owed -> owed.request().id()).toList();
    }

    private static Path newest(Path folder) throws IOException {
        List<Path> segments = JournalSegments.all(folder);
        return segments.get(segments.size() - 1);
    }

    /** Whatever part of a compaction is there at a kill, a message that is over does not come back. */
    @Test
    public void aCompactionCutAtAnyByteBringsNothingBackAndLosesNothing() throws IOException {
        Path folder = Files.createTempDirectory("segments");
        Journal before = new Journal(folder, ROOM, 10);
        int over = before.taken(request("over"), "c");
        before.taken(request("owed"), "c");
        Path old = newest(folder);
        byte[] early = Files.readAllBytes(old);
        before.acknowledged(over);
        byte[] late = Files.readAllBytes(old);
        before.close();
        new Journal(folder, ROOM, 10).close(); // a snapshot in a new segment, the old one gone
        byte[] snapshot = Files.readAllBytes(newest(folder));
        for (int cut = 0; cut <= snapshot.length; cut++) {
            assertEquals(found(late, Arrays.copyOf(snapshot, cut)), List.of("owed"), "cut at byte " + cut);
        }
        assertEquals(found(early, snapshot), List.of("owed"), "the old segment stayed, and lacks the end");
    }

    private static List<String> found(byte[] old, byte[] next) throws IOException {
        Path folder = Files.createTempDirectory("cut");
        Files.write(folder.resolve("journal-00000001"), old);
        Files.write(folder.resolve("journal-00000002"), next);
        return owed(folder);
    }

    @Test
    public void anAttemptWithoutItsOutcomeMayHaveRunThoughALaterOneNeverDid() throws IOException {
        Path folder = Files.createTempDirectory("segments");
        Journal journal = new Journal(folder, ROOM, 10);
        int number = journal.taken(request("a"), "c");
        Journal.Attempt first = journal.attempt(number, 0);
        journal.attempt(number, 1); // the first one's outcome could not be written down
        journal.outcome(number, true);
        Journal.Owed left = new Journal(folder, ROOM, 10).recovered().get(0);
        assertTrue(left.mayHaveRun());
        assertEquals(left.firstPossibleRun(), first);
    }

    /** At an upgrade two processes write snapshots into one folder: neither stands for the other's. */
    @Test
    public void aSuccessorsSnapshotLeavesWhatTheOwnerOwes() throws IOException {
        Path folder = Files.createTempDirectory("segments");
        Journal owner = new Journal(folder, ROOM, 10);
        owner.taken(request("owners"), "c");
        Journal successor = new Journal(folder, ROOM, 10, true);
        successor.taken(request("successors"), "c");
        assertEquals(owed(folder), List.of("owners", "successors"));
    }
}
