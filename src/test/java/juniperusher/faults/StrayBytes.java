package juniperusher.faults;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Bytes that a stand-in sends on a connection although no request asked for them, after a share of its answers. */
final class StrayBytes {
    /** Sends nothing but answers. */
    static final StrayBytes NONE = new StrayBytes(Kind.NONE, 0, 0, 1, 0);

    private static final int COPIES = 3; // of Kind.SEVERAL_COPIES
    private static final int PIECE_PAUSE_MILLIS = 5; // of Kind.COPY_IN_PIECES
    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    private static final String TIMEOUT_NOTICE =
            "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "stray bytes");
        thread.setDaemon(true);
        return thread;
    });

    private final Kind kind;
    private final double share;
    private final int minDelayMillis;
    private final int maxDelayMillis;
    private final Random random;
    private final AtomicInteger sent = new AtomicInteger();

    /** What is sent. The names appear in the printed schedule. */
    enum Kind {
        NONE,
        COPY,
        COPY_IN_PIECES,
        SEVERAL_COPIES,
        REFUSAL,
        TIMEOUT_NOTICE,
        /** Two bytes more than the length of the answer says. */
        BYTES_BEYOND_LENGTH,
        /** The answer's length is two bytes more than its body has. */
        LENGTH_BEYOND_BYTES
    }

    /**
     * Creates a pattern.
     *
     * @param share part of the answers that are followed by stray bytes
     * @param minDelayMillis shortest time between an answer and the bytes
     * @param maxDelayMillis longest time, exclusive
     */
    StrayBytes(Kind kind, double share, int minDelayMillis, int maxDelayMillis, long seed) {
        this.kind = kind;
        this.share = share;
        this.minDelayMillis = minDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        random = new Random(seed);
    }

    /** The number of answers that were followed by stray bytes so far. */
    int sentCount() {
        return sent.get();
    }

    /** Writes the answer, and has the stray bytes written after it. Returns whether the answer's length is right. */
    boolean answer(HttpStandIn.Connection connection, String status, String headers, String body) throws IOException {
        String response = HttpStandIn.Connection.response(status, headers, body);
        int delayMillis;
        synchronized (random) {
            if (kind == Kind.NONE || random.nextDouble() >= share) {
                connection.write(response);
                return true;
            }
            delayMillis = minDelayMillis + random.nextInt(maxDelayMillis - minDelayMillis);
        }
        sent.incrementAndGet();
        switch (kind) {
            case BYTES_BEYOND_LENGTH -> connection.write(response + "xx");
            case LENGTH_BEYOND_BYTES ->
                connection.write(
                        response.replaceFirst("Content-Length: \\d+", "Content-Length: " + (body.length() + 2)));
            case REFUSAL -> answerAndSendLater(connection, response, REFUSAL, 1, delayMillis);
            case TIMEOUT_NOTICE -> answerAndSendLater(connection, response, TIMEOUT_NOTICE, 1, delayMillis);
            case SEVERAL_COPIES -> answerAndSendLater(connection, response, response, COPIES, delayMillis);
            case COPY_IN_PIECES -> {
                int cut = response.length() / 2;
                answerAndSendLater(connection, response, response.substring(0, cut), 1, delayMillis);
                sendLater(connection, response.substring(cut), delayMillis + PIECE_PAUSE_MILLIS);
            }
            default -> answerAndSendLater(connection, response, response, 1, delayMillis);
        }
        return kind != Kind.LENGTH_BEYOND_BYTES;
    }

    private static void answerAndSendLater(
            HttpStandIn.Connection connection, String response, String text, int times, int delayMillis)
            throws IOException {
        if (delayMillis == 0) {
            connection.write(response + text.repeat(times));
            return;
        }
        connection.write(response);
        for (int i = 0; i < times; i++) {
            sendLater(connection, text, delayMillis * (i + 1));
        }
    }

    private static void sendLater(HttpStandIn.Connection connection, String text, int delayMillis) {
        TIMERS.schedule(
                () -> {
                    try {
                        connection.writeStray(text);
                    } catch (IOException e) {
                        return; // the connection has ended meanwhile
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public String toString() {
        return kind + " after " + Math.round(share * 100) + "% at " + minDelayMillis + ".." + maxDelayMillis + " ms";
    }
}
