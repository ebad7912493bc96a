package juniperusher;

import java.util.List;

/**
 * The interface of {@link Control}: what it is told (settings, events) and what it asks for (actions).
 *
 * <p>All times are seconds of one clock that never goes back; rates are per second. The forwarder owns calls,
 * connections and timers; {@code Control} owns the decision for each message it has been given. One instance
 * belongs to one thread. For each {@link Arrived} there is exactly one end: an {@link Ended} with
 * {@code over}, a {@link Refuse} or a {@link Fail}, no later than the message's time. Ids are the forwarder's
 * and never reused.
 */
public final class Protocol {
    private Protocol() {}

    // ---- settings ----

    /** Whether a message may be repeated: freely, within a window where repeats are dropped, or never. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** What the weight of a listed target holds: nothing, its rate, or its rate up to half off. */
    public enum Weight {
        NONE,
        NOMINAL,
        ROUGH
    }

    /**
     * A class of message.
     *
     * @param name       what tells it from the others; may be empty where nobody names it
     * @param effect     whether it may be repeated
     * @param zoneOnly   for keyed: repeats are dropped only by targets of the same zone
     * @param keyWindow  for keyed: how long repeats are dropped, from the first send that may have run
     * @param ordered    messages of one key go one at a time, in the order taken
     * @param aim        delivered within this time a message earns its full worth
     * @param deadline   how long a message may be delivered
     * @param worth      worth of a message
     * @param lateShare  share of the worth that is left at the deadline
     */
    public record MessageClass(
            String name,
            Effect effect,
            boolean zoneOnly,
            double keyWindow,
            boolean ordered,
            double aim,
            double deadline,
            double worth,
            double lateShare) {
        public MessageClass {
            positive("deadline", deadline);
            notNegative("aim", aim);
            notNegative("keyWindow", keyWindow);
        }

        /** A class without a name. */
        public MessageClass(
                Effect effect,
                boolean zoneOnly,
                double keyWindow,
                boolean ordered,
                double aim,
                double deadline,
                double worth,
                double lateShare) {
            this("", effect, zoneOnly, keyWindow, ordered, aim, deadline, worth, lateShare);
        }
    }

    /**
     * A tenant.
     *
     * @param name  what tells it from the others; may be empty where nobody names it
     * @param quota messages a second, over all senders, that are within its share
     */
    public record Tenant(String name, double quota) {
        /** A tenant without a name. */
        public Tenant(double quota) {
            this("", quota);
        }
    }

    /** A kind of destination: messages a call carries at most; whether its targets are routes apart. */
    public record Kind(int batch, boolean apart) {
        public Kind {
            positive("batch", batch);
        }
    }

    /**
     * The figures of the rules.
     *
     * @param drainGrace  sends to a draining or gone target cease within this time
     * @param coldFrom    share of its capacity that a destination has after an outage
     * @param warmWithin  time in which it regains all of it
     * @param tipMultiple sent more than this multiple of its present capacity ...
     * @param tipAfter    ... for this long, it falls over
     * @param keyQuiet    rest of a key after an attempt that may still run
     * @param askWithin   where the list is asked for: a sender that has not asked for so long counts as told
     */
    public record Rules(
            double drainGrace,
            double coldFrom,
            double warmWithin,
            double tipMultiple,
            double tipAfter,
            double keyQuiet,
            double askWithin) {
        public Rules {
            notNegative("drainGrace", drainGrace);
            positive("coldFrom", coldFrom);
            notNegative("warmWithin", warmWithin);
            positive("tipMultiple", tipMultiple);
            notNegative("tipAfter", tipAfter);
            notNegative("keyQuiet", keyQuiet);
        }
    }

    /**
     * What is allowed.
     *
     * @param attempts       attempts for a message at most
     * @param held           messages held at most
     * @param calls          calls out at once at most
     * @param cancel         whether attempts may be called off
     * @param secondCopies   whether a message may have two attempts out
     * @param probes         whether targets may be probed
     * @param notes          whether senders may write to each other
     * @param retryAfter     whether a refusal may say when to return
     * @param maxRetryAfter  longest such time that clients observe
     * @param connectTimeout a connection not made by then has failed
     * @param keepAlive      a connection unused for so long closes by itself
     */
    public record Allowed(
            int attempts,
            int held,
            int calls,
            boolean cancel,
            boolean secondCopies,
            boolean probes,
            boolean notes,
            boolean retryAfter,
            double maxRetryAfter,
            double connectTimeout,
            double keepAlive) {
        public Allowed {
            positive("attempts", attempts);
            positive("held", held);
            positive("calls", calls);
        }

        /** What a refusal may say of the seconds after which to come again; 0 for nothing. */
        public double retryAfter(double seconds) {
            return retryAfter ? Math.min(seconds, maxRetryAfter) : 0;
        }
    }

    /**
     * All that a sender is told at its start.
     *
     * @param senders        how many senders there are, this one among them
     * @param zone           this sender's zone
     * @param askForList     the list of targets comes only when asked for
     * @param weight         what listed weights hold
     * @param overShareWorth part of its worth that a message keeps beyond its tenant's share
     * @param halving        worth falls by half with each further aim, else evenly to the deadline
     * @param crossZoneFee   price of an attempt that leaves the zone
     * @param routeFees      for each zone: price of a message that a route apart there takes on; may be empty
     */
    public record Settings(
            int senders,
            int zone,
            boolean askForList,
            Weight weight,
            double overShareWorth,
            boolean halving,
            double crossZoneFee,
            List<Double> routeFees,
            Rules rules,
            Allowed allowed,
            List<MessageClass> classes,
            List<Kind> kinds,
            List<Tenant> tenants) {
        public Settings {
            positive("senders", senders);
            routeFees = List.copyOf(routeFees);
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            tenants = List.copyOf(tenants);
        }
    }

    // ---- events ----

    /** Something that the sender is told. */
    public sealed interface Event
            permits TargetList,
                    AnswerPending,
                    AnswerAcknowledged,
                    ListFailed,
                    Arrived,
                    Ended,
                    Withdrawn,
                    Woken,
                    Probed,
                    Noted,
                    Streaming,
                    Advised,
                    Retuned {}

    /** Phase of a listed target; it tells nothing of health. */
    public enum Phase {
        READY,
        DRAINING,
        GONE
    }

    /** A target of a destination. {@code weight} is as {@link Settings#weight} says. */
    public record Target(int id, int destination, int kind, int zone, double weight, Phase phase) {
        /** Whether it may be sent something new; it tells nothing of health. */
        public boolean ready() {
            return phase == Phase.READY;
        }

        /** The same target, gone from the list. */
        public Target gone() {
            return new Target(id, destination, kind, zone, weight, Phase.GONE);
        }
    }

    /** The list of targets; {@code whole} replaces the old list, else only changed ones are named. */
    public record TargetList(boolean whole, List<Target> targets) implements Event {}

    /** Asking for the list failed or the watch on it broke; the old list stands. */
    public record ListFailed() implements Event {}

    /**
     * An attempt that may have run, of a process before this one.
     *
     * @param ago  seconds since its send
     * @param zone place of its target's zone in the settings
     */
    public record Ran(double ago, int zone) {}

    /**
     * A message taken.
     *
     * @param messageClass place of its class in the settings
     * @param tenant       place of its tenant in the settings
     * @param key          key of its order, 0 for none
     * @param timeLeft     how long it may still be delivered
     * @param attempts     attempts it has had already
     * @param ran          the first of them that may have run, or null if none may
     * @param again        it is marked as handed in again
     * @param takenAt      by which the messages of one key stand in order, in the sender's own unit; 0 where
     *                     they are told in their order
     * @param acknowledged whether its answer, should it be refused or failed, is followed by an
     *                     {@link AnswerAcknowledged}, for which later messages of its key have to wait
     */
    public record Message(
            int id,
            int messageClass,
            int tenant,
            int destination,
            long key,
            double timeLeft,
            int attempts,
            Ran ran,
            boolean again,
            long takenAt,
            boolean acknowledged) {
        /** A message whose order is that of its arrival, and whose answer needs no acknowledgement. */
        public Message(
                int id,
                int messageClass,
                int tenant,
                int destination,
                long key,
                double timeLeft,
                int attempts,
                Ran ran,
                boolean again) {
            this(id, messageClass, tenant, destination, key, timeLeft, attempts, ran, again, 0, false);
        }

        /** A message that is not marked as handed in again. */
        public Message(int id, int messageClass, int tenant, int destination, long key, double timeLeft, int attempts) {
            this(id, messageClass, tenant, destination, key, timeLeft, attempts, null, false);
        }

        /** A message that has had no attempt. */
        public Message(int id, int messageClass, int tenant, int destination, long key, double timeLeft) {
            this(id, messageClass, tenant, destination, key, timeLeft, 0);
        }
    }

    /** The sender has taken a message. */
    public record Arrived(Message message) implements Event {}

    /** No message of the key that has had no attempt is sent until the answer of this one is acknowledged. */
    public record AnswerPending(int message, long key) implements Event {}

    /** The answer of this message of the key is acknowledged, and no attempt of it is out any more. */
    public record AnswerAcknowledged(int message, long key) implements Event {}

    /** How an attempt ended. */
    public enum Outcome {
        DELIVERED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        NOT_CONNECTED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return neverRan;
        }

        /** Whether the attempt may run on at the target though nobody waits for it any more. */
        public boolean mayStillRun() {
            return this == TIMED_OUT || this == RESET || this == CANCELLED;
        }
    }

    /** What a target reports: the limit in calls a second, 0 for none, and the share of it left just now. */
    public record Report(double limit, double left) {}

    /**
     * The outcome of an attempt; each {@link Send} gets one.
     *
     * @param attempt 0 for the first send of a message
     * @param elapsed time since the send
     * @param over    the message has ended, by this outcome or before
     * @param told    after {@code FULL}: how long to send nothing to the destination, 0 for not told
     * @param report  what the target reported, or null
     */
    public record Ended(
            int message,
            int attempt,
            int target,
            Outcome outcome,
            double elapsed,
            boolean over,
            double told,
            Report report)
            implements Event {
        /** Whether it was turned away with neither a wait nor a report. */
        public boolean barelyRefused() {
            return outcome == Outcome.FULL && told == 0 && report == null;
        }
    }

    /**
     * The settings are read anew: messages taken from now on go by their classes and limits. One taken before
     * keeps the class that it came with. Classes keep their places; new ones come after them.
     */
    public record Retuned(Settings settings) implements Event {}

    /** The client no longer wants the message; no answer is owed. */
    public record Withdrawn(int message) implements Event {}

    /** The time asked for by {@link WakeAt} has come. */
    public record Woken(long token) implements Event {}

    /** The result of a {@link Probe}. */
    public record Probed(int target, boolean ok, boolean full, double elapsed) implements Event {}

    /** A note from another sender. */
    public record Noted(int from, byte[] note) implements Event {}

    /** The answer to a message has begun to flow. */
    public record Streaming(int message, int attempt) implements Event {}

    /**
     * What was found of a destination beside single messages; it holds until the next such word.
     *
     * @param rate     calls a second that this sender may make there, infinite for no bound
     * @param hold     messages that may be held for it
     * @param returnIn when there will be room for another message, 0 if nothing is known of that
     * @param back     it has just been seen to answer again, beside the sender's own calls
     */
    public record Advised(int destination, double rate, int hold, double returnIn, boolean back) implements Event {}

    // ---- actions ----

    /** Something that the sender is to do; actions are carried out in their order. */
    public sealed interface Action
            permits Send, Refuse, Fail, WakeAt, Cancel, Watch, Reload, Probe, CloseIdle, Note, Log {}

    /** Call the target with the message; sends of a round to one target share a call where it may be. */
    public record Send(int message, int target, double timeout) implements Action {}

    /** End the message undelivered; the client may safely return, after {@code after} if that is above 0. */
    public record Refuse(int message, double after) implements Action {}

    /** End the message as failed; nothing is said of whether it took effect. */
    public record Fail(int message) implements Action {}

    /** Send a {@link Woken} with the token at or after the time. */
    public record WakeAt(double time, long token) implements Action {}

    /** Cease to await an attempt. */
    public record Cancel(int message, int attempt) implements Action {}

    /** Open or close a standing watch on the list of targets. */
    public record Watch(boolean on) implements Action {}

    /** Ask for the whole list once. */
    public record Reload() implements Action {}

    /** Check a target; the destination counts it like a call. */
    public record Probe(int target) implements Action {}

    /** Close idle connections to a target. */
    public record CloseIdle(int target) implements Action {}

    /** Write to another sender, or to all others if {@code to} is -1. */
    public record Note(int to, byte[] note) implements Action {}

    /** A line for the operators, on a change of state. */
    public record Log(String line) implements Action {}

    private static void positive(String field, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(field + " must be above 0, not " + value);
        }
    }

    private static void notNegative(String field, double value) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(field + " must not be below 0, not " + value);
        }
    }
}
