package juniperusher.core;

import java.io.IOException;
import java.util.function.Function;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Recognizes a message whose id comes again: one that is pending, one that must not run again and has ended recently,
 * and at an upgrade one that the other process has accepted. Such a message counts as accepted and is not sent because
 * of that. Safe for threads.
 */
final class ReturnedMessages {
    private static final Logger LOG = LoggerFactory.getLogger(ReturnedMessages.class);

    private final Journal journal;
    private final OrderHandover orderHandover;
    private final Predicate<String> isPending;
    private final Function<String, Front> fronts;
    private final Counters counters;

    /** Whether a message that a client submits has been accepted before. */
    enum Status {
        NEW,
        ACCEPTED_BEFORE,
        /** It cannot be told now. */
        UNREADABLE
    }

    /**
     * What is known of a message that a client submits.
     *
     * @param end how it ended; null if it is new or pending, or if that is not known
     */
    record Sighting(Status status, RpcEnd.Kind end) {
        private static final Sighting NEW = new Sighting(Status.NEW, null);
        private static final Sighting PENDING = new Sighting(Status.ACCEPTED_BEFORE, null);
        private static final Sighting UNREADABLE = new Sighting(Status.UNREADABLE, null);

        private static Sighting ended(RememberedEnds.End end) {
            return new Sighting(Status.ACCEPTED_BEFORE, end.kind());
        }
    }

    /**
     * Creates the look-up.
     *
     * @param isPending whether this process has a pending message with that key
     * @param fronts the front with that name, or null
     */
    ReturnedMessages(
            Journal journal,
            OrderHandover orderHandover,
            Predicate<String> isPending,
            Function<String, Front> fronts,
            Counters counters) {
        this.journal = journal;
        this.orderHandover = orderHandover;
        this.isPending = isPending;
        this.fronts = fronts;
        this.counters = counters;
    }

    /** Looks for the message here and, at an upgrade, in what the other process has written so far. */
    Sighting find(RpcRequest request) {
        if (isPending.test(request.key())) {
            return Sighting.PENDING;
        }
        RememberedEnds.End end = request.acceptOnce() ? journal.recentEnd(request.key()) : null;
        return end == null ? findAtOtherProcess(request) : Sighting.ended(end);
    }

    /** Looks for the message in what the other process of an upgrade has written so far. */
    Sighting findAtOtherProcess(RpcRequest request) {
        if (!orderHandover.isOtherProcessSeen()) {
            return Sighting.NEW;
        }
        try {
            OtherProcessMessages.Knowledge other = journal.otherProcessKnowledge(request.key());
            if (other.pending()) {
                return Sighting.PENDING;
            }
            return other.end() == null ? Sighting.NEW : Sighting.ended(other.end());
        } catch (IOException e) {
            LOG.atWarn().log("the messages of the other process cannot be read: {}", e.toString());
            return Sighting.UNREADABLE;
        }
    }

    /** Answers a message that has been accepted before, and reports once more that it failed. */
    void answer(RpcRequest request, Channel channel, Sighting sighting) {
        counters.add("returned_total", "front", request.front());
        MessageLog.returned(request, sighting.end());
        channel.accepted();
        Front front = fronts.apply(request.front());
        if (sighting.end() == null || front == null || !front.reportsEndAgain()) {
            return;
        }
        RpcEnd end = new RpcEnd(request.id(), request.returnAddress(), sighting.end(), 0);
        if (front.reportsEnd(end)) {
            front.report(end, true, () -> {});
        }
    }
}
