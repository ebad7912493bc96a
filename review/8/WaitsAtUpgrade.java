import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Upgrades under load at destinations with limits: a wait that one process is told has to bind the other one too. */
final class WaitsAtUpgrade {
    private static final int DESTINATIONS = 30;
    private static final int LARGE = 10; // the first third, which get much of the traffic
    private static final int MOST_UPGRADES = 12;
    private static final double LAST_UPGRADE_AT_MILLIS = 80_000;
    private static final int CLIENTS = 48; // about 230 messages a second in all
    private static final double SPAN_MILLIS = 2_000;
    private static final double LET_THROUGH_MILLIS = 100; // after the writing of the answer that tells the wait
    private static final double END_TOLERANCE_MILLIS = 5;

    private static final double MESSAGES_PER_SECOND = 235; // all clients together
    private static final double LOAD = 1.3; // of full load
    private static final double CLUMP_SHARE = 0.17; // of the messages
    private static final double CLUMP_SECONDS = 2.3; // a clump has as many messages as its destination takes in this time

    private interface Destination {
        Rig.Answer answer();
    }

    /** A destination's calls a second at full load. */
    private static double fullLoad(int destination) {
        return MESSAGES_PER_SECOND / LOAD * share(destination);
    }

    /** Takes 0.91 times its calls at full load in each span of 2 s, 3 at least; 82% of the refusals tell the span's end. */
    private static final class Large implements Destination {
        private final double offset = Math.random() * SPAN_MILLIS;
        private final double callsInSpan;
        private double span = -1;
        private int calls;

        Large(int number) {
            callsInSpan = Math.max(3, Math.ceil(0.91 * fullLoad(number) * SPAN_MILLIS / 1000));
        }

        @Override
        public synchronized Rig.Answer answer() {
            double now = Rig.now() + offset;
            double current = Math.floor(now / SPAN_MILLIS);
            calls = current == span ? calls + 1 : 1;
            span = current;
            return calls <= callsInSpan ? delivered() : refused(0.82, (span + 1) * SPAN_MILLIS - now);
        }
    }

    /** Takes 1.1 times its calls a second at full load, 2 at least; 58% of the refusals tell a wait of 0.98 s. */
    private static final class Small implements Destination {
        private final double callsPerSecond;
        private double tokens = 2;
        private double at = Rig.now();

        Small(int number) {
            callsPerSecond = Math.max(2, 1.1 * fullLoad(number));
        }

        @Override
        public synchronized Rig.Answer answer() {
            double now = Rig.now();
            tokens = Math.min(Math.max(2, callsPerSecond / 2), tokens + (now - at) / 1000 * callsPerSecond);
            at = now;
            if (tokens < 1) {
                return refused(0.58, 980);
            }
            tokens--;
            return delivered();
        }
    }

    private static Rig.Answer delivered() {
        return new Rig.Answer("200 OK", "", 170 + (int) (Math.random() * 130));
    }

    private static Rig.Answer refused(double shareThatTells, double waitMillis) {
        int delayMillis = 15 + (int) (Math.random() * 30);
        double left = Math.max(1, Math.floor(waitMillis - delayMillis));
        return Math.random() < shareThatTells
                ? new Rig.Answer(
                        "429 Too Many Requests",
                        String.format(Locale.ROOT, "Retry-After: %.3f\r\n", left / 1000),
                        delayMillis)
                : new Rig.Answer("503 Full", "", delayMillis);
    }

    /** The part of the messages that goes to a destination: a few get much of the traffic. */
    private static double share(int destination) {
        double sum = 0;
        for (int i = 1; i <= DESTINATIONS; i++) {
            sum += Math.pow(i, -0.9);
        }
        return Math.pow(destination + 1, -0.9) / sum;
    }

    /** Draws the destinations of messages, a part of which come in clumps for one destination. */
    private static final class Traffic {
        private final Random random = new Random(1);
        private long drawn;
        private long inClumps;
        private int clumpLeft;
        private int clumpFor;

        synchronized int next() {
            drawn++;
            if (clumpLeft == 0 && inClumps < CLUMP_SHARE * (drawn - 100)) {
                clumpFor = drawSingle();
                clumpLeft = (int) (fullLoad(clumpFor) * CLUMP_SECONDS);
            }
            if (clumpLeft == 0) {
                return drawSingle();
            }
            clumpLeft--;
            inClumps++;
            return clumpFor;
        }

        private int drawSingle() {
            double left = random.nextDouble();
            for (int i = 0; i < DESTINATIONS - 1; i++) {
                left -= share(i);
                if (left < 0) {
                    return i;
                }
            }
            return DESTINATIONS - 1;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments[0], WaitsAtUpgrade::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        List<Rig.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < DESTINATIONS; i++) {
            Destination destination = i < LARGE ? new Large(i) : new Small(i);
            Rig.Endpoint endpoint = rig.new Endpoint("s-" + i, call -> destination.answer());
            endpoints.add(endpoint);
            platform.add(endpoint.id, endpoint.port, i, i < LARGE ? "grande-parceiro" : "pequeno-projeto", "lisboa-1");
        }
        int listen = Rig.freePort();
        int[] operators = new int[MOST_UPGRADES + 1];
        for (int i = 0; i <= MOST_UPGRADES; i++) {
            operators[i] = Rig.freePort();
        }
        Path state = Files.createDirectory(rig.folder.resolve("state"));
        // twelve seconds of the load may be held
        Path config = rig.writeConfig("config.json", listen, platform, Map.of("\"mostHeld\": 600", "\"mostHeld\": 2760"));
        rig.holdSocket(listen);
        long running = rig.startFirst(
                rig.environment("n0", listen, platform.port, operators[0], state, config), operators[0]);
        Traffic traffic = new Traffic();
        AtomicInteger lastNumber = new AtomicInteger();
        boolean[] stopped = {false};
        for (int i = 0; i < CLIENTS; i++) {
            Random random = new Random(i);
            Rig.daemon("client", () -> {
                Rig.Client client = rig.new Client(() -> listen);
                while (!stopped[0]) {
                    boolean order = random.nextDouble() < 0.24;
                    client.send(
                            String.format("%016x", lastNumber.incrementAndGet()),
                            order ? "ordem-build" : "aviso-push",
                            traffic.next(),
                            order ? 20_000 : 6_000,
                            "",
                            "");
                    Rig.sleep(100 + random.nextInt(200));
                }
            });
        }
        Rig.sleep(5_000);
        for (int i = 1; i <= MOST_UPGRADES && Rig.now() < LAST_UPGRADE_AT_MILLIS; i++) {
            if (!callsDuringWaits(endpoints).isEmpty()) {
                break; // shown
            }
            if (!Rig.TROUBLE) {
                Rig.sleep(6_000);
                continue;
            }
            int secondAddress = operators[i];
            long next = rig.startInheriting(
                    rig.environment("n0", listen, platform.port, secondAddress, state, config), "relay-" + i + ".log");
            if (!Rig.await(6_000, () -> Rig.saysYes(secondAddress, "/status"))) {
                rig.cannotRun("the new process does not say yes");
            }
            rig.log("the new process says yes");
            rig.endOld(running);
            running = next;
            Rig.sleep(2_000);
        }
        stopped[0] = true;
        Rig.sleep(500);
        rig.log(endpoints.stream().mapToInt(endpoint -> endpoint.calls.size()).sum() + " calls, "
                + endpoints.stream()
                        .flatMap(endpoint -> endpoint.calls.stream())
                        .filter(call -> call.answered && call.waitMillis > 0)
                        .count()
                + " waits told");
        return callsDuringWaits(endpoints);
    }

    private static List<String> callsDuringWaits(List<Rig.Endpoint> endpoints) {
        List<String> breaches = new ArrayList<>();
        for (Rig.Endpoint endpoint : endpoints) {
            for (Rig.Call refused : endpoint.calls) {
                if (!refused.answered || refused.waitMillis == 0) {
                    continue;
                }
                double until = refused.endedAt + refused.waitMillis;
                for (Rig.Call call : endpoint.calls) {
                    if (call.firstByteAt > refused.writtenAt + LET_THROUGH_MILLIS
                            && call.lastByteAt < until - END_TOLERANCE_MILLIS) {
                        breaches.add(String.format(
                                Locale.ROOT,
                                "%s told %s at %.0f to wait until %.0f and got %s at %.0f",
                                endpoint.id,
                                refused.ids,
                                refused.writtenAt,
                                until,
                                call.ids,
                                call.lastByteAt));
                    }
                }
            }
        }
        return breaches;
    }
}
