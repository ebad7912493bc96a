import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A relay is killed while it writes a snapshot. The next process writes a third copy, and the folder is over disk_mb. */
final class Case10 {
    private static final int KILLS = 8;
    private static final int HANGING = 2; // of five: a quarter to a half
    private static final long HANG_MILLIS = 18_000;
    private static final int MESSAGES_PER_SECOND = 60;
    private static final int BODY_BYTES = 20_000;
    private static final int RETRIES = 3;
    private static final long RETRY_MILLIS = 680;
    private static final int DESTINATIONS = 5;

    public static void main(String[] arguments) {
        World.play(arguments, Case10::play);
    }

    private static boolean play(World world) throws Exception {
        World.Platform platform = world.new Platform();
        long[] hang = {Long.MAX_VALUE, Long.MAX_VALUE};
        StringBuilder servers = new StringBuilder("[");
        for (int i = 0; i < DESTINATIONS; i++) {
            boolean hangs = i < HANGING;
            World.Endpoint endpoint = world.new Endpoint((self, ids, request, from) -> {
                long now = world.now();
                if (World.TROUBLE && hangs && now >= hang[0] && now < hang[1]) {
                    World.closedWithin(from, 100_000); // takes the call and answers nothing
                    return false;
                }
                return !World.closedWithin(from, 200) && self.deliver(ids, request, from);
            });
            servers.append(i > 0 ? "," : "").append(endpoint.entry(i, "pequeno-projeto"));
        }
        platform.serverList = servers.append(']').toString();
        World.Config config = new World.Config();
        config.held = 600;
        config.calls = 23;
        long limit = (long) (config.diskMb * (1 << 20));
        World.Relay relay = world.new Relay("n0", World.freePort(), world.folder.resolve("state"));
        relay.configure(config.text("127.0.0.1:" + relay.port, platform.port(), platform.serverList));
        relay.start();
        relay.awaitUp();

        AtomicBoolean over = new AtomicBoolean();
        AtomicBoolean done = new AtomicBoolean();
        AtomicLong most = new AtomicLong();
        Thread watch = new Thread(() -> {
            while (!done.get()) {
                Map<String, Long> before = sizes(relay.state);
                Map<String, Long> after = sizes(relay.state);
                // files that are there in both looks were there together between them, at least so long as in the first
                before.keySet().retainAll(after.keySet());
                long sum = before.values().stream().mapToLong(size -> (size + 511) / 512 * 512).sum();
                if (sum > most.getAndAccumulate(sum, Math::max) && sum > limit) {
                    over.set(true);
                    world.log("the folder holds at least " + sum + " bytes of " + limit + ": " + before);
                }
            }
        });
        watch.setDaemon(true);
        watch.start();

        AtomicInteger handedIn = new AtomicInteger();
        AtomicInteger taken = new AtomicInteger();
        Deque<World.Client> connections = new ConcurrentLinkedDeque<>();
        World.thread(() -> {
            long start = world.now();
            for (int i = 0; !done.get(); i++) {
                World.sleep(start + i * 1_000L / MESSAGES_PER_SECOND - world.now());
                int number = i;
                World.thread(() -> {
                    for (int attempt = 0; attempt <= RETRIES && !done.get(); attempt++) {
                        String id = String.format("c10%013d", handedIn.incrementAndGet());
                        boolean order = number % 4 == 3;
                        int status = handIn(relay.port, connections, id, number % DESTINATIONS, order);
                        world.log("client " + id + " " + (order ? "ordem-build" : "aviso-push") + " dest="
                                + number % DESTINATIONS + " answer=" + status);
                        if (status == 202) {
                            taken.incrementAndGet();
                            return;
                        }
                        World.sleep(RETRY_MILLIS);
                    }
                });
            }
        });
        hang[0] = world.now() + 1_000;
        hang[1] = hang[0] + HANG_MILLIS;
        World.sleep(5_000); // until the journal is full
        int inTheMiddle = 0;
        for (int kill = 0; kill < KILLS && !over.get() && world.now() < hang[1]; kill++) {
            if (!World.TROUBLE) {
                World.sleep(2_000);
                continue;
            }
            awaitHalfASnapshot(relay.state);
            relay.kill();
            Map<String, Long> left = sizes(relay.state);
            boolean two = left.values().stream().filter(size -> size > 300_000).count() > 1;
            inTheMiddle += two ? 1 : 0;
            world.log("left in the folder: " + left);
            World.sleep(600);
            relay.start();
            relay.awaitUp();
            World.sleep(800);
        }
        World.sleep(500);
        done.set(true);
        watch.join(2_000);
        world.log("handed in " + handedIn + ", taken on " + taken + "; kills that left an unfinished snapshot " + inTheMiddle
                + "; most bytes in the folder " + most + " of " + limit);
        if (taken.get() == 0) {
            throw new World.Unplayable("the relay took nothing on");
        }
        return !over.get();
    }

    /** Waits up to 2 s for a moment at which the newest of two large segments is not yet as long as the one before. */
    private static void awaitHalfASnapshot(Path folder) {
        long until = System.nanoTime() + 2_000_000_000L;
        while (System.nanoTime() < until) {
            TreeMap<String, Long> segments = sizes(folder);
            segments.keySet().removeIf(name -> !name.startsWith("journal-"));
            if (segments.size() > 1
                    && segments.lastEntry().getValue() < segments.firstEntry().getValue() * 3 / 4
                    && segments.firstEntry().getValue() > 1_000_000) {
                return;
            }
        }
    }

    private static TreeMap<String, Long> sizes(Path folder) {
        TreeMap<String, Long> sizes = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                try {
                    sizes.put(file.getFileName().toString(), Files.size(file));
                } catch (IOException e) {
                    continue; // removed meanwhile
                }
            }
        } catch (IOException e) {
            return sizes;
        }
        return sizes;
    }

    private static int handIn(int port, Deque<World.Client> connections, String id, int dest, boolean order) {
        World.Client client = connections.poll();
        try {
            client = client == null ? new World.Client(port) : client;
            byte[] body = new byte[BODY_BYTES];
            World.Answer answer = client.exchange(
                    World.head(id, order ? "ordem-build" : "aviso-push", dest, order ? 20_000 : 6_000, body.length),
                    body,
                    400);
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
