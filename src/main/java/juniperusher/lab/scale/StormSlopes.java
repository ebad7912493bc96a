package juniperusher.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.NoteReceived;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SendNote;
import juniperusher.Protocol.TargetList;
import juniperusher.storm.StormAdvisor;
import juniperusher.storm.StormSettings;
import juniperusher.storm.StormState;

/** What the storm package costs where it is on: by listed destinations and by relays that write notes. */
final class StormSlopes {
    private static final double EPOCH = 1_000_000; // s
    private static final String DESTINATION = "listed destination";
    private static final String RELAY = "relay of the fleet";

    private StormSlopes() {}

    static List<Slope> all() {
        return List.of(
                new HeapOfDestinations(),
                new CalmRound(),
                new ActiveRound(),
                new NoteBytes(),
                new NoteDatagrams(),
                new NoteTime(),
                new NoteHeap());
    }

    /** One relay's storm advisor, driven round by round. */
    private static final class Fixture {
        private static final double ROUND = 0.005; // s
        private static final double FAILING = 2; // s, longer than an outage needs to be seen
        private static final double STEP = 0.1; // s between two failed calls
        private static final double LEFT = 20; // s to deadlines
        private static final int DOWN = 10; // destinations that are down: as many as a note holds

        private final StormAdvisor stormAdvisor;
        private double now;
        private int messages;

        Fixture(int me, int relays, int destinations) {
            stormAdvisor = new StormAdvisor(StormSettings.DEFAULT, ControlFixture.settings(relays), me, EPOCH, 0);
            round(List.of(new TargetList(true, ControlFixture.targets(destinations))));
        }

        /** A round as the decision loop has it, with the gauges that are read after it. */
        List<Action> round(List<Event> events) {
            now += ROUND;
            stormAdvisor.beforeDecision(now, events);
            List<Action> further = stormAdvisor.afterDecision(now, List.of());
            stormAdvisor.count(StormState.STORM);
            stormAdvisor.count(StormState.RECOVERING);
            stormAdvisor.outageCount();
            return further;
        }

        /** Holds a message for each destination. */
        void holdOneEach(int destinations) {
            List<Event> arrivals = new ArrayList<>();
            for (int destination = 0; destination < destinations; destination++) {
                arrivals.add(new MessageAccepted(new Message(++messages, 0, 0, destination, 0, LEFT)));
            }
            round(arrivals);
        }

        /** A note of this relay while destinations are down. */
        byte[] note() {
            for (double from = now; now < from + FAILING; now += STEP) {
                List<Event> arrivals = new ArrayList<>();
                List<Action> sends = new ArrayList<>();
                List<Event> ends = new ArrayList<>();
                for (int destination = 0; destination < DOWN; destination++) {
                    int id = ++messages;
                    arrivals.add(new MessageAccepted(new Message(id, 0, 0, destination, 0, LEFT)));
                    sends.add(new Send(id, destination, 1));
                    ends.add(new AttemptEnded(id, 0, destination, Outcome.ERROR, STEP / 2, false, 0, null));
                }
                stormAdvisor.beforeDecision(now, arrivals);
                stormAdvisor.afterDecision(now, sends);
                stormAdvisor.beforeDecision(now + STEP / 2, ends);
            }
            now += 1; // the pause between two notes is over
            return round(List.of()).stream()
                    .filter(SendNote.class::isInstance)
                    .map(action -> ((SendNote) action).note())
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("no note was written"));
        }
    }

    /** Retained heap by listed destinations. */
    private static final class HeapOfDestinations extends NamedSlope {
        HeapOfDestinations() {
            super("storm.heap.destination", "B", DESTINATION);
        }

        @Override
        public double measure(int size) throws IOException {
            return Meter.retainedBytes(() -> new Fixture(0, 1, size));
        }
    }

    /** Time of a round without events while all is calm, by listed destinations. */
    private static final class CalmRound extends NamedSlope {
        CalmRound() {
            super("storm.round.destination", "ns", DESTINATION);
        }

        @Override
        public double measure(int size) throws IOException {
            Fixture storms = new Fixture(0, 1, size);
            return Meter.nanosPerStep(() -> storms.round(List.of()));
        }
    }

    /** Time of a round without events, by destinations for each of which one message is held. */
    private static final class ActiveRound extends NamedSlope {
        ActiveRound() {
            super("storm.round.active", "ns", "destination with a held message");
        }

        @Override
        public double measure(int size) throws IOException {
            Fixture storms = new Fixture(0, 1, size);
            storms.holdOneEach(size);
            return Meter.nanosPerStep(() -> storms.round(List.of()));
        }
    }

    private static double notesPerSecond(int relays) {
        return (relays - 1) / StormSettings.DEFAULT.noteIntervalSeconds();
    }

    /** Bytes of notes that reach a relay in a second while all relays see destinations down, without headers. */
    private static final class NoteBytes extends NamedSlope {
        NoteBytes() {
            super("storm.notes.bytes", "B/s", RELAY);
        }

        @Override
        public double measure(int size) {
            return new Fixture(1, size, ControlFixture.USUAL_DESTINATIONS).note().length * notesPerSecond(size);
        }
    }

    /** Datagrams that reach a relay in a second in the same case. */
    private static final class NoteDatagrams extends NamedSlope {
        NoteDatagrams() {
            super("storm.notes.datagrams", "1/s", RELAY);
        }

        @Override
        public double measure(int size) {
            return notesPerSecond(size);
        }
    }

    /** Time to take one note of each other relay, by relays. */
    private static final class NoteTime extends NamedSlope {
        private static final int WARM_UP = 50; // rounds
        private static final int MEASURED = 50;

        NoteTime() {
            super("storm.notes.time", "ns", RELAY);
        }

        @Override
        public double measure(int size) throws IOException {
            Fixture reader = new Fixture(0, size, ControlFixture.USUAL_DESTINATIONS);
            Fixture writer = new Fixture(1, size, ControlFixture.USUAL_DESTINATIONS);
            List<byte[]> notes = new ArrayList<>(); // each is heard once only
            for (int i = 0; i < WARM_UP + MEASURED; i++) {
                notes.add(writer.note());
            }
            for (byte[] note : notes.subList(0, WARM_UP)) {
                reader.round(fromAll(size, note));
            }
            double nanos = Meter.nanosOnce(() -> {
                for (byte[] note : notes.subList(WARM_UP, notes.size())) {
                    reader.round(fromAll(size, note));
                }
            });
            return nanos / MEASURED;
        }
    }

    /** Retained heap of what is known by one note of each other relay. */
    private static final class NoteHeap extends NamedSlope {
        NoteHeap() {
            super("storm.notes.heap", "B", RELAY);
        }

        @Override
        public double measure(int size) throws IOException {
            Fixture reader = new Fixture(0, size, ControlFixture.USUAL_DESTINATIONS);
            byte[] note = new Fixture(1, size, ControlFixture.USUAL_DESTINATIONS).note();
            return Meter.retainedBytes(() -> {
                reader.round(fromAll(size, note));
                return reader;
            });
        }
    }

    private static List<Event> fromAll(int relays, byte[] note) {
        List<Event> notes = new ArrayList<>();
        for (int from = 1; from < relays; from++) {
            notes.add(new NoteReceived(from, note));
        }
        return notes;
    }
}
