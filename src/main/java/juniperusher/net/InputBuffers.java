package juniperusher.net;

import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Buffers for the input of server connections. A connection has one only while it reads or holds input that it has not
 * processed, since most connections are idle. Thread-safe.
 */
final class InputBuffers {
    static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_SPARE = 16; // more than the threads that read at a time

    private final BlockingQueue<ByteBuffer> spare = new LinkedBlockingQueue<>(MAX_SPARE);

    /** An empty buffer, to be given back. */
    ByteBuffer acquire() {
        ByteBuffer buffer = spare.poll();
        return buffer == null ? BufferUtil.allocate(BUFFER_BYTES) : buffer;
    }

    /** Gives the buffer back; what it holds is discarded. */
    void release(ByteBuffer buffer) {
        BufferUtil.clear(buffer);
        spare.offer(buffer);
    }
}
