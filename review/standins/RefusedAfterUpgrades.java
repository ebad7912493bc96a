import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/**
 * Hands in one order after another, each after an upgrade of the relay. An order that is refused is handed in once more,
 * after the next upgrade. Exits with 1 if both are run.
 */
final class RefusedAfterUpgrades {
    private static final int UPGRADES = 129;
    private static final int RECORDED = 120; // upgrades that the recorded folder has behind it
    private static final Path RECORDED_STATE = Path.of("review/2/state");
    private static final boolean FROM_EMPTY = "1".equals(System.getenv("FROM_EMPTY")); // all upgrades, from an empty folder
    private static final boolean RECORD = "1".equals(System.getenv("RECORD")); // make the recorded folder anew
    private static final long RETRY_MILLIS = 680; // the shortest wait of this site's clients after a refusal

    private RefusedAfterUpgrades() {}

    public static void main(String[] args) {
        Lab.play(args, RefusedAfterUpgrades::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        List<String> calls = new CopyOnWriteArrayList<>(); // ids in the order of their calls, which all run
        Lab.Server endpoint = lab.new Server((request, connection) -> {
            if (request.startLine().startsWith("POST")) {
                Lab.ids(request).forEach(id -> {
                    calls.add(id);
                    lab.note("the endpoint runs %s", id);
                });
                Lab.answerDelivered(request, connection);
            } else {
                connection.answer("200 OK", "", "");
            }
            return true;
        });
        String servers = Lab.entry("s-0", endpoint.port(), "pequeno-projeto", 0, 20);
        platform.setServers(servers);
        int port = Integer.parseInt(System.getenv("LISTEN_PORT")); // of the socket that descriptor 0 holds
        String listen = "127.0.0.1:" + port;
        Path config = lab.folder.resolve("config.json");
        Files.writeString(config, lab.config(listen, platform.port(), servers,
                Map.of("\"objectiveS\": 0.05", "\"objectiveS\": 4.0")));
        int before = FROM_EMPTY || RECORD ? 0 : RECORDED;
        if (before > 0) {
            copyJournal(RECORDED_STATE, lab.state);
        }
        Lab.Relay relay = lab.new Relay("r0", config, listen, platform.port(), true);
        relay.awaitYes(30_000);

        lab.note("after %d upgrades order-%d-first is answered %d", before, before, handIn(port, "order-" + before + "-first"));

        TreeSet<String> refused = new TreeSet<>();
        String again = null; // the order that was refused last and is not handed in again yet
        long againAt = 0;
        for (int i = before + 1; i <= UPGRADES; i++) {
            if (Lab.TROUBLE) {
                Lab.Relay successor = lab.new Relay("r" + i, config, listen, platform.port(), true);
                successor.awaitYes(10_000);
                relay.end();
                relay = successor;
            }
            String id = "order-" + i;
            int status = handIn(port, id);
            lab.note("after %d upgrades %s is answered %d", Lab.TROUBLE ? i : before, id, status);
            if (again != null) {
                Lab.sleep(againAt - lab.millis());
                lab.note("%s is handed in again as %s-again and answered %d", again, again,
                        handIn(port, again + "-again"));
                again = null;
            }
            if (status == 429 || status == 503) {
                refused.add(id);
                again = id;
                againAt = lab.millis() + RETRY_MILLIS;
            } else if (status != 202) {
                return 2;
            }
            if (RECORD && i == RECORDED) {
                Lab.sleep(1_000); // the order is over
                relay.end();
                copyJournal(lab.state, Files.createDirectories(RECORDED_STATE));
                return 0;
            }
        }
        Lab.sleep(1_000);
        List<String> ran = new ArrayList<>(refused);
        ran.retainAll(calls);
        List<String> twice = ran.stream().filter(id -> calls.contains(id + "-again")).toList();
        lab.note("refused: %s; run all the same: %s; run a second time when handed in again: %s", refused, ran, twice);
        return twice.isEmpty() ? 0 : 1;
    }

    private static void copyJournal(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.filter(each -> each.getFileName().toString().startsWith("journal-")).toList()) {
                Files.copy(file, to.resolve(file.getFileName()));
            }
        }
    }

    private static int handIn(int port, String id) {
        try (Lab.Client client = new Lab.Client(port)) {
            return client.send(id, "ordem-build", 0, 20_000, new byte[100]);
        }
    }
}
