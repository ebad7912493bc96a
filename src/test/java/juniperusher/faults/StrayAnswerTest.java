package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against incident f1bc77: bytes that came behind an answer were taken for the answer to the next call on the
 * same connection, so that messages were lost or run twice.
 */
public class StrayAnswerTest {
    private static final long SEED = 46;
    private static final long MAX_BUDGET_MILLIS = 2_500;
    private static final long TRAFFIC_MILLIS = 5_000;
    private static final double STRAY_SHARE = 0.2;
    private static final double REFUSED_SHARE = 0.06;
    private static final double FAILED_SHARE = 0.6; // messages that must not be repeated then end by a status report
    private static final double RESET_SHARE = 0.3;

    @DataProvider
    public Object[][] strayBytes() {
        return new Object[][] {
            {StrayBytes.Kind.COPY, 0, 1},
            {StrayBytes.Kind.COPY, 1, 12},
            {StrayBytes.Kind.COPY, 20, 80},
            {StrayBytes.Kind.COPY, 100, 400},
            {StrayBytes.Kind.COPY, 1_000, 3_000},
            {StrayBytes.Kind.COPY_IN_PIECES, 1, 12},
            {StrayBytes.Kind.SEVERAL_COPIES, 1, 40},
            {StrayBytes.Kind.REFUSAL, 1, 40},
            {StrayBytes.Kind.TIMEOUT_NOTICE, 1, 40},
            {StrayBytes.Kind.BYTES_BEYOND_LENGTH, 0, 1},
            {StrayBytes.Kind.LENGTH_BEYOND_BYTES, 0, 1}
        };
    }

    /** Guards against a call that takes bytes behind an earlier answer of the endpoint for its own answer. */
    @Test(dataProvider = "strayBytes")
    public void noCallTakesStrayBytesOfEndpointForItsAnswer(StrayBytes.Kind kind, int minMillis, int maxMillis)
            throws Exception {
        StrayBytes stray = new StrayBytes(kind, STRAY_SHARE, minMillis, maxMillis, SEED);
        try (FaultTestbed testbed = new FaultTestbed(SEED, MAX_BUDGET_MILLIS)) {
            Random random = new Random(SEED);
            testbed.endpoints.forEach(endpoint -> {
                endpoint.setBehaviour(ids -> treatment(random, EndpointStandIn.TreatmentKind.REFUSE, REFUSED_SHARE));
                endpoint.setStrayBytes(stray);
            });
            playAndCheck(testbed, stray);
        }
    }

    /** Guards against a status report that takes a second 204 to an earlier report for its own acknowledgement. */
    @Test
    public void noStatusReportTakesStrayBytesOfPlatformForItsAcknowledgement() throws Exception {
        StrayBytes stray = new StrayBytes(StrayBytes.Kind.COPY, 1, 1, 12, SEED);
        try (FaultTestbed testbed = new FaultTestbed(SEED, MAX_BUDGET_MILLIS)) {
            Random random = new Random(SEED);
            testbed.endpoints.forEach(endpoint ->
                    endpoint.setBehaviour(ids -> treatment(random, EndpointStandIn.TreatmentKind.FAIL, FAILED_SHARE)));
            testbed.platform.setStrayBytes(stray);
            testbed.platform.setResetShare(RESET_SHARE);
            playAndCheck(testbed, stray);
        }
    }

    private static EndpointStandIn.Treatment treatment(
            Random random, EndpointStandIn.TreatmentKind exception, double share) {
        synchronized (random) {
            return new EndpointStandIn.Treatment(
                    random.nextDouble() < share ? exception : EndpointStandIn.TreatmentKind.DELIVER,
                    30 + random.nextInt(60));
        }
    }

    private static void playAndCheck(FaultTestbed testbed, StrayBytes stray) throws Exception {
        testbed.startClients();
        Thread.sleep(TRAFFIC_MILLIS);
        String violations = String.join("\n", testbed.settleAndCheck());
        System.out.println("stray bytes: " + stray + ", sent " + stray.sentCount() + " times; taken "
                + testbed.ledger.accepted() + ", delivered " + testbed.ledger.delivered());
        assertTrue(stray.sentCount() > 0, "no stray bytes were sent");
        assertEquals(violations, "");
    }
}
