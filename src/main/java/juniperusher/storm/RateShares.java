package juniperusher.storm;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides the rate of each destination between the relays. Every relay has an equal share by default, so the limit
 * holds even if all peer notes are lost. A relay that needs less lends a part of its share to one that needs more, for
 * {@link #LOAN_SECONDS} seconds from the moment at which it sends the note, and does not use that part for this time.
 *
 * <p>The borrower cannot know when the note was sent, since clocks differ and notes may be delayed. Therefore the note
 * echoes the last timestamp of the borrower's own clock that the lender has received, and how long before sending it
 * arrived. The sum of both is the earliest possible time of sending on the borrower's clock, and the loan runs from
 * there. A delayed or duplicated note thus gives a shorter loan or none, and the shares never exceed the whole rate.
 * The clocks only have to run at the same speed. A relay that starts withholds what its previous process may have
 * lent.
 *
 * <p>Not thread-safe. Times are seconds of this relay's clock, which does not go back over a restart.
 */
final class RateShares {
    /** Duration of a loan. */
    static final double LOAN_SECONDS = 1.6;

    /** Fraction of its equal share that a relay lends at most, so that it can always send something itself. */
    private static final double MAX_LENT_FRACTION = 0.8;

    private final int relays;
    private final double startedAt;
    private final Map<Integer, Timestamp> newestTimestamps = new HashMap<>(); // by relay
    private final Map<Integer, Map<Integer, Loan>> loansReceived = new HashMap<>(); // by destination, by lender
    private final Map<Integer, Loan> loansGiven = new HashMap<>(); // by destination

    /** Newest timestamp of another relay's clock, and the time of its arrival by this relay's clock. */
    private record Timestamp(double value, double receivedAt) {}

    /**
     * A loan.
     *
     * @param peer     the other relay: borrower of a loan given, lender of a loan received
     * @param fraction fraction of an equal share, 0 to 1
     * @param endsAt   time at which the loan ends
     */
    private record Loan(int peer, double fraction, double endsAt) {}

    /** The newest timestamp received from the borrower, and the seconds since its arrival at the lender. */
    record TimestampEcho(double timestamp, double ageSeconds) {}

    /** Creates equal shares for this number of relays; {@code startedAt} is the start time of this process. */
    RateShares(int relays, double startedAt) {
        this.relays = relays;
        this.startedAt = startedAt;
    }

    /** Records the timestamp of a note from another relay; false if the note is not newer than all before. */
    boolean noteReceived(int sender, double timestamp, double now) {
        Timestamp last = newestTimestamps.get(sender);
        if (last != null && last.value() >= timestamp) {
            return false; // duplicated or out of order
        }
        newestTimestamps.put(sender, new Timestamp(timestamp, now));
        return true;
    }

    /** The echo for a note to another relay, or null if no note of that relay was received. */
    TimestampEcho echoFor(int relay, double now) {
        Timestamp last = newestTimestamps.get(relay);
        return last == null ? null : new TimestampEcho(last.value(), now - last.receivedAt());
    }

    /** Records a loan to this relay; ignored if the echo or the fraction is invalid. */
    void borrow(int lender, int destination, double fraction, TimestampEcho echo, double now) {
        if (echo.timestamp() < startedAt
                || echo.timestamp() > now
                || !(echo.ageSeconds() >= 0)
                || !(fraction > 0 && fraction <= MAX_LENT_FRACTION)) {
            return; // the echo is of an earlier process of this relay, or invalid
        }
        double endsAt = Math.min(now, echo.timestamp() + echo.ageSeconds()) + LOAN_SECONDS;
        loansReceived
                .computeIfAbsent(destination, key -> new HashMap<>())
                .merge(
                        lender,
                        new Loan(lender, fraction, endsAt),
                        (one, other) -> one.endsAt() > other.endsAt() ? one : other);
    }

    /**
     * Lends a part of this relay's share in a note that is sent now. An earlier loan stays reserved until it ends:
     * a new one to the same relay never reduces the reserved part, and nothing is lent to another relay meanwhile.
     *
     * @param fraction fraction of the equal share to lend
     * @return the fraction to state in the note, 0 if nothing is lent
     */
    double lend(int destination, int borrower, double fraction, double now) {
        Loan previous = loansGiven.get(destination);
        boolean running = previous != null && previous.endsAt() > now;
        // Rounded down to the resolution of the note, which has one byte for it.
        double lentFraction = Math.floor(Math.min(MAX_LENT_FRACTION, Math.max(0, fraction)) * 255) / 255;
        if (lentFraction <= 0 || now < startedAt + LOAN_SECONDS || running && previous.peer() != borrower) {
            return 0;
        }
        loansGiven.put(
                destination,
                new Loan(borrower, Math.max(lentFraction, running ? previous.fraction() : 0), now + LOAN_SECONDS));
        return lentFraction;
    }

    /** Fraction of the destination's rate that this relay may use. */
    double fractionOf(int destination, double now) {
        double equalShares = relays > 1 && now < startedAt + LOAN_SECONDS ? 1 - MAX_LENT_FRACTION : 1;
        Loan loanGiven = loansGiven.get(destination);
        equalShares -= loanGiven == null || loanGiven.endsAt() <= now ? 0 : loanGiven.fraction();
        Map<Integer, Loan> loans = loansReceived.getOrDefault(destination, Map.of());
        for (Loan loan : loans.values()) {
            equalShares += loan.endsAt() > now ? loan.fraction() : 0;
        }
        return equalShares / relays;
    }
}
