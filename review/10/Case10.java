import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** One AMQP client publishes many messages with a routing key that nobody has, before it reads the returns. */
final class Case10 {
    private static final int MESSAGES = 1_500;
    private static final int BODY_BYTES = 60_000; // a body holds 64 KiB at most
    private static final int RETURN = 60 << 16 | 50;
    private static final int NACK = 60 << 16 | 120;

    public static void main(String[] arguments) {
        World.play(arguments, Case10::play);
    }

    private static boolean play(World world) throws Exception {
        World.Platform platform = world.new Platform();
        World.Endpoint endpoint = world.new Endpoint((self, ids, request, from) -> {
            World.sleep(200);
            return self.deliver(ids, request, from);
        });
        platform.serverList = "[" + endpoint.entry(7, "pequeno-projeto") + "]";
        World.Config config = new World.Config();
        World.Relay relay = world.new Relay("n0", World.freePort(), world.folder.resolve("state"));
        int amqpPort = World.freePort();
        Path operatorFile = world.folder.resolve("relay.toml");
        Files.writeString(
                operatorFile,
                "[amqp]\non = true\nlisten = \"127.0.0.1:" + amqpPort
                        + "\"\nuser = \"guest\"\npassword = \"guest\"\nclass = \"ordem-build\"\n");
        relay.arguments = " --settings " + operatorFile;
        relay.configure(config.text("127.0.0.1:" + relay.port, platform.port(), platform.serverList));
        relay.start();
        relay.awaitUp();
        if (world.submit(relay.port, "c10-first", "aviso-push", 7, 6_000, new byte[212]) != 202) {
            throw new World.Unplayable("the relay takes nothing on");
        }
        int published = 0;
        try (Amqp client = new Amqp(amqpPort)) {
            client.openChannel(1);
            client.confirmSelect(1);
            try {
                for (; published < MESSAGES; published++) {
                    client.publishMandatory(1, "no-such-key", new byte[BODY_BYTES]);
                    if (!World.TROUBLE) { // reads the return and the nack of each message before the next
                        client.await(RETURN);
                        client.await(NACK);
                    }
                }
                if (World.TROUBLE) { // reads all of them at the end
                    for (int i = 0; i < MESSAGES; i++) {
                        client.await(RETURN);
                        client.await(NACK);
                    }
                }
                world.log("client: all " + MESSAGES + " messages were returned and refused");
            } catch (IOException e) {
                world.log("client: its connection ended after " + published + " messages: " + e);
            }
        }
        World.sleep(2_000);
        boolean alive = relay.process.isAlive();
        for (String line : relay.logLines()) {
            if (line.contains("OutOfMemoryError")) {
                world.log("log of the relay: " + line);
            }
        }
        world.log("published " + published + " messages of " + BODY_BYTES + " bytes; the process lives: " + alive
                + (alive ? "" : ", exit code " + relay.process.exitValue()));
        return alive;
    }
}
