package juniperusher.storm;

import juniperusher.Protocol.Rules;

/**
 * The state of one destination at this relay. It is told what arrives, goes and comes back; it says what the
 * destination takes from all relays together just now. Every change of state has a reason.
 *
 * <p>Guards against overload that outlives its cause: while it lasts, no more than the stated rate leaves,
 * what
 * is held is bounded by what can still be delivered in time, and those that are refused return when there
 * will
 * be room. The outage's end is taken from the first success; the ramp starts there, so that a relay never
 * believes a destination to be warmer than it is.
 */
final class DestinationStorm {
    private static final double SPAN = 5; // s over which arrivals are counted
    private static final double LEAST_ARRIVALS = 8; // in that span, before a share means anything
    private static final int LEAST_OWED = 20; // messages, fewer are chance even where little is taken
    private static final int LEAST_ROW = 6; // in a row before it means an outage: each call that failed is
    private static final int FAILED = 2; // as much, each that was refused for want of room
    private static final int REFUSED = 1; // as much
    private static final double CUT = 0.7; // of the rate, at a refusal of a call sent since the last cut
    private static final double CLIMB = 0.02; // of the cut won back by each success
    private static final double CUT_SHARE = 0.15; // of the calls of CUT_SPAN failed or refused, and
    private static final double LEAST_BAD = 1.5; // as many, before the rate is cut
    private static final double CUT_SPAN = 2; // s
    private static final double PROBE_LOST = 3; // s after which no result of a probe comes any more
    private static final double USUAL_WEIGHT = 0.1; // of a new answer time in the usual one
    private static final double LEAST_CUT = 0.3; // what is left of the rate however often it refuses

    private final StormSettings settings;
    private final Rules rules;
    private final Fading arrivals = new Fading(SPAN);
    private final Fading again = new Fading(SPAN);
    private final Fading turnedAway = new Fading(SPAN);
    private final Fading calls = new Fading(CUT_SPAN);
    private final Fading bad = new Fading(CUT_SPAN);
    private double usual; // s, an answer's time while calm
    private boolean marked;
    private StormState state = StormState.CALM;
    private double listed;
    private double reported;
    private int owed;
    private int row;
    private double rowFrom;
    private boolean out;
    private double outFrom = Double.NEGATIVE_INFINITY;
    private double backAt = Double.NEGATIVE_INFINITY;
    private boolean justBack; // by the success noted last
    private boolean seenBack;
    private double toldUntil;
    private double probeAt;
    private double probedFor = Double.NaN; // the outage that the probes are for, by its beginning
    private double probeSent = Double.NEGATIVE_INFINITY;
    private double quietFrom = Double.NaN;
    private double cut = 1;
    private double cutAt = Double.NEGATIVE_INFINITY;

    /** A change of state, for the log. */
    record Change(StormState from, StormState to, String reason) {}

    DestinationStorm(StormSettings settings, Rules rules) {
        this.settings = settings;
        this.rules = rules;
    }

    // ---- what it is told ----

    void listed(double rate) {
        listed = rate;
    }

    void arrived(double now, boolean handedInAgain) {
        owed++;
        arrivals.add(now, 1);
        marked |= handedInAgain;
        again.add(now, handedInAgain ? 1 : 0);
    }

    /** A message is over, however it ended. */
    void over() {
        owed = Math.max(0, owed - 1);
    }

    /** It was refused: its client may return. */
    void refused(double now) {
        turnedAway.add(now, 1);
    }

    /** A call that left at {@code sentAt} was answered. */
    void succeeded(double now, double sentAt, double limit) {
        reported = limit > 0 ? limit : reported;
        row = 0;
        cut = Math.min(1, cut + CLIMB);
        calls.add(now, 1);
        justBack = out;
        if (out) {
            out = false;
            // It was back when the call arrived. Guards against one that hung there and was answered on the
            // return: no more than a usual answer's time counts.
            backAt = Math.max(Math.max(outFrom, now - usual), sentAt);
            cut = 1; // what failed while it was out says nothing of what it takes now
        } else if (state == StormState.CALM) {
            usual += (now - sentAt - usual) * USUAL_WEIGHT;
        }
    }

    /**
     * A call failed, or was refused as a destination refuses that is shut: {@code sentAt} is when it left.
     */
    void failed(double now, double sentAt) {
        bad(now, sentAt, FAILED);
    }

    /** A call was refused as full: that alone means a limit, nothing but that for a while that it is shut. */
    void full(double now, double sentAt, double limit) {
        reported = limit > 0 ? limit : reported;
        bad(now, sentAt, REFUSED);
    }

    private void bad(double now, double sentAt, int weight) {
        if (sentAt < backAt) {
            return; // a call of the outage, which only now times out
        }
        if (row == 0) {
            rowFrom = now;
        }
        row += weight;
        if (!out && row >= LEAST_ROW && now - rowFrom >= settings.outageAfter()) {
            out = true;
            outFrom = rowFrom;
            cut = 1; // what fails while it is out says nothing of what it will take
        }
        if (!out) {
            cut(now, sentAt);
        }
    }

    /** Guards the rate against chance: one answer in many that is late or refused says nothing of it. */
    private void cut(double now, double sentAt) {
        calls.add(now, 1);
        bad.add(now, 1);
        if (sentAt >= cutAt
                && state != StormState.CALM
                && bad.get(now) > Math.max(LEAST_BAD, CUT_SHARE * calls.get(now))) {
            cut = Math.max(LEAST_CUT, cut * CUT);
            cutAt = now;
        }
    }

    /**
     * Another relay has seen the outage: until its return is seen, here or there, it counts as out here too.
     */
    void heardOut(double now, double outSince) {
        if (!out && outSince > backAt) {
            out = true;
            outFrom = outSince;
        }
    }

    /**
     * Another relay has seen the return at this time or before it. It counts if that return ends the outage
     * that
     * is known here; a note that was late or came twice tells of an earlier one.
     */
    void heardBack(double returnedAt) {
        if (out && returnedAt > Math.max(outFrom, backAt)) {
            out = false;
            row = 0;
            backAt = returnedAt;
            cut = 1;
            seenBack = true;
        }
    }

    // ---- probes of its own, which the module hears nothing of ----

    /** A told wait: nothing may be sent to it before that time, nor may it be probed. */
    void told(double until) {
        toldUntil = Math.max(toldUntil, until);
    }

    /**
     * Whether it is to be probed now: each so many seconds, one at a time, the first after the part {@code
     * phase} of
     * them, since all relays hear of an outage at once.
     */
    boolean probes(double now, double every, double phase) {
        if (out && probedFor != outFrom) {
            probedFor = outFrom;
            probeAt = now + every * phase;
        }
        if (!out || now < toldUntil || now < probeAt || now < probeSent + PROBE_LOST) {
            return false;
        }
        probeAt = now + every;
        probeSent = now;
        return true;
    }

    /** The probe has its result. */
    void probeOver() {
        probeSent = Double.NEGATIVE_INFINITY;
    }

    /** What has just succeeded was a probe that the module does not know of. */
    void backElsewhere(boolean unknown) {
        seenBack |= unknown && justBack;
    }

    /** Whether the module is to be told that it is back, since it cannot know; once for each return. */
    boolean seenBack() {
        boolean seen = seenBack;
        seenBack = false;
        return seen;
    }

    // ---- what follows ----

    /** Moves on to the state that the time and all that was told ask for; the change, or null. */
    Change turn(double now, double part) {
        double takes = stated() * part;
        double handedIn = arrivals.get(now);
        double share = handedIn < LEAST_ARRIVALS
                ? 0
                : (marked ? again.get(now) : Math.min(handedIn, turnedAway.get(now))) / handedIn;
        boolean much = takes > 0 && owed > Math.max(LEAST_OWED, takes * settings.owedSeconds());
        boolean little =
                share <= settings.againCalm() && owed <= Math.max(LEAST_ARRIVALS / 2, takes * settings.owedCalm());
        quietFrom = !little || out ? Double.NaN : Double.isNaN(quietFrom) ? now : quietFrom;
        boolean quiet = now - quietFrom >= settings.quiet();
        return switch (state) {
            case CALM ->
                out
                        ? to(StormState.STORM, "outage")
                        : share > settings.againShare()
                                ? to(StormState.STORM, "handed in again")
                                : much ? to(StormState.STORM, "owed") : null;
            case STORM ->
                out
                        ? null
                        : backAt > outFrom && now - backAt < rules.warmWithin()
                                ? to(StormState.RECOVERING, "returned")
                                : quiet ? to(StormState.CALM, "over") : null;
            case RECOVERING ->
                out
                        ? to(StormState.STORM, "fell again")
                        : now - backAt < rules.warmWithin()
                                ? null
                                : quiet ? to(StormState.CALM, "warm") : to(StormState.STORM, "warm, much owed");
        };
    }

    /** Whether no later {@link #turn} changes anything, nor what it asks for, until it is told something. */
    boolean settled(double now) {
        return state == StormState.CALM
                && !out
                && !seenBack
                && owed == 0
                && arrivals.get(now) < LEAST_ARRIVALS // so that the share handed in again is none, and stays so
                && !Double.isNaN(quietFrom);
    }

    private Change to(StormState next, String reason) {
        Change change = new Change(state, next, reason);
        if (state == StormState.CALM || next == StormState.CALM) {
            cut = 1;
        }
        state = next;
        return change;
    }

    /** What it takes from all relays together, from now on; null where no rate is known or none is needed. */
    Ramp takes(double now) {
        if (state == StormState.CALM || stated() <= 0) {
            return null;
        }
        double rate = stated() * settings.margin() * cut;
        if (out) {
            return new Ramp(now, rules.coldFrom(), rules.warmWithin(), rate); // were it back at this moment
        }
        return state == StormState.RECOVERING
                ? new Ramp(backAt, rules.coldFrom(), rules.warmWithin(), rate)
                : Ramp.steady(rate);
    }

    /**
     * Calls a second that it takes from all relays, as its reports say, else as its listing does; 0 if
     * unknown.
     */
    double stated() {
        return reported > 0 ? reported : listed;
    }

    /** Messages a second that arrive for it here. */
    double demand(double now) {
        return arrivals.get(now) / SPAN;
    }

    StormState state() {
        return state;
    }

    boolean out() {
        return out;
    }

    double outFrom() {
        return outFrom;
    }

    double backAt() {
        return backAt;
    }

    int owed() {
        return owed;
    }
}
