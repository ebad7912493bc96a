package juniperusher;

import java.util.List;

/**
 * The interface of {@link Control}: its settings, the events that it receives and the actions that it returns.
 *
 * <p>The forwarder, called the sender in this interface, owns calls, connections and timers; {@code Control} decides
 * what happens to each message. Each {@link MessageAccepted} message that is not withdrawn ends exactly once, no later
 * than its deadline: by an {@link AttemptEnded} with {@code finished}, a {@link Refuse} or a {@link Fail}.
 *
 * <p>All times are in seconds of one clock that never goes back; rates are per second. The forwarder assigns ids and
 * never reuses them.
 */
public final class Protocol {
    private Protocol() {}

    // ---- settings ----

    /**
     * Whether a message may be sent again after an attempt that may have run: always, only within the time in which
     * targets drop repeats of its key, or never.
     */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Meaning of the weight of a listed target: none, its rate, or its rate with an error of up to one half. */
    public enum Weight {
        NONE,
        NOMINAL,
        ROUGH
    }

    /**
     * A class of messages.
     *
     * @param name      name of the class; may be empty if it is not referred to by name
     * @param effect    whether its messages may be sent again
     * @param zoneOnly  for keyed: whether a repeat is dropped only by targets in the same zone as the first send
     * @param keyWindow for keyed: time in which targets drop repeats, from the first send that may have run
     * @param ordered   whether messages of one key are sent one at a time, in the order of acceptance
     * @param aim       time after acceptance within which a delivery earns the full worth
     * @param deadline  time after acceptance within which a message has to be delivered
     * @param worth     worth of a delivered message
     * @param lateShare share of the worth that is left at the deadline
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

        /** Creates a class without a name. */
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
     * @param name  name of the tenant; may be empty if it is not referred to by name
     * @param quota messages per second, over all senders, that keep their full worth
     */
    public record Tenant(String name, double quota) {
        /** Creates a tenant without a name. */
        public Tenant(double quota) {
            this("", quota);
        }
    }

    /**
     * A kind of destination.
     *
     * @param maxBatch       maximum number of messages in a call
     * @param separateRoutes whether each target is a separate route, with limits and failures of its own
     */
    public record DestinationKind(int maxBatch, boolean separateRoutes) {
        public DestinationKind {
            positive("batch", maxBatch);
        }
    }

    /**
     * How destinations and the list of targets behave, as far as decisions depend on it.
     *
     * @param drainGrace     time within which sends to a draining or removed target have to stop
     * @param coldShare      share of its capacity that a destination has right after an outage
     * @param warmUp         time in which it regains its full capacity
     * @param overloadFactor multiple of its present capacity above which a destination is overloaded
     * @param overloadTime   time of overload after which the destination collapses
     * @param keyQuiet       time for which the next message of a key waits after an attempt that may still run
     * @param listMaxAge     if the list has to be requested: time after which a sender that did not request it is
     *                       presumed to know it
     */
    public record Rules(
            double drainGrace,
            double coldShare,
            double warmUp,
            double overloadFactor,
            double overloadTime,
            double keyQuiet,
            double listMaxAge) {
        public Rules {
            notNegative("drainGrace", drainGrace);
            positive("coldFrom", coldShare);
            notNegative("warmWithin", warmUp);
            positive("tipMultiple", overloadFactor);
            notNegative("tipAfter", overloadTime);
            notNegative("keyQuiet", keyQuiet);
        }
    }

    /**
     * Limits and permissions of a sender.
     *
     * @param maxAttempts       maximum number of attempts for a message
     * @param maxPending        maximum number of pending messages
     * @param maxCalls          maximum number of calls in flight
     * @param mayCancel         whether attempts may be cancelled
     * @param mayDuplicate      whether a message may have two attempts in flight
     * @param mayProbe          whether targets may be probed
     * @param mayNotify         whether senders may send notes to each other
     * @param mayTellRetryAfter whether a refusal may carry a retry-after delay
     * @param maxRetryAfter     longest retry-after delay that clients observe
     * @param connectTimeout    time after which a connection attempt has failed
     * @param keepAlive         time after which an unused connection closes by itself
     */
    public record SenderLimits(
            int maxAttempts,
            int maxPending,
            int maxCalls,
            boolean mayCancel,
            boolean mayDuplicate,
            boolean mayProbe,
            boolean mayNotify,
            boolean mayTellRetryAfter,
            double maxRetryAfter,
            double connectTimeout,
            double keepAlive) {
        public SenderLimits {
            positive("attempts", maxAttempts);
            positive("held", maxPending);
            positive("calls", maxCalls);
        }

        /** The retry-after delay that a refusal may carry for the wanted one: at most the maximum, 0 for none. */
        public double retryAfter(double seconds) {
            return mayTellRetryAfter ? Math.min(seconds, maxRetryAfter) : 0;
        }
    }

    /**
     * The settings of a sender. Events refer to classes, kinds and tenants by their index in the lists.
     *
     * @param senders        number of senders, including this one
     * @param zone           this sender's zone
     * @param watchesList    whether the list of targets is sent only on request
     * @param weight         meaning of the weights of listed targets
     * @param overQuotaShare share of its worth that a message beyond its tenant's quota keeps
     * @param halvesWorth    whether the worth halves with each further aim; otherwise it falls evenly to the deadline
     * @param crossZoneFee   fee of an attempt that leaves the zone
     * @param routeFees      by zone, the fee of a message that a separate route there accepts; may be empty
     */
    public record Settings(
            int senders,
            int zone,
            boolean watchesList,
            Weight weight,
            double overQuotaShare,
            boolean halvesWorth,
            double crossZoneFee,
            List<Double> routeFees,
            Rules rules,
            SenderLimits limits,
            List<MessageClass> classes,
            List<DestinationKind> kinds,
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

    /** An input of {@link Control}. */
    public sealed interface Event
            permits TargetList,
                    AnswerPending,
                    AnswerAcknowledged,
                    WatchFailed,
                    MessageAccepted,
                    AttemptEnded,
                    MessageWithdrawn,
                    TimerFired,
                    ProbeEnded,
                    NoteReceived,
                    ResponseStarted,
                    DestinationAdvice,
                    SettingsChanged {}

    /** Lifecycle phase of a listed target, independent of its health. */
    public enum Phase {
        READY,
        DRAINING,
        GONE
    }

    /** A target of a destination. {@link Settings#weight} defines the meaning of its weight. */
    public record Target(int id, int destination, int kind, int zone, double weight, Phase phase) {
        /** Whether it may receive new calls, regardless of its health. */
        public boolean ready() {
            return phase == Phase.READY;
        }

        /** Returns this target with the phase {@code GONE}. */
        public Target gone() {
            return new Target(id, destination, kind, zone, weight, Phase.GONE);
        }
    }

    /**
     * An update of the list of targets.
     *
     * @param fullList whether this is the complete list; otherwise it has only the changed targets
     */
    public record TargetList(boolean fullList, List<Target> targets) implements Event {}

    /** A request for the list failed or the watch on it broke; the previous list stays valid. */
    public record WatchFailed() implements Event {}

    /**
     * An attempt that may have run, made by an earlier process.
     *
     * @param ago  time since it was sent
     * @param zone zone of its target
     */
    public record EarlierAttempt(double ago, int zone) {}

    /**
     * An accepted message.
     *
     * @param messageClass       index of its class in the settings
     * @param tenant             index of its tenant in the settings
     * @param key                key among whose messages order is kept, 0 for none
     * @param timeLeft           time until its deadline
     * @param attempts           number of attempts already made
     * @param firstPossibleRun   the first of these that may have run, or null
     * @param resubmitted        whether the client marked it as resubmitted
     * @param acceptedAt         sort key of the messages of one key, in a unit of the sender; 0 if they arrive in order
     * @param acknowledgesAnswer whether a refusal or failure of this message is followed by an {@link
     *                           AnswerAcknowledged}, for which later messages of its key have to wait
     */
    public record Message(
            int id,
            int messageClass,
            int tenant,
            int destination,
            long key,
            double timeLeft,
            int attempts,
            EarlierAttempt firstPossibleRun,
            boolean resubmitted,
            long acceptedAt,
            boolean acknowledgesAnswer) {
        /** Creates a message that is ordered by its arrival and whose answer needs no acknowledgement. */
        public Message(
                int id,
                int messageClass,
                int tenant,
                int destination,
                long key,
                double timeLeft,
                int attempts,
                EarlierAttempt firstPossibleRun,
                boolean resubmitted) {
            this(
                    id,
                    messageClass,
                    tenant,
                    destination,
                    key,
                    timeLeft,
                    attempts,
                    firstPossibleRun,
                    resubmitted,
                    0,
                    false);
        }

        /** Creates a message that is not resubmitted and of which no attempt may have run. */
        public Message(int id, int messageClass, int tenant, int destination, long key, double timeLeft, int attempts) {
            this(id, messageClass, tenant, destination, key, timeLeft, attempts, null, false);
        }

        /** Creates a message without an attempt. */
        public Message(int id, int messageClass, int tenant, int destination, long key, double timeLeft) {
            this(id, messageClass, tenant, destination, key, timeLeft, 0);
        }
    }

    /** The sender has accepted a message. */
    public record MessageAccepted(Message message) implements Event {}

    /** The message was answered: messages of its key without an attempt wait until the answer is acknowledged. */
    public record AnswerPending(int message, long key) implements Event {}

    /** The answer to the message was acknowledged, and no attempt of it is in flight. */
    public record AnswerAcknowledged(int message, long key) implements Event {}

    /** How an attempt ended. {@code FULL} is a refusal for lack of capacity. */
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

        /** Whether this outcome proves that the target did not run the attempt. */
        public boolean neverRan() {
            return neverRan;
        }

        /** Whether the target may still be running the attempt, although the sender no longer waits for it. */
        public boolean mayStillRun() {
            return this == TIMED_OUT || this == RESET || this == CANCELLED;
        }
    }

    /**
     * A load report of a target.
     *
     * @param limit     rate limit in calls per second, 0 for none
     * @param remaining share of the limit that is unused at the moment
     */
    public record LoadReport(double limit, double remaining) {}

    /**
     * The end of an attempt; each {@link Send} is followed by one.
     *
     * @param attempt    number of the attempt, 0 for the first of a message
     * @param elapsed    time since the send
     * @param finished   whether the message has ended, by this outcome or earlier
     * @param retryAfter retry-after delay of a refusal, in which nothing may be sent to the destination, or to the
     *                   route where routes are separate; 0 for none
     * @param report     load report of the target, or null
     */
    public record AttemptEnded(
            int message,
            int attempt,
            int target,
            Outcome outcome,
            double elapsed,
            boolean finished,
            double retryAfter,
            LoadReport report)
            implements Event {
        /** Whether the target refused the attempt with neither a retry-after delay nor a load report. */
        public boolean refusedWithoutDetails() {
            return outcome == Outcome.FULL && retryAfter == 0 && report == null;
        }
    }

    /**
     * The settings have changed. Messages accepted from now on use the new classes and limits; earlier ones keep their
     * class. Classes keep their index, and new ones are appended.
     */
    public record SettingsChanged(Settings settings) implements Event {}

    /** The client has withdrawn the message and expects no answer. */
    public record MessageWithdrawn(int message) implements Event {}

    /** The timer that {@link SetTimer} set with this token has fired. */
    public record TimerFired(long token) implements Event {}

    /** The result of a {@link Probe}. */
    public record ProbeEnded(int target, boolean succeeded, boolean full, double elapsed) implements Event {}

    /** A note from another sender has arrived. */
    public record NoteReceived(int from, byte[] note) implements Event {}

    /** The response to an attempt has begun to arrive. */
    public record ResponseStarted(int message, int attempt) implements Event {}

    /**
     * Limits for a destination as a whole, for example in a retry storm. They apply until the next such event.
     *
     * @param maxRate    calls per second that this sender may make there, infinite for no limit
     * @param maxPending maximum number of pending messages for it
     * @param roomIn     time until there is room for another message, 0 if unknown
     * @param recovered  whether the destination was just seen to respond again, by others than this sender
     */
    public record DestinationAdvice(int destination, double maxRate, int maxPending, double roomIn, boolean recovered)
            implements Event {}

    // ---- actions ----

    /** An output of {@link Control}. The sender carries actions out in the order in which they are returned. */
    public sealed interface Action
            permits Send,
                    Refuse,
                    Fail,
                    SetTimer,
                    CancelAttempt,
                    SetListWatch,
                    ReloadList,
                    Probe,
                    CloseIdle,
                    SendNote,
                    Log {}

    /**
     * Send the message to the target. Sends of one round to the same target share a call, up to the batch size of its
     * kind.
     */
    public record Send(int message, int target, double timeout) implements Action {}

    /**
     * End the message undelivered; the client may resubmit it without risk.
     *
     * @param retryAfter retry-after delay for the client, 0 for none
     */
    public record Refuse(int message, double retryAfter) implements Action {}

    /** End the message as failed; whether it took effect is unknown. */
    public record Fail(int message) implements Action {}

    /** Deliver a {@link TimerFired} with the token at the given time or later. */
    public record SetTimer(double time, long token) implements Action {}

    /** Stop waiting for an attempt; its {@link AttemptEnded} still follows. */
    public record CancelAttempt(int message, int attempt) implements Action {}

    /** Open or close the watch on the list of targets. */
    public record SetListWatch(boolean open) implements Action {}

    /** Request the complete list once. */
    public record ReloadList() implements Action {}

    /** Probe a target. The destination counts the probe as a call. */
    public record Probe(int target) implements Action {}

    /** Close the idle connections to a target. */
    public record CloseIdle(int target) implements Action {}

    /** Send a note to another sender, or to all others if {@code to} is -1. */
    public record SendNote(int to, byte[] note) implements Action {}

    /** Write a line to the operators' log about a change of state. */
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
