package juniperusher.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;
import juniperusher.distribution.Version;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last shard map in a folder that lasts, as the file {@code shard-map}. It is written whole beside, forced to
 * disk and moved into place, so that a reader finds the old or the new one. The format: magic number, format
 * version, time of writing in ms, the map's version (term and revision), length, CRC32C of all that and of the
 * snapshot, the snapshot. A file that is torn, damaged, too large or of another kind is refused with one line in the
 * log and otherwise ignored.
 */
public final class MapFile {
    /** The file's name in the folder. */
    public static final String NAME = "shard-map";

    private static final Logger LOG = LoggerFactory.getLogger(MapFile.class);
    private static final byte[] MAGIC = "JUSHMAP\n".getBytes(StandardCharsets.US_ASCII);
    private static final int VERSION = 1;
    private static final int BEFORE_CHECKSUM = MAGIC.length + 2 * Integer.BYTES + 3 * Long.BYTES;
    private static final int HEADER = BEFORE_CHECKSUM + Integer.BYTES;

    private final Path folder;
    private final int maxBytes;

    /** A map's encoded snapshot that was saved, its version and when. */
    public record Saved(Version version, byte[] snapshot, Instant writtenAt) {}

    /** Why a file is refused. */
    private static final class Refused extends Exception {
        private static final long serialVersionUID = 1;

        Refused(String reason) {
            super(reason);
        }
    }

    /** The file in {@code folder}, for snapshots of at most {@code maxBytes}. */
    public MapFile(Path folder, int maxBytes) {
        this.folder = folder;
        this.maxBytes = maxBytes;
    }

    /** Where it is. */
    public Path path() {
        return folder.resolve(NAME);
    }

    /** What was saved last; nothing where there is no file or it is refused. */
    public Optional<Saved> read() {
        try {
            long size = Files.size(path());
            if (size > maxBytes + (long) HEADER) {
                throw new Refused("it has " + size + " bytes, expected at most " + (maxBytes + HEADER));
            }
            return Optional.of(parse(ByteBuffer.wrap(Files.readAllBytes(path()))));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException | Refused e) {
            refuse(e.getMessage());
            return Optional.empty();
        }
    }

    /** Tells in the log that the file is ignored and why, also where its snapshot turns out to be unreadable. */
    public void refuse(String reason) {
        LOG.atWarn().addKeyValue("file", path()).addKeyValue("reason", reason).log("the saved shard map is ignored");
    }

    private static Saved parse(ByteBuffer file) throws Refused {
        if (file.remaining() < HEADER) {
            throw new Refused("it is shorter than its header");
        }
        byte[] magic = new byte[MAGIC.length];
        file.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            throw new Refused("it is no shard map");
        }
        int format = file.getInt();
        if (format != VERSION) {
            throw new Refused("its format is version " + format + ", expected " + VERSION);
        }
        Instant writtenAt = Instant.ofEpochMilli(file.getLong());
        long term = file.getLong();
        long revision = file.getLong();
        int length = file.getInt();
        int checksum = file.getInt();
        if (length != file.remaining()) {
            throw new Refused("it holds " + file.remaining() + " bytes of a snapshot of " + length);
        }
        if (checksum != checksum(file.array())) {
            throw new Refused("its checksum does not match");
        }
        byte[] snapshot = new byte[length];
        file.get(snapshot);
        return new Saved(version(term, revision), snapshot, writtenAt);
    }

    private static Version version(long term, long revision) throws Refused {
        if (term < 0 || revision < 0) {
            throw new Refused("its version is " + term + "." + revision);
        }
        return new Version(term, revision);
    }

    private static int checksum(byte[] file) {
        CRC32C crc = new CRC32C();
        crc.update(file, 0, BEFORE_CHECKSUM);
        crc.update(file, HEADER, file.length - HEADER);
        return (int) crc.getValue();
    }

    /** Saves a snapshot in place of the one before. */
    public void write(Version version, byte[] snapshot, Instant now) throws IOException {
        if (snapshot.length > maxBytes) {
            throw new IOException("a snapshot of " + snapshot.length + " bytes, expected at most " + maxBytes);
        }
        ByteBuffer file = ByteBuffer.allocate(HEADER + snapshot.length);
        file.put(MAGIC).putInt(VERSION).putLong(now.toEpochMilli());
        file.putLong(version.term())
                .putLong(version.revision())
                .putInt(snapshot.length)
                .putInt(0)
                .put(snapshot);
        file.putInt(BEFORE_CHECKSUM, checksum(file.array())).flip();
        Files.createDirectories(folder);
        // The other process of an upgrade may write at the same moment: each writes a file of its own.
        Path beside = folder.resolve(NAME + ".new-" + ProcessHandle.current().pid());
        try (FileChannel channel = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (file.hasRemaining()) {
                channel.write(file);
            }
            channel.force(true);
        }
        move(beside);
    }

    private void move(Path beside) throws IOException {
        try {
            Files.move(beside, path(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(beside, path(), StandardCopyOption.REPLACE_EXISTING);
        }
    }
}
