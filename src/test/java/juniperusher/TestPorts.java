package juniperusher;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports on loopback that a test binds later, or that nobody listens on. The kernel hands none of them out: they lie
 * below the range of ports for outgoing connections and for servers that ask for any. A lock on a file keeps each for
 * this process until it ends.
 */
public final class TestPorts {
    private static final Path KERNEL_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final Path LOCKS = Path.of(System.getProperty("java.io.tmpdir"), "juniperusher-test-ports");
    private static final int LOWEST = 10_000;
    private static final int MAX_TRIES = 10_000;

    private static final List<FileLock> RESERVED = new ArrayList<>();

    private TestPorts() {}

    /** Returns a port that nobody uses and that no other caller gets while this process lives. */
    public static synchronized int unused() throws IOException {
        Files.createDirectories(LOCKS);
        int end = firstOfKernel();
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, end);
            if (reserve(port)) {
                return port;
            }
        }
        throw new IOException("no port is free between " + LOWEST + " and " + end);
    }

    /** The first port that the kernel hands out itself. */
    static int firstOfKernel() throws IOException {
        // the kernel gives the whole line only to a read with room for it
        try (BufferedReader range = Files.newBufferedReader(KERNEL_RANGE)) {
            return Integer.parseInt(range.readLine().strip().split("\\s+")[0]);
        }
    }

    private static boolean reserve(int port) throws IOException {
        FileChannel file = FileChannel.open(
                LOCKS.resolve(Integer.toString(port)), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = tryLock(file);
        if (lock == null || !canBind(port)) {
            file.close();
            return false;
        }
        RESERVED.add(lock);
        return true;
    }

    private static FileLock tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null; // reserved before
        }
    }

    private static boolean canBind(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
