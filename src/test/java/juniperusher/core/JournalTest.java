package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** What a process finds of what an earlier one wrote, wherever that one was cut off. */
public class JournalTest {
    private static final long ROOM = 3 << 20;

    private static RpcRequest request(String id, boolean once, int body) {
        return new RpcRequest(id, "http", 1, 7, 1_900_000_000_000L, "to", once, new byte[body]);
    }

    private static Path segment(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            // The lock file of the folder's owner stands beside the segments.
            List<Path> all = files.filter(path -> path.getFileName().toString().startsWith("journal-"))
                    .toList();
            assertEquals(all.size(), 1, "segments: " + all);
            return all.get(0);
        }
    }

    /** Each step of an RPC's life, and what a restart must find after it. */
    private static List<String> life(Journal journal, boolean write) {
        List<String> states = new ArrayList<>(List.of("nothing"));
        int number = write ? journal.taken(request("a", true, 100), "c") : 0;
        states.add("0 attempts, ran=false, end=null");
        if (write) {
            journal.attempt(number, 0);
        }
        states.add("1 attempts, ran=true, end=null"); // out with no outcome: it may have run
        if (write) {
            journal.outcome(number, true);
        }
        states.add("1 attempts, ran=false, end=null");
        if (write) {
            journal.attempt(number, 0);
        }
        states.add("2 attempts, ran=true, end=null");
        if (write) {
            journal.outcome(number, false);
        }
        states.add("2 attempts, ran=true, end=null");
        if (write) {
            journal.ended(number, new RpcEnd("a", "to", RpcEnd.Kind.GIVEN_UP, 0));
        }
        states.add("2 attempts, ran=true, end=GIVEN_UP");
        if (write) {
            journal.acknowledged(number);
        }
        states.add("nothing");
        return states;
    }

    private static String found(Journal journal) {
        if (journal.recovered().isEmpty()) {
            return "nothing";
        }
        Journal.Owed owed = journal.recovered().get(0);
        return owed.attempts() + " attempts, ran=" + owed.mayHaveRun() + ", end="
                + (owed.end() == null ? null : owed.end().kind());
    }

    @Test
    public void aCutAtAndInsideEveryRecordLeavesWhatWasWholeBefore() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        List<String> states = life(new Journal(folder, ROOM, 10), true);
        byte[] all = Files.readAllBytes(segment(folder));
        List<Integer> ends = new ArrayList<>(List.of(0));
        while (ends.get(ends.size() - 1) < all.length) {
            int at = ends.get(ends.size() - 1);
            ends.add(at + 8 + ByteBuffer.wrap(all).getInt(at));
        }
        // A segment begins with a snapshot, of which a fresh journal's holds nothing between its two records.
        states.addAll(0, List.of("nothing", "nothing"));
        assertEquals(ends.size(), states.size(), "records");
        for (int cut = 0; cut <= all.length; cut++) {
            int whole = 0;
            while (whole + 1 < ends.size() && ends.get(whole + 1) <= cut) {
                whole++;
            }
            Path copy = Files.createTempDirectory("cut");
            Files.write(copy.resolve("journal-00000001"), Arrays.copyOf(all, cut));
            assertEquals(found(new Journal(copy, ROOM, 10)), states.get(whole), "cut at byte " + cut);
        }
    }

    @Test
    public void aDamagedRecordEndsItsSegment() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, ROOM, 10);
        journal.taken(request("a", false, 10), "c");
        int whole = (int) Files.size(segment(folder));
        journal.taken(request("b", false, 10), "c");
        byte[] all = Files.readAllBytes(segment(folder));
        for (int at = whole; at < all.length; at++) {
            byte[] damaged = all.clone();
            damaged[at] ^= 0x10;
            Path copy = Files.createTempDirectory("damaged");
            Files.write(copy.resolve("journal-00000001"), damaged);
            assertEquals(new Journal(copy, ROOM, 10).recovered().size(), 1, "damage at byte " + at);
        }
    }

    @Test
    public void itRefusesBeforeTakingWhenBothCopiesWouldNotFit() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, ROOM, 100);
        int taken = 0;
        while (journal.taken(request("m" + taken, false, 64 * 1024), "c") > 0) {
            taken++;
            assertTrue(size(folder) <= ROOM, "over the room");
        }
        assertTrue(taken >= 15, "only " + taken + " taken");
        for (int number = 1; number <= taken; number++) {
            journal.attempt(number, 0);
            journal.outcome(number, true);
            assertTrue(size(folder) <= ROOM, "over the room");
        }
        assertEquals(new Journal(folder, ROOM, 100).recovered().size(), taken);
        assertTrue(size(folder) <= ROOM, "over the room after a restart");
    }

    @Test
    public void roomComesBackWhenRpcsEnd() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, ROOM, 100);
        for (int i = 0; i < 400; i++) {
            int number = journal.taken(request("m" + i, false, 64 * 1024), "c");
            assertTrue(number > 0, "refused at " + i);
            journal.ended(number, new RpcEnd("m" + i, "", RpcEnd.Kind.DELIVERED, 0));
            journal.acknowledged(number);
            assertTrue(size(folder) <= ROOM, "over the room");
        }
    }

    private static long size(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(path -> (path.toFile().length() + 511) / 512 * 512)
                    .sum();
        }
    }

    @Test
    public void anIdThatIsTakenOnceIsKnownAfterItsEndAndAfterARestart() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, ROOM, 10);
        for (String id : List.of("done", "back")) {
            int number = journal.taken(request(id, true, 1), "c");
            journal.ended(
                    number,
                    new RpcEnd(id, "to", id.equals("done") ? RpcEnd.Kind.DELIVERED : RpcEnd.Kind.HANDED_BACK, 0));
            journal.acknowledged(number);
        }
        for (Journal each : List.of(journal, new Journal(folder, ROOM, 10), new Journal(folder, ROOM, 10))) {
            assertTrue(each.endedRecently("http done"));
            assertFalse(each.endedRecently("http back"), "what never ran may come again");
        }
    }

    @Test
    public void compactionKeepsThatAnAttemptIsOut() throws IOException {
        Path folder = Files.createTempDirectory("journal");
        Journal journal = new Journal(folder, ROOM, 10);
        int number = journal.taken(request("a", false, 10), "c");
        journal.attempt(number, 0);
        for (int i = 0; i < 100; i++) {
            int other = journal.taken(request("m" + i, false, 64 * 1024), "c");
            journal.acknowledged(other);
        }
        Journal.Owed owed = new Journal(folder, ROOM, 10).recovered().get(0);
        assertEquals(owed.attempts(), 1);
        assertTrue(owed.mayHaveRun());
        assertNull(owed.end());
    }
}
