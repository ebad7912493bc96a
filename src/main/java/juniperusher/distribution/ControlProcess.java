package juniperusher.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * A control process: publishes to its subscribers, and follows the leader while it does not lead itself. Joins a
 * {@link Subscriber} and a {@link Publisher}: what the one takes over the other passes on, with its age, and a newer
 * term that one side sees the other knows too.
 *
 * <p>How an adapter drives it: as both are driven, see there. Each method that can cause steps returns those for
 * either side; those of the subscriber concern connections that this process opened, those of the publisher
 * connections that it accepted, and each side has its own numbers. It leads from {@link #lead} on, called when the
 * process's lease is held, until {@link #follow}, called when the lease is in doubt, lost, or given up after {@link
 * PublisherStep.Deposed}.
 *
 * @param <S> the state
 */
public final class ControlProcess<S> {
    private final Subscriber<S> subscriber;
    private final Publisher<S> publisher;

    /**
     * What is to be done on both sides.
     *
     * @param <S> the state
     */
    public record Steps<S>(List<SubscriberStep<S>> upstream, List<PublisherStep> downstream) {}

    /** Joins the two; the subscriber has no state and no sources yet, and the publisher no state. */
    public ControlProcess(Subscriber<S> subscriber, Publisher<S> publisher) {
        subscriber.republishes();
        this.subscriber = subscriber;
        this.publisher = publisher;
    }

    /** A state that the process has from the store or its folder, before it leads or follows. */
    public Steps<S> resume(Version version, S state, double knownCurrentAt, double time) {
        subscriber.resume(version, state, knownCurrentAt);
        publisher.currentAt(knownCurrentAt);
        return downstream(publisher.replaced(version, state, time));
    }

    /** The process leads from now on, under that fencing token. */
    public Steps<S> lead(long token, double time) {
        List<SubscriberStep<S>> upstream = subscriber.stop(time);
        Steps<S> steps = downstream(publisher.lead(token, time));
        return new Steps<>(upstream, steps.downstream());
    }

    /** The process does not lead, or no more, and follows one of these sources, the first ones first. */
    public Steps<S> follow(List<String> sources, double time) {
        publisher.resign(time);
        if (publisher.state() != null) {
            subscriber.resume(publisher.newest(), publisher.state(), time - publisher.age(time));
        }
        subscriber.newerTerm(publisher.term());
        return new Steps<>(subscriber.start(sources, time), List.of());
    }

    /** Changes of the state, all or none; only while the process's lease is held. */
    public Steps<S> publish(List<byte[]> deltas, double time) throws DamagedStateException {
        return downstream(publisher.publish(deltas, time));
    }

    /** The connection to the source is open. */
    public Steps<S> connected(long connection, double time) {
        return passOn(subscriber.connected(connection, time), time);
    }

    /** The connection to the source could not be opened, or has ended. */
    public Steps<S> disconnected(long connection, double time) {
        return passOn(subscriber.disconnected(connection, time), time);
    }

    /** The source has sent a message. */
    public Steps<S> fromSource(long connection, ControlMessage message, double time) {
        return passOn(subscriber.received(connection, message, time), time);
    }

    /** A subscriber has sent a message. */
    public Steps<S> fromSubscriber(long connection, ControlMessage message, double time) {
        return downstream(publisher.received(connection, message, time));
    }

    /** A subscriber's connection has ended. */
    public void closed(long connection, double time) {
        publisher.closed(connection, time);
    }

    /** Time has passed; to be called at {@link #due} at the latest. */
    public Steps<S> tick(double time) {
        Steps<S> first = passOn(subscriber.tick(time), time);
        List<PublisherStep> all = new ArrayList<>(first.downstream());
        all.addAll(downstream(publisher.tick(time)).downstream());
        return new Steps<>(first.upstream(), all);
    }

    /** When {@link #tick} has something to do next. */
    public double due() {
        return Math.min(subscriber.due(), publisher.due());
    }

    private Steps<S> passOn(List<SubscriberStep<S>> upstream, double time) {
        List<PublisherStep> downstream = new ArrayList<>(publisher.newerTerm(subscriber.term(), time));
        publisher.currentAt(subscriber.currentAt());
        for (SubscriberStep<S> step : upstream) {
            if (step instanceof SubscriberStep.Replaced<S> replaced) {
                downstream.addAll(publisher.replaced(replaced.version(), replaced.state(), time));
            } else if (step instanceof SubscriberStep.Advanced<S> advanced) {
                downstream.addAll(publisher.advanced(advanced.from(), advanced.changes(), advanced.state(), time));
            }
        }
        return new Steps<>(upstream, downstream(downstream).downstream());
    }

    private Steps<S> downstream(List<PublisherStep> steps) {
        subscriber.newerTerm(publisher.term());
        return new Steps<>(List.of(), steps);
    }

    /** The side towards the leader. */
    public Subscriber<S> subscriber() {
        return subscriber;
    }

    /** The side towards the subscribers. */
    public Publisher<S> publisher() {
        return publisher;
    }
}
