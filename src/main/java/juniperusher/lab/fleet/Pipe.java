package juniperusher.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * One direction of a connection: frames come out in their order, after a delay, at the reader's pace; while the
 * network is cut they wait. What was sent last comes out before the end.
 */
final class Pipe {
    /** What may become of the next frame. */
    enum Fault {
        LOST,
        DOUBLED,
        SWAPPED,
        DAMAGED
    }

    private static final byte[] END = new byte[0];

    private final EventQueue events;
    private final BooleanSupplier open; // whether the network lets pass
    private final Consumer<byte[]> reader;
    private final Runnable ended;
    private final ArrayDeque<Frame> frames = new ArrayDeque<>();
    private final List<Fault> faults = new ArrayList<>();
    private byte[] overtaken; // a frame that the next one overtakes
    private double freeAt; // when the reader is through with the last frame

    private record Frame(double at, byte[] bytes) {}

    Pipe(EventQueue events, BooleanSupplier open, Consumer<byte[]> reader, Runnable ended) {
        this.events = events;
        this.open = open;
        this.reader = reader;
        this.ended = ended;
    }

    /** The next frame is to suffer it. */
    void next(Fault fault) {
        faults.add(fault);
    }

    /** A frame goes in. */
    void send(byte[] frame, double delay, double bytesPerSecond) {
        Fault fault = faults.isEmpty() ? null : faults.remove(0);
        if (fault == Fault.SWAPPED) {
            overtaken = frame;
        } else if (fault != Fault.LOST) {
            put(fault == Fault.DAMAGED ? damaged(frame) : frame, delay, bytesPerSecond);
            if (fault == Fault.DOUBLED) {
                put(frame, delay, bytesPerSecond);
            }
            if (overtaken != null) {
                put(overtaken, delay, bytesPerSecond);
                overtaken = null;
            }
        }
    }

    private static byte[] damaged(byte[] frame) {
        byte[] other = frame.clone();
        other[other.length / 2] ^= 1;
        return other;
    }

    /** The sender closes: the reader hears of it after all that was sent. */
    void end(double delay) {
        put(END, delay, Double.POSITIVE_INFINITY);
    }

    /** The sender dies: of what it had sent some frames come out whole, one perhaps cut in two, and the end. */
    void breakOff(double delay, SplittableRandom random) {
        int whole = frames.isEmpty() ? 0 : random.nextInt(frames.size() + 1);
        Iterator<Frame> rest = frames.iterator();
        byte[] cut = null;
        for (int i = 0; rest.hasNext(); i++) {
            Frame frame = rest.next();
            if (i >= whole) {
                cut = cut == null ? java.util.Arrays.copyOf(frame.bytes(), frame.bytes().length / 2) : cut;
                rest.remove();
            }
        }
        if (cut != null && cut.length > 0) {
            put(cut, delay, Double.POSITIVE_INFINITY);
        }
        end(delay);
    }

    private void put(byte[] frame, double delay, double bytesPerSecond) {
        freeAt = Math.max(freeAt, events.now() + delay) + frame.length / bytesPerSecond;
        frames.add(new Frame(freeAt, frame));
        events.at(freeAt, this::flow);
    }

    /** Lets out what is due, unless the network is cut. */
    void flow() {
        while (!frames.isEmpty() && frames.peek().at() <= events.now() && open.getAsBoolean()) {
            byte[] frame = frames.poll().bytes();
            if (frame == END) {
                frames.clear();
                ended.run();
            } else {
                reader.accept(frame);
            }
        }
    }
}
