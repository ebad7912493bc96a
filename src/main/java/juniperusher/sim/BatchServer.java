package juniperusher.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import juniperusher.Control;
import juniperusher.Protocol.Arrived;
import juniperusher.Protocol.Ended;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.ListFailed;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.Noted;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probed;
import juniperusher.Protocol.Report;
import juniperusher.Protocol.Streaming;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.Withdrawn;
import juniperusher.Protocol.Woken;

/** Hosts many instances of the decision module behind the simulator's wire; translates and nothing else. */
final class BatchServer {
    private static final int HEADER_BYTES = 16;

    private final Map<Integer, Instance> instances = new LinkedHashMap<>();
    private final Map<Integer, List<Target>> targetLists = new LinkedHashMap<>();

    /** One instance and the events of the batch in hand. */
    private static final class Instance {
        private final Control control;
        private final SettingsParser.Parsed parsed;
        private final List<Event> pendingEvents = new ArrayList<>();

        private Instance(SettingsParser.Parsed parsed, long seed) {
            this.parsed = parsed;
            control = new Control(parsed.settings(), seed);
        }
    }

    /** Answers batches until the input ends between two frames. */
    void serve(InputStream in, OutputStream out) throws IOException {
        for (byte[] frame = readFrame(in); frame != null; frame = readFrame(in)) {
            handleBatch(frame).writeTo(out);
        }
    }

    private static byte[] readFrame(InputStream in) throws IOException {
        byte[] size = in.readNBytes(4);
        if (size.length == 0) {
            return null;
        }
        if (size.length < 4) {
            throw new WireException("frame cut short in its length: " + size.length + " bytes of 4");
        }
        int length = ByteBuffer.wrap(size).getInt();
        if (length < HEADER_BYTES) {
            throw new WireException("frame of " + (length & 0xffffffffL) + " bytes is no batch");
        }
        byte[] rest = in.readNBytes(length - 4);
        if (rest.length < length - 4) {
            throw new WireException("frame cut short: " + (rest.length + 4) + " bytes of " + length);
        }
        byte[] frame = new byte[length];
        System.arraycopy(size, 0, frame, 0, 4);
        System.arraycopy(rest, 0, frame, 4, rest.length);
        return frame;
    }

    ReplyWriter handleBatch(byte[] frame) {
        FrameReader in = new FrameReader(frame);
        in.u32();
        double now = in.f64();
        long records = in.u32();
        Set<Integer> instancesToRun = new LinkedHashSet<>();
        int currentInstance = -1;
        for (long i = 0; i < records; i++) {
            int recordStart = in.position();
            int code = in.u8();
            String recordName = "record " + i + " (code " + code + ", byte " + recordStart + ")";
            in.beginRecord(in.u32(), recordName);
            if (code == 8) {
                currentInstance = in.id();
            } else if (code == 7) {
                readTargetList(in);
            } else if (code == 1) {
                long seed = in.u64();
                instances.put(currentInstance, new Instance(SettingsParser.parse(in.text(in.u32())), seed));
                instancesToRun.add(currentInstance);
            } else if (code == 10) {
                instances.remove(currentInstance);
                instancesToRun.remove(currentInstance);
            } else {
                Instance instance = instances.get(currentInstance);
                if (instance == null) {
                    throw new WireException(recordName + ": instance " + currentInstance + " was not started");
                }
                instance.pendingEvents.add(readEvent(in, code, instance, recordName));
                instancesToRun.add(currentInstance);
            }
            in.endRecord(recordName);
        }
        if (!in.atEnd()) {
            throw new WireException("frame has bytes after its last record, at byte " + in.position());
        }
        return decide(now, instancesToRun);
    }

    private ReplyWriter decide(double now, Set<Integer> instancesToRun) {
        ReplyWriter reply = new ReplyWriter();
        for (int id : instancesToRun) {
            Instance instance = instances.get(id);
            try {
                reply.addActions(id, instance.control.decide(now, instance.pendingEvents));
            } catch (RuntimeException | StackOverflowError e) {
                StackTraceElement[] trace = e.getStackTrace();
                reply.addFault(id, e + (trace.length > 0 ? " at " + trace[0] : ""));
            }
            instance.pendingEvents.clear();
        }
        return reply;
    }

    private void readTargetList(FrameReader in) {
        int listNumber = in.u16();
        long count = in.u32();
        List<Target> targets = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            int kind = in.u8();
            int id = in.id();
            double weight = in.f32();
            int phaseCode = in.u8();
            int zone = in.u8();
            in.f64();
            int destination = in.u16();
            Phase phase =
                    switch (phaseCode) {
                        case 0 -> Phase.GONE;
                        case 1 -> Phase.READY;
                        case 2 -> Phase.DRAINING;
                        default ->
                            throw new WireException("byte " + in.position() + ": phase " + phaseCode + " is unknown");
                    };
            targets.add(new Target(id, destination, kind, zone, weight, phase));
        }
        targetLists.put(listNumber, targets);
    }

    private Event readEvent(FrameReader in, int code, Instance instance, String recordName) {
        return switch (code) {
            case 11 -> readListEvent(in);
            case 4 -> readArrived(in);
            case 12 -> readEnded(in, instance.parsed);
            case 6 -> {
                int message = in.id();
                int attempt = in.u16();
                in.id();
                in.f64();
                yield new Streaming(message, attempt);
            }
            case 9 -> {
                int target = in.id();
                int status = in.u16();
                double elapsed = in.f64();
                readReport(in, instance.parsed);
                yield new Probed(target, status == 10, status == 30, elapsed);
            }
            case 3 -> new Woken(in.u64());
            case 5 -> new Withdrawn(in.id());
            case 2 -> {
                int from = in.u16();
                yield new Noted(from, in.bytes(in.u16()));
            }
            default -> throw new WireException(recordName + ": unknown code");
        };
    }

    private Event readListEvent(FrameReader in) {
        int listNumber = in.u16();
        in.u32();
        int status = in.u8();
        if (status == 3) {
            return new ListFailed();
        }
        List<Target> targets = targetLists.get(listNumber);
        if (targets == null) {
            throw new WireException("byte " + in.position() + ": list " + listNumber + " has not come");
        }
        return new TargetList(status != 0, targets);
    }

    private static Event readArrived(FrameReader in) {
        int id = in.id();
        int messageClass = in.u16();
        int tenant = (int) in.u32();
        long key = in.u64();
        double remainingSeconds = in.f64();
        in.f64();
        int destination = Math.round(in.f32());
        in.u8();
        return new Arrived(new Message(id, messageClass, tenant, destination, key, remainingSeconds));
    }

    private static Event readEnded(FrameReader in, SettingsParser.Parsed parsed) {
        int message = in.id();
        int attempt = in.u16();
        int target = in.id();
        int status = in.u16();
        double elapsed = in.f64();
        boolean over = in.u8() != 0;
        long note = in.u32();
        Outcome outcome =
                switch (status) {
                    case 10 -> Outcome.DELIVERED;
                    case 20 -> Outcome.ERROR;
                    case 30 -> Outcome.FULL;
                    case 40 -> Outcome.TIMED_OUT;
                    case 50 -> Outcome.NOT_CONNECTED;
                    case 60 -> Outcome.RESET;
                    case 70 -> Outcome.CANCELLED;
                    case 80 -> Outcome.NOT_SENT;
                    default -> throw new WireException("byte " + in.position() + ": outcome " + status + " is unknown");
                };
        double retryAfterSeconds = outcome == Outcome.FULL ? note / 1000.0 : 0;
        return new Ended(message, attempt, target, outcome, elapsed, over, retryAfterSeconds, readReport(in, parsed));
    }

    private static Report readReport(FrameReader in, SettingsParser.Parsed parsed) {
        int count = in.u8();
        double[] values = new double[count];
        for (int i = 0; i < count; i++) {
            values[i] = in.f32();
        }
        int limitField = parsed.limitField();
        int leftField = parsed.leftField();
        if (limitField < 0 || limitField >= count) {
            return null;
        }
        return new Report(values[limitField], leftField >= 0 && leftField < count ? values[leftField] : 0);
    }
}
