package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Guards against answers to shared calls whose nested brackets use up the stack, so that the calls never ended. */
public class NestedAnswerTest {
    private static final long SEED = 62;
    private static final long BUDGET_MILLIS = 3_000;
    private static final int MESSAGES = 40;
    private static final int DESTINATION = 0; // whose kind takes ten messages in a call
    private static final Pattern FAILED = Pattern.compile("attempts_total\\{end=\"failed\"} (\\d+)");

    @Test
    public void callWithANestedAnswerEndsAsFailed() throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(SEED, BUDGET_MILLIS)) {
            AtomicInteger failed = new AtomicInteger(); // messages whose answer could not be read
            testbed.endpoints.forEach(endpoint -> endpoint.setBehaviour(ids -> {
                boolean nested = ids.size() > 1 && failed.get() < MESSAGES / 4;
                failed.addAndGet(nested ? ids.size() : 0);
                return new EndpointStandIn.Treatment(
                        nested ? EndpointStandIn.TreatmentKind.NESTED_ANSWER : EndpointStandIn.TreatmentKind.DELIVER,
                        20);
            }));
            submitTogether(testbed);
            assertEquals(String.join("\n", testbed.settleAndCheck()), "");
            assertTrue(failed.get() > 0, "no shared call");
            assertEquals(failedAttempts(testbed), failed.get(), "attempts that ended as failed");
        }
    }

    private static void submitTogether(FaultTestbed testbed) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            clients.add(new Thread(() -> {
                try (TrafficClient client = new TrafficClient(testbed.relay.address(), testbed.ledger)) {
                    client.submit(0, DESTINATION, BUDGET_MILLIS, TrafficClient.newId());
                }
            }));
        }
        clients.forEach(Thread::start);
        for (Thread client : clients) {
            client.join();
        }
    }

    private static int failedAttempts(FaultTestbed testbed) throws Exception {
        URI metrics = URI.create("http://127.0.0.1:" + testbed.relay.address().getPort() + "/metrics");
        String text = HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(metrics).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        Matcher failed = FAILED.matcher(text);
        return failed.find() ? Integer.parseInt(failed.group(1)) : 0;
    }
}
