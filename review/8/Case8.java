import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The new process of an upgrade is killed, and the old one goes on. What the new one took on is never ended. */
final class Case8 {
    private static final int MESSAGES = 40;
    private static final long GRACE_MILLIS = 350; // 300 ms, and each time limit is 50 ms longer

    public static void main(String[] arguments) {
        World.play(arguments, Case8::play);
    }

    private record Taken(String messageClass, long handedInAt, long budgetMillis) {}

    private static boolean play(World world) throws Exception {
        try (PlatformSocket socket = new PlatformSocket(world)) {
            World.Platform platform = world.new Platform();
            World.Endpoint endpoint = world.new Endpoint((self, ids, request, from) -> {
                if (World.closedWithin(from, 250)) { // the time that a call takes
                    return false;
                }
                return self.deliver(ids, request, from);
            });
            platform.serverList = "[" + endpoint.entry(7, "pequeno-projeto") + "]";
            World.Config config = new World.Config();
            String text = config.text("127.0.0.1:" + socket.port, platform.port(), platform.serverList);
            World.Relay oldRelay = world.new Relay("old", socket.port, world.folder.resolve("state"));
            World.Relay newRelay = world.new Relay("new", socket.port, world.folder.resolve("state"));
            oldRelay.configure(text);
            newRelay.configure(text);
            int oldMgmt = World.freePort();
            int newMgmt = World.freePort();
            ProcessHandle oldProcess = socket.start(oldRelay, oldMgmt);
            socket.awaitYes(oldMgmt);
            ProcessHandle newProcess = socket.start(newRelay, newMgmt);
            socket.awaitYes(newMgmt);

            Map<String, Taken> taken = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < MESSAGES; i++) {
                String id = String.format("c8%014d", i);
                String messageClass = i % 4 == 3 ? "ordem-build" : "aviso-push";
                long budget = i % 4 == 3 ? 20_000 : 6_000;
                Thread client = new Thread(() -> {
                    long at = world.now();
                    if (world.submit(socket.port, id, messageClass, 7, budget, new byte[212]) == 202) {
                        taken.put(id, new Taken(messageClass, at, budget));
                    }
                });
                client.start();
                clients.add(client);
                World.sleep(4);
            }
            for (Thread client : clients) {
                client.join();
            }
            if (World.TROUBLE) {
                socket.signal(newProcess, "KILL");
            }
            // the old process goes on and is ready all the time
            long lastDue = taken.values().stream()
                    .mapToLong(each -> each.handedInAt + each.budgetMillis)
                    .max()
                    .orElse(world.now());
            boolean ready = true;
            while (world.now() < lastDue + GRACE_MILLIS + 300) {
                World.sleep(1_000);
                try (World.Client client = new World.Client(socket.port)) {
                    ready &= client.exchange("GET /up HTTP/1.1\r\nHost: relay\r\n\r\n", new byte[0], 1_000).status == 200;
                }
            }
            world.log("the old process lives: " + oldProcess.isAlive() + ", GET /up answered 200 each second: " + ready);
            if (!oldProcess.isAlive() || !ready || taken.isEmpty()) {
                throw new World.Unplayable("the old process did not stay ready, or took nothing on");
            }
            int lost = 0;
            for (Map.Entry<String, Taken> each : taken.entrySet()) {
                long due = each.getValue().handedInAt + each.getValue().budgetMillis + GRACE_MILLIS;
                Long notice = platform.firstNoticeAt.get(each.getKey());
                boolean ended = endpoint.runs.containsKey(each.getKey()) || notice != null && notice <= due;
                if (!ended) {
                    lost++;
                    world.log("lost: " + each.getKey() + " " + each.getValue().messageClass);
                }
            }
            world.log("taken on " + taken.size() + ", lost " + lost);
            return lost == 0;
        }
    }
}
