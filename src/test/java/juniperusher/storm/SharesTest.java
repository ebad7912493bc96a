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

class SharesTest {
    private static final String SEED = "20261201";

    /** A note on its way. */
    private record Sent(int from, int to, double part, RateShares.TimestampEcho echo, double clock, double arrives) {}

    /**
     * Relays lend to each other at random; notes are lost, up to 5 s late, doubled, out of order; relays are
     * killed;
     * clocks differ. Their parts never come to more than the whole.
     */
    @Property(tries = 1_500, seed = SEED)
    void atNoMomentDoTheSharesComeToMoreThanTheWhole(
            @ForAll long draw,
            @ForAll @IntRange(min = 2, max = 6) int relays,
            @ForAll @DoubleRange(min = 0, max = 1) double loss) {
        SplittableRandom random = new SplittableRandom(draw);
        RateShares[] shares = new RateShares[relays];
        double[] skew = new double[relays];
        for (int i = 0; i < relays; i++) {
            skew[i] = 1e6 + random.nextDouble() * 1e6;
            shares[i] = new RateShares(relays, skew[i]);
        }
        List<Sent> onTheWay = new ArrayList<>();
        for (double now = 0; now < 20; now += 0.02) {
            int sender = random.nextInt(relays);
            int to = random.nextInt(relays);
            if (to != sender) {
                RateShares.TimestampEcho echo = shares[sender].echoFor(to, now + skew[sender]);
                double part = echo == null
                        ? 0
                        : shares[sender].lend(7, to, random.nextDouble() * 1.2 - 0.1, now + skew[sender]);
                for (int copies = random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
                    if (random.nextDouble() >= loss) {
                        double took = random.nextInt(10) == 0 ? random.nextDouble() * 5 : random.nextDouble() * 0.2;
                        onTheWay.add(new Sent(sender, to, part, echo, now + skew[sender], now + took));
                    }
                }
            }
            if (random.nextInt(200) == 0) {
                int back = random.nextInt(relays);
                shares[back] = new RateShares(relays, now + skew[back]); // killed, and back at once, with nothing
            }
            for (Sent note : List.copyOf(onTheWay)) {
                if (note.arrives() <= now) {
                    onTheWay.remove(note);
                    double at = now + skew[note.to()];
                    shares[note.to()].noteReceived(note.from(), note.clock(), at);
                    if (note.part() > 0) { // even one out of order may not do harm
                        shares[note.to()].borrow(note.from(), 7, note.part(), note.echo(), at);
                    }
                }
            }
            double sum = 0;
            for (int i = 0; i < relays; i++) {
                double part = shares[i].fractionOf(7, now + skew[i]);
                assertTrue(part > 0, "a relay is left with nothing");
                sum += part;
            }
            assertTrue(sum <= 1 + 1e-9, "parts come to " + sum + " at " + now);
        }
    }

    @Test
    void withoutNotesEachHasAnEqualShare() {
        RateShares one = new RateShares(3, 0);
        assertEquals(1.0 / 3, one.fractionOf(7, RateShares.LOAN_SECONDS), 1e-9);
        assertTrue(one.fractionOf(7, 0) < 0.1, "a process before this one may have lent most of it");
    }

    @Test
    void aLoanCountsFromTheEarliestMomentAtWhichItsNoteCanHaveLeft() {
        RateShares lender = new RateShares(2, -10);
        RateShares borrower = new RateShares(2, 90); // its clock is 100 s ahead
        assertTrue(lender.noteReceived(1, 100, 0.05));
        RateShares.TimestampEcho echo = lender.echoFor(1, 0.3);
        double part = lender.lend(7, 1, 0.5, 0.3);
        assertEquals(0.5, part, 0.005);
        assertEquals(0.25, lender.fractionOf(7, 0.3), 0.005);
        borrower.borrow(0, 7, part, echo, 100.4);
        assertEquals(0.75, borrower.fractionOf(7, 100.4), 0.005);
        assertEquals(0.75, borrower.fractionOf(7, 100.25 + RateShares.LOAN_SECONDS - 0.01), 0.005);
        assertEquals(0.5, borrower.fractionOf(7, 100.25 + RateShares.LOAN_SECONDS + 0.01), 1e-9);
        assertEquals(0.25, lender.fractionOf(7, 0.3 + RateShares.LOAN_SECONDS - 0.01), 0.005);
        assertEquals(0.5, lender.fractionOf(7, 0.3 + RateShares.LOAN_SECONDS + 0.01), 1e-9);
    }

    @Test
    void whileOneRelayMayHaveALoanAnotherGetsNone() {
        RateShares lender = new RateShares(3, -10);
        assertTrue(lender.lend(7, 1, 0.5, 0) > 0);
        assertEquals(0, lender.lend(7, 2, 0.5, 1));
        assertTrue(lender.lend(7, 2, 0.5, 2) > 0);
        assertTrue(lender.lend(8, 1, 0.5, 2) > 0, "another destination");
    }

    @Test
    void aLateNoteAndOneForAProcessBeforeLendNothing() {
        RateShares one = new RateShares(2, 0);
        one.borrow(1, 7, 0.5, new RateShares.TimestampEcho(5, 0.1), 8);
        assertEquals(0.5, one.fractionOf(7, 8), 1e-9, "three seconds late");
        one.borrow(1, 7, 0.5, new RateShares.TimestampEcho(-1, 9), 8);
        assertEquals(0.5, one.fractionOf(7, 8), 1e-9, "an echo of a process before this one");
        one.borrow(1, 7, 0.5, new RateShares.TimestampEcho(9, 0), 8);
        assertEquals(0.5, one.fractionOf(7, 8), 1e-9, "an echo of what is still to come");
        assertTrue(one.noteReceived(1, 50, 8));
        assertFalse(one.noteReceived(1, 50, 9), "doubled");
        assertFalse(one.noteReceived(1, 49, 9), "out of order");
    }
}
