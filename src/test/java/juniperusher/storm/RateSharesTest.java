package juniperusher.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RateSharesTest {
    private static final String SEED = "20261201";

    /** A note in transit. */
    private record SentNote(
            int from, int to, double fraction, RateShares.TimestampEcho echo, double sentAt, double arrivesAt) {}

    /**
     * Relays lend to each other at random. Notes are lost, duplicated, reordered or delayed by up to 5 s, relays are
     * killed, and their clocks differ. The shares must never sum up to more than the whole rate.
     */
    @Property(tries = 1_500, seed = SEED)
    void sharesNeverExceedTheWholeRate(
            @ForAll long randomSeed,
            @ForAll @IntRange(min = 2, max = 6) int relays,
            @ForAll @DoubleRange(min = 0, max = 1) double loss) {
        SplittableRandom random = new SplittableRandom(randomSeed);
        RateShares[] shares = new RateShares[relays];
        double[] clockOffsets = new double[relays];
        for (int i = 0; i < relays; i++) {
            clockOffsets[i] = 1e6 + random.nextDouble() * 1e6;
            shares[i] = new RateShares(relays, clockOffsets[i]);
        }
        List<SentNote> inTransit = new ArrayList<>();
        for (double now = 0; now < 20; now += 0.02) {
            int sender = random.nextInt(relays);
            int to = random.nextInt(relays);
            if (to != sender) {
                RateShares.TimestampEcho echo = shares[sender].echoFor(to, now + clockOffsets[sender]);
                double fraction = echo == null
                        ? 0
                        : shares[sender].lend(7, to, random.nextDouble() * 1.2 - 0.1, now + clockOffsets[sender]);
                for (int copies = random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
                    if (random.nextDouble() >= loss) {
                        double delay = random.nextInt(10) == 0 ? random.nextDouble() * 5 : random.nextDouble() * 0.2;
                        inTransit.add(
                                new SentNote(sender, to, fraction, echo, now + clockOffsets[sender], now + delay));
                    }
                }
            }
            if (random.nextInt(200) == 0) {
                int restarted = random.nextInt(relays);
                shares[restarted] =
                        new RateShares(relays, now + clockOffsets[restarted]); // killed and restarted without state
            }
            for (SentNote note : List.copyOf(inTransit)) {
                if (note.arrivesAt() <= now) {
                    inTransit.remove(note);
                    double at = now + clockOffsets[note.to()];
                    shares[note.to()].noteReceived(note.from(), note.sentAt(), at);
                    if (note.fraction() > 0) { // a reordered note is applied too, as the worst case
                        shares[note.to()].borrow(note.from(), 7, note.fraction(), note.echo(), at);
                    }
                }
            }
            double sum = 0;
            for (int i = 0; i < relays; i++) {
                double fraction = shares[i].fractionOf(7, now + clockOffsets[i]);
                assertTrue(fraction > 0, "a relay has no share left");
                sum += fraction;
            }
            assertTrue(sum <= 1 + 1e-9, "shares sum up to " + sum + " at " + now);
        }
    }

    @Test
    void sharesAreEqualWithoutNotes() {
        RateShares one = new RateShares(3, 0);
        assertEquals(1.0 / 3, one.fractionOf(7, RateShares.LOAN_SECONDS), 1e-9);
        assertTrue(one.fractionOf(7, 0) < 0.1, "the previous process may have lent most of the share");
    }

    @Test
    void loanRunsFromTheEarliestPossibleSendingOfItsNote() {
        RateShares lender = new RateShares(2, -10);
        RateShares borrower = new RateShares(2, 90); // clock is 100 s ahead
        assertTrue(lender.noteReceived(1, 100, 0.05));
        RateShares.TimestampEcho echo = lender.echoFor(1, 0.3);
        double fraction = lender.lend(7, 1, 0.5, 0.3);
        assertEquals(0.5, fraction, 0.005);
        assertEquals(0.25, lender.fractionOf(7, 0.3), 0.005);
        borrower.borrow(0, 7, fraction, echo, 100.4);
        assertEquals(0.75, borrower.fractionOf(7, 100.4), 0.005);
        assertEquals(0.75, borrower.fractionOf(7, 100.25 + RateShares.LOAN_SECONDS - 0.01), 0.005);
        assertEquals(0.5, borrower.fractionOf(7, 100.25 + RateShares.LOAN_SECONDS + 0.01), 1e-9);
        assertEquals(0.25, lender.fractionOf(7, 0.3 + RateShares.LOAN_SECONDS - 0.01), 0.005);
        assertEquals(0.5, lender.fractionOf(7, 0.3 + RateShares.LOAN_SECONDS + 0.01), 1e-9);
    }

    @Test
    void nothingIsLentToAnotherRelayDuringALoan() {
        RateShares lender = new RateShares(3, -10);
        assertTrue(lender.lend(7, 1, 0.5, 0) > 0);
        assertEquals(0, lender.lend(7, 2, 0.5, 1));
        assertTrue(lender.lend(7, 2, 0.5, 2) > 0);
        assertTrue(lender.lend(8, 1, 0.5, 2) > 0, "another destination");
    }

    @Test
    void lateNotesAndEchoesOfAnEarlierProcessLendNothing() {
        RateShares one = new RateShares(2, 0);
        one.borrow(1, 7, 0.5, new RateShares.TimestampEcho(5, 0.1), 8);
        assertEquals(0.5, one.fractionOf(7, 8), 1e-9, "the note is three seconds late");
        one.borrow(1, 7, 0.5, new RateShares.TimestampEcho(-1, 9), 8);
        assertEquals(0.5, one.fractionOf(7, 8), 1e-9, "an echo of an earlier process");
        one.borrow(1, 7, 0.5, new RateShares.TimestampEcho(9, 0), 8);
        assertEquals(0.5, one.fractionOf(7, 8), 1e-9, "an echo of a future time");
        assertTrue(one.noteReceived(1, 50, 8));
        assertFalse(one.noteReceived(1, 50, 9), "duplicated");
        assertFalse(one.noteReceived(1, 49, 9), "out of order");
    }
}
