package juniperusher.amqp;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fake broker, written from the public specification of AMQP 0-9-1 and of publisher confirms. It counts how
 * often each message id takes effect, and injects faults into a given share of the publishes, reproducibly from
 * a seed. Some confirms and all returns come a second time.
 */
final class FakeBroker implements AutoCloseable {
    private static final int REPEATED_EVERY = 7; // confirms of a channel, of which one comes twice
    private static final long REPEAT_DELAY_MILLIS = 5;
    private static final ScheduledExecutorService REPEATS = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "repeats");
        thread.setDaemon(true);
        return thread;
    });

    final Map<String, AtomicInteger> applied = new ConcurrentHashMap<>();
    final Map<String, AtomicInteger> injectedFaults = new ConcurrentHashMap<>();
    private final ServerSocket server;
    private final Random random;
    private final double faultShare;
    private volatile long blockedUntil;

    /** How the broker answers a publish. */
    private enum PublishOutcome {
        ACK,
        SILENT,
        CHANNEL_CLOSED,
        CONNECTION_CUT,
        CUT_BEFORE,
        NACK_APPLIED,
        NACK,
        RETURNED
    }

    /** Starts a broker that injects faults into {@code faultShare} of the publishes, a number from 0 to 1. */
    FakeBroker(long seed, double faultShare) throws IOException {
        random = new Random(seed);
        this.faultShare = faultShare;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Sends connection.blocked to all connections, and connection.unblocked after {@code millis}. */
    void block(long millis) {
        blockedUntil = System.currentTimeMillis() + millis;
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // the server socket was closed at the end of the test
        }
    }

    private synchronized PublishOutcome nextOutcome() {
        if (random.nextDouble() >= faultShare) {
            return PublishOutcome.ACK;
        }
        PublishOutcome outcome = PublishOutcome.values()[1 + random.nextInt(PublishOutcome.values().length - 1)];
        // A cut connection loses the confirms of all orders in flight on it, and a missing confirm occupies a slot
        // until the timeout, so both are injected less often than a confirm lost with its channel.
        if ((outcome == PublishOutcome.CONNECTION_CUT
                        || outcome == PublishOutcome.CUT_BEFORE
                        || outcome == PublishOutcome.SILENT)
                && random.nextDouble() < 0.9) {
            outcome = PublishOutcome.CHANNEL_CLOSED;
        }
        injectedFaults
                .computeIfAbsent(outcome.name(), key -> new AtomicInteger())
                .incrementAndGet();
        return outcome;
    }

    private static final class ConnectionState {
        final Map<Integer, Long> lastTags = new HashMap<>();
        final Map<Integer, byte[]> publishMethods = new HashMap<>();
        boolean announcedBlocked;
    }

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            in.readNBytes(Frame.PROTOCOL_HEADER.length);
            write(
                    out,
                    new Method.Writer(Method.START)
                            .u8(0)
                            .u8(9)
                            .u32(0)
                            .longText("PLAIN")
                            .longText("en_US")
                            .methodFrame(0));
            ConnectionState state = new ConnectionState();
            startDaemon(() -> announceBlocked(socket, out, state));
            while (true) {
                Frame frame = read(in);
                if (frame.type() == Frame.METHOD && !onMethod(frame, state, out)) {
                    return;
                }
                if (frame.type() == Frame.HEADER && !answerPublish(frame, state, out)) {
                    return;
                }
            }
        } catch (EOFException e) {
            // the relay closed the connection
        } catch (IOException e) {
            // the connection broke
        }
    }

    private void announceBlocked(Socket socket, OutputStream out, ConnectionState state) {
        try {
            while (!socket.isClosed()) {
                boolean blocked = System.currentTimeMillis() < blockedUntil;
                if (blocked != state.announcedBlocked) {
                    state.announcedBlocked = blocked;
                    write(
                            out,
                            blocked
                                    ? new Method.Writer(Method.BLOCKED)
                                            .shortText("low on memory")
                                            .methodFrame(0)
                                    : new Method.Writer(Method.UNBLOCKED).methodFrame(0));
                }
                Thread.sleep(5);
            }
        } catch (IOException | InterruptedException e) {
            // the connection has ended
        }
    }

    /** Writes the bytes a second time, when the relay may have published the next order on their channel. */
    private static void writeLater(OutputStream out, byte[] bytes) {
        REPEATS.schedule(
                () -> {
                    try {
                        write(out, bytes);
                    } catch (IOException e) {
                        return; // the connection has ended meanwhile
                    }
                },
                REPEAT_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static void write(OutputStream out, byte[] bytes) throws IOException {
        synchronized (out) {
            out.write(bytes);
        }
    }

    static Frame read(DataInputStream in) throws IOException {
        int type = in.readUnsignedByte();
        int channel = in.readUnsignedShort();
        byte[] payload = new byte[in.readInt()];
        in.readFully(payload);
        if (in.readUnsignedByte() != Frame.END_OCTET) {
            throw new IOException("no frame end");
        }
        return new Frame(type, channel, payload);
    }

    private boolean onMethod(Frame frame, ConnectionState state, OutputStream out) throws IOException {
        int number = ByteBuffer.wrap(frame.payload()).getInt();
        int channel = frame.channel();
        if (number == Method.START_OK) {
            write(
                    out,
                    new Method.Writer(Method.TUNE).u16(2047).u32(131072).u16(60).methodFrame(0));
        } else if (number == Method.OPEN) {
            write(out, new Method.Writer(Method.OPEN_OK).shortText("").methodFrame(0));
        } else if (number == Method.CHANNEL_OPEN) {
            state.lastTags.put(channel, 0L);
            write(out, new Method.Writer(Method.CHANNEL_OPEN_OK).longText("").methodFrame(channel));
        } else if (number == Method.CONFIRM_SELECT) {
            write(out, new Method.Writer(Method.CONFIRM_SELECT_OK).methodFrame(channel));
        } else if (number == Method.CHANNEL_CLOSE) {
            state.lastTags.remove(channel);
            write(out, new Method.Writer(Method.CHANNEL_CLOSE_OK).methodFrame(channel));
        } else if (number == Method.CLOSE) {
            write(out, new Method.Writer(Method.CLOSE_OK).methodFrame(0));
            return false;
        } else if (number == Method.PUBLISH) {
            state.publishMethods.put(channel, frame.payload());
        }
        return true;
    }

    /** Answers a publish when its content header arrives; returns false if the connection is to be cut. */
    private boolean answerPublish(Frame header, ConnectionState state, OutputStream out) throws IOException {
        int channel = header.channel();
        Method fields = new Method(header);
        fields.u64();
        String id = Content.readProperties(fields).messageId();
        if (!state.lastTags.containsKey(channel)) {
            return true;
        }
        long tag = state.lastTags.merge(channel, 1L, Long::sum);
        PublishOutcome outcome = nextOutcome();
        if (outcome != PublishOutcome.CUT_BEFORE
                && outcome != PublishOutcome.NACK
                && outcome != PublishOutcome.RETURNED) {
            applied.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        }
        switch (outcome) {
            case ACK -> {
                byte[] confirm = new Method.Writer(Method.ACK).u64(tag).u8(0).methodFrame(channel);
                write(out, confirm);
                if (tag % REPEATED_EVERY == 0) {
                    writeLater(out, confirm);
                }
            }
            case NACK, NACK_APPLIED ->
                write(out, new Method.Writer(Method.NACK).u64(tag).u8(0).methodFrame(channel));
            case CHANNEL_CLOSED -> {
                state.lastTags.remove(channel);
                write(
                        out,
                        new Method.Writer(Method.CHANNEL_CLOSE)
                                .u16(541)
                                .shortText("lost")
                                .u16(0)
                                .u16(0)
                                .methodFrame(channel));
            }
            case RETURNED -> {
                byte[] returned = new Content("", "", "", "", id, "", new byte[0])
                        .toFrames(
                                new Method.Writer(Method.RETURN)
                                        .u16(312)
                                        .shortText("NO_ROUTE")
                                        .shortText("")
                                        .shortText("builds"),
                                channel,
                                4096);
                write(out, returned);
                writeLater(out, returned);
                write(out, new Method.Writer(Method.ACK).u64(tag).u8(0).methodFrame(channel));
            }
            default -> {}
        }
        return outcome != PublishOutcome.CONNECTION_CUT && outcome != PublishOutcome.CUT_BEFORE;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
