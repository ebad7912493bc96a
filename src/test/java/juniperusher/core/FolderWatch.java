package juniperusher.core;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Looks at a folder without a pause and keeps the largest size that its files had together. */
final class FolderWatch implements AutoCloseable {
    private static final int DISK_BLOCK_BYTES = 512;

    private final Path folder;
    private final Thread thread = new Thread(this::look, "folder-watch");
    private volatile long mostBytes;
    private volatile boolean closed;

    FolderWatch(Path folder) {
        this.folder = folder;
        thread.start();
    }

    /** The largest size seen so far, each file in whole blocks of 512 bytes. */
    long mostBytes() {
        return mostBytes;
    }

    private void look() {
        while (!closed) {
            Map<String, Long> sizes = sizes();
            // files that two looks in a row find were there together, with at least the sizes of the first look
            sizes.keySet().retainAll(sizes().keySet());
            long bytes = sizes.values().stream().mapToLong(size -> size).sum();
            mostBytes = Math.max(mostBytes, bytes);
        }
    }

    private Map<String, Long> sizes() {
        Map<String, Long> sizes = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                long blocks = (file.toFile().length() + DISK_BLOCK_BYTES - 1) / DISK_BLOCK_BYTES;
                sizes.put(file.getFileName().toString(), blocks * DISK_BLOCK_BYTES);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return sizes;
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.join();
    }
}
