package juniperusher.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import juniperusher.Control;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AnswerAcknowledged;
import juniperusher.Protocol.AnswerPending;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.CancelAttempt;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.NoteReceived;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.ProbeEnded;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SendNote;
import juniperusher.Protocol.SetTimer;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.TimerFired;
import juniperusher.lab.Plan.Crash;
import juniperusher.storm.StormAdvisor;
import juniperusher.storm.StormSettings;
import juniperusher.storm.StormState;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Runs a plan in virtual time: the production decision code of the relays ({@link Control} and the storm package)
 * against the models of clients, destinations and the network. Equal plans produce identical histories. Not
 * thread-safe; separate runs are independent.
 */
public final class VirtualEngine {
    private static final double ROUND_INTERVAL_SECONDS = 0.005; // between the rounds of a relay
    private static final double MIN_NETWORK_SECONDS = 0.015; // one way, to or from a destination
    private static final double MAX_NETWORK_SECONDS = 0.045;
    private static final double ANSWER_TOLERANCE_SECONDS = 0.05; // by which a final answer may be late
    private static final double ROUNDING_SECONDS = 1e-9; // by which sums of times may differ
    private static final double PROBE_TIMEOUT_SECONDS = 1.5;
    private static final double FULL_RETRY_AFTER_SECONDS = 0.5; // stated by a relay with too many pending messages

    private final Plan plan;
    private final Settings settings;
    private final Demand demand;
    private final NoteModel notes;
    private final List<UniformRandomProvider> networkRandoms = new ArrayList<>();
    private final UniformRandomProvider probeNetworkRandom;
    private final UniformRandomProvider relaySeedRandom;
    private final UniformRandomProvider acknowledgementRandom;
    private final List<DestinationModel> destinations = new ArrayList<>();
    private final List<Relay> relays = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private final RuleChecker rules;
    private final Tally tally;
    private double now;
    private long sequence;
    private long hash = 17;
    private int lastMessageId;

    private record ScheduledTask(double at, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int first = Double.compare(at, other.at);
            return first != 0 ? first : Long.compare(sequence, other.sequence);
        }
    }

    /** A message that a relay accepted; it outlives a restart of the relay, as in its journal. */
    private static final class AcceptedMessage {
        int id;
        ClientMessage request;
        int attempts;
        boolean inFlight;
        boolean mayHaveRun;
        boolean finished;
    }

    private VirtualEngine(Plan plan) {
        this.plan = plan;
        settings = LabSettings.of(plan);
        rules = new RuleChecker(
                ANSWER_TOLERANCE_SECONDS, -ROUNDING_SECONDS, settings.rules().keyQuiet() - ROUNDING_SECONDS);
        tally = new Tally(plan, settings.classes());
        demand = new Demand(plan);
        notes = plan.noteModel();
        relaySeedRandom = plan.relaySeedRandom();
        acknowledgementRandom = plan.acknowledgementRandom();
        probeNetworkRandom = plan.networkRandom(plan.destinations().size());
        for (int i = 0; i < plan.destinations().size(); i++) {
            destinations.add(plan.destinationModel(i));
            networkRandoms.add(plan.networkRandom(i));
        }
        for (int i = 0; i < plan.relays().count(); i++) {
            relays.add(new Relay(i));
        }
        for (int i = 0; i < destinations.size(); i++) {
            scheduleNextArrival(i);
        }
    }

    /** Runs a plan to its end. */
    public static RunResult run(String variant, Plan plan) {
        return new VirtualEngine(plan).run(variant);
    }

    private RunResult run(String variant) {
        for (Crash crash : plan.crashes()) {
            schedule(crash.at(), () -> relays.get(crash.relay()).kill(crash.downSeconds()));
        }
        for (double second = 0.5; second < plan.seconds(); second++) {
            schedule(second, this::recordSamples);
        }
        double end = plan.seconds() + LabSettings.longestDeadline(plan) + 1;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            ScheduledTask next = queue.poll();
            now = next.at();
            next.task().run();
        }
        rules.runFinished(end);
        return tally.result(variant, destinations, rules, hash);
    }

    private void schedule(double time, Runnable task) {
        queue.add(new ScheduledTask(time, sequence++, task));
    }

    /** Adds an event to the hash of the history. */
    private void addToHash(int kind, int number) {
        hash = (hash * 31 + Double.hashCode(now)) * 31 + kind * 1_000_003L + number;
    }

    private static double networkDelay(UniformRandomProvider random) {
        return MIN_NETWORK_SECONDS + random.nextDouble() * (MAX_NETWORK_SECONDS - MIN_NETWORK_SECONDS);
    }

    private void recordSamples() {
        int pending = 0;
        int storms = 0;
        int recovering = 0;
        for (Relay relay : relays) {
            pending += relay.pending.size();
            if (relay.stormAdvisor != null && !relay.down) {
                storms += relay.stormAdvisor.count(StormState.STORM);
                recovering += relay.stormAdvisor.count(StormState.RECOVERING);
            }
        }
        tally.addSample("owed", now, pending);
        tally.addSample("storms", now, storms);
        tally.addSample("recovering", now, recovering);
        for (int i = 0; i < destinations.size(); i++) {
            if (plan.destinations().get(i).hasTrouble()) {
                tally.addSample("capacity, struck", now, destinations.get(i).capacity(now));
            }
        }
    }

    private DestinationModel.Answer callDestination(int destination) {
        tally.callReceived(destination, now);
        DestinationModel.Answer answer = destinations.get(destination).call(now);
        if (answer.outcome() == Outcome.FULL) {
            tally.callRefused(destination, now);
        }
        return answer;
    }

    // ---- clients ----

    private void scheduleNextArrival(int destination) {
        schedule(now + demand.nextGap(destination), () -> {
            if (now < plan.seconds()) {
                ClientMessage message = demand.nextMessage(destination, now);
                tally.messageRequested(message);
                submit(message);
                scheduleNextArrival(destination);
            }
        });
    }

    private void submit(ClientMessage message) {
        if (relays.get(message.relay).down) {
            schedule(now + demand.clientModel(message.destination).reconnectDelay(), () -> submit(message));
        } else if (now < message.deadline) {
            message.countSubmission();
            relays.get(message.relay).accept(message);
        }
    }

    private void resubmitOrGiveUp(ClientMessage message, double retryAfter) {
        tally.messageRefused(now);
        double delay = demand.clientModel(message.destination).resubmissionDelay(message.submissions(), retryAfter);
        if (delay < Double.POSITIVE_INFINITY) {
            schedule(now + delay, () -> submit(message));
        }
    }

    /** Whether later messages of its key wait until the status report of its end is acknowledged. */
    private boolean awaitsAcknowledgement(ClientMessage message) {
        return message.hasKey() && plan.sequenced().meanAcknowledgementDelay() > 0;
    }

    private double acknowledgementDelay() {
        return -Math.log(1 - acknowledgementRandom.nextDouble())
                * plan.sequenced().meanAcknowledgementDelay();
    }

    private boolean isUnsafe(ClientMessage message) {
        return settings.classes().get(message.messageClass).effect() == Effect.UNSAFE;
    }

    // ---- a relay ----

    private final class Relay {
        private final int number;
        private final Map<Integer, AcceptedMessage> pending = new LinkedHashMap<>();
        /** Undelivered messages whose client has not acknowledged the status report. */
        private final Map<Integer, AcceptedMessage> unacknowledged = new LinkedHashMap<>();

        private Control control;
        private StormAdvisor stormAdvisor;
        private List<Object> inbox = new ArrayList<>();
        private boolean roundScheduled;
        private double lastRound = -1;
        private int generation;
        private boolean down;

        Relay(int number) {
            this.number = number;
            start();
        }

        private void start() {
            generation++;
            control = new Control(settings, relaySeedRandom.nextLong());
            stormAdvisor = plan.relays().stormEnabled()
                    ? new StormAdvisor(StormSettings.DEFAULT, settings, number, 1000 + number * 7.5, now)
                    : null;
            inbox = new ArrayList<>();
            roundScheduled = false;
            List<Target> targets = new ArrayList<>();
            for (int i = 0; i < plan.destinations().size(); i++) {
                targets.add(
                        new Target(i + 1, i, 0, 0, plan.destinations().get(i).rate(), Phase.READY));
            }
            post(new TargetList(true, targets));
        }

        /** Kills the process. Its pending messages are in its journal and are recovered after the restart. */
        void kill(double downSeconds) {
            down = true;
            generation++;
            rules.relayRestarted(number, now);
            pending.keySet().forEach(id -> rules.messageInterrupted(id, now + downSeconds));
            schedule(now + downSeconds, () -> {
                down = false;
                start();
                unacknowledged.values().forEach(this::postAnswerPending);
                List.copyOf(pending.values()).forEach(this::recover);
            });
        }

        /** Resumes or finishes a message that was pending when the process was killed. */
        private void recover(AcceptedMessage message) {
            message.mayHaveRun |= message.inFlight;
            message.inFlight = false;
            if (now < message.request.deadline && !(isUnsafe(message.request) && message.mayHaveRun)) {
                post(message);
                return;
            }
            if (awaitsAcknowledgement(message.request)) {
                postAnswerPending(message);
            }
            finishUndelivered(message, !message.mayHaveRun);
            if (!message.mayHaveRun) {
                resubmitOrGiveUp(message.request, 0);
            }
        }

        private void postAnswerPending(AcceptedMessage message) {
            post(new AnswerPending(message.id, message.request.key));
        }

        void accept(ClientMessage request) {
            if (pending.size() >= settings.limits().maxPending()) {
                resubmitOrGiveUp(request, FULL_RETRY_AFTER_SECONDS);
                return;
            }
            AcceptedMessage message = new AcceptedMessage();
            message.id = ++lastMessageId;
            message.request = request;
            pending.put(message.id, message);
            if (request.hasKey()) {
                rules.messageAccepted(message.id, isUnsafe(request), request.deadline, number, request.keyText());
            } else {
                rules.messageAccepted(message.id, isUnsafe(request), request.deadline);
            }
            post(message);
        }

        /** Queues an event for the next round, or an accepted message, which becomes an event in that round. */
        private void post(Object event) {
            inbox.add(event);
            if (!roundScheduled) {
                roundScheduled = true;
                int scheduledIn = generation;
                schedule(Math.max(now, lastRound + ROUND_INTERVAL_SECONDS), () -> {
                    if (scheduledIn == generation) {
                        round();
                    }
                });
            }
        }

        private void round() {
            roundScheduled = false;
            lastRound = now;
            List<Event> events = new ArrayList<>();
            for (Object one : inbox) {
                events.add(
                        one instanceof AcceptedMessage message
                                ? new MessageAccepted(new Message(
                                        message.id,
                                        message.request.messageClass,
                                        message.request.tenant,
                                        message.request.destination,
                                        message.request.key,
                                        Math.max(0, message.request.deadline - now),
                                        message.attempts,
                                        null,
                                        message.request.submissions() > 1,
                                        0,
                                        awaitsAcknowledgement(message.request)))
                                : (Event) one);
            }
            inbox = new ArrayList<>();
            List<Action> actions =
                    control.decide(now, stormAdvisor == null ? events : stormAdvisor.beforeDecision(now, events));
            if (stormAdvisor != null) {
                actions.addAll(stormAdvisor.afterDecision(now, actions));
            }
            actions.forEach(this::carryOut);
        }

        private void carryOut(Action action) {
            if (action instanceof Send send) {
                send(pending.get(send.message()), send);
            } else if (action instanceof Refuse refuse) {
                AcceptedMessage message = pending.get(refuse.message());
                addToHash(2, message.id);
                finishUndelivered(message, true);
                resubmitOrGiveUp(message.request, refuse.retryAfter());
            } else if (action instanceof Fail fail) {
                addToHash(3, fail.message());
                finishUndelivered(pending.get(fail.message()), false);
            } else if (action instanceof SetTimer timer) {
                scheduleWhileUp(timer.time(), () -> post(new TimerFired(timer.token())));
            } else if (action instanceof CancelAttempt cancel) {
                cancel(cancel);
            } else if (action instanceof Probe probe) {
                probe(probe.target());
            } else if (action instanceof SendNote note) {
                sendNote(note);
            } else if (action instanceof Log) {
                addToHash(4, number);
            }
        }

        private void scheduleWhileUp(double time, Runnable task) {
            int scheduledIn = generation;
            schedule(time, () -> {
                if (scheduledIn == generation && !down) {
                    task.run();
                }
            });
        }

        private void send(AcceptedMessage message, Send send) {
            addToHash(1, message.id);
            int destination = message.request.destination;
            rules.attemptStarted(message.id, now);
            rules.destinationCalled(number, destination, now);
            int attempt = message.attempts++;
            message.inFlight = true;
            double sentAt = now;
            double delay = networkDelay(networkRandoms.get(destination));
            int scheduledIn = generation;
            schedule(now + delay, () -> {
                // A call that was sent arrives even if its relay is killed meanwhile.
                DestinationModel.Answer answer = callDestination(destination);
                double answeredAt = now + answer.delay() + delay;
                boolean timedOut = answeredAt - sentAt > send.timeout();
                schedule(timedOut ? sentAt + send.timeout() : answeredAt, () -> {
                    if (scheduledIn == generation && !down) {
                        attemptEnded(
                                message,
                                attempt,
                                sentAt,
                                timedOut ? Outcome.TIMED_OUT : answer.outcome(),
                                timedOut ? 0 : answer.retryAfter());
                    } else if (answer.outcome() == Outcome.DELIVERED) {
                        message.mayHaveRun = true;
                    }
                });
            });
        }

        private void attemptEnded(
                AcceptedMessage message, int attempt, double sentAt, Outcome outcome, double retryAfter) {
            if (message.finished || !message.inFlight || message.attempts - 1 != attempt) {
                return;
            }
            message.inFlight = false;
            message.mayHaveRun |= !outcome.neverRan();
            if (outcome.mayStillRun()) {
                rules.attemptAbandoned(message.id, now, true);
            } else {
                rules.attemptEnded(message.id, !outcome.neverRan());
            }
            if (retryAfter > 0) {
                rules.retryAfterReceived(number, message.request.destination, now, now + retryAfter);
            }
            boolean delivered = outcome == Outcome.DELIVERED;
            if (delivered) {
                rules.messageAnswered(message.id, now, false);
                finish(message);
                tally.messageDelivered(message.request, now);
            }
            post(new AttemptEnded(
                    message.id,
                    attempt,
                    message.request.destination + 1,
                    outcome,
                    now - sentAt,
                    delivered,
                    retryAfter,
                    null));
        }

        private void cancel(CancelAttempt cancel) {
            AcceptedMessage message = pending.get(cancel.message());
            if (message != null && message.inFlight && message.attempts - 1 == cancel.attempt()) {
                message.mayHaveRun = true;
                message.inFlight = false;
                rules.attemptAbandoned(message.id, now, true);
                post(new AttemptEnded(
                        message.id,
                        cancel.attempt(),
                        message.request.destination + 1,
                        Outcome.CANCELLED,
                        0,
                        false,
                        0,
                        null));
            }
        }

        private void probe(int target) {
            double sentAt = now;
            double delay = networkDelay(probeNetworkRandom);
            rules.destinationCalled(number, target - 1, now);
            schedule(now + delay, () -> {
                DestinationModel.Answer answer = callDestination(target - 1);
                scheduleWhileUp(
                        Math.min(now + answer.delay() + delay, sentAt + PROBE_TIMEOUT_SECONDS),
                        () -> post(new ProbeEnded(
                                target,
                                answer.outcome() == Outcome.DELIVERED,
                                answer.outcome() == Outcome.FULL,
                                now - sentAt)));
            });
        }

        private void sendNote(SendNote note) {
            for (Relay other : relays) {
                if (other == this || note.to() >= 0 && note.to() != other.number) {
                    continue;
                }
                for (double delay : notes.copyDelays()) {
                    schedule(now + delay, () -> {
                        if (!other.down) {
                            other.post(new NoteReceived(number, note.note()));
                        }
                    });
                }
            }
        }

        /** Finishes a message that was not delivered, by a status report where later messages wait for it. */
        private void finishUndelivered(AcceptedMessage message, boolean returned) {
            finish(message);
            if (awaitsAcknowledgement(message.request)) {
                rules.statusReported(message.id, now, returned);
                unacknowledged.put(message.id, message);
                schedule(now + acknowledgementDelay(), () -> acknowledge(message));
            } else {
                rules.messageAnswered(message.id, now, returned);
            }
        }

        private void acknowledge(AcceptedMessage message) {
            if (down) {
                // The restarted relay reports it again.
                schedule(now + acknowledgementDelay(), () -> acknowledge(message));
                return;
            }
            unacknowledged.remove(message.id);
            rules.reportAcknowledged(message.id);
            post(new AnswerAcknowledged(message.id, message.request.key));
        }

        private void finish(AcceptedMessage message) {
            message.finished = true;
            pending.remove(message.id);
        }
    }
}
