package juniperusher.lab.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ArrivalLogTest {
    private static final long[] PUBLISHED = {0, 0, 100, 200, 0, 400};

    @Test
    void anEpochCountsFromItsPublicationForARelayThatCouldBeReached() {
        ArrivalLog log = new ArrivalLog();
        log.add(7, 1, 3, 250, 50);
        ArrivalLog.Times times = log.times(PUBLISHED);
        assertEquals(2, times.inForce().getTotalCount());
        assertEquals(150, times.inForce().getMaxValue());
        assertEquals(50, times.inForce().getMinValue());
        assertEquals(new ArrivalLog.Slowest(150, 7, 2, 250), times.slowestInForce());
        assertEquals(ArrivalLog.Slowest.NONE, times.slowestCatchUp());
        assertEquals(0, times.catchUp().getTotalCount());
    }

    @Test
    void aRelayThatReturnsCatchesUpOnceWithWhatItMissed() {
        ArrivalLog log = new ArrivalLog();
        log.add(7, 0, 5, 450, 300);
        ArrivalLog.Times times = log.times(PUBLISHED);
        assertEquals(1, times.catchUp().getTotalCount());
        assertEquals(150, times.catchUp().getMaxValue());
        assertEquals(1, times.inForce().getTotalCount(), "the epoch after its return");
        assertEquals(50, times.inForce().getMaxValue());
    }

    @Test
    void manyEntriesAndEpochsBeyondTheKnownOnesAreTaken() {
        ArrivalLog log = new ArrivalLog();
        for (int i = 0; i < 5_000; i++) {
            log.add(7, 1, 2, 100 + i, 0);
        }
        log.add(7, 5, 9, 1_000, 0);
        assertEquals(5_000, log.times(PUBLISHED).inForce().getTotalCount());
    }
}
