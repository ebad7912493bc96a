import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands in messages of a class whose repeats only the servers of one zone drop, after a SIGHUP with a file in which the
 * key that says so is missing. Exits with 1 if a message that may have run in one zone is sent to another.
 */
final class ReloadWithoutGroup {
    private static final int CLIENTS = 8;
    private static final int MESSAGES = 40;
    private static final String GROUP = "    \"group\": \"zone\",\n";

    private ReloadWithoutGroup() {}

    public static void main(String[] args) {
        Lab.play(args, ReloadWithoutGroup::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        Map<String, Set<String>> ranIn = new ConcurrentHashMap<>(); // zones by message
        AtomicInteger calls = new AtomicInteger(); // in piso-3
        List<String> entries = new ArrayList<>();
        for (String zone : List.of("piso-3", "piso-4")) {
            Lab.Server server = lab.new Server((request, connection) -> {
                if (!request.startLine().startsWith("POST")) {
                    connection.answer("200 OK", "", "");
                    return true;
                }
                String id = request.headers().get("x-call-id");
                // one of the two endpoints fails four of five calls after they have run
                boolean fails = zone.equals("piso-3") && calls.getAndIncrement() % 5 != 4;
                ranIn.computeIfAbsent(id, absent -> ConcurrentHashMap.newKeySet()).add(zone);
                lab.note("%s runs in %s, which answers %s", id, zone, fails ? "500" : "200");
                Lab.sleep(50);
                connection.answer(fails ? "500 Internal Server Error" : "200 OK", "", "");
                return true;
            });
            entries.add(Lab.entry("s-" + zone, server.port(), zone, "pequeno-projeto", 0, 20));
        }
        String servers = String.join(",", entries);
        platform.setServers(servers);
        int port = Lab.freePort();
        String listen = "127.0.0.1:" + port;
        Map<String, String> changes = new TreeMap<>();
        changes.put("   \"lisboa-1\"\n", "   \"piso-3\",\n   \"piso-4\"\n");
        changes.put("    \"effect\": \"at_most_once\",\n    \"group\": \"all\",\n",
                "    \"effect\": \"deduplicated\",\n" + GROUP);
        changes.put("\"objectiveS\": 0.05", "\"objectiveS\": 4.0");
        String whole = lab.config(listen, platform.port(), servers, changes);
        Path config = lab.folder.resolve("config.json");
        Files.writeString(config, whole);
        Lab.Relay relay = lab.new Relay("r0", config, listen, platform.port(), false);
        lab.awaitUp(port, 30_000);

        Files.writeString(config, Lab.TROUBLE ? whole.replace(GROUP, "") : whole);
        relay.signal("HUP");
        lab.note("SIGHUP with %s", Lab.TROUBLE ? "a file that lacks the key 'group' of the class" : "the whole file");
        Lab.sleep(2_000);
        AtomicInteger accepted = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int first = i * MESSAGES / CLIENTS;
            Lab.daemon(() -> {
                try (Lab.Client client = new Lab.Client(port)) {
                    for (int n = first; n < first + MESSAGES / CLIENTS; n++) {
                        int status = client.send("m" + n, "ordem-build", 0, 8_000, new byte[100]);
                        lab.note("m%d answered %d", n, status);
                        accepted.addAndGet(status == 202 ? 1 : 0);
                        Lab.sleep(500);
                    }
                } finally {
                    done.countDown();
                }
            });
        }
        done.await();
        Lab.sleep(9_000);
        Set<String> broken = new TreeSet<>();
        ranIn.forEach((id, zones) -> {
            if (zones.size() > 1) {
                broken.add(id);
            }
        });
        lab.note("%d of %d taken on; sent to a second zone after they may have run: %s", accepted.get(), MESSAGES,
                broken);
        if (accepted.get() < MESSAGES / 2) {
            return 2;
        }
        return broken.isEmpty() ? 0 : 1;
    }
}
