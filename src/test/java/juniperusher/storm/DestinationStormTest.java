package juniperusher.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import juniperusher.Protocol.Rules;
import org.junit.jupiter.api.Test;

class DestinationStormTest {
    private static final Rules RULES = new Rules(0.5, 0.14, 13, 2.5, 1.5, 0.5, 10);
    private static final double RELAY_SHARE = 1.0 / 3;

    private final DestinationStorm storm = new DestinationStorm(StormSettings.DEFAULT, RULES);

    DestinationStormTest() {
        storm.setListedRate(60);
    }

    private void failCalls(double from, double until) {
        for (double now = from; now <= until; now += 0.25) {
            storm.callFailed(now, now - 0.1);
        }
    }

    @Test
    void calmDestinationHasNoRateLimit() {
        storm.messageArrived(1, false);
        storm.callSucceeded(1.2, 1.2, 0);
        assertNull(storm.updateState(1.2, RELAY_SHARE));
        assertNull(storm.acceptedRate(1.2));
    }

    @Test
    void outageNeedsFailuresOverTimeWithoutASuccess() {
        failCalls(1, 2);
        assertNull(storm.updateState(2, RELAY_SHARE), "failures for less than the limit");
        storm.callSucceeded(2.1, 2.1, 0);
        failCalls(2.2, 3.2);
        assertNull(storm.updateState(3.2, RELAY_SHARE), "a success ends the sequence of failures");
        failCalls(3.4, 4);
        assertEquals("outage", storm.updateState(4, RELAY_SHARE).reason());
        assertEquals(60 * 0.14, storm.acceptedRate(4).rateAt(4), 0.01, "the rate of slow start if it recovered now");
    }

    @Test
    void slowStartBeginsWithTheFirstSuccessAndEndsInCalm() {
        failCalls(1, 3);
        storm.updateState(3, RELAY_SHARE);
        storm.callSucceeded(10, 10, 0);
        DestinationStorm.Change change = storm.updateState(10, RELAY_SHARE);
        assertEquals(StormState.RECOVERING, change.to());
        assertEquals(60 * 0.14, storm.acceptedRate(10).rateAt(10), 0.01);
        assertEquals(60 * (0.14 + 0.86 / 2), storm.acceptedRate(10).rateAt(16.5), 0.01);
        assertNull(storm.updateState(22, RELAY_SHARE), "still in slow start");
        assertEquals(StormState.CALM, storm.updateState(24, RELAY_SHARE).to());
    }

    @Test
    void timeoutsOfCallsSentDuringTheOutageAreNoNewOutage() {
        failCalls(1, 3);
        storm.updateState(3, RELAY_SHARE);
        storm.callSucceeded(10, 10, 0);
        for (double now = 10.5; now < 15; now += 0.25) {
            storm.callFailed(now, now - 6);
        }
        assertFalse(storm.inOutage());
    }

    @Test
    void failuresDuringSlowStartAreANewOutage() {
        failCalls(1, 3);
        storm.updateState(3, RELAY_SHARE);
        storm.callSucceeded(10, 10, 0);
        storm.updateState(10, RELAY_SHARE);
        failCalls(11, 13);
        assertEquals("fell again", storm.updateState(13, RELAY_SHARE).reason());
        storm.callSucceeded(20, 20, 0);
        storm.updateState(20, RELAY_SHARE);
        assertEquals(60 * 0.14, storm.acceptedRate(20).rateAt(20), 0.2, "slow start begins again");
    }

    @Test
    void markedResubmissionsStartAStormThatEndsAfterAQuietTime() {
        for (int i = 0; i < 20; i++) {
            storm.messageArrived(1 + i * 0.05, i % 2 == 0);
            storm.messageFinished();
        }
        assertEquals("handed in again", storm.updateState(2, RELAY_SHARE).reason());
        assertEquals(60, storm.acceptedRate(2).rateAt(2), 0.01, "no outage, so the full rate");
        for (int i = 0; i < 200; i++) {
            storm.messageArrived(2 + i * 0.1, false);
            storm.messageFinished();
            assertTrue(
                    storm.updateState(2 + i * 0.1, RELAY_SHARE) == null || i > 30,
                    "calm too early, after arrival " + i);
        }
        assertEquals(StormState.CALM, storm.state());
    }

    @Test
    void refusalsCountAsResubmissionsIfClientsMarkNone() {
        for (int i = 0; i < 20; i++) {
            storm.messageArrived(1 + i * 0.05, false);
            storm.messageRefused(1 + i * 0.05);
            storm.messageFinished();
        }
        assertEquals("handed in again", storm.updateState(2, RELAY_SHARE).reason());
    }

    @Test
    void manyPendingMessagesStartAStorm() {
        for (int i = 0; i < 61; i++) {
            storm.messageArrived(1, false);
        }
        assertEquals(
                "owed", storm.updateState(1, RELAY_SHARE).reason(), "more than 3 s of this relay's share of the rate");
    }

    @Test
    void refusalsReduceTheRateOncePerRoundTripDownToABound() {
        failCalls(1, 3);
        storm.updateState(3, RELAY_SHARE);
        storm.callSucceeded(10, 10, 0);
        storm.updateState(10, RELAY_SHARE);
        double before = storm.acceptedRate(10).fullRate();
        storm.callRefused(11, 10.9, 0);
        assertEquals(before, storm.acceptedRate(11).fullRate(), 0.01, "a single refusal");
        storm.callRefused(11.05, 10.95, 0);
        storm.callRefused(11.06, 10.96, 0);
        assertEquals(
                before * 0.7,
                storm.acceptedRate(11).fullRate(),
                before * 0.01,
                "calls sent before a reduction cause no second one");
        for (int i = 0; i < 50; i++) {
            storm.callSucceeded(12 + i, 11.9 + i, 0);
            storm.callRefused(12.1 + i, 12 + i, 0);
            storm.callRefused(12.2 + i, 12.1 + i, 0);
        }
        assertEquals(60 * 0.3, storm.acceptedRate(70).fullRate(), 1.3);
    }

    @Test
    void refusalsAreAnOutageOnlyWithoutSuccesses() {
        for (int i = 0; i < 40; i++) {
            storm.callRefused(1 + i * 0.25, 0.9 + i * 0.25, 0);
            storm.callSucceeded(1.1 + i * 0.25, 1 + i * 0.25, 0);
        }
        assertNull(storm.updateState(11.1, RELAY_SHARE));
        for (int i = 0; i < 7; i++) {
            assertNull(storm.updateState(12 + i * 0.25, RELAY_SHARE));
            storm.callRefused(12 + i * 0.25, 11.9 + i * 0.25, 0);
        }
        assertEquals("outage", storm.updateState(14, RELAY_SHARE).reason());
    }

    @Test
    void recoveryIsDatedToTheSendingOfTheFirstSuccessUnlessThatCallHung() {
        for (int i = 0; i < 50; i++) {
            storm.callSucceeded(1 + i * 0.01, 0.8 + i * 0.01, 0); // response time 0.2 s
        }
        failCalls(2, 4);
        storm.updateState(4, RELAY_SHARE);
        storm.callSucceeded(10.1, 10, 0);
        assertEquals(10, storm.recoveredAt(), 1e-9);
        failCalls(20, 22);
        storm.updateState(22, RELAY_SHARE);
        storm.callSucceeded(30, 25, 0);
        assertEquals(29.8, storm.recoveredAt(), 0.01, "dated by the answer, not by the sending of the call that hung");
    }

    @Test
    void probesAreSpreadOneAtATimeAndOutsideOfTheRetryAfterDelay() {
        assertFalse(storm.startProbeIfDue(1, 1, 0.5), "no outage");
        failCalls(1, 4);
        assertFalse(storm.startProbeIfDue(4, 2, 0.5));
        assertFalse(
                storm.startProbeIfDue(4.9, 2, 0.5), "the first probe waits for this relay's fraction of the interval");
        assertTrue(storm.startProbeIfDue(5.1, 2, 0.5));
        assertFalse(storm.startProbeIfDue(7.2, 2, 0.5), "a probe is in flight");
        storm.probeFinished();
        storm.extendRetryAfter(9);
        assertFalse(storm.startProbeIfDue(8.9, 2, 0.5));
        assertTrue(storm.startProbeIfDue(9.1, 2, 0.5));
    }

    @Test
    void recoveryUnknownToTheModuleIsReportedOnce() {
        failCalls(1, 4);
        storm.callSucceeded(10, 10, 0);
        assertFalse(storm.takeRecoveryReport(), "the module knows the result of its own call");
        failCalls(12, 15);
        storm.callSucceeded(20, 20, 0);
        storm.reportRecoveryIfUnknown(true);
        assertTrue(storm.takeRecoveryReport());
        assertFalse(storm.takeRecoveryReport());
        failCalls(22, 25);
        storm.peerDetectedRecovery(30);
        assertTrue(storm.takeRecoveryReport());
    }

    @Test
    void peerReportOfARecoveryEndsOnlyAnEarlierOutage() {
        failCalls(10, 13);
        storm.updateState(13, RELAY_SHARE);
        storm.peerDetectedRecovery(8);
        assertTrue(storm.inOutage(), "a late note about an earlier recovery");
        storm.peerDetectedRecovery(20);
        assertFalse(storm.inOutage());
        assertEquals(20, storm.recoveredAt());
        storm.peerDetectedOutage(21, 10);
        assertFalse(storm.inOutage(), "a relay that does not know of the recovery yet");
        storm.peerDetectedOutage(30, 28);
        assertTrue(storm.inOutage(), "a new outage");
    }

    @Test
    void noRateLimitWithoutAKnownRate() {
        DestinationStorm unknown = new DestinationStorm(StormSettings.DEFAULT, RULES);
        for (double now = 1; now <= 4; now += 0.25) {
            unknown.callFailed(now, now);
        }
        assertEquals(StormState.STORM, unknown.updateState(4, RELAY_SHARE).to());
        assertNull(unknown.acceptedRate(4));
    }

    @Test
    void reportedLimitOverridesTheListedRate() {
        storm.callRefused(1, 0.9, 42);
        assertEquals(42, storm.statedRate());
        storm.callRefused(2, 1.9, 0);
        assertEquals(42, storm.statedRate(), "a reported limit of 0 is ignored");
    }

    @Test
    void integralOfTheRateCurveAndItsInverseAgree() {
        RateCurve ramp = new RateCurve(10, 0.14, 13, 60);
        double sum = 0;
        for (int step = 0; step < 35_000; step++) {
            sum += ramp.rateAt(5 + (step + 0.5) * 0.001) * 0.001;
        }
        assertEquals(sum, ramp.callsBetween(5, 40), 0.01);
        double at = ramp.timeOfCalls(12, 100, 60);
        assertEquals(100, ramp.callsBetween(12, at), 0.001);
        assertEquals(72, ramp.timeOfCalls(12, 1e9, 60), "at most the given time later");
        assertEquals(6, RateCurve.constant(2).callsBetween(1, 4), 1e-9);
    }
}
