package juniperusher.lab.fleet;

import java.util.PriorityQueue;

/** Virtual time: what is to happen when, in seconds; what is to happen at one moment does so in the order given. */
final class EventQueue {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double now;
    private long order;

    private record Event(double at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** The time. */
    double now() {
        return now;
    }

    /** Something is to happen then. */
    void at(double when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    /** Plays the next event up to that time, or, if there is none, lets the time pass until then. */
    boolean playNext(double until) {
        if (events.isEmpty() || events.peek().at() > until) {
            now = until;
            return false;
        }
        Event event = events.poll();
        now = event.at();
        event.what().run();
        return true;
    }
}
