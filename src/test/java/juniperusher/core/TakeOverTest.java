package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The two processes of an upgrade on one folder: taking over the journal and sharing retry-after delays. */
public class TakeOverTest {
    private static final long DISK_BYTES = 3L << 20;

    private static RpcRequest request(String id, boolean acceptOnce) {
        return new RpcRequest(id, "http", 1, 7, 1_900_000_000_000L, "to", acceptOnce, new byte[40]);
    }

    @Test
    public void successorTakesOverOnlyAfterTheOwnersEnd() throws Exception {
        Path folder = Files.createTempDirectory("take-over");
        Journal owner = new Journal(folder, DISK_BYTES, 100);
        int sent = owner.writeAccepted(request("sent", true), "c");
        owner.writeAttempt(sent, 0); // in flight when the owner ends: it may have run
        int waiting = owner.writeAccepted(request("waiting", false), "c");
        int delivered = owner.writeAccepted(request("delivered", false), "c");
        owner.writeEnd(delivered, new RpcEnd("delivered", "to", RpcEnd.Kind.DELIVERED, 0));
        owner.writeAcknowledged(delivered);

        Journal successor = new Journal(folder, DISK_BYTES, 100, true);
        assertTrue(successor.isSuccessor());
        assertEquals(successor.recovered(), List.of(), "the successor resumed messages that the owner still sends");
        int own = successor.writeAccepted(request("own", false), "c");
        CompletableFuture<List<UnfinishedMessage>> takeOver = CompletableFuture.supplyAsync(() -> {
            try {
                return successor.takeOverFromPredecessor();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        // The owner continues to write, also snapshots, while the successor waits.
        int late = owner.writeAccepted(request("late", false), "c");
        for (int i = 0; i < 2_000; i++) {
            int brief = owner.writeAccepted(request("brief-" + i, false), "c");
            owner.writeEnd(brief, new RpcEnd("brief-" + i, "to", RpcEnd.Kind.DELIVERED, 0));
            owner.writeAcknowledged(brief);
        }
        assertFalse(takeOver.isDone(), "taken over while the owner is running");
        owner.close();
        List<UnfinishedMessage> takenOver = takeOver.get(10, TimeUnit.SECONDS);
        assertFalse(successor.isSuccessor());
        assertEquals(
                takenOver.stream().map(one -> one.request().id()).sorted().toList(),
                List.of("late", "sent", "waiting"));
        UnfinishedMessage mayHaveRun = takenOver.stream()
                .filter(one -> one.request().id().equals("sent"))
                .findAny()
                .orElseThrow();
        assertTrue(mayHaveRun.mayHaveRun(), "an attempt in flight at the end may have run");
        assertTrue(takenOver.stream().noneMatch(one -> one.number() == own), "both processes used the same number");
        assertTrue(waiting > 0 && late > 0);
        successor.close();

        // A restart after the take-over recovers each message of both processes once.
        List<String> idsAfterRestart = Journal.read(folder).stream()
                .map(one -> one.request().id())
                .sorted()
                .toList();
        assertEquals(idsAfterRestart, List.of("late", "own", "sent", "waiting"));
    }

    /** Accepts a message in the journal; returns false if it is refused. */
    private static boolean accepts(Journal journal, String id) {
        try {
            return journal.writeAccepted(request(id, false), "c") > 0;
        } catch (JournalUnavailableException e) {
            return false;
        }
    }

    private static List<String> idsIn(Path folder) throws Exception {
        return Journal.read(folder).stream()
                .map(entry -> entry.request().id())
                .sorted()
                .toList();
    }

    // Guards against message numbers that grow with each upgrade until they overflow: the message was refused but
    // stayed
    // in the journal, and the next process sent it.
    @Test
    public void messagesAreAcceptedAfterAnyNumberOfUpgrades() throws Exception {
        Path folder = Files.createTempDirectory("upgrades");
        Journal owner = new Journal(folder, DISK_BYTES, 1_000);
        List<String> accepted = new ArrayList<>();
        for (int upgrade = 1; upgrade <= 300; upgrade++) {
            Journal successor = new Journal(folder, DISK_BYTES, 1_000, true);
            owner.close();
            successor.takeOverFromPredecessor();
            owner = successor;
            String id = String.format("after-%03d", upgrade);
            boolean isAccepted = accepts(owner, id);
            if (isAccepted) {
                accepted.add(id);
            }
            assertEquals(idsIn(folder), accepted, "written after upgrade " + upgrade + ", accepted: " + isAccepted);
        }
        assertEquals(accepted.size(), 300, "messages accepted");
    }

    // Guards against two processes of an upgrade that use one message number: a restart after both were killed found
    // only
    // one of their messages.
    @Test
    public void successorAvoidsTheNumbersOfAnOwnerThatHasAcceptedNothingYet() throws Exception {
        Path folder = Files.createTempDirectory("quiet");
        Journal first = new Journal(folder, DISK_BYTES, 100);
        Journal owner = new Journal(folder, DISK_BYTES, 100, true);
        first.close();
        owner.takeOverFromPredecessor();
        Journal successor = new Journal(folder, DISK_BYTES, 100, true);
        owner.writeAccepted(request("owners", false), "c");
        successor.writeAccepted(request("successors", false), "c");
        assertEquals(idsIn(folder), List.of("owners", "successors"));
    }

    @Test
    public void delaysAreSharedAndNeverShortened() throws Exception {
        Path folder = Files.createTempDirectory("waits");
        SharedRetryDelays one = new SharedRetryDelays(folder);
        SharedRetryDelays other = new SharedRetryDelays(folder);
        assertNull(other.pollChanges());
        long now = System.currentTimeMillis();
        one.add(3, now + 5_000);
        Map<Integer, Long> seen = other.pollChanges();
        assertEquals(seen, Map.of(3, now + 5_000));
        other.add(3, now + 1_000); // shorter: the longer delay stays
        other.add(4, now - 1); // expired: dropped
        Thread.sleep(20); // so that the modification time of the file changes
        one.add(5, now + 2_000);
        assertEquals(other.pollChanges(), Map.of(3, now + 5_000, 5, now + 2_000));
    }
}
