package juniperusher.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * State machine of a control process. It publishes a state to its subscribers, and follows the leader while it does not
 * lead itself. It connects a {@link Subscriber} to a {@link Publisher}: the publisher republishes each state that the
 * subscriber receives, together with its age, and both sides learn each newer term that one of them sees.
 *
 * <p>Not thread-safe. An adapter drives it like a subscriber and a publisher. Methods return the steps of both sides:
 * those of the subscriber refer to connections that this process opened, those of the publisher to connections that it
 * accepted. The two sides number their connections independently. The process leads from {@link #lead}, which is called
 * once it has the lease, until {@link #follow}, which is called when the lease is in doubt or lost, or was released
 * after {@link PublisherStep.Deposed}.
 *
 * @param <S> the state
 */
public final class ControlProcess<S> {
    private final Subscriber<S> subscriber;
    private final Publisher<S> publisher;

    /**
     * Steps for the adapter.
     *
     * @param <S> the state
     * @param upstream steps for connections to sources
     * @param downstream steps for connections of subscribers
     */
    public record Steps<S>(List<SubscriberStep<S>> upstream, List<PublisherStep> downstream) {}

    /** Connects a subscriber and a publisher, neither of which has a state or sources yet. */
    public ControlProcess(Subscriber<S> subscriber, Publisher<S> publisher) {
        subscriber.setRepublishing();
        this.subscriber = subscriber;
        this.publisher = publisher;
    }

    /**
     * Sets a state that was restored from the store or from disk. To be called before {@link #lead} and {@link
     * #follow}.
     */
    public Steps<S> resume(Version version, S state, double knownCurrentAt, double time) {
        subscriber.resume(version, state, knownCurrentAt);
        publisher.updateKnownCurrentAt(knownCurrentAt);
        return downstreamSteps(publisher.replaceState(version, state, time));
    }

    /** Makes this process the leader under that fencing token of its lease. See {@link Publisher#lead}. */
    public Steps<S> lead(long token, double time) {
        List<SubscriberStep<S>> upstream = subscriber.stop(time);
        Steps<S> steps = downstreamSteps(publisher.lead(token, time));
        return new Steps<>(upstream, steps.downstream());
    }

    /** Makes this process a follower of one of these sources, which are in order of preference. */
    public Steps<S> follow(List<String> sources, double time) {
        publisher.resign(time);
        if (publisher.state() != null) {
            subscriber.resume(publisher.newestVersion(), publisher.state(), time - publisher.ageSeconds(time));
        }
        subscriber.observeTerm(publisher.highestTerm());
        return new Steps<>(subscriber.start(sources, time), List.of());
    }

    /** Publishes changes, either all or none. Only allowed while the lease is valid. See {@link Publisher#publish}. */
    public Steps<S> publish(List<byte[]> deltas, double time) throws DamagedStateException {
        return downstreamSteps(publisher.publish(deltas, time));
    }

    /** Reports that the connection to the source is open. */
    public Steps<S> connected(long connection, double time) {
        return forward(subscriber.connected(connection, time), time);
    }

    /** Reports that the connection to the source could not be opened or has ended. */
    public Steps<S> disconnected(long connection, double time) {
        return forward(subscriber.disconnected(connection, time), time);
    }

    /** Handles a message from the source. */
    public Steps<S> fromSource(long connection, ControlMessage message, double time) {
        return forward(subscriber.received(connection, message, time), time);
    }

    /** Handles a message from a subscriber. */
    public Steps<S> fromSubscriber(long connection, ControlMessage message, double time) {
        return downstreamSteps(publisher.received(connection, message, time));
    }

    /** Reports that a subscriber's connection has ended. */
    public void closed(long connection, double time) {
        publisher.closed(connection, time);
    }

    /** Handles timeouts on both sides. Has to be called at {@link #nextTickAt} at the latest. */
    public Steps<S> tick(double time) {
        Steps<S> upstreamTick = forward(subscriber.tick(time), time);
        List<PublisherStep> downstream = new ArrayList<>(upstreamTick.downstream());
        downstream.addAll(downstreamSteps(publisher.tick(time)).downstream());
        return new Steps<>(upstreamTick.upstream(), downstream);
    }

    /** The time at which {@link #tick} has to be called next; infinite if there is nothing to do. */
    public double nextTickAt() {
        return Math.min(subscriber.nextTickAt(), publisher.nextTickAt());
    }

    private Steps<S> forward(List<SubscriberStep<S>> upstream, double time) {
        List<PublisherStep> forwarded = new ArrayList<>(publisher.observeTerm(subscriber.highestTerm(), time));
        publisher.updateKnownCurrentAt(subscriber.lastKnownCurrentAt());
        for (SubscriberStep<S> step : upstream) {
            if (step instanceof SubscriberStep.Replaced<S> replaced) {
                forwarded.addAll(publisher.replaceState(replaced.version(), replaced.state(), time));
            } else if (step instanceof SubscriberStep.Advanced<S> advanced) {
                forwarded.addAll(
                        publisher.advanceState(advanced.fromVersion(), advanced.changes(), advanced.state(), time));
            }
        }
        return new Steps<>(upstream, downstreamSteps(forwarded).downstream());
    }

    private Steps<S> downstreamSteps(List<PublisherStep> steps) {
        subscriber.observeTerm(publisher.highestTerm());
        return new Steps<>(List.of(), steps);
    }

    /** The side that connects to sources. */
    public Subscriber<S> subscriber() {
        return subscriber;
    }

    /** The side that serves subscribers. */
    public Publisher<S> publisher() {
        return publisher;
    }
}
