package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Incident 1: a call that several messages share went on after one of them had come to its deadline and its end
 * was told to the platform. The others then counted as delivered by an answer to a call that was over.
 */
public class SharedCallDeadlineTest {
    private static final String SHARED_KIND = "grande-parceiro"; // its endpoints take ten messages a call
    private static final int SHORT = 500; // ms
    private static final int LONG = 5_000; // ms
    private static final int MESSAGES = 8;
    private static final int ROUNDS = 6;

    private final MessageLedger ledger = new MessageLedger();
    private final AtomicInteger mixed = new AtomicInteger();
    private EndpointStandIn endpoint;
    private PlatformStandIn platform;
    private RelayUnderTest relay;

    @BeforeMethod
    public void start() throws Exception {
        endpoint = new EndpointStandIn(ledger, this::treat);
        platform = new PlatformStandIn(ledger);
        relay = new RelayUnderTest(
                Files.createTempDirectory("shared-call"),
                platform,
                platform.serve(List.of(endpoint), "lisboa-1", place -> SHARED_KIND));
        relay.start();
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        relay.close();
        endpoint.close();
        platform.close();
    }

    /** A call in which a message with little time shares the way with others is answered behind that one's deadline. */
    private EndpointStandIn.Treatment treat(List<String> ids) {
        boolean shortOne = ids.stream().anyMatch(id -> id.endsWith("5"));
        boolean longOne = ids.stream().anyMatch(id -> !id.endsWith("5"));
        if (ids.size() > 1 && shortOne && longOne) {
            mixed.incrementAndGet();
        }
        return new EndpointStandIn.Treatment(EndpointStandIn.Kind.DELIVER, shortOne ? SHORT + 200 : 60);
    }

    @Test
    public void noEndIsToldWhileACallWithTheMessageIsOut() throws Exception {
        for (int round = 0; round < ROUNDS && mixed.get() < 2; round++) {
            handInTogether();
            Thread.sleep(SHORT + 800);
        }
        assertTrue(mixed.get() > 0, "no call was shared by messages with little and with much time");
        Thread.sleep(LONG);
        assertEquals(String.join("\n", ledger.verdict()), "");
    }

    private void handInTogether() throws InterruptedException, IOException {
        List<Thread> clients = new ArrayList<>();
        CountDownLatch together = new CountDownLatch(1);
        for (int i = 0; i < MESSAGES; i++) {
            boolean shortOne = i % 4 == 0;
            String id = TrafficClient.newId() + (shortOne ? "5" : "0");
            Thread client = new Thread(() -> {
                try (TrafficClient one = new TrafficClient(relay.address(), ledger)) {
                    together.await();
                    one.handIn(0, 0, shortOne ? SHORT : LONG, id);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            client.start();
            clients.add(client);
        }
        together.countDown();
        for (Thread client : clients) {
            client.join();
        }
    }
}
