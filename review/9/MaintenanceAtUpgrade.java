import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Operators take endpoints out of service one after the other while a new version starts: first at the running process,
 * from the new one's yes on at that one. Each endpoint has to stay out until they call it back.
 */
final class MaintenanceAtUpgrade {
    private static final int DESTINATIONS = 12; // with two endpoints each, of which one is taken out at a time
    private static final int MOST_OUT = 6;
    private static final int CALLS_AFTER_THE_YES = 5;
    private static final long BETWEEN_CALLS_MILLIS = 60;
    private static final double GRACE_MILLIS = 550; // 500 ms, and 50 ms as every time limit on sockets
    private static final double READING_MILLIS = 100; // in which a stand-in may be late to see a first byte

    /** The time for which an endpoint was out: from the relay's yes to the call back. */
    private static final class Out {
        final double from;
        double until = Double.POSITIVE_INFINITY;

        Out(double from) {
            this.from = from;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments[0], MaintenanceAtUpgrade::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        Rig.Platform platform = rig.new Platform();
        List<Rig.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 2 * DESTINATIONS; i++) {
            Rig.Endpoint endpoint = rig.new Endpoint("s-" + i, call -> new Rig.Answer("200 OK", "", 60));
            endpoints.add(endpoint);
            platform.add(endpoint.id, endpoint.port, i / 2, "pequeno-projeto", "lisboa-1");
        }
        int listen = Rig.freePort();
        int firstOperators = Rig.freePort();
        int secondOperators = Rig.freePort();
        Path state = Files.createDirectory(rig.folder.resolve("state"));
        Path config = rig.writeConfig("config.json", listen, platform, Map.of());
        rig.holdSocket(listen);
        long first = rig.startFirst(
                rig.environment("n0", listen, platform.port, firstOperators, state, config), firstOperators);
        AtomicInteger lastNumber = new AtomicInteger();
        boolean[] stopped = {false};
        for (int i = 0; i < 8; i++) {
            Rig.daemon("client", () -> {
                Rig.Client client = rig.new Client(() -> listen);
                while (!stopped[0]) {
                    int number = lastNumber.incrementAndGet();
                    client.send(String.format("%016x", number), "aviso-push", number % DESTINATIONS, 6_000, "", "");
                    Rig.sleep(100);
                }
            });
        }
        Rig.sleep(3_000);
        if (Rig.TROUBLE) {
            rig.startInheriting(
                    rig.environment("n0", listen, platform.port, secondOperators, state, config), "relay-1.log");
        }
        Map<String, List<Out>> outs = new LinkedHashMap<>();
        List<String> outNow = new ArrayList<>();
        int operators = firstOperators;
        int callsAfterTheYes = 0;
        double giveUpAt = Rig.now() + 6_000;
        double noUpgradeUntil = Rig.now() + 1_000;
        for (int i = 0; callsAfterTheYes < CALLS_AFTER_THE_YES; i++) {
            if (operators == firstOperators && Rig.TROUBLE && Rig.saysYes(secondOperators, "/status")) {
                operators = secondOperators;
                rig.log("the new process says yes");
                rig.signal(first, "TERM");
            }
            callsAfterTheYes += operators == secondOperators || !Rig.TROUBLE && Rig.now() > noUpgradeUntil ? 1 : 0;
            if (callsAfterTheYes == 0 && Rig.now() > giveUpAt) {
                rig.cannotRun("the new process does not say yes within 6 s");
            }
            if (outNow.size() == MOST_OUT) {
                String back = outNow.remove(0);
                List<Out> known = outs.get(back);
                known.get(known.size() - 1).until = Rig.now();
                call(rig, operators, "exit", back, operators == firstOperators);
            }
            String id = "s-" + 2 * (i % DESTINATIONS);
            call(rig, operators, "enter", id, operators == firstOperators);
            outs.computeIfAbsent(id, key -> new ArrayList<>()).add(new Out(Rig.now()));
            outNow.add(id);
            Rig.sleep(BETWEEN_CALLS_MILLIS);
        }
        if (Rig.TROUBLE) {
            Rig.await(3_700, () -> !Rig.isAlive(first));
            if (Rig.isAlive(first)) {
                rig.signal(first, "KILL");
            }
        }
        Rig.sleep(3_000);
        stopped[0] = true;
        rig.log("out by the operators: " + outNow);
        return callsWhileOut(endpoints, outs);
    }

    private static void call(Rig rig, int operators, String call, String id, boolean atFirst) throws Exception {
        int status = Rig.call(operators, "POST", "/maintenance/" + call, "{\"target\":\"" + id + "\"}", 1_000)
                .status();
        rig.log("operators: " + call + " " + id + " at the " + (atFirst ? "first" : "second") + " process: " + status);
        if (status != 200) {
            rig.cannotRun("the call of the operators is not answered with yes");
        }
    }

    private static List<String> callsWhileOut(List<Rig.Endpoint> endpoints, Map<String, List<Out>> outs) {
        List<String> breaches = new ArrayList<>();
        for (Rig.Endpoint endpoint : endpoints) {
            for (Rig.Call call : endpoint.calls) {
                for (Out out : outs.getOrDefault(endpoint.id, List.of())) {
                    if (call.firstByteAt > out.from + GRACE_MILLIS + READING_MILLIS && call.firstByteAt < out.until) {
                        breaches.add(String.format(
                                Locale.ROOT,
                                "%s is out since %.0f and got %s at %.0f",
                                endpoint.id,
                                out.from,
                                call.ids,
                                call.firstByteAt));
                    }
                }
            }
        }
        return breaches;
    }
}
