import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands in orders for one destination, in clumps or one after another, while its sound server takes every call that the
 * protocol page allows. Exits with 1 if a call's body is longer than 64 KiB and an order that was taken on is lost by it.
 */
final class ClumpOfOrders {
    private static final int MAX_BODY_BYTES = 64 * 1024; // "A body holds at most 64 KiB."
    private static final int CLUMPS = 5;
    private static final int CLUMP = 10; // a call may carry as many messages to this kind of endpoint
    private static final int BODY_BYTES = 12 * 1024;

    private ClumpOfOrders() {}

    public static void main(String[] args) {
        Lab.play(args, ClumpOfOrders::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        AtomicInteger tooLong = new AtomicInteger();
        Lab.Server server = lab.new Server((request, connection) -> {
            if (!request.startLine().startsWith("POST")) {
                connection.answer("200 OK", "", "");
                return true;
            }
            List<String> ids = Lab.ids(request);
            if (request.body().length > MAX_BODY_BYTES) {
                tooLong.incrementAndGet();
                lab.note("%s with a body of %d bytes gets 413, nothing runs: %s", request.path(),
                        request.body().length, ids);
                connection.answer("413 Payload Too Large", "", "");
                return true;
            }
            Lab.sleep(200);
            delivered.addAll(ids);
            lab.note("%s with a body of %d bytes gets 200: %s", request.path(), request.body().length, ids);
            Lab.answerDelivered(request, connection);
            return true;
        });
        String servers = Lab.entry("s-0", server.port(), "grande-parceiro", 0, 20);
        platform.setServers(servers);
        int port = Lab.freePort();
        String listen = "127.0.0.1:" + port;
        Path config = lab.folder.resolve("config.json");
        Files.writeString(config, lab.config(listen, platform.port(), servers,
                Map.of("\"objectiveS\": 0.05", "\"objectiveS\": 4.0")));
        lab.new Relay("r0", config, listen, platform.port(), false);
        lab.awaitUp(port, 30_000);

        Set<String> accepted = ConcurrentHashMap.newKeySet();
        List<Lab.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLUMP; i++) {
            clients.add(new Lab.Client(port));
        }
        for (int clump = 0; clump < CLUMPS; clump++) {
            CountDownLatch done = new CountDownLatch(CLUMP);
            for (int i = 0; i < CLUMP; i++) {
                Lab.Client client = clients.get(i);
                String id = "order-" + clump + "-" + i;
                Lab.daemon(() -> {
                    int status = client.send(id, "ordem-build", 0, 20_000, new byte[BODY_BYTES]);
                    lab.note("%s answered %d", id, status);
                    if (status == 202) {
                        accepted.add(id);
                    }
                    done.countDown();
                });
                if (!Lab.TROUBLE) {
                    Lab.sleep(500);
                }
            }
            done.await();
            Lab.sleep(2_000);
        }
        long until = lab.millis() + 22_000; // then the time of each order is up
        while (lab.millis() < until
                && !accepted.stream().allMatch(id -> delivered.contains(id) || platform.notices.containsKey(id))) {
            Lab.sleep(100);
        }
        List<String> lost = accepted.stream().filter(id -> !delivered.contains(id)).sorted().toList();
        lab.note("%d taken on, %d delivered; %d calls were too long; never delivered: %s", accepted.size(),
                delivered.size(), tooLong.get(), lost);
        if (accepted.size() < CLUMPS * CLUMP / 2) {
            return 2;
        }
        return tooLong.get() == 0 || lost.isEmpty() ? 0 : 1;
    }
}
