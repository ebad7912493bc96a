import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** Two of five endpoints hang for 18 s. What waits for them fills the journal, and notices come too late. */
final class Case6 {
    private static final int ENDPOINTS = 5;
    private static final int HANGING = 2; // four in ten
    private static final long HANG_MILLIS = 18_000;
    private static final int MESSAGES_PER_SECOND = 60;
    private static final int BODY_BYTES = 20_000;
    private static final int RETRIES = 3;
    private static final long RETRY_MILLIS = 680;
    private static final long CLIENT_WAIT_MILLIS = 400;
    private static final long GRACE_MILLIS = 350; // 300 ms, and each time limit is 50 ms longer

    public static void main(String[] arguments) {
        World.play(arguments, Case6::play);
    }

    private record Taken(String messageClass, long handedInAt, long budgetMillis) {}

    private static boolean play(World world) throws Exception {
        World.Platform platform = world.new Platform();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        long[] hang = {Long.MAX_VALUE, Long.MAX_VALUE};
        StringBuilder servers = new StringBuilder("[");
        for (int i = 0; i < ENDPOINTS; i++) {
            boolean hangs = i < HANGING;
            World.Endpoint endpoint = world.new Endpoint((self, ids, request, from) -> {
                long now = world.now();
                if (World.TROUBLE && hangs && now >= hang[0] && now < hang[1]) {
                    World.closedWithin(from, 100_000); // takes the call and answers nothing
                    return false;
                }
                if (World.closedWithin(from, 200)) { // the time that a call takes
                    return false;
                }
                self.deliver(ids, request, from);
                delivered.addAll(ids);
                return true;
            });
            servers.append(i > 0 ? "," : "").append(endpoint.entry(i, "pequeno-projeto"));
        }
        platform.serverList = servers.append(']').toString();
        World.Config config = new World.Config();
        config.held = 600; // 10 s of the load; the site allows 6.9 to 12 s
        config.calls = 23; // 1.9 times what the load keeps busy
        World.Relay relay = world.new Relay("n0", World.freePort(), world.folder.resolve("state"));
        relay.configure(config.text("127.0.0.1:" + relay.port, platform.port(), platform.serverList));
        relay.start();
        relay.awaitUp();

        Map<String, Taken> taken = new ConcurrentHashMap<>();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger handedIn = new AtomicInteger();
        Deque<World.Client> connections = new ConcurrentLinkedDeque<>();
        long start = world.now();
        hang[0] = start + 3_000;
        hang[1] = hang[0] + HANG_MILLIS;
        for (int i = 0; world.now() < hang[1]; i++) {
            World.sleep(start + i * 1_000L / MESSAGES_PER_SECOND - world.now());
            int number = i;
            World.thread(() -> {
                boolean order = number % 4 == 3;
                String messageClass = order ? "ordem-build" : "aviso-push";
                long total = order ? 20_000 : 6_000;
                long first = world.now();
                for (int attempt = 0; attempt <= RETRIES; attempt++) {
                    long at = world.now();
                    long budget = total - (at - first);
                    if (budget < 500) {
                        return;
                    }
                    String id = String.format("c6%014d", handedIn.incrementAndGet());
                    int status = handIn(relay.port, connections, id, messageClass, number % ENDPOINTS, budget);
                    world.log("client " + id + " " + messageClass + " dest=" + number % ENDPOINTS + " budget=" + budget
                            + " answer=" + status);
                    if (status == 202) {
                        taken.put(id, new Taken(messageClass, at, budget));
                        return;
                    }
                    (status == 503 || status == 429 ? refused : unanswered).incrementAndGet();
                    World.sleep(RETRY_MILLIS);
                }
            });
        }
        World.sleep(4 * RETRY_MILLIS + 20_000 + GRACE_MILLIS + 1_000);
        if (!relay.process.isAlive() || taken.isEmpty()) {
            throw new World.Unplayable("the relay has exited or took nothing on");
        }
        int lost = 0;
        long worst = 0;
        for (Map.Entry<String, Taken> each : taken.entrySet()) {
            if (delivered.contains(each.getKey())) {
                continue;
            }
            long due = each.getValue().handedInAt + each.getValue().budgetMillis;
            Long notice = platform.firstNoticeAt.get(each.getKey());
            if (notice == null || notice > due + GRACE_MILLIS) {
                lost++;
                worst = Math.max(worst, notice == null ? Long.MAX_VALUE : notice - due);
                world.log("lost: " + each.getKey() + " " + each.getValue().messageClass + ", "
                        + (notice == null ? "no notice" : "notice " + (notice - due) + " ms after its time"));
            }
        }
        try (DirectoryStream<Path> files = Files.newDirectoryStream(relay.state, "journal-*")) {
            for (Path file : files) {
                world.log("in the folder that lasts: " + file.getFileName() + ", " + Files.size(file) + " bytes");
            }
        }
        world.log("handed in " + handedIn + ", taken on " + taken.size() + ", refused " + refused
                + ", not answered within 400 ms " + unanswered + ", lost " + lost + ", latest notice " + worst + " ms");
        return lost == 0;
    }

    private static int handIn(
            int port, Deque<World.Client> connections, String id, String messageClass, int dest, long budget) {
        World.Client client = connections.poll();
        try {
            client = client == null ? new World.Client(port) : client;
            byte[] body = new byte[BODY_BYTES];
            World.Answer answer =
                    client.exchange(World.head(id, messageClass, dest, budget, body.length), body, (int) CLIENT_WAIT_MILLIS);
            if (answer.status > 0 && !"close".equalsIgnoreCase(answer.headers.get("connection"))) {
                connections.push(client);
            } else {
                client.close();
            }
            return answer.status;
        } catch (IOException e) {
            return 0;
        }
    }
}
