package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Two processes of an upgrade on one folder: the journal's take-over and the waits that both keep. */
public class TakeOverTest {
    private static final long ROOM = 3L << 20;

    private static RpcRequest request(String id, boolean once) {
        return new RpcRequest(id, "http", 1, 7, 1_900_000_000_000L, "to", once, new byte[40]);
    }

    @Test
    public void aSuccessorLeavesTheOwnersJournalAloneUntilItEndsAndThenTakesUpWhatIsOwed() throws Exception {
        Path folder = Files.createTempDirectory("take-over");
        Journal old = new Journal(folder, ROOM, 100);
        int sent = old.taken(request("sent", true), "c");
        old.attempt(sent, 0); // out when the old one ends: may have run
        int waiting = old.taken(request("waiting", false), "c");
        int delivered = old.taken(request("delivered", false), "c");
        old.ended(delivered, new RpcEnd("delivered", "to", RpcEnd.Kind.DELIVERED, 0));
        old.acknowledged(delivered);

        Journal next = new Journal(folder, ROOM, 100, true);
        assertTrue(next.isSuccessor());
        assertEquals(next.recovered(), List.of(), "the successor took up what the owner still sends");
        int own = next.taken(request("own", false), "c");
        CompletableFuture<List<Journal.Owed>> taken = CompletableFuture.supplyAsync(() -> {
            try {
                return next.takeOverFromPredecessor();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        // The owner goes on writing, and compacts, while the successor waits.
        int late = old.taken(request("late", false), "c");
        for (int i = 0; i < 2_000; i++) {
            int brief = old.taken(request("brief-" + i, false), "c");
            old.ended(brief, new RpcEnd("brief-" + i, "to", RpcEnd.Kind.DELIVERED, 0));
            old.acknowledged(brief);
        }
        assertFalse(taken.isDone(), "taken over while the owner lives");
        old.close();
        List<Journal.Owed> over = taken.get(10, TimeUnit.SECONDS);
        assertFalse(next.isSuccessor());
        assertEquals(
                over.stream().map(one -> one.request().id()).sorted().toList(), List.of("late", "sent", "waiting"));
        Journal.Owed mayHaveRun = over.stream()
                .filter(one -> one.request().id().equals("sent"))
                .findAny()
                .orElseThrow();
        assertTrue(mayHaveRun.mayHaveRun(), "an attempt out at the end may have run");
        assertTrue(over.stream().noneMatch(one -> one.number() == own), "numbers of the two met");
        assertTrue(waiting > 0 && late > 0);
        next.close();

        // A restart after the take-over finds both its own and what it took over, once each.
        List<String> after = Journal.read(folder).stream()
                .map(one -> one.request().id())
                .sorted()
                .toList();
        assertEquals(after, List.of("late", "own", "sent", "waiting"));
    }

    @Test
    public void aWaitToldToOneProcessHoldsTheOtherAndIsNeverCutShort() throws Exception {
        Path folder = Files.createTempDirectory("waits");
        SharedRetryDelays one = new SharedRetryDelays(folder);
        SharedRetryDelays other = new SharedRetryDelays(folder);
        assertNull(other.pollChanges());
        long now = System.currentTimeMillis();
        one.add(3, now + 5_000);
        Map<Integer, Long> seen = other.pollChanges();
        assertEquals(seen, Map.of(3, now + 5_000));
        other.add(3, now + 1_000); // shorter: the longer one stands
        other.add(4, now - 1); // over: dropped
        Thread.sleep(20); // the file system's clock must move for a change to be seen again
        one.add(5, now + 2_000);
        assertEquals(other.pollChanges(), Map.of(3, now + 5_000, 5, now + 2_000));
    }
}
