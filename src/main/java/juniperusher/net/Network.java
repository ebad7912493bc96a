package juniperusher.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import juniperusher.memory.HeapShares;
import juniperusher.memory.MemoryBudget;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jetty's selector, thread pool and timers, shared by all fronts and by outbound connections. Connections are read on
 * the selector thread, so their code must not block. All methods are thread-safe.
 */
public class Network implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Network.class);
    private static final int THREAD_COUNT = 8; // few are needed, since the selector thread does the reading
    // Share of the file descriptors for inbound connections. Clients use a third of all descriptors at most; the
    // difference lets invalid connections be refused. The rest is for calls, the watch, the journal and the JVM.
    private static final double INBOUND_DESCRIPTOR_SHARE = 0.45;
    private static final double OPENING_DESCRIPTOR_SHARE = 0.1; // for connections accepted but not opened yet
    private static final long ACCEPT_RETRY_MILLIS = 50; // pause after a failed accept
    private static final int MIN_CONNECTION_BOUND = 16; // however few descriptors the process may have

    // All threads start at once. If a thread could not be started later, a connection would never be processed.
    private final QueuedThreadPool threads = new QueuedThreadPool(THREAD_COUNT, THREAD_COUNT);
    private final Scheduler scheduler = new ScheduledExecutorScheduler("timers", true);
    private final Selector selector = new Selector();
    private final TurnMonitor turnMonitor = new TurnMonitor();
    private final InputBuffers inputBuffers = new InputBuffers();
    private final RequestMemory requestMemory;
    private final MemoryBudget responseMemory;
    private final InboundConnections inboundConnections;
    private final AtomicLong shedCount = new AtomicLong();
    private final AtomicLong closedUnopenedCount = new AtomicLong();
    private final AtomicInteger openingCount = new AtomicInteger();
    private final AtomicLong acceptFailureCount = new AtomicLong();
    private final int maxOpenAndOpening;

    /** Receives the result of a connection attempt. Methods run on the selector thread or the caller's. */
    public interface ConnectListener {
        /** The socket is connected; returns the connection object to use on it. */
        Connection connected(EndPoint endPoint);

        /** The connection was refused, timed out or could not be opened. */
        void failed(Throwable why);
    }

    /** Creates a network for a process with 1024 file descriptors, a common default. */
    public Network(double connectTimeoutSeconds) throws Exception {
        this(connectTimeoutSeconds, 1024);
    }

    /**
     * Creates and starts a network.
     *
     * @param connectTimeoutSeconds time after which an outbound connection attempt fails
     * @param descriptors           number of file descriptors that the process may have
     */
    public Network(double connectTimeoutSeconds, int descriptors) throws Exception {
        this(connectTimeoutSeconds, descriptors, HeapShares.ofThisProcess());
    }

    /** Creates and starts a network whose connections use these parts of the heap. */
    Network(double connectTimeoutSeconds, int descriptors, HeapShares heapShares) throws Exception {
        int maxConnections = Math.max(MIN_CONNECTION_BOUND, (int) (descriptors * INBOUND_DESCRIPTOR_SHARE));
        inboundConnections = new InboundConnections(maxConnections, shedCount::incrementAndGet);
        maxOpenAndOpening =
                maxConnections + Math.max(MIN_CONNECTION_BOUND, (int) (descriptors * OPENING_DESCRIPTOR_SHARE));
        responseMemory = new MemoryBudget(heapShares.responseBytes());
        requestMemory = new RequestMemory(new MemoryBudget(heapShares.requestBytes()));
        threads.setName("net");
        threads.setDaemon(true);
        threads.setReservedThreads(1);
        selector.setConnectTimeout((long) (connectTimeoutSeconds * 1000));
        threads.start();
        scheduler.start();
        selector.start();
    }

    /**
     * Listens on the address. The factory creates the connection object for each inbound connection. Closing the
     * returned handle stops listening and leaves accepted connections open.
     */
    public Closeable listen(InetSocketAddress address, Function<EndPoint, Connection> factory) throws IOException {
        return listen(address, factory, true);
    }

    /**
     * Listens on the address like {@link #listen(InetSocketAddress, Function)}. If {@code bounded} is false, the
     * clients' bound on connections that are open or being opened does not apply, and the factory has to limit their
     * number.
     */
    public Closeable listen(InetSocketAddress address, Function<EndPoint, Connection> factory, boolean bounded)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, 512);
        channel.configureBlocking(false);
        Closeable acceptor = selector.listen(channel, factory, bounded);
        return () -> {
            acceptor.close();
            channel.close();
        };
    }

    /**
     * Listens on a socket that this process did not bind, such as one inherited as descriptor 0. Closing the returned
     * handle stops accepting and closes this process's descriptor.
     */
    public Closeable listen(ServerSocketChannel channel, Function<EndPoint, Connection> factory) throws IOException {
        channel.configureBlocking(false);
        Closeable acceptor = selector.listen(channel, factory, true);
        return () -> {
            acceptor.close();
            channel.close();
        };
    }

    /**
     * Returns the listening socket inherited from the platform as descriptor {@code fd}, the value of
     * {@code RELAY_ACCEPT_FD}. Only descriptor 0 is possible, through {@link System#inheritedChannel()}.
     *
     * @throws IllegalArgumentException if the value is not 0 or the descriptor is no listening TCP socket; its message
     *     is one line
     */
    public static ServerSocketChannel inheritedSocket(String fd) throws IOException {
        if (!fd.strip().equals("0")) {
            throw new IllegalArgumentException(
                    "RELAY_ACCEPT_FD is '" + fd + "': expected 0, the descriptor " + "that standard input holds");
        }
        if (System.inheritedChannel() instanceof ServerSocketChannel channel) {
            return channel;
        }
        throw new IllegalArgumentException(
                "RELAY_ACCEPT_FD names descriptor 0, which holds no listening " + "TCP socket");
    }

    /** Opens a connection and reports the result to {@code listener}. Does not block. */
    public void connect(InetSocketAddress address, ConnectListener listener) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            if (channel.connect(address)) {
                selector.accept(channel, listener);
            } else {
                selector.connect(channel, listener);
            }
        } catch (IOException | RuntimeException e) {
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException ignored) {
                    e.addSuppressed(ignored);
                }
            }
            listener.failed(e);
        }
    }

    /** The inbound connections within the clients' bound. */
    public InboundConnections inboundConnections() {
        return inboundConnections;
    }

    /** The number of inbound connections that were closed unopened because of the bound, since the start. */
    public long closedUnopenedCount() {
        return closedUnopenedCount.get();
    }

    /** The number of failed accepts since the start. */
    public long acceptFailureCount() {
        return acceptFailureCount.get();
    }

    /** The number of inbound connections that are accepted but not opened yet. */
    public int openingCount() {
        return openingCount.get();
    }

    /** The number of inbound connections that were shed because of the bound, since the start. */
    public long shedCount() {
        return shedCount.get();
    }

    /**
     * Runs the task on the selector thread after the connections that have input now have had their turn. For a
     * connection that holds input which it has read but not processed yet.
     */
    public void runNextTurn(Runnable task) {
        selector.managedSelector.submit(ignored -> task.run());
    }

    /** Observes how long single inbound connections keep the selector thread. */
    public TurnMonitor turnMonitor() {
        return turnMonitor;
    }

    /** The memory of requests on server connections. */
    public RequestMemory requestMemory() {
        return requestMemory;
    }

    /** The bytes that responses hold which are being read on outbound connections. */
    public MemoryBudget responseMemory() {
        return responseMemory;
    }

    InputBuffers inputBuffers() {
        return inputBuffers;
    }

    /** The scheduler for timers. */
    public Scheduler scheduler() {
        return scheduler;
    }

    /** The thread pool that runs the selector and the tasks of connections. */
    public QueuedThreadPool threads() {
        return threads;
    }

    /** A listening socket: the factory of its connections, and whether they count towards the clients' bound. */
    private static final class ListeningSocket {
        final Function<EndPoint, Connection> factory;
        final boolean bounded;
        final AtomicBoolean acceptPaused = new AtomicBoolean(); // after a failed accept
        volatile Closeable acceptor;

        ListeningSocket(Function<EndPoint, Connection> factory, boolean bounded) {
            this.factory = factory;
            this.bounded = bounded;
        }
    }

    @Override
    public void close() {
        LifeCycle.stop(selector);
        LifeCycle.stop(scheduler);
        LifeCycle.stop(threads);
    }

    /** Creates the end points of accepted and outbound sockets. Has one selector thread. */
    private final class Selector extends SelectorManager {
        private final java.util.Map<SelectableChannel, ListeningSocket> listeners =
                new java.util.concurrent.ConcurrentHashMap<>();
        private volatile boolean lastAcceptFailed;
        private volatile ManagedSelector managedSelector; // set when this is started

        Selector() {
            super(threads, scheduler, 1);
        }

        @Override
        protected ManagedSelector newSelector(int id) {
            managedSelector = super.newSelector(id);
            return managedSelector;
        }

        Closeable listen(ServerSocketChannel channel, Function<EndPoint, Connection> factory, boolean bounded) {
            ListeningSocket listener = new ListeningSocket(factory, bounded);
            listeners.put(channel, listener);
            listener.acceptor = acceptor(channel);
            return () -> {
                listeners.remove(channel);
                listener.acceptor.close();
            };
        }

        /**
         * Accepts a connection. Pauses accepting after a failure: if accept keeps failing while connections wait, for
         * example because no descriptor is left, the selector would retry at once and use up the processor.
         */
        @Override
        protected SelectableChannel doAccept(SelectableChannel server) throws IOException {
            ListeningSocket listener = listeners.get(server);
            if (listener != null && listener.acceptPaused.get()) {
                return null; // the acceptor is being closed
            }
            try {
                SelectableChannel accepted = super.doAccept(server);
                lastAcceptFailed &= accepted == null;
                return accepted;
            } catch (ClosedChannelException e) {
                throw e;
            } catch (IOException e) {
                acceptFailureCount.incrementAndGet();
                if (!lastAcceptFailed) {
                    lastAcceptFailed = true;
                    LOG.atWarn().log("cannot accept connections; retrying: {}", e.toString());
                }
                pauseAccepting(server);
                return null;
            }
        }

        private void pauseAccepting(SelectableChannel server) throws IOException {
            ListeningSocket listener = listeners.get(server);
            if (listener != null && listener.acceptPaused.compareAndSet(false, true)) {
                listener.acceptor.close();
                scheduler.schedule(() -> resumeAccepting(server), ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void resumeAccepting(SelectableChannel server) {
            ListeningSocket listener = listeners.get(server);
            if (listener == null) {
                return;
            }
            if (server.isRegistered()) { // the selector has not deregistered the socket yet
                scheduler.schedule(() -> resumeAccepting(server), ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                listener.acceptor = acceptor(server);
                listener.acceptPaused.set(false); // only now, so that a failure closes the new acceptor
            }
        }

        @Override
        protected void accepted(SelectableChannel channel) throws IOException {
            SocketChannel socket = (SocketChannel) channel;
            InetSocketAddress localAddress = (InetSocketAddress) socket.getLocalAddress();
            ListeningSocket match = null;
            for (var listener : listeners.entrySet()) {
                InetSocketAddress listenAddress =
                        (InetSocketAddress) ((ServerSocketChannel) listener.getKey()).getLocalAddress();
                // The operators' and the clients' listener may use one port on different addresses.
                if (listenAddress != null
                        && localAddress != null
                        && listenAddress.getPort() == localAddress.getPort()
                        && (listenAddress.getAddress().isAnyLocalAddress()
                                || listenAddress.getAddress().equals(localAddress.getAddress()))) {
                    match = listener.getValue();
                    break;
                }
            }
            openingCount.incrementAndGet();
            // Many connections may be accepted before the first is opened, so they count as well.
            if (match == null || match.bounded && inboundConnections.size() + openingCount.get() > maxOpenAndOpening) {
                openingCount.decrementAndGet();
                closedUnopenedCount.incrementAndGet();
                LOG.atDebug()
                        .addKeyValue("client", socket.getRemoteAddress())
                        .addKeyValue("open", inboundConnections.size())
                        .addKeyValue("opening", openingCount.get())
                        .log("connection closed unread: the limit on connections is reached");
                socket.close();
                return;
            }
            socket.configureBlocking(false);
            socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            accept(socket, match.factory);
        }

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector managed, SelectionKey key) {
            return new SocketChannelEndPoint((SocketChannel) channel, managed, key, getScheduler());
        }

        @Override
        @SuppressWarnings("unchecked")
        public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
            if (attachment instanceof ConnectListener listener) {
                return listener.connected(endPoint);
            }
            openingCount.decrementAndGet();
            return ((Function<EndPoint, Connection>) attachment).apply(endPoint);
        }

        @Override
        protected void connectionFailed(SelectableChannel channel, Throwable why, Object attachment) {
            if (attachment instanceof ConnectListener listener) {
                listener.failed(why);
            }
        }
    }
}
