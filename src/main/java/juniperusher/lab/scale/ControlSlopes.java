package juniperusher.lab.scale;

import java.io.IOException;
import java.util.List;

/** What the decision module costs: by listed destinations, pending messages and messages passed through. */
final class ControlSlopes {
    private static final int SOME_HELD = 1_000;
    private static final int USUAL = ControlFixture.USUAL_DESTINATIONS;
    private static final String DESTINATION = "listed destination";
    private static final String HELD = "held message";

    private ControlSlopes() {}

    static List<Slope> all() {
        return List.of(
                new HeapOfDestinations(),
                new IdleRound(),
                new RoundWithSomeHeld(),
                new EndpointChange(),
                new HeapOfHeld(),
                new RoundWithHeld(),
                new RoundWithHeldAtDraining(),
                new DeliveredMessages());
    }

    /** Retained heap by listed destinations. */
    private static final class HeapOfDestinations extends NamedSlope {
        HeapOfDestinations() {
            super("control.heap.destination", "B", DESTINATION);
        }

        @Override
        public double measure(int size) throws IOException {
            return Meter.retainedBytes(() -> new ControlFixture(size));
        }
    }

    /** Time of a round without events and without messages, by listed destinations. */
    private static final class IdleRound extends NamedSlope {
        IdleRound() {
            super("control.round.destination", "ns", DESTINATION);
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(size);
            return Meter.nanosPerStep(() -> control.round(List.of()));
        }
    }

    /** The same with some messages pending at closed destinations. */
    private static final class RoundWithSomeHeld extends NamedSlope {
        RoundWithSomeHeld() {
            super("control.round.destination.held", "ns", DESTINATION);
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(size).closeFirst(USUAL).hold(SOME_HELD);
            return Meter.nanosPerStep(() -> control.round(List.of()));
        }
    }

    /** Time of a round that is told of one changed endpoint, by listed destinations. */
    private static final class EndpointChange extends NamedSlope {
        EndpointChange() {
            super("control.change.destination", "ns", DESTINATION);
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(size);
            return Meter.nanosPerStep(control::changeOne);
        }
    }

    /** Retained heap by messages pending at closed destinations. */
    private static final class HeapOfHeld extends NamedSlope {
        HeapOfHeld() {
            super("control.heap.held", "B", HELD);
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(USUAL).closeFirst(USUAL);
            return Meter.retainedBytes(() -> control.hold(size));
        }
    }

    /** Time of a round without events, by messages pending at closed destinations. */
    private static final class RoundWithHeld extends NamedSlope {
        RoundWithHeld() {
            super("control.round.held", "ns", HELD);
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(USUAL).closeFirst(USUAL).hold(size);
            return Meter.nanosPerStep(() -> control.round(List.of()));
        }
    }

    /** The same, by messages pending at destinations whose endpoints all drain. */
    private static final class RoundWithHeldAtDraining extends NamedSlope {
        RoundWithHeldAtDraining() {
            super("control.round.held.draining", "ns", HELD);
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(USUAL).drainAll().hold(size);
            return Meter.nanosPerStep(() -> control.round(List.of()));
        }
    }

    /** Time of the two rounds that take on and end messages, by messages in each. */
    private static final class DeliveredMessages extends NamedSlope {
        DeliveredMessages() {
            super("control.time.message", "ns", "message taken and delivered");
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(USUAL);
            return Meter.nanosPerStep(() -> control.deliver(size));
        }
    }
}
