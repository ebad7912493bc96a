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
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.LoadReport;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.MessageWithdrawn;
import juniperusher.Protocol.NoteReceived;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.ProbeEnded;
import juniperusher.Protocol.ResponseStarted;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.TimerFired;
import juniperusher.Protocol.WatchFailed;

/**
 * Runs instances of the decision module for the simulator. A frame from the simulator is a batch: the current
 * time and a list of records, most of them events of one instance. The reply holds the actions of each instance
 * that the batch addressed. Not thread-safe.
 */
final class BatchServer {
    /** Length of the frame, time and number of records. */
    private static final int HEADER_BYTES = 16;

    // Record codes of a batch.
    private static final int START_INSTANCE = 1;
    private static final int NOTED = 2;
    private static final int WOKEN = 3;
    private static final int ARRIVED = 4;
    private static final int WITHDRAWN = 5;
    private static final int STREAMING = 6;
    private static final int TARGET_LIST = 7;
    private static final int SELECT_INSTANCE = 8;
    private static final int PROBED = 9;
    private static final int STOP_INSTANCE = 10;
    private static final int LIST_EVENT = 11;
    private static final int ENDED = 12;

    private final Map<Integer, Instance> instances = new LinkedHashMap<>();
    private final Map<Integer, List<Target>> targetLists = new LinkedHashMap<>();

    /** An instance and its events in the current batch. */
    private static final class Instance {
        private final Control control;
        private final SettingsParser.ParsedSettings parsed;
        private final List<Event> pendingEvents = new ArrayList<>();

        private Instance(SettingsParser.ParsedSettings parsed, long seed) {
            this.parsed = parsed;
            control = new Control(parsed.settings(), seed);
        }
    }

    /**
     * Reads batches and writes a reply to each until the input ends between two frames.
     *
     * @throws MalformedInputException if the input is malformed
     */
    void serve(InputStream in, OutputStream out) throws IOException {
        for (byte[] frame = readFrame(in); frame != null; frame = readFrame(in)) {
            handleBatch(frame).writeTo(out);
        }
    }

    /** Returns the next frame with its length field, or null at the end of the input. */
    private static byte[] readFrame(InputStream in) throws IOException {
        byte[] size = in.readNBytes(4);
        if (size.length == 0) {
            return null;
        }
        if (size.length < 4) {
            throw new MalformedInputException("frame cut short in its length: " + size.length + " bytes of 4");
        }
        int length = ByteBuffer.wrap(size).getInt();
        if (length < HEADER_BYTES) {
            throw new MalformedInputException("frame of " + (length & 0xffffffffL) + " bytes is no batch");
        }
        byte[] rest = in.readNBytes(length - 4);
        if (rest.length < length - 4) {
            throw new MalformedInputException("frame cut short: " + (rest.length + 4) + " bytes of " + length);
        }
        byte[] frame = new byte[length];
        System.arraycopy(size, 0, frame, 0, 4);
        System.arraycopy(rest, 0, frame, 4, rest.length);
        return frame;
    }

    /** Reads the records of a batch, then runs the instances that they address. */
    ReplyWriter handleBatch(byte[] frame) {
        FrameReader in = new FrameReader(frame);
        in.u32(); // length of the frame
        double nowSeconds = in.f64();
        long recordCount = in.u32();
        Set<Integer> instancesToRun = new LinkedHashSet<>();
        int currentInstance = -1;
        for (long i = 0; i < recordCount; i++) {
            int recordStart = in.position();
            int code = in.u8();
            String recordName = "record " + i + " (code " + code + ", byte " + recordStart + ")";
            in.beginRecord(in.u32(), recordName);
            if (code == SELECT_INSTANCE) {
                currentInstance = in.id();
            } else if (code == TARGET_LIST) {
                readTargetList(in);
            } else if (code == START_INSTANCE) {
                long seed = in.u64();
                instances.put(currentInstance, new Instance(SettingsParser.parse(in.text(in.u32())), seed));
                instancesToRun.add(currentInstance);
            } else if (code == STOP_INSTANCE) {
                instances.remove(currentInstance);
                instancesToRun.remove(currentInstance);
            } else {
                Instance instance = instances.get(currentInstance);
                if (instance == null) {
                    throw new MalformedInputException(
                            recordName + ": instance " + currentInstance + " was not started");
                }
                instance.pendingEvents.add(readEvent(in, code, instance, recordName));
                instancesToRun.add(currentInstance);
            }
            in.endRecord(recordName);
        }
        if (!in.atEnd()) {
            throw new MalformedInputException("frame has bytes after its last record, at byte " + in.position());
        }
        return decide(nowSeconds, instancesToRun);
    }

    /** Passes each instance its events. An exception of the decision module is reported as a fault of the instance. */
    private ReplyWriter decide(double nowSeconds, Set<Integer> instancesToRun) {
        ReplyWriter reply = new ReplyWriter();
        for (int id : instancesToRun) {
            Instance instance = instances.get(id);
            try {
                reply.addActions(id, instance.control.decide(nowSeconds, instance.pendingEvents));
            } catch (RuntimeException | StackOverflowError e) {
                StackTraceElement[] trace = e.getStackTrace();
                reply.addFault(id, e + (trace.length > 0 ? " at " + trace[0] : ""));
            }
            instance.pendingEvents.clear();
        }
        return reply;
    }

    /** Reads a list of targets, to which later list events refer by its number. */
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
            in.f64(); // not used
            int destination = in.u16();
            Phase phase =
                    switch (phaseCode) {
                        case 0 -> Phase.GONE;
                        case 1 -> Phase.READY;
                        case 2 -> Phase.DRAINING;
                        default ->
                            throw new MalformedInputException(
                                    "byte " + in.position() + ": phase " + phaseCode + " is unknown");
                    };
            targets.add(new Target(id, destination, kind, zone, weight, phase));
        }
        targetLists.put(listNumber, targets);
    }

    private Event readEvent(FrameReader in, int code, Instance instance, String recordName) {
        return switch (code) {
            case LIST_EVENT -> readListEvent(in);
            case ARRIVED -> readArrived(in);
            case ENDED -> readEnded(in, instance.parsed);
            case STREAMING -> {
                int message = in.id();
                int attempt = in.u16();
                in.id(); // target, not used
                in.f64(); // not used
                yield new ResponseStarted(message, attempt);
            }
            case PROBED -> {
                int target = in.id();
                int status = in.u16();
                double elapsed = in.f64();
                readReport(in, instance.parsed); // not used
                yield new ProbeEnded(target, status == 10, status == 30, elapsed); // status as in readEnded
            }
            case WOKEN -> new TimerFired(in.u64());
            case WITHDRAWN -> new MessageWithdrawn(in.id());
            case NOTED -> {
                int from = in.u16();
                yield new NoteReceived(from, in.bytes(in.u16()));
            }
            default -> throw new MalformedInputException(recordName + ": unknown code");
        };
    }

    private Event readListEvent(FrameReader in) {
        int listNumber = in.u16();
        in.u32(); // not used
        int status = in.u8(); // 0: only changed targets, 3: the list could not be read, else: the full list
        if (status == 3) {
            return new WatchFailed();
        }
        List<Target> targets = targetLists.get(listNumber);
        if (targets == null) {
            throw new MalformedInputException("byte " + in.position() + ": list " + listNumber + " was not received");
        }
        return new TargetList(status != 0, targets);
    }

    private static Event readArrived(FrameReader in) {
        int id = in.id();
        int messageClass = in.u16();
        int tenant = (int) in.u32();
        long key = in.u64();
        double remainingSeconds = in.f64();
        in.f64(); // not used
        int destination = Math.round(in.f32());
        in.u8(); // not used
        return new MessageAccepted(new Message(id, messageClass, tenant, destination, key, remainingSeconds));
    }

    private static Event readEnded(FrameReader in, SettingsParser.ParsedSettings parsed) {
        int message = in.id();
        int attempt = in.u16();
        int target = in.id();
        int status = in.u16();
        double elapsed = in.f64();
        boolean finished = in.u8() != 0;
        long retryAfterMillis = in.u32(); // a delay only if the outcome is FULL
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
                    default ->
                        throw new MalformedInputException(
                                "byte " + in.position() + ": outcome " + status + " is unknown");
                };
        double retryAfterSeconds = outcome == Outcome.FULL ? retryAfterMillis / 1000.0 : 0;
        return new AttemptEnded(
                message, attempt, target, outcome, elapsed, finished, retryAfterSeconds, readReport(in, parsed));
    }

    /** Reads a load report; returns null if it has no limit. */
    private static LoadReport readReport(FrameReader in, SettingsParser.ParsedSettings parsed) {
        int count = in.u8();
        double[] values = new double[count];
        for (int i = 0; i < count; i++) {
            values[i] = in.f32();
        }
        int limitField = parsed.limitField();
        int remainingField = parsed.remainingField();
        if (limitField < 0 || limitField >= count) {
            return null;
        }
        return new LoadReport(
                values[limitField], remainingField >= 0 && remainingField < count ? values[remainingField] : 0);
    }
}
