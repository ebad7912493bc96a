package juniperusher.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One relay process among endpoints, the platform and clients, all under traffic, with a ledger over them. */
final class FaultWorld implements AutoCloseable {
    private static final int DESTINATIONS = 4;
    private static final int CLIENTS = 24;
    private static final long PAUSE = 120; // ms between two requests of a client, in the mean
    private static final double ORDERS = 0.25; // share of messages that may not be repeated
    private static final String[] KINDS = {"grande-parceiro", "pequeno-projeto"};
    /** SIGKILL comes no sooner than that after SIGTERM, and the next start no sooner than that after SIGKILL; ms. */
    private static final long KILL_AFTER = 3_700;

    private static final long START_AFTER = 600;
    private static final long CONNECTING = 400; // ms after SIGTERM in which new connections come

    final MessageLedger ledger = new MessageLedger();
    final List<EndpointStandIn> endpoints = new ArrayList<>();
    final PlatformStandIn platform;
    final RelayUnderTest relay;
    final Random random;
    private final long longest;
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean sending;
    private volatile boolean connecting = true; // the front still deals connections out to the relay

    /** Messages have between 400 ms and {@code longest} ms of time. */
    FaultWorld(long seed, long longest) throws Exception {
        random = new Random(seed);
        this.longest = longest;
        platform = new PlatformStandIn(ledger);
        for (int i = 0; i < DESTINATIONS; i++) {
            endpoints.add(new EndpointStandIn(ledger, ids -> usual()));
        }
        Path folder = Files.createTempDirectory("faults");
        relay = new RelayUnderTest(folder, platform, platform.serve(endpoints, "lisboa-1", i -> KINDS[i % 2]));
        relay.start();
    }

    /** What an endpoint does with most calls. */
    EndpointStandIn.Treatment usual() {
        long service;
        synchronized (random) {
            service = 10 + random.nextInt(60);
        }
        return new EndpointStandIn.Treatment(EndpointStandIn.Kind.DELIVER, service);
    }

    /** Starts the clients. */
    void send() {
        sending = true;
        for (int i = 0; i < CLIENTS; i++) {
            long seed = random.nextLong();
            Thread client = new Thread(null, () -> client(new Random(seed)), "client", 256 * 1024);
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
    }

    private void client(Random own) {
        try (TrafficClient client = new TrafficClient(relay.address(), ledger, () -> connecting)) {
            while (sending) {
                int place = own.nextDouble() < ORDERS ? 1 : 0;
                long budget = 400 + (long) (own.nextDouble() * (longest - 400));
                TrafficClient.Answer answer =
                        client.handIn(place, own.nextInt(DESTINATIONS), budget, TrafficClient.newId());
                TimeUnit.MILLISECONDS.sleep(
                        answer == TrafficClient.Answer.UNREACHED
                                ? PAUSE
                                : (long) (-Math.log(1 - own.nextDouble()) * PAUSE));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops the clients, waits until each message is due, and returns the rules that were broken. */
    List<String> settle() throws InterruptedException {
        sending = false;
        for (Thread client : clients) {
            client.join();
        }
        long until = System.nanoTime() + (longest + 3_000) * 1_000_000;
        while (ledger.open() > 0 && System.nanoTime() < until) {
            Thread.sleep(20);
        }
        Thread.sleep(300); // what must not come any more would come now
        if (!relay.alive()) {
            ledger.broken("crash: the relay has ended by itself");
        }
        return ledger.verdict();
    }

    /** SIGKILL, then a start in the same folder. */
    void restart() throws IOException, InterruptedException {
        long from = System.nanoTime();
        ledger.outage(from, Long.MAX_VALUE / 2);
        relay.kill();
        startAgain(from);
    }

    /** So many SIGTERM in a row, SIGKILL at the earliest moment, then a start in the same folder. */
    void endAndRestart(int signals) throws IOException, InterruptedException {
        long from = System.nanoTime();
        ledger.noOverdueFrom(from);
        for (int i = 0; i < signals; i++) {
            relay.signal("TERM");
        }
        Thread.sleep(CONNECTING);
        connecting = false;
        Thread.sleep(KILL_AFTER - CONNECTING);
        long killed = System.nanoTime();
        ledger.outage(killed, Long.MAX_VALUE / 2);
        relay.kill();
        startAgain(killed);
        connecting = true;
    }

    private void startAgain(long from) throws IOException, InterruptedException {
        Thread.sleep(START_AFTER);
        relay.start();
        ledger.outageEnded(from);
    }

    @Override
    public void close() throws Exception {
        sending = false;
        relay.close();
        platform.close();
        for (EndpointStandIn endpoint : endpoints) {
            endpoint.close();
        }
    }
}
