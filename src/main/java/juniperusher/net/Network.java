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

/** Jetty's selector, its threads and its timers, for the connections of every front. */
public class Network implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Network.class);
    private static final int THREAD_COUNT = 8; // reading is the selector's own work: few hand-overs are left
    // Of the descriptors, for connections that come in: clients hold a third at most, the rest is for
    // bad ones to be turned away on; what remains is for calls, the watch, the journal and the JVM.
    private static final double INBOUND_DESCRIPTOR_SHARE = 0.45;
    private static final double OPENING_DESCRIPTOR_SHARE = 0.1; // the same for those that are not yet looked at
    private static final long ACCEPT_RETRY_MILLIS = 50; // ms for which nothing is accepted after that has failed
    private static final int MIN_CONNECTION_BOUND = 16; // connections, whatever the limit says

    // All are started at once: one that cannot be started later would leave a connection without its turn.
    private final QueuedThreadPool threads = new QueuedThreadPool(THREAD_COUNT, THREAD_COUNT);
    private final Scheduler scheduler = new ScheduledExecutorScheduler("timers", true);
    private final Selector selector = new Selector();
    private final Inbound inbound;
    private final AtomicLong shedCount = new AtomicLong();
    private final AtomicLong closedUnopenedCount = new AtomicLong();
    private final AtomicInteger openingCount = new AtomicInteger();
    private final AtomicLong acceptFailureCount = new AtomicLong();
    private final int maxOpenAndOpening;

    /** Someone who wants a connection: makes its object once it is up, or hears why it is not. */
    public interface Dial {
        /** The connection is up. */
        Connection connected(EndPoint endPoint);

        /** It was refused or did not come up in time. */
        void failed(Throwable why);
    }

    /** A network within the descriptors that a machine has by default, see the other constructor. */
    public Network(double connectTimeoutSeconds) throws Exception {
        this(connectTimeoutSeconds, 1024);
    }

    /**
     * A network whose connections count as failed if they are not up within {@code connectTimeout} seconds,
     * for a process that may hold so many descriptors.
     */
    public Network(double connectTimeoutSeconds, int descriptors) throws Exception {
        int maxConnections = Math.max(MIN_CONNECTION_BOUND, (int) (descriptors * INBOUND_DESCRIPTOR_SHARE));
        inbound = new Inbound(maxConnections, shedCount::incrementAndGet);
        maxOpenAndOpening =
                maxConnections + Math.max(MIN_CONNECTION_BOUND, (int) (descriptors * OPENING_DESCRIPTOR_SHARE));
        threads.setName("net");
        threads.setDaemon(true);
        threads.setReservedThreads(1);
        selector.setConnectTimeout((long) (connectTimeoutSeconds * 1000));
        threads.start();
        scheduler.start();
        selector.start();
    }

    /** Listens on the address; each connection that comes in is served by what the factory makes. */
    public Closeable listen(InetSocketAddress address, Function<EndPoint, Connection> factory) throws IOException {
        return listen(address, factory, true);
    }

    /**
     * The same; where {@code bounded} is false, what comes in on it is not held to the clients' bound on
     * connections that are not yet looked at, and is bounded by its factory instead.
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
     * Serves a listening socket that this process did not bind, such as the one that it inherited as
     * descriptor 0; closing the returned handle stops the accepting and closes this process's descriptor.
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
     * The listening socket that the platform hands on as descriptor {@code fd}, as {@code RELAY_ACCEPT_FD}
     * names it; an {@link IllegalArgumentException} says in one line why it cannot be had. Only descriptor 0
     * can be taken, through {@link System#inheritedChannel()}.
     */
    public static ServerSocketChannel inherited(String fd) throws IOException {
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

    /** Opens a connection. */
    public void connect(InetSocketAddress address, Dial dial) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            if (channel.connect(address)) {
                selector.accept(channel, dial);
            } else {
                selector.connect(channel, dial);
            }
        } catch (IOException | RuntimeException e) {
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException ignored) {
                    e.addSuppressed(ignored);
                }
            }
            dial.failed(e);
        }
    }

    /** The connections that came in. */
    public Inbound inbound() {
        return inbound;
    }

    /** How many were closed before they were looked at, since too many came at once. */
    public long unopened() {
        return closedUnopenedCount.get();
    }

    /** How often a connection could not be accepted. */
    public long acceptFailures() {
        return acceptFailureCount.get();
    }

    /** How many have come and are not yet looked at. */
    public int coming() {
        return openingCount.get();
    }

    /** How many of them were closed for want of room. */
    public long shed() {
        return shedCount.get();
    }

    /** Timers. */
    public Scheduler scheduler() {
        return scheduler;
    }

    /** Threads for what a connection has to do. */
    public QueuedThreadPool threads() {
        return threads;
    }

    /** What a listener serves its connections with, and whether they count towards the clients' bound. */
    private static final class ListeningSocket {
        final Function<EndPoint, Connection> factory;
        final boolean bounded;
        final AtomicBoolean acceptPaused = new AtomicBoolean(); // nothing is accepted for a moment
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

    private final class Selector extends SelectorManager {
        private final java.util.Map<SelectableChannel, ListeningSocket> listeners =
                new java.util.concurrent.ConcurrentHashMap<>();
        private volatile boolean lastAcceptFailed; // the last accept has failed

        Selector() {
            super(threads, scheduler, 1);
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
         * Accepts a connection. Guards the processor against an accept that keeps failing (no descriptor is left, say)
         * while connections wait: the selector would come back to it at once.
         */
        @Override
        protected SelectableChannel doAccept(SelectableChannel server) throws IOException {
            ListeningSocket listener = listeners.get(server);
            if (listener != null && listener.acceptPaused.get()) {
                return null; // its acceptor is still to be closed
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
                    LOG.atWarn().log("connections cannot be accepted for now: {}", e.toString());
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
            if (server.isRegistered()) { // the selector has not let it go yet
                scheduler.schedule(() -> resumeAccepting(server), ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                listener.acceptor = acceptor(server);
                listener.acceptPaused.set(false); // from here on a failure closes this acceptor, not the one before
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
                // The port alone does not tell: the operators' address may share it with the clients'.
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
            // Guards against running out of descriptors: those that come at once all wait here to be opened.
            if (match == null || match.bounded && inbound.size() + openingCount.get() > maxOpenAndOpening) {
                openingCount.decrementAndGet();
                closedUnopenedCount.incrementAndGet();
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
            if (attachment instanceof Dial dial) {
                return dial.connected(endPoint);
            }
            openingCount.decrementAndGet();
            return ((Function<EndPoint, Connection>) attachment).apply(endPoint);
        }

        @Override
        protected void connectionFailed(SelectableChannel channel, Throwable why, Object attachment) {
            if (attachment instanceof Dial dial) {
                dial.failed(why);
            }
        }
    }
}
