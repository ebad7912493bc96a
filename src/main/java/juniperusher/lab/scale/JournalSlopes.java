package juniperusher.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import juniperusher.core.Journal;
import juniperusher.core.RpcEnd;
import juniperusher.core.RpcRequest;

/** What the journal costs: by messages passed through and by messages that are unfinished. */
final class JournalSlopes {
    private static final long LARGE = 16L << 30; // bytes of room that no measurement fills
    private static final long SMALL = 64 << 10; // bytes of room that is full from the start
    private static final String PASSED = "message taken and delivered";
    private static final String UNFINISHED = "unfinished message";
    private static final String CLASS = "notice";

    private JournalSlopes() {}

    /** The slopes for messages with bodies of so many bytes. */
    static List<Slope> all(int bodyBytes) {
        return List.of(
                new BytesOfMessages(bodyBytes),
                new TimeOfMessages(bodyBytes),
                new BytesOfUnfinished(bodyBytes),
                new HeapOfUnfinished(bodyBytes),
                new Compaction(bodyBytes),
                new Reading(bodyBytes));
    }

    /** A slope that needs a folder and messages. */
    private abstract static class JournalSlope extends NamedSlope {
        private final int bodyBytes;

        JournalSlope(String name, String unit, String per, int bodyBytes) {
            super(name, unit, per);
            this.bodyBytes = bodyBytes;
        }

        @Override
        public final double measure(int size) throws IOException {
            Path folder = Files.createTempDirectory("scale-journal");
            try {
                return measure(size, folder);
            } finally {
                delete(folder);
            }
        }

        abstract double measure(int size, Path folder) throws IOException;

        final int take(Journal journal, int id) {
            String name = String.format(Locale.ROOT, "message-%010d", id);
            return journal.writeAccepted(
                    new RpcRequest(
                            name, "http", 0, id % 280, 1_900_000_000_000L, "10.0.0.1:8080", false, new byte[bodyBytes]),
                    CLASS);
        }

        final void takeAll(Journal journal, int count) {
            for (int i = 0; i < count; i++) {
                take(journal, i);
            }
        }

        final void passAll(Journal journal, int count) {
            for (int i = 0; i < count; i++) {
                int number = take(journal, i);
                journal.writeAttempt(number, 0);
                journal.writeOutcome(number, false);
                journal.writeEnd(number, new RpcEnd("", "", RpcEnd.Kind.DELIVERED, 0));
                journal.writeAcknowledged(number);
            }
        }
    }

    private static Journal open(Path folder, long room) throws IOException {
        return new Journal(folder, room, 0);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** Bytes appended by messages from taking on to acknowledgement. */
    private static final class BytesOfMessages extends JournalSlope {
        BytesOfMessages(int bodyBytes) {
            super("journal.bytes.message", "B", PASSED, bodyBytes);
        }

        @Override
        double measure(int size, Path folder) throws IOException {
            Journal journal = open(folder, LARGE);
            passAll(journal, size);
            long bytes = journal.sizeBytes();
            journal.close();
            return bytes;
        }
    }

    /** Time of the same, the kernel's part included. */
    private static final class TimeOfMessages extends JournalSlope {
        TimeOfMessages(int bodyBytes) {
            super("journal.time.message", "ns", PASSED, bodyBytes);
        }

        @Override
        double measure(int size, Path folder) throws IOException {
            Journal journal = open(folder, LARGE);
            passAll(journal, size / 2); // warm-up
            double nanos = Meter.nanosOnce(() -> passAll(journal, size));
            journal.close();
            return nanos;
        }
    }

    /** Bytes on disk of what is unfinished. */
    private static final class BytesOfUnfinished extends JournalSlope {
        BytesOfUnfinished(int bodyBytes) {
            super("journal.bytes.unfinished", "B", UNFINISHED, bodyBytes);
        }

        @Override
        double measure(int size, Path folder) throws IOException {
            Journal journal = open(folder, LARGE);
            takeAll(journal, size);
            long bytes = journal.sizeBytes();
            journal.close();
            return bytes;
        }
    }

    /** Retained heap of what is unfinished, bodies included. */
    private static final class HeapOfUnfinished extends JournalSlope {
        HeapOfUnfinished(int bodyBytes) {
            super("journal.heap.unfinished", "B", UNFINISHED, bodyBytes);
        }

        @Override
        double measure(int size, Path folder) throws IOException {
            Journal journal = open(folder, LARGE);
            double bytes = Meter.retainedBytes(() -> {
                takeAll(journal, size);
                return journal;
            });
            journal.close();
            return bytes;
        }
    }

    /** Time of one compaction, during which the journal takes nothing else. */
    private static final class Compaction extends JournalSlope {
        Compaction(int bodyBytes) {
            super("journal.compaction.unfinished", "ns", UNFINISHED, bodyBytes);
        }

        @Override
        double measure(int size, Path folder) throws IOException {
            Journal filled = open(folder, LARGE);
            takeAll(filled, size);
            filled.close();
            Journal full = open(folder, SMALL);
            // Without room each message is refused after one compaction.
            double nanos = Meter.nanosPerStep(() -> {
                if (take(full, size) != -1) {
                    throw new IllegalStateException("the journal had room for a message");
                }
            });
            full.close();
            return nanos;
        }
    }

    /** Time to read what is unfinished at a start, without the compaction that follows it. */
    private static final class Reading extends JournalSlope {
        Reading(int bodyBytes) {
            super("journal.read.unfinished", "ns", UNFINISHED, bodyBytes);
        }

        @Override
        double measure(int size, Path folder) throws IOException {
            Journal filled = open(folder, LARGE);
            takeAll(filled, size);
            filled.close();
            return Meter.nanosPerStep(() -> {
                if (Journal.read(folder).size() != size) {
                    throw new IllegalStateException("the journal lost messages");
                }
            });
        }
    }
}
