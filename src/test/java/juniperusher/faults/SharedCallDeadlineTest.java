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
 * Guards against incident 1: a call shared by several messages went on after one of them had reached its deadline and
 * its end was reported to the platform. The other messages then counted as delivered by the answer to that call.
 */
public class SharedCallDeadlineTest {
    private static final String SHARED_KIND = "grande-parceiro"; // its endpoints accept ten messages per call
    private static final int SHORT_BUDGET_MILLIS = 500;
    private static final int LONG_BUDGET_MILLIS = 5_000;
    private static final int MESSAGES = 8;
    private static final int ROUNDS = 6;

    private final MessageLedger ledger = new MessageLedger();
    private final AtomicInteger mixedCalls = new AtomicInteger();
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
                platform.setEndpoints(List.of(endpoint), "lisboa-1", place -> SHARED_KIND));
        relay.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        relay.close();
        endpoint.close();
        platform.close();
    }

    /** Answers calls that contain a message with a short budget only after that message's deadline. */
    private EndpointStandIn.Treatment treat(List<String> ids) {
        boolean hasShortBudget = ids.stream().anyMatch(id -> id.endsWith("5"));
        boolean hasLongBudget = ids.stream().anyMatch(id -> !id.endsWith("5"));
        if (ids.size() > 1 && hasShortBudget && hasLongBudget) {
            mixedCalls.incrementAndGet();
        }
        return new EndpointStandIn.Treatment(
                EndpointStandIn.TreatmentKind.DELIVER, hasShortBudget ? SHORT_BUDGET_MILLIS + 200 : 60);
    }

    @Test
    public void noEndIsReportedWhileCallWithMessageIsInFlight() throws Exception {
        for (int round = 0; round < ROUNDS && mixedCalls.get() < 2; round++) {
            submitTogether();
            Thread.sleep(SHORT_BUDGET_MILLIS + 800);
        }
        assertTrue(mixedCalls.get() > 0, "no call was shared by messages with short and long budgets");
        Thread.sleep(LONG_BUDGET_MILLIS);
        assertEquals(String.join("\n", ledger.checkRules()), "");
    }

    private void submitTogether() throws InterruptedException, IOException {
        List<Thread> clients = new ArrayList<>();
        CountDownLatch start = new CountDownLatch(1);
        for (int i = 0; i < MESSAGES; i++) {
            boolean shortBudget = i % 4 == 0;
            String id = TrafficClient.newId() + (shortBudget ? "5" : "0");
            Thread client = new Thread(() -> {
                try (TrafficClient submitter = new TrafficClient(relay.address(), ledger)) {
                    start.await();
                    submitter.submit(0, 0, shortBudget ? SHORT_BUDGET_MILLIS : LONG_BUDGET_MILLIS, id);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            client.start();
            clients.add(client);
        }
        start.countDown();
        for (Thread client : clients) {
            client.join();
        }
    }
}
