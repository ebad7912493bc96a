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
 * One thread that serves all sockets and timers of the fleet's control traffic. Everything but {@link #execute},
 * {@link #close} and {@link #now} is called on that thread alone. The work of one turn is bounded: each ready
 * connection is read once and written once, each listener accepts a bounded number, and tasks that are added
 * during a turn wait for the next one. An exception of a handler closes its connection and nothing else.
 */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int READ_BYTES = 64 * 1024;
    private static final int ACCEPTS_PER_TURN = 64;
    private static final int BACKLOG = 4_096; // connections that the kernel may hold for a listener
    private static final double ACCEPT_PAUSE = 0.1; // s without accepting after a failure, such as no descriptor
    private static final double NANOS = 1e9;
    private static final long JOIN_MILLIS = 5_000;

    private final Selector selector;
    private final Thread thread;
    private final long epoch = System.nanoTime();
    private final int maxConnections;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private int connections;
    private long timerSequence;
    private volatile boolean closing;
    private volatile int openConnections;

    /** A task at a time. */
    public final class Timer implements Comparable<Timer> {
        private final double at;
        private final long sequence;
        private Runnable task;

        private Timer(double at, Runnable task) {
            this.at = at;
            this.sequence = timerSequence++;
            this.task = task;
        }

        /** The task is not run any more. */
        public void cancel() {
            task = null;
            timers.remove(this);
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** A listening socket. */
    public final class Listener {
        private final ServerSocketChannel channel;
        private final SelectionKey key;
        private final Supplier<Connection.Handler> handlers;
        private final int maxAccepted;
        private final int maxOutput;
        private final int maxInput;
        private int accepted;
        private long refused;

        private Listener(
                ServerSocketChannel channel,
                Supplier<Connection.Handler> handlers,
                int maxAccepted,
                int maxInput,
                int maxOutput)
                throws IOException {
            this.channel = channel;
            this.handlers = handlers;
            this.maxAccepted = maxAccepted;
            this.maxInput = maxInput;
            this.maxOutput = maxOutput;
            key = channel.register(selector, SelectionKey.OP_ACCEPT, this);
        }

        /** The address that it is bound to. */
        public InetSocketAddress address() {
            try {
                return (InetSocketAddress) channel.getLocalAddress();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** How many of its connections are open. */
        public int open() {
            return accepted;
        }

        /** How many connections were closed at once for want of room. */
        public long refused() {
            return refused;
        }

        /** Stops accepting; open connections stay. */
        public void close() {
            closeQuietly(channel);
        }

        private void accept() {
            for (int i = 0; i < ACCEPTS_PER_TURN; i++) {
                SocketChannel socket;
                try {
                    socket = channel.accept();
                } catch (IOException e) {
                    pause(e);
                    return;
                }
                if (socket == null) {
                    return;
                }
                if (accepted >= maxAccepted || connections >= maxConnections) {
                    refused++;
                    closeQuietly(socket);
                    continue;
                }
                accepted++;
                EventLoop.this.open(socket, handlers.get(), maxInput, maxOutput, () -> accepted--);
            }
        }

        // Guards against a busy loop while the process has no descriptor left.
        private void pause(IOException why) {
            LOG.atWarn().addKeyValue("reason", why.getMessage()).log("cannot accept a connection");
            key.interestOps(0);
            schedule(ACCEPT_PAUSE, () -> {
                if (key.isValid()) {
                    key.interestOps(SelectionKey.OP_ACCEPT);
                }
            });
        }
    }

    /** A loop that holds at most so many connections; it runs from {@link #start} on. */
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

    /** Seconds on the loop's monotonic clock. Any thread. */
    public double now() {
        return (System.nanoTime() - epoch) / NANOS;
    }

    /** How many connections are open or being opened. Any thread. */
    public int connections() {
        return openConnections;
    }

    /** Runs the task on the loop's thread. Any thread. */
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Runs the task after {@code delay} seconds. */
    public Timer schedule(double delay, Runnable task) {
        Timer timer = new Timer(now() + Math.max(0, delay), task);
        timers.add(timer);
        return timer;
    }

    /**
     * Listens at the address.
     *
     * @param handlers    makes the handler of each accepted connection
     * @param maxAccepted connections that are open at once; more are closed as soon as they are accepted
     * @param maxInput    bytes of input that a handler may leave unread
     * @param maxOutput   bytes of output that may wait for the peer
     */
    public Listener listen(
            InetSocketAddress address,
            Supplier<Connection.Handler> handlers,
            int maxAccepted,
            int maxInput,
            int maxOutput)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, BACKLOG);
            return new Listener(channel, handlers, maxAccepted, maxInput, maxOutput);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Opens a connection. The handler hears {@link Connection.Handler#opened} or
     * {@link Connection.Handler#closed}, in a later turn.
     *
     * @param timeout seconds until the attempt counts as failed
     */
    public Connection connect(
            InetSocketAddress address, double timeout, Connection.Handler handler, int maxInput, int maxOutput) {
        Connection connection = new Connection(this, handler, maxInput, maxOutput, () -> {});
        connections++;
        openConnections = connections;
        if (connections > maxConnections) {
            schedule(0, () -> connection.close("no room for one more connection"));
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
                schedule(0, connection::connected);
            } else {
                connection.timeout(schedule(timeout, () -> connection.close("connect timed out")));
            }
        } catch (IOException | RuntimeException e) {
            closeQuietly(channel);
            String reason = String.valueOf(e.getMessage());
            schedule(0, () -> connection.close(reason));
        }
        return connection;
    }

    private void open(
            SocketChannel socket, Connection.Handler handler, int maxInput, int maxOutput, Runnable whenClosed) {
        Connection connection = new Connection(this, handler, maxInput, maxOutput, whenClosed);
        connections++;
        openConnections = connections;
        try {
            socket.configureBlocking(false);
            socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connection.register(socket, selector, SelectionKey.OP_READ);
            connection.connected();
        } catch (IOException e) {
            closeQuietly(socket);
            connection.close(e.getMessage());
        }
    }

    /** A connection of this loop is closed. */
    void released() {
        connections--;
        openConnections = connections;
    }

    private void run() {
        while (!closing) {
            try {
                turn();
            } catch (IOException | RuntimeException e) {
                LOG.atError().setCause(e).log("a turn of the fleet's event loop failed");
            }
        }
        closeAll();
    }

    private void turn() throws IOException {
        select();
        readyKeys();
        dueTimers();
        pendingTasks();
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
        long millis = (long) Math.ceil((next.at - now()) * 1000);
        if (millis <= 0) {
            selector.selectNow();
        } else {
            selector.select(millis);
        }
    }

    private void readyKeys() {
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
                ((Connection) key.attachment()).ready(readBuffer);
            }
        }
    }

    private void dueTimers() {
        double now = now();
        ArrayDeque<Runnable> due = new ArrayDeque<>();
        while (!timers.isEmpty() && timers.peek().at <= now) {
            Runnable task = timers.poll().task;
            if (task != null) {
                due.add(task);
            }
        }
        due.forEach(this::runTask);
    }

    private void pendingTasks() {
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
            LOG.atError().setCause(e).log("a task of the fleet's event loop failed");
        }
    }

    private void closeAll() {
        for (SelectionKey key : new ArrayList<>(selector.keys())) {
            if (key.attachment() instanceof Connection connection) {
                connection.close("this process ends");
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
            LOG.atDebug().setCause(e).log("closing failed");
        }
    }

    /** Ends the thread and closes every socket. Any thread but the loop's own waits until that is done. */
    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        if (Thread.currentThread() == thread || !thread.isAlive()) {
            return;
        }
        try {
            thread.join(JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
