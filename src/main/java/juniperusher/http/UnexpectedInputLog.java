package juniperusher.http;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import juniperusher.core.Counters;
import juniperusher.net.UnexpectedInputListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs input from endpoints, the platform and discovery that belongs to no exchange. All of it is counted;
 * the log has at most one line per peer in {@value #LOG_INTERVAL_SECONDS} s, with the reports since the line before.
 */
final class UnexpectedInputLog implements UnexpectedInputListener {
    private static final Logger LOG = LoggerFactory.getLogger(UnexpectedInputLog.class);
    private static final long LOG_INTERVAL_SECONDS = 1;
    private static final int HEAD_BYTES = 40;
    private static final int MAX_PEERS = 4_096; // then all are forgotten, so that addresses cannot pile up

    private final Counters counters;
    private final Map<String, PeerReports> reportsByPeer = new ConcurrentHashMap<>();

    /** The reports on one peer; guarded by its own lock. */
    private static final class PeerReports {
        private long nextLineNanos = System.nanoTime();
        private long unlogged;

        /** Adds a report. Returns the number of reports that a line of log now stands for, or 0 for no line. */
        synchronized long add(long nowNanos) {
            unlogged++;
            if (nowNanos - nextLineNanos < 0) {
                return 0;
            }
            nextLineNanos = nowNanos + TimeUnit.SECONDS.toNanos(LOG_INTERVAL_SECONDS);
            long reported = unlogged;
            unlogged = 0;
            return reported;
        }
    }

    UnexpectedInputLog(Counters counters) {
        this.counters = counters;
    }

    @Override
    public void unexpectedInput(SocketAddress peer, Reason reason, ByteBuffer bytes) {
        counters.add("unexpected_input_total", "reason", reason.label());
        String name = String.valueOf(peer);
        if (reportsByPeer.size() >= MAX_PEERS) {
            reportsByPeer.clear();
        }
        long reports =
                reportsByPeer.computeIfAbsent(name, absent -> new PeerReports()).add(System.nanoTime());
        if (reports > 0) {
            LOG.atWarn()
                    .addKeyValue("endpoint", name)
                    .addKeyValue("reason", reason.label())
                    .addKeyValue("bytes", bytes.remaining())
                    .addKeyValue("head", printableHead(bytes))
                    .addKeyValue("reports", reports)
                    .log("input that belongs to no call");
        }
    }

    /** The first characters of the input, with an underscore for each that is not printable. */
    private static String printableHead(ByteBuffer bytes) {
        StringBuilder head = new StringBuilder();
        for (int i = 0; i < Math.min(HEAD_BYTES, bytes.remaining()); i++) {
            char character = (char) bytes.get(bytes.position() + i);
            head.append(character > ' ' && character < 127 ? character : '_');
        }
        return head.toString();
    }
}
