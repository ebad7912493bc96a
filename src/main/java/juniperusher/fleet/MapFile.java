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
 * The file {@code shard-map}, which stores the newest shard map in a persistent folder. The file is replaced
 * atomically: a temporary file is written, forced to disk and renamed, so that a reader finds either the old or the new
 * map.
 *
 * <p>Format: magic number, format version, time of writing in milliseconds since the Unix epoch, the map's version
 * (term and revision), length of the snapshot, CRC32C of all these fields and of the snapshot, the snapshot. A file
 * that is incomplete, damaged, too large or of another kind is ignored with a warning in the log.
 *
 * <p>Any thread may read. Several processes may write to the same folder, but within one process writes must not
 * overlap, because they use the same temporary file.
 */
public final class MapFile {
    /** Name of the file in the folder. */
    public static final String NAME = "shard-map";

    private static final Logger LOG = LoggerFactory.getLogger(MapFile.class);
    private static final byte[] MAGIC = "JUSHMAP\n".getBytes(StandardCharsets.US_ASCII);
    private static final int FORMAT_VERSION = 1;
    private static final int CHECKSUM_OFFSET = MAGIC.length + 2 * Integer.BYTES + 3 * Long.BYTES;
    private static final int HEADER_BYTES = CHECKSUM_OFFSET + Integer.BYTES;

    private final Path folder;
    private final int maxBytes;

    /** A saved map: its version, the encoded snapshot and the time of writing. */
    public record Saved(Version version, byte[] snapshot, Instant writtenAt) {}

    /** The content of the file is invalid. */
    private static final class InvalidFileException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidFileException(String reason) {
            super(reason);
        }
    }

    /** Creates an accessor for the file in {@code folder}, which holds a snapshot of at most {@code maxBytes}. */
    public MapFile(Path folder, int maxBytes) {
        this.folder = folder;
        this.maxBytes = maxBytes;
    }

    /** Path of the file. */
    public Path path() {
        return folder.resolve(NAME);
    }

    /** Reads the saved map; empty if there is no file or the file is ignored. */
    public Optional<Saved> read() {
        try {
            long size = Files.size(path());
            if (size > maxBytes + (long) HEADER_BYTES) {
                throw new InvalidFileException(
                        "file has " + size + " bytes, expected at most " + (maxBytes + HEADER_BYTES));
            }
            return Optional.of(parse(ByteBuffer.wrap(Files.readAllBytes(path()))));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException | InvalidFileException e) {
            logIgnored(e.getMessage());
            return Optional.empty();
        }
    }

    /** Logs that the file is ignored; also for callers that cannot decode the snapshot. */
    public void logIgnored(String reason) {
        LOG.atWarn().addKeyValue("file", path()).addKeyValue("reason", reason).log("the saved shard map is ignored");
    }

    private static Saved parse(ByteBuffer file) throws InvalidFileException {
        if (file.remaining() < HEADER_BYTES) {
            throw new InvalidFileException("file is shorter than its header");
        }
        byte[] magic = new byte[MAGIC.length];
        file.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            throw new InvalidFileException("wrong magic number");
        }
        int format = file.getInt();
        if (format != FORMAT_VERSION) {
            throw new InvalidFileException("unsupported format version " + format + ", expected " + FORMAT_VERSION);
        }
        Instant writtenAt = Instant.ofEpochMilli(file.getLong());
        long term = file.getLong();
        long revision = file.getLong();
        int length = file.getInt();
        int checksum = file.getInt();
        if (length != file.remaining()) {
            throw new InvalidFileException("file holds " + file.remaining() + " snapshot bytes, header says " + length);
        }
        if (checksum != checksum(file.array())) {
            throw new InvalidFileException("checksum mismatch");
        }
        byte[] snapshot = new byte[length];
        file.get(snapshot);
        return new Saved(checkedVersion(term, revision), snapshot, writtenAt);
    }

    private static Version checkedVersion(long term, long revision) throws InvalidFileException {
        if (term < 0 || revision < 0) {
            throw new InvalidFileException("invalid map version " + term + "." + revision);
        }
        return new Version(term, revision);
    }

    private static int checksum(byte[] file) {
        CRC32C crc = new CRC32C();
        crc.update(file, 0, CHECKSUM_OFFSET);
        crc.update(file, HEADER_BYTES, file.length - HEADER_BYTES);
        return (int) crc.getValue();
    }

    /**
     * Replaces the saved map.
     *
     * @throws IOException if the snapshot is too large or the file cannot be written; the previous map is kept then
     */
    public void write(Version version, byte[] snapshot, Instant now) throws IOException {
        if (snapshot.length > maxBytes) {
            throw new IOException("a snapshot of " + snapshot.length + " bytes, expected at most " + maxBytes);
        }
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + snapshot.length);
        file.put(MAGIC).putInt(FORMAT_VERSION).putLong(now.toEpochMilli());
        file.putLong(version.term())
                .putLong(version.revision())
                .putInt(snapshot.length)
                .putInt(0)
                .put(snapshot);
        file.putInt(CHECKSUM_OFFSET, checksum(file.array())).flip();
        Files.createDirectories(folder);
        // During an upgrade the old and the new process may write at the same time, so each has its own temporary file.
        Path temporary = folder.resolve(NAME + ".new-" + ProcessHandle.current().pid());
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (file.hasRemaining()) {
                channel.write(file);
            }
            channel.force(true);
        }
        replaceWith(temporary);
    }

    private void replaceWith(Path temporary) throws IOException {
        try {
            Files.move(temporary, path(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(temporary, path(), StandardCopyOption.REPLACE_EXISTING);
        }
    }
}
