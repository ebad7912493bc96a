package juniperusher.storm;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.DestinationAdvice;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.MessageWithdrawn;
import juniperusher.Protocol.NoteReceived;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.ProbeEnded;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SendNote;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;

/**
 * Detects retry storms and limits what this relay sends meanwhile. It sees the events of the decision module before
 * each round and its actions after it. By {@link DestinationAdvice} it tells the module for each destination the rate
 * that this relay may send, the maximum of pending messages and the time until there is capacity for more; it informs
 * the other relays by notes. Not thread-safe; deterministic for the same sequence of rounds.
 */
public final class StormAdvisor {
    /** A longer retry-after delay indicates an outage of the destination rather than a rate limit. */
    private static final double MIN_OUTAGE_RETRY_AFTER_SECONDS = 3;
    /** The number of pending messages at another relay is considered unknown after this time without a note. */
    private static final double PEER_PENDING_MAX_AGE_SECONDS = 5;
    /** Smaller relative changes of the advice are not passed to the module. */
    private static final double MIN_RELATIVE_CHANGE = 0.01;
    /** Longest delay until there is capacity that is advised. */
    private static final double MAX_CAPACITY_DELAY_SECONDS = 30;
    /**
     * A destination may use this fraction of the relay's maximum of pending messages, less those of all other
     * destinations.
     */
    private static final double MAX_PENDING_FRACTION = 0.8;
    /** The advised maximum of pending messages is never smaller. */
    private static final int MIN_PENDING_LIMIT = 4;
    /** A relay keeps the capacity for this many messages when it lends, and borrows only with more pending. */
    private static final int PENDING_RESERVE = 2;

    /** Probe rate of one destination over all relays. */
    private static final double MAX_PROBES_PER_SECOND = 4;
    /** Probes may use at most this fraction of the rate that a destination accepts right after an outage. */
    private static final double PROBE_FRACTION_OF_COLD_RATE = 0.4;

    private static final RateShares.TimestampEcho NO_ECHO = new RateShares.TimestampEcho(0, Double.POSITIVE_INFINITY);

    private final StormSettings settings;
    private final Settings moduleSettings;
    private final int relayNumber;
    private final double clockOffsetSeconds;
    private final RateShares shares;
    private final Map<Integer, DestinationStorm> destinations = new TreeMap<>();
    // Destinations that each round has to update; all others are calm and unchanged until their next input.
    private final Set<Integer> active = new TreeSet<>();
    private final Map<Integer, Target> targets = new TreeMap<>();
    // Number of probes in flight that the module has requested, by target.
    private final Map<Integer, Integer> moduleProbesInFlight = new HashMap<>();
    // Destination of each pending message, by message id.
    private final Map<Integer, Integer> pendingMessages = new HashMap<>();
    private final Map<Long, Double> sendTimes = new HashMap<>(); // by message and attempt
    private final Map<Integer, Integer> attemptsByMessage = new HashMap<>();
    private final Map<Integer, Long> fingerprintsByMessage = new HashMap<>();
    private final Fingerprints refusedFingerprints = new Fingerprints();
    private double roundTime;
    private final Map<Long, PeerPending> peerPending = new HashMap<>(); // by relay and destination
    private final Map<Integer, DestinationAdvice> lastAdvice = new HashMap<>(); // by destination
    private final List<Log> stateChangeLogs = new ArrayList<>();
    private double nextNoteAt;
    private long stateChanges;

    /** Number of messages that another relay has pending for a destination. */
    private record PeerPending(int relay, int pending, double receivedAt) {}

    /**
     * Creates the storm handling of one relay.
     *
     * @param moduleSettings settings of the decision module
     * @param relayNumber number of this relay among the senders
     * @param clockOffsetSeconds seconds to add to the time of a round to get a clock that does not go back over a
     *     restart
     * @param startTime time of the rounds' clock at the start of the process
     */
    public StormAdvisor(
            StormSettings settings,
            Settings moduleSettings,
            int relayNumber,
            double clockOffsetSeconds,
            double startTime) {
        this.settings = settings;
        this.moduleSettings = moduleSettings;
        this.relayNumber = relayNumber;
        this.clockOffsetSeconds = clockOffsetSeconds;
        shares = new RateShares(moduleSettings.senders(), clockOffsetSeconds + startTime);
    }

    // ---- before a round ----

    /**
     * Whether an arriving message that its client has not marked as resubmitted was refused before, by its fingerprint.
     * Has to be called before the round that contains its arrival.
     */
    public boolean isUnmarkedResubmission(int message, long fingerprint) {
        fingerprintsByMessage.put(message, fingerprint);
        return refusedFingerprints.takeRefusal(fingerprint, roundTime);
    }

    /** Records the refusal of a request that was never passed to the decision module as a message. */
    public void requestRefused(double now, long fingerprint) {
        refusedFingerprints.recordRefusal(fingerprint, now);
    }

    /**
     * Processes the events of a round.
     *
     * @return the events for the module: those given, without results of probes that it has not requested, followed by
     *     advice
     */
    public List<Event> beforeDecision(double now, List<Event> events) {
        List<Event> moduleEvents = new ArrayList<>();
        roundTime = now;
        for (Event event : events) {
            if (!(event instanceof ProbeEnded probeEnd) || applyProbeResult(now, probeEnd)) {
                applyEvent(now, event);
                moduleEvents.add(event);
            }
        }
        for (Iterator<Integer> numbers = active.iterator(); numbers.hasNext(); ) {
            int number = numbers.next();
            DestinationStorm storm = destinations.get(number);
            DestinationStorm.Change change =
                    storm.updateState(now, shares.fractionOf(number, clockOffsetSeconds + now));
            if (change != null) {
                stateChanges++;
                stateChangeLogs.add(new Log("storm destination=" + number + " from=" + change.from() + " to="
                        + change.to()
                        + " reason=" + change.reason() + " owed=" + storm.pending() + " stated="
                        + storm.statedRate()));
            }
            DestinationAdvice next = advise(number, storm, now);
            if (differsNotably(lastAdvice.get(number), next)) {
                lastAdvice.put(number, next);
                moduleEvents.add(next);
            }
            if (storm.isSettled(now)) {
                numbers.remove();
            }
        }
        return moduleEvents;
    }

    private void applyEvent(double now, Event event) {
        if (event instanceof TargetList list) {
            applyTargets(list);
        } else if (event instanceof MessageAccepted accepted) {
            int destination = accepted.message().destination();
            pendingMessages.put(accepted.message().id(), destination);
            attemptsByMessage.put(accepted.message().id(), accepted.message().attempts());
            activate(destination).messageArrived(now, accepted.message().resubmitted());
        } else if (event instanceof MessageWithdrawn withdrawn) {
            messageFinished(withdrawn.message());
        } else if (event instanceof AttemptEnded ended) {
            applyCallResult(now, ended);
        } else if (event instanceof NoteReceived received) {
            applyNote(now, received);
        }
    }

    /** Applies the result of a probe; returns whether the module has requested that probe. */
    private boolean applyProbeResult(double now, ProbeEnded probeEnd) {
        int requestedByModule = moduleProbesInFlight.getOrDefault(probeEnd.target(), 0);
        moduleProbesInFlight.computeIfPresent(probeEnd.target(), (key, count) -> count > 1 ? count - 1 : null);
        Target target = targets.get(probeEnd.target());
        if (target != null) {
            DestinationStorm storm = activate(target.destination());
            if (requestedByModule == 0) {
                storm.probeFinished();
            }
            if (probeEnd.succeeded()) {
                storm.callSucceeded(now, now - probeEnd.elapsed(), 0);
                storm.reportRecoveryIfUnknown(requestedByModule == 0);
            } else {
                storm.callFailed(now, now - probeEnd.elapsed());
            }
        }
        return requestedByModule > 0;
    }

    /** The state of the destination, which is marked for an update in this round. */
    private DestinationStorm activate(int destination) {
        active.add(destination);
        return destinations.computeIfAbsent(destination, key -> new DestinationStorm(settings, moduleSettings.rules()));
    }

    private void applyTargets(TargetList list) {
        if (list.fullList()) {
            targets.clear();
        }
        for (Target target : list.targets()) {
            targets.put(target.id(), target);
            // The listed weight is the rate of the whole destination and the same at all of its endpoints.
            if (target.phase() != Phase.GONE && moduleSettings.weight() != juniperusher.Protocol.Weight.NONE) {
                activate(target.destination()).setListedRate(target.weight());
            }
        }
    }

    private void applyCallResult(double now, AttemptEnded ended) {
        Target target = targets.get(ended.target());
        Double sentAt = sendTimes.remove(callKey(ended.message(), ended.attempt()));
        if (target != null) {
            DestinationStorm storm = activate(target.destination());
            double sentTime = sentAt == null ? now - ended.elapsed() : sentAt;
            double reportedLimit = ended.report() == null ? 0 : ended.report().limit();
            switch (ended.outcome()) {
                case DELIVERED -> storm.callSucceeded(now, sentTime, reportedLimit);
                case FULL -> {
                    storm.extendRetryAfter(now + ended.retryAfter());
                    if (ended.retryAfter() > MIN_OUTAGE_RETRY_AFTER_SECONDS) {
                        storm.callFailed(now, sentTime);
                    } else {
                        storm.callRefused(now, sentTime, reportedLimit);
                    }
                }
                case NOT_SENT, CANCELLED -> {}
                default -> storm.callFailed(now, sentTime);
            }
        }
        if (ended.finished()) {
            messageFinished(ended.message());
        }
    }

    private static long callKey(int message, int attempt) {
        return (long) message << 16 | attempt;
    }

    private void messageFinished(int message) {
        Integer destination = pendingMessages.remove(message);
        attemptsByMessage.remove(message);
        fingerprintsByMessage.remove(message);
        if (destination != null) {
            activate(destination).messageFinished();
        }
    }

    // ---- advice ----

    private DestinationAdvice advise(int number, DestinationStorm storm, double now) {
        RateCurve acceptedRate = storm.acceptedRate(now);
        if (acceptedRate == null) {
            return new DestinationAdvice(
                    number, Double.POSITIVE_INFINITY, Integer.MAX_VALUE, 0, storm.takeRecoveryReport());
        }
        double fraction = shares.fractionOf(number, clockOffsetSeconds + now);
        double deadline = moduleSettings.classes().stream()
                .mapToDouble(c -> c.deadline())
                .max()
                .orElse(MAX_CAPACITY_DELAY_SECONDS);
        // Messages that cannot be delivered before their deadline are better refused at once, and one storm must
        // not use up the relay's capacity for pending messages.
        int maxPending = (int) Math.min(
                Math.max(
                        moduleSettings.limits().maxPending() * settings.pendingShare(),
                        moduleSettings.limits().maxPending() * MAX_PENDING_FRACTION
                                - (pendingMessages.size() - storm.pending())),
                acceptedRate.callsBetween(now, now + deadline) * fraction);
        double capacityAt = acceptedRate.timeOfCalls(now, storm.pending() / fraction, MAX_CAPACITY_DELAY_SECONDS);
        return new DestinationAdvice(
                number,
                acceptedRate.rateAt(now) * fraction,
                Math.max(MIN_PENDING_LIMIT, maxPending),
                capacityAt - now,
                storm.takeRecoveryReport());
    }

    /** Whether the advice has changed enough to be passed on, which avoids new advice in every round. */
    private static boolean differsNotably(DestinationAdvice previous, DestinationAdvice next) {
        if (next.recovered()) {
            return true;
        }
        if (previous == null) {
            return next.maxRate() < Double.POSITIVE_INFINITY;
        }
        boolean same = previous.maxRate() == next.maxRate()
                || Math.abs(previous.maxRate() - next.maxRate()) < MIN_RELATIVE_CHANGE * previous.maxRate()
                        && next.maxRate() >= previous.maxRate();
        return !(same
                && Math.abs(previous.maxPending() - next.maxPending()) <= MIN_RELATIVE_CHANGE * previous.maxPending()
                && Math.abs(previous.roomIn() - next.roomIn()) <= MIN_RELATIVE_CHANGE * Math.max(1, previous.roomIn()));
    }

    // ---- after a round ----

    /** Processes the actions of a round and returns the actions to carry out in addition to them. */
    public List<Action> afterDecision(double now, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                int attempt = attemptsByMessage.merge(send.message(), 1, Integer::sum) - 1;
                sendTimes.put(callKey(send.message(), attempt), now);
            } else if (action instanceof Refuse refuse) {
                recordRefusal(now, refuse.message());
                Long fingerprint = fingerprintsByMessage.get(refuse.message());
                if (fingerprint != null) {
                    refusedFingerprints.recordRefusal(fingerprint, now);
                }
                messageFinished(refuse.message());
            } else if (action instanceof Fail fail) {
                messageFinished(fail.message());
            } else if (action instanceof Probe probe) {
                moduleProbesInFlight.merge(probe.target(), 1, Integer::sum);
            }
        }
        List<Action> additionalActions = new ArrayList<>(stateChangeLogs);
        stateChangeLogs.clear();
        if (moduleSettings.limits().mayProbe() && outageCount() > 0) {
            addProbes(now, additionalActions);
        }
        if (now >= nextNoteAt && moduleSettings.limits().mayNotify() && moduleSettings.senders() > 1) {
            StormNote note = createNote(now);
            if (note != null) {
                additionalActions.add(new SendNote(-1, note.encode()));
                nextNoteAt = now + settings.noteIntervalSeconds();
            }
        }
        return additionalActions;
    }

    /**
     * Adds probes of destinations in an outage, so that a recovery is detected without spending attempts of messages
     * and even while few calls are sent. The rate over all relays is bounded by {@link #MAX_PROBES_PER_SECOND} and by
     * {@link #PROBE_FRACTION_OF_COLD_RATE} of the rate that the destination accepts right after an outage.
     */
    private void addProbes(double now, List<Action> additionalActions) {
        for (Target target : targets.values()) {
            DestinationStorm storm = target.phase() == Phase.READY ? destinations.get(target.destination()) : null;
            if (storm != null) {
                double maxProbesPerSecond = Math.min(
                        MAX_PROBES_PER_SECOND,
                        PROBE_FRACTION_OF_COLD_RATE * moduleSettings.rules().coldShare() * storm.statedRate());
                if (maxProbesPerSecond > 0
                        && storm.startProbeIfDue(
                                now,
                                moduleSettings.senders() / maxProbesPerSecond,
                                (relayNumber + 0.5) / moduleSettings.senders())) {
                    additionalActions.add(new Probe(target.id()));
                }
            }
        }
    }

    private void recordRefusal(double now, int message) {
        Integer destination = pendingMessages.get(message);
        if (destination != null) {
            activate(destination).messageRefused(now);
        }
    }

    // ---- peer notes ----

    private StormNote createNote(double now) {
        List<Map.Entry<Integer, DestinationStorm>> stormDestinations = active.stream()
                .map(number -> Map.entry(number, destinations.get(number)))
                .filter(entry -> entry.getValue().state() != StormState.CALM)
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().pending()))
                .limit(StormNote.MAX_ENTRIES)
                .toList();
        if (stormDestinations.isEmpty()) {
            return null;
        }
        List<StormNote.Entry> entries = new ArrayList<>();
        for (Map.Entry<Integer, DestinationStorm> entry : stormDestinations) {
            DestinationStorm storm = entry.getValue();
            int borrower = neediestRelay(entry.getKey(), storm.pending(), now);
            RateShares.TimestampEcho echo = borrower < 0 ? null : shares.echoFor(borrower, clockOffsetSeconds + now);
            double lentFraction = echo == null
                    ? 0
                    : shares.lend(entry.getKey(), borrower, surplusFraction(storm, now), clockOffsetSeconds + now);
            entries.add(new StormNote.Entry(
                    entry.getKey(),
                    storm.inOutage(),
                    now - storm.outageStart(),
                    now - storm.recoveredAt(),
                    storm.pending(),
                    lentFraction > 0 ? borrower : -1,
                    lentFraction,
                    lentFraction > 0 ? echo : NO_ECHO));
        }
        return new StormNote(clockOffsetSeconds + now, entries);
    }

    /** The relay with the most pending messages, if it has more than twice those of this relay; -1 for none. */
    private int neediestRelay(int destination, int ownPending, double now) {
        int best = -1;
        int maxPending = Math.max(PENDING_RESERVE, 2 * ownPending);
        for (int relay = 0; relay < moduleSettings.senders(); relay++) {
            PeerPending other = peerPending.get(peerKey(relay, destination));
            if (other != null
                    && now - other.receivedAt() < PEER_PENDING_MAX_AGE_SECONDS
                    && other.pending() > maxPending) {
                best = relay;
                maxPending = other.pending();
            }
        }
        return best;
    }

    /**
     * Fraction of its equal share that this relay will not need during the next two loan periods, after its pending
     * messages and the expected arrivals; 0 if its rate is not limited.
     */
    private double surplusFraction(DestinationStorm storm, double now) {
        RateCurve acceptedRate = storm.acceptedRate(now);
        if (acceptedRate == null) {
            return 0;
        }
        double seconds = 2 * RateShares.LOAN_SECONDS;
        double ownCapacity = acceptedRate.callsBetween(now, now + seconds) / moduleSettings.senders();
        return 1 - (storm.pending() + storm.arrivalRate(now) * seconds + PENDING_RESERVE) / ownCapacity;
    }

    private static long peerKey(int relay, int destination) {
        return (long) relay << 32 | destination & 0xffffffffL;
    }

    private void applyNote(double now, NoteReceived received) {
        StormNote note = StormNote.decode(received.note());
        if (note == null
                || received.from() == relayNumber
                || received.from() < 0
                || received.from() >= moduleSettings.senders()
                || !shares.noteReceived(received.from(), note.sentAt(), clockOffsetSeconds + now)) {
            return; // another version, damaged, duplicated or out of order
        }
        for (StormNote.Entry entry : note.entries()) {
            peerPending.put(
                    peerKey(received.from(), entry.destination()),
                    new PeerPending(received.from(), entry.pending(), now));
            DestinationStorm storm = destinations.get(entry.destination());
            if (storm == null) {
                continue; // unknown destination: never listed at this relay
            }
            active.add(entry.destination());
            if (entry.inOutage()) {
                storm.peerDetectedOutage(now, now - entry.outageAgeSeconds());
            } else if (Double.isFinite(entry.recoveryAgeSeconds())) {
                storm.peerDetectedRecovery(now - entry.recoveryAgeSeconds());
            }
            if (entry.borrower() == relayNumber) {
                shares.borrow(
                        received.from(),
                        entry.destination(),
                        entry.lentFraction(),
                        entry.echo(),
                        clockOffsetSeconds + now);
            }
        }
    }

    // ---- figures ----

    /** State of a destination. */
    public StormState stateOf(int destination) {
        DestinationStorm storm = destinations.get(destination);
        return storm == null ? StormState.CALM : storm.state();
    }

    /** Number of destinations in the state. */
    public int count(StormState state) {
        int activeInState =
                (int) activeStorms().filter(storm -> storm.state() == state).count();
        return state == StormState.CALM ? destinations.size() - active.size() + activeInState : activeInState;
    }

    /** Number of destinations in an outage. */
    public int outageCount() {
        return (int) activeStorms().filter(DestinationStorm::inOutage).count();
    }

    private Stream<DestinationStorm> activeStorms() {
        return active.stream().map(destinations::get);
    }

    /** Number of destinations that each round updates. */
    int activeCount() {
        return active.size();
    }

    /** Number of state changes since the start. */
    public long stateChangeCount() {
        return stateChanges;
    }
}
