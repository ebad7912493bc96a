import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Orders of a class whose repeats are dropped by their key, handed in over AMQP, go again without a key. */
final class Case9 {
    private static final int ORDERS = 10;
    private static final String CLASS = "reserva-cambio"; // a repeat is dropped for 6 s
    private static final int ACK = 60 << 16 | 80;

    public static void main(String[] arguments) {
        World.play(arguments, Case9::play);
    }

    private static boolean play(World world) throws Exception {
        World.Platform platform = world.new Platform();
        Map<String, AtomicInteger> effects = new ConcurrentHashMap<>(); // by message
        Set<String> keys = ConcurrentHashMap.newKeySet(); // of messages that have run
        Set<String> cut = ConcurrentHashMap.newKeySet();
        World.Endpoint endpoint = world.new Endpoint((self, ids, request, from) -> {
            String id = ids.get(0);
            String key = request.headers.get("idempotency-key");
            if (key != null && !keys.add(key)) {
                world.log("dropped as a repeat: " + id + " key=" + key);
            } else {
                int count = effects.computeIfAbsent(id, absent -> new AtomicInteger()).incrementAndGet();
                world.log("takes effect: " + id + " key=" + key + ", time " + count);
            }
            World.sleep(60);
            if (World.TROUBLE && cut.add(id)) {
                from.setSoLinger(true, 0); // the connection is reset under the request
                return false;
            }
            self.answer(from, "200 OK", "", ""); // for a repeat that is dropped, too
            return true;
        });
        platform.serverList = "[" + endpoint.entry(7, "pequeno-projeto") + "]";
        World.Config config = new World.Config();
        config.classes = List.of(
                World.Config.messageClass(CLASS, "deduplicated", 24, 2.5, 1, 0.5).replace(
                        "\"keyTtlS\":5.0", "\"keyTtlS\":6.0"),
                World.Config.messageClass("estado-aviso", "idempotent", 16, 2.5, 1, 0.4));
        World.Relay relay = world.new Relay("n0", World.freePort(), world.folder.resolve("state"));
        int amqpPort = World.freePort();
        Path operatorFile = world.folder.resolve("relay.toml");
        Files.writeString(
                operatorFile,
                "[amqp]\non = true\nlisten = \"127.0.0.1:" + amqpPort
                        + "\"\nuser = \"guest\"\npassword = \"guest\"\nclass = \"" + CLASS + "\"\n");
        relay.arguments = " --settings " + operatorFile;
        relay.configure(config.text("127.0.0.1:" + relay.port, platform.port(), platform.serverList));
        relay.start();
        relay.awaitUp();

        // the same over HTTP, for comparison: the key passes on, so that the endpoint drops the repeats
        for (int i = 0; i < 3; i++) {
            String head = World.head("http-" + i, CLASS, 7, 20_000, 212)
                    .replace("\r\n\r\n", "\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f3021" + i + "\r\n\r\n");
            try (World.Client client = new World.Client(relay.port)) {
                world.log("http-" + i + " answer=" + client.exchange(head, new byte[212], 400).status);
            }
        }
        try (Amqp client = new Amqp(amqpPort)) {
            client.openChannel(1);
            client.confirmSelect(1);
            for (int i = 0; i < ORDERS; i++) {
                client.beginPublish(1, "7", "amqp-" + i, 212);
                client.body(1, new byte[212]);
                client.await(ACK);
                world.log("amqp-" + i + " confirmed");
                World.sleep(150);
            }
            World.sleep(8_000);
        }
        int taken = 0;
        int twice = 0;
        for (Map.Entry<String, AtomicInteger> each : effects.entrySet()) {
            taken++;
            twice += each.getValue().get() > 1 ? 1 : 0;
        }
        world.log("messages that took effect " + taken + ", more than once " + twice);
        if (taken < ORDERS) {
            throw new World.Unplayable("too few orders reached the endpoint");
        }
        return twice == 0;
    }
}
