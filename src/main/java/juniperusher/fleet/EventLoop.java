package juniperusher.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A single-threaded event loop that serves all sockets and timers of the fleet's control traffic. Any thread may call
 * {@link #execute}, {@link #close}, {@link #now} and {@link #connections}; all other methods are for the loop's thread.
 *
 * <p>The work of one iteration is bounded: each ready connection is read once and written once, each listener accepts
 * at most {@code MAX_ACCEPTS_PER_ITERATION} connections, and tasks that are added while tasks run wait for the next
 * iteration. An exception in a connection's handler closes only that connection.
 */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final int MAX_ACCEPTS_PER_ITERATION = 64;
    private static final int LISTEN_BACKLOG = 4_096; // connections that the kernel may queue for a listener
    private static final double ACCEPT_RETRY_SECONDS = 0.1; // after a failure, e.g. when no file descriptor is free
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

    private final Selector selector;
    private final Thread thread;
    private final long startNanos = System.nanoTime();
    private final int maxConnections;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private int connections;
    private long timerSequence;
    private volatile boolean closing;
    private volatile int publishedConnections; // the value of connections, for other threads

    /** A task that is due at a given time. Timers that are due at the same time run in the order of their creation. */
    public final class Timer implements Comparable<Timer> {
        private final double dueSeconds;
        private final long sequence;
        private Runnable task;

        private Timer(double dueSeconds, Runnable task) {
            this.dueSeconds = dueSeconds;
            this.sequence = timerSequence++;
            this.task = task;
        }

        /** Cancels the task. A task that is already due in the current iteration may still run. */
        public void cancel() {
            task = null;
            timers.remove(this);
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Double.compare(dueSeconds, other.dueSeconds);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** A listening socket. */
    public final class Listener {
        private final ServerSocketChannel channel;
        private final SelectionKey key;
        private final Supplier<Connection.Handler> handlers;
        private final int maxOpenConnections;
        private final int maxOutputBytes;
        private final int maxInputBytes;
        private int openConnections;
        private long refusedConnections;

        private Listener(
                ServerSocketChannel channel,
                Supplier<Connection.Handler> handlers,
                int maxOpenConnections,
                int maxInputBytes,
                int maxOutputBytes)
                throws IOException {
            this.channel = channel;
            this.handlers = handlers;
            this.maxOpenConnections = maxOpenConnections;
            this.maxInputBytes = maxInputBytes;
            this.maxOutputBytes = maxOutputBytes;
            key = channel.register(selector, SelectionKey.OP_ACCEPT, this);
        }

        /** The address that the socket is bound to. */
        public InetSocketAddress address() {
            try {
                return (InetSocketAddress) channel.getLocalAddress();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Number of open connections that this listener has accepted. */
        public int openConnections() {
            return openConnections;
        }

        /** Number of connections that were closed on arrival because a connection limit was reached. */
        public long refusedConnections() {
            return refusedConnections;
        }

        /** Stops accepting; open connections are kept. */
        public void close() {
            closeQuietly(channel);
        }

        private void accept() {
            for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
                SocketChannel socket;
                try {
                    socket = channel.accept();
                } catch (IOException e) {
                    pauseAccepting(e);
                    return;
                }
                if (socket == null) {
                    return;
                }
                if (openConnections >= maxOpenConnections || connections >= maxConnections) {
                    refusedConnections++;
                    closeQuietly(socket);
                    continue;
                }
                openConnections++;
                EventLoop.this.openAccepted(
                        socket, handlers.get(), maxInputBytes, maxOutputBytes, () -> openConnections--);
            }
        }

        // Without a pause the selector would report the listener again at once and the loop would use a full core for
        // as long as the process has no free file descriptor.
        private void pauseAccepting(IOException cause) {
            LOG.atWarn().addKeyValue("reason", cause.getMessage()).log("cannot accept a connection");
            key.interestOps(0);
            schedule(ACCEPT_RETRY_SECONDS, () -> {
                if (key.isValid()) {
                    key.interestOps(SelectionKey.OP_ACCEPT);
                }
            });
        }
    }

    /**
     * Creates a loop, which runs once {@link #start} is called.
     *
     * @param name of the loop's thread
     * @param maxConnections limit on accepted and outgoing connections together
     */
    public EventLoop(String name, int maxConnections) throws IOException {
        this.maxConnections = maxConnections;
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Seconds since the loop was created, by a monotonic clock. Any thread may call it. */
    public double now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    /** Number of connections that are open or being opened. Any thread may call it. */
    public int connections() {
        return publishedConnections;
    }

    /** Runs the task on the loop's thread, never within this call. Any thread may call it. */
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Runs the task on the loop's thread after a delay; a negative delay counts as zero. */
    public Timer schedule(double delaySeconds, Runnable task) {
        Timer timer = new Timer(now() + Math.max(0, delaySeconds), task);
        timers.add(timer);
        return timer;
    }

    /**
     * Listens at the address.
     *
     * @param handlers creates the handler of each accepted connection
     * @param maxOpenConnections limit on this listener's open connections; further ones are closed on arrival
     * @param maxInputBytes limit on input that a handler has not consumed
     * @param maxOutputBytes limit on queued output
     */
    public Listener listen(
            InetSocketAddress address,
            Supplier<Connection.Handler> handlers,
            int maxOpenConnections,
            int maxInputBytes,
            int maxOutputBytes)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, LISTEN_BACKLOG);
            return new Listener(channel, handlers, maxOpenConnections, maxInputBytes, maxOutputBytes);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Opens a connection. {@link Connection.Handler#opened} or {@link Connection.Handler#closed} is called later, never
     * during this call.
     *
     * @param timeoutSeconds time after which the attempt counts as failed
     */
    public Connection connect(
            InetSocketAddress address,
            double timeoutSeconds,
            Connection.Handler handler,
            int maxInputBytes,
            int maxOutputBytes) {
        Connection connection = new Connection(this, handler, maxInputBytes, maxOutputBytes, () -> {});
        connections++;
        publishedConnections = connections;
        if (connections > maxConnections) {
            schedule(0, () -> connection.close("connection limit reached"));
            return connection;
        }
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean connected = channel.connect(address);
            connection.register(channel, selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
            if (connected) {
                schedule(0, connection::notifyOpened);
            } else {
                connection.setConnectTimeout(schedule(timeoutSeconds, () -> connection.close("connect timed out")));
            }
        } catch (IOException | RuntimeException e) {
            closeQuietly(channel);
            String reason = String.valueOf(e.getMessage());
            schedule(0, () -> connection.close(reason));
        }
        return connection;
    }

    private void openAccepted(
            SocketChannel socket,
            Connection.Handler handler,
            int maxInputBytes,
            int maxOutputBytes,
            Runnable onClosed) {
        Connection connection = new Connection(this, handler, maxInputBytes, maxOutputBytes, onClosed);
        connections++;
        publishedConnections = connections;
        try {
            socket.configureBlocking(false);
            socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connection.register(socket, selector, SelectionKey.OP_READ);
            connection.notifyOpened();
        } catch (IOException e) {
            closeQuietly(socket);
            connection.close(e.getMessage());
        }
    }

    /** Called by each connection of this loop when it is closed. */
    void connectionClosed() {
        connections--;
        publishedConnections = connections;
    }

    private void run() {
        while (!closing) {
            try {
                runIteration();
            } catch (IOException | RuntimeException e) {
                LOG.atError().setCause(e).log("fleet event loop iteration failed");
            }
        }
        closeAll();
    }

    private void runIteration() throws IOException {
        select();
        processReadyKeys();
        runDueTimers();
        runPendingTasks();
    }

    private void select() throws IOException {
        if (!tasks.isEmpty()) {
            selector.selectNow();
            return;
        }
        Timer next = timers.peek();
        if (next == null) {
            selector.select();
            return;
        }
        long millis = (long) Math.ceil((next.dueSeconds - now()) * 1000);
        if (millis <= 0) {
            selector.selectNow();
        } else {
            selector.select(millis);
        }
    }

    private void processReadyKeys() {
        Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
        while (keys.hasNext()) {
            SelectionKey key = keys.next();
            keys.remove();
            if (!key.isValid()) {
                continue;
            }
            if (key.attachment() instanceof Listener listener) {
                listener.accept();
            } else {
                ((Connection) key.attachment()).handleReady(readBuffer);
            }
        }
    }

    private void runDueTimers() {
        double now = now();
        ArrayDeque<Runnable> due = new ArrayDeque<>();
        while (!timers.isEmpty() && timers.peek().dueSeconds <= now) {
            Runnable task = timers.poll().task;
            if (task != null) {
                due.add(task);
            }
        }
        due.forEach(this::runTask);
    }

    private void runPendingTasks() {
        for (int i = tasks.size(); i > 0; i--) {
            Runnable task = tasks.poll();
            if (task != null) {
                runTask(task);
            }
        }
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("fleet event loop task failed");
        }
    }

    private void closeAll() {
        for (SelectionKey key : new ArrayList<>(selector.keys())) {
            if (key.attachment() instanceof Connection connection) {
                connection.close("process is shutting down");
            } else {
                closeQuietly(key.channel());
            }
        }
        closeQuietly(selector);
    }

    static void closeQuietly(AutoCloseable closeable) {
        if (closeable == null) {
            return;
        }
        try {
            closeable.close();
        } catch (Exception e) {
            LOG.atDebug().setCause(e).log("close failed");
        }
    }

    /**
     * Ends the loop's thread and closes all sockets. Any thread may call it; a thread other than the loop's waits for
     * the end, but no longer than {@code CLOSE_TIMEOUT_MILLIS}.
     */
    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        if (Thread.currentThread() == thread || !thread.isAlive()) {
            return;
        }
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
