import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands in orders that a relay has to hold, lets other clients stop in the middle of their requests, and waits for the
 * end of each order. Exits with 1 if an order that was taken on has neither been delivered nor ended by a notice in time.
 */
final class StalledClients {
    private static final int ORDERS = 20;
    private static final int BUDGET_MILLIS = 16_000;
    private static final int NOTICE_MILLIS = 300 + 50; // after the time is up, with the slack on sockets
    private static final int STALLED = 1_200; // of 4,096 descriptors
    private static final int STALLED_MILLIS = 10_000;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int MISSING_BYTES = 100; // of the body

    private StalledClients() {}

    public static void main(String[] args) {
        Lab.play(args, StalledClients::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        Lab.Server full = lab.new Server((request, connection) -> { // above its limit all the time
            if (request.startLine().startsWith("POST")) {
                lab.note("a call with %s is turned away with 503", Lab.ids(request));
            }
            connection.answer("503 Service Unavailable", "", "");
            return true;
        });
        Lab.Server sound = lab.new Server((request, connection) -> {
            if (request.startLine().startsWith("POST")) {
                Lab.sleep(200);
                delivered.addAll(Lab.ids(request));
                Lab.answerDelivered(request, connection);
            } else {
                connection.answer("200 OK", "", "");
            }
            return true;
        });
        String servers = Lab.entry("s-0", full.port(), "pequeno-projeto", 0, 5) + ","
                + Lab.entry("s-1", sound.port(), "pequeno-projeto", 1, 20);
        platform.setServers(servers);
        int port = Lab.freePort();
        String listen = "127.0.0.1:" + port;
        Path config = lab.folder.resolve("config.json");
        // the limits in the deployment page's example
        Files.writeString(config, lab.config(listen, platform.port(), servers,
                Map.of("\"objectiveS\": 0.05", "\"objectiveS\": 4.0", "\"memory_mb\": 192", "\"memory_mb\": 2048",
                        "\"sockets\": 1024", "\"sockets\": 4096")));
        Lab.Relay relay = lab.new Relay("r0", config, listen, platform.port(), false);
        lab.awaitUp(port, 30_000);

        Map<String, Long> dueAt = new ConcurrentHashMap<>(); // by order taken on
        try (Lab.Client client = new Lab.Client(port)) {
            for (int i = 0; i < ORDERS; i++) {
                String id = "order-" + i;
                long sentAt = lab.millis();
                int status = client.send(id, "ordem-build", 0, BUDGET_MILLIS, new byte[200]);
                lab.note("%s answered %d", id, status);
                if (status == 202) {
                    dueAt.put(id, sentAt + BUDGET_MILLIS + NOTICE_MILLIS);
                }
            }
        }
        AtomicInteger stalled = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        long until = lab.millis() + STALLED_MILLIS;
        if (Lab.TROUBLE) {
            lab.note("%d clients stop in the middle of their requests", STALLED);
            for (int i = 0; i < STALLED; i++) {
                Lab.daemon(() -> {
                    while (lab.millis() < until) {
                        stall(port, stalled, ended);
                    }
                });
            }
        }
        while (lab.millis() < until + 1_000) {
            Lab.sleep(1_000);
            lab.note("GET /up %s; requests stopped in the middle: %d, ended by the relay: %d",
                    Lab.isUp(port) ? "answers 200" : "has no answer within 400 ms", stalled.get(), ended.get());
        }
        Lab.sleep(dueAt.values().stream().mapToLong(due -> due).max().orElse(0) - lab.millis());
        Set<String> lost = new TreeSet<>();
        dueAt.forEach((id, due) -> {
            Long noticeAt = platform.notices.get(id);
            if (!delivered.contains(id) && (noticeAt == null || noticeAt > due)) {
                lost.add(id);
            }
        });
        lab.note("taken on: %d, neither delivered nor ended in time: %s", dueAt.size(), lost);
        int silent = 0;
        for (int i = 0; i < 10; i++) {
            Lab.sleep(1_000);
            silent += Lab.isUp(port) ? 0 : 1;
        }
        lab.note("GET /up has no answer %d times of 10 over 10 s, the process is %s", silent,
                relay.process.isAlive() ? "alive" : "gone");
        lab.note("the relay's log ends: %s", relay.lastLines());
        if (dueAt.size() < ORDERS / 2 || Lab.TROUBLE && stalled.get() < STALLED / 2) {
            return 2;
        }
        return lost.isEmpty() ? 0 : 1;
    }

    /** Sends a request but for its last bytes, and stays until the relay ends it, or for 5 s. */
    private static void stall(int port, AtomicInteger stalled, AtomicInteger ended) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Lab.LOOPBACK, port), 1_000);
            socket.getOutputStream().write(Lab.ascii("POST /aviso-push HTTP/1.1\r\nHost: service.internal\r\n"
                    + "X-Call-Id: stalled\r\nX-Call-Class: aviso-push\r\nX-Budget: 6000m\r\nX-Envelope: dest=1\r\n"
                    + "Content-Length: " + BODY_BYTES + "\r\n\r\n"));
            byte[] body = new byte[BODY_BYTES - MISSING_BYTES];
            Arrays.fill(body, (byte) 'x');
            socket.getOutputStream().write(body);
            stalled.incrementAndGet();
            socket.setSoTimeout(5_000);
            socket.getInputStream().read();
            ended.incrementAndGet();
        } catch (SocketTimeoutException e) {
            return; // not ended by the relay
        } catch (IOException e) {
            Lab.sleep(50);
        }
    }
}
