package juniperusher.lab.hollow;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import juniperusher.fleet.FirstMap;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapCodec;

/**
 * Plays a {@link HollowExperiment}: starts a leader, followers and processes with hollow relays, lets changes and
 * faults happen, measures, and ends all that it has started. It runs for a bounded time.
 */
public final class HollowFleet implements AutoCloseable {
    private static final double FIRST_MAP_SECONDS = 300;
    private static final double POLL_SECONDS = 0.2;
    private static final double TELL_SECONDS = 10; // between two lines on what is waited for
    private static final int LEADER = 0;
    private static final long MEGABYTE = 1 << 20;

    private final HollowExperiment experiment;
    private final String mainClass;
    private final Path folder;
    private final Consumer<String> progress;
    private final Random random;
    private final List<Control> controls = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final List<RelayInfo> relays = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at));
    private final Set<String> lostZones = new HashSet<>();
    private ChangeFeed changes;
    private ShardMap firstMap;
    private long began; // ns
    private long beganMicros;
    private long restarts;

    /** Something to be done at a time in seconds. */
    private record Event(double at, Action action) {}

    /** What is done at an event. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** A control process and what it was started with. */
    private static final class Control {
        final int number;
        final int region;
        final JsonObject settings;
        Child child; // null while it is down
        String operator;
        ProcessUsage atMark;
        Map<String, Double> metricsAtMark = Map.of();

        Control(int number, int region, JsonObject settings) {
            this.number = number;
            this.region = region;
            this.settings = settings;
        }

        String address() {
            return settings.getString("listen", "");
        }
    }

    /** A process with relays of one region. */
    private static final class Host {
        final int region;
        final List<Integer> members; // numbers of relays
        Child child;
        ProcessUsage atMark;
        ProcessUsage atEnd;

        Host(int region, List<Integer> members) {
            this.region = region;
            this.members = members;
        }
    }

    private HollowFleet(HollowExperiment experiment, String mainClass, Path folder, Consumer<String> progress) {
        this.experiment = experiment;
        this.mainClass = mainClass;
        this.folder = folder;
        this.progress = progress;
        random = new Random(experiment.seed());
    }

    /**
     * Plays the experiment.
     *
     * @param mainClass the program's main class, which knows {@code lab hollow-host} and {@code lab hollow-control}
     * @param folder for the processes' files and logs
     * @param memoryMb the most memory that its processes may take together
     * @param progress hears what goes on
     * @throws IllegalArgumentException in one line, if it does not fit the memory
     */
    public static HollowResults run(
            HollowExperiment experiment, String mainClass, Path folder, long memoryMb, Consumer<String> progress)
            throws IOException, InterruptedException {
        if (experiment.memoryMb() > memoryMb) {
            throw new IllegalArgumentException("its processes may take " + experiment.memoryMb()
                    + " MB, expected at most " + memoryMb + " MB, half of the machine's memory");
        }
        try (HollowFleet fleet = new HollowFleet(experiment, mainClass, folder, progress)) {
            return fleet.run();
        }
    }

    private HollowResults run() throws IOException, InterruptedException {
        nameRelays();
        startControls();
        startHosts();
        progress.accept("waiting for the first map at all relays");
        double firstMapSeconds = startRelays();
        mark();
        schedule();
        playEvents();
        double measured = now();
        usageAtEnd();
        double settled = settle();
        HollowReport report = report(measured);
        return report.results(experiment, about(firstMapSeconds, settled));
    }

    // ---- start ----

    private void nameRelays() throws IOException {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < experiment.relays(); i++) {
            RelayInfo relay =
                    new RelayInfo(String.format("r-%05d", i), "region-" + regionOf(i), "zone-" + zoneOf(i), 1);
            relays.add(relay);
            list.append(relay.name())
                    .append(' ')
                    .append(relay.region())
                    .append(' ')
                    .append(relay.zone())
                    .append(" 1\n");
        }
        Files.writeString(folder.resolve("relays"), list);
        firstMap = FirstMap.of(relays, experiment.destinations(), experiment.rangesPerRelay());
        changes = new ChangeFeed(firstMap, random.nextLong());
    }

    private int regionOf(int relay) {
        return relay % experiment.regions();
    }

    private int zoneOf(int relay) {
        return relay / experiment.regions() % experiment.zones();
    }

    private void startControls() throws IOException, InterruptedException {
        for (int number = 0; number <= experiment.followers(); number++) {
            int region = number == LEADER ? 0 : (number - 1) % experiment.regions();
            JsonArray upstream = new JsonArray();
            if (number != LEADER) {
                upstream.add(controls.get(LEADER).address());
            }
            JsonObject settings = new JsonObject()
                    .add("listen", "127.0." + (10 + region) + "." + (1 + number) + ":0")
                    .add("state", folder.resolve("control-" + number).toString())
                    .add("upstream", upstream)
                    .add("relays", number == LEADER ? folder.resolve("relays").toString() : "")
                    .add("destinations", experiment.destinations())
                    .add("ranges_per_relay", experiment.rangesPerRelay())
                    .add("max_subscribers", Math.max(100, Math.min(15_000, experiment.relays())));
            Control control = new Control(number, region, settings);
            controls.add(control);
            start(control);
        }
        changes.connect(controls.get(LEADER).operator);
    }

    private void start(Control control) throws IOException, InterruptedException {
        control.child = Child.start(
                "control-" + control.number,
                folder,
                mainClass,
                experiment.controlHeapMb(),
                List.of("lab", "hollow-control"));
        JsonObject up = control.child.ask(control.settings);
        control.settings.set("listen", up.getString("listen", "")); // the same address after a restart
        control.operator = up.getString("operator", "");
    }

    private void startHosts() throws IOException {
        for (int region = 0; region < experiment.regions(); region++) {
            List<Integer> members = new ArrayList<>();
            for (int relay = region; relay < experiment.relays(); relay += experiment.regions()) {
                members.add(relay);
            }
            for (int from = 0; from < members.size(); from += experiment.relaysPerProcess()) {
                int to = Math.min(members.size(), from + experiment.relaysPerProcess());
                hosts.add(new Host(region, List.copyOf(members.subList(from, to))));
            }
        }
        for (int i = 0; i < hosts.size(); i++) {
            Host host = hosts.get(i);
            JsonArray names = new JsonArray();
            host.members.forEach(relay -> names.add(relays.get(relay).name()));
            host.child =
                    Child.start("host-" + i, folder, mainClass, experiment.hostHeapMb(), List.of("lab", "hollow-host"));
            host.child.tell(new JsonObject()
                    .add("seed", random.nextLong())
                    .add("own", followers(host.region, true))
                    .add("others", followers(host.region, false))
                    .add("names", names));
        }
    }

    /** The addresses of followers that are in the region, or of those that are not. */
    private JsonArray followers(int region, boolean inside) {
        JsonArray addresses = new JsonArray();
        for (Control control : controls) {
            if (control.number != LEADER && (control.region == region) == inside) {
                addresses.add(control.address());
            }
        }
        return addresses;
    }

    private double startRelays() throws IOException, InterruptedException {
        for (Host host : hosts) {
            host.child.answer();
        }
        began = System.nanoTime();
        askAll(new JsonObject().add("do", "start"));
        if (!awaitEpoch(firstMap.epoch(), FIRST_MAP_SECONDS)) {
            throw new IOException("not all relays have the first map after " + FIRST_MAP_SECONDS + " s");
        }
        return now();
    }

    private List<JsonObject> askAll(JsonObject command) throws IOException, InterruptedException {
        for (Host host : hosts) {
            host.child.tell(command);
        }
        List<JsonObject> answers = new ArrayList<>();
        for (Host host : hosts) {
            answers.add(host.child.answer());
        }
        return answers;
    }

    /** Waits until all relays have that epoch; whether they had it in time. */
    private boolean awaitEpoch(long epoch, double seconds) throws IOException, InterruptedException {
        double until = now() + seconds;
        double tellAt = now() + TELL_SECONDS;
        while (true) {
            long least = Long.MAX_VALUE;
            long subscribed = 0;
            for (JsonObject status : askAll(new JsonObject().add("do", "status"))) {
                least = Math.min(least, status.getLong("least_epoch", 0));
                subscribed += status.getLong("subscribed", 0);
            }
            if (least >= epoch) {
                return true;
            }
            if (now() >= until) {
                return false;
            }
            if (now() >= tellAt) {
                tellAt += TELL_SECONDS;
                progress.accept(String.format(
                        Locale.ROOT, "%d of %d relays are subscribed after %.0f s", subscribed, relays.size(), now()));
            }
            sleep(POLL_SECONDS);
        }
    }

    private double now() {
        return (System.nanoTime() - began) / 1e9;
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    private void mark() throws IOException, InterruptedException {
        askAll(new JsonObject().add("do", "mark"));
        for (Host host : hosts) {
            host.atMark = ProcessUsage.of(host.child.pid());
        }
        for (Control control : controls) {
            control.atMark = ProcessUsage.of(control.child.pid());
            control.metricsAtMark = OperatorLines.metrics(control.operator);
        }
        began = System.nanoTime();
        beganMicros = HollowHost.nowMicros();
    }

    // ---- what happens ----

    private void schedule() {
        double changeEvery = 1 / experiment.changesPerSecond();
        for (double at = changeEvery; at < experiment.seconds(); at += changeEvery) {
            events.add(new Event(at, () -> changes.ask(1)));
        }
        double restartEvery = 1 / experiment.restartsPerSecond();
        for (double at = restartEvery; at < experiment.seconds(); at += restartEvery) {
            events.add(new Event(at, this::restart));
        }
        for (HollowExperiment.Fault fault : experiment.faults()) {
            double until = fault.at() + fault.seconds();
            switch (fault.kind()) {
                case ZONE_LOST -> both(fault.at(), until, down -> zone(fault, down));
                case REGION_CUT -> both(fault.at(), until, cut -> cutRegion(fault.region(), cut));
                case CONTROL_KILLED -> both(fault.at(), until, down -> killControl(fault.control(), down));
                case SLOW_READERS -> slowReaders(fault.at(), until, fault.count());
                case BURST ->
                    events.add(new Event(fault.at(), () -> {
                        progress.accept(fault.count() + " changes at once");
                        changes.ask(fault.count());
                    }));
            }
        }
    }

    /** A fault that begins and ends. */
    private interface Switch {
        void set(boolean on) throws IOException, InterruptedException;
    }

    private void both(double from, double until, Switch fault) {
        events.add(new Event(from, () -> fault.set(true)));
        events.add(new Event(until, () -> fault.set(false)));
    }

    private void playEvents() throws IOException, InterruptedException {
        while (!events.isEmpty()) {
            Event event = events.poll();
            double wait = event.at() - now();
            if (wait > 0) {
                sleep(wait);
            }
            event.action().run();
        }
        double rest = experiment.seconds() - now();
        if (rest > 0) {
            sleep(rest);
        }
    }

    private void restart() throws IOException, InterruptedException {
        Host host = hosts.get(random.nextInt(hosts.size()));
        int index = random.nextInt(host.members.size());
        if (lostZones.contains(zoneName(host, index))) {
            return;
        }
        restarts++;
        boolean forget = random.nextDouble() < experiment.replaced();
        JsonArray one = new JsonArray().add(index);
        host.child.ask(new JsonObject().add("do", "stop").add("relays", one).add("forget", forget));
        events.add(new Event(now() + experiment.restartSeconds(), () -> {
            if (!lostZones.contains(zoneName(host, index))) {
                host.child.ask(new JsonObject().add("do", "start").add("relays", one));
            }
        }));
    }

    private String zoneName(Host host, int index) {
        return host.region + "/" + zoneOf(host.members.get(index));
    }

    private void zone(HollowExperiment.Fault fault, boolean lost) throws IOException, InterruptedException {
        String zone = fault.region() + "/" + fault.zone();
        progress.accept("zone " + zone + (lost ? " is lost" : " is back"));
        if (lost) {
            lostZones.add(zone);
        } else {
            lostZones.remove(zone);
        }
        for (Host host : hosts) {
            JsonArray members = new JsonArray();
            for (int i = 0; i < host.members.size(); i++) {
                if (zoneName(host, i).equals(zone)) {
                    members.add(i);
                }
            }
            if (!members.isEmpty()) {
                host.child.ask(
                        new JsonObject().add("do", lost ? "stop" : "start").add("relays", members));
            }
        }
    }

    private void cutRegion(int region, boolean cut) throws IOException, InterruptedException {
        progress.accept("region " + region + (cut ? " is cut off" : " is back"));
        for (Control control : controls) {
            boolean apart =
                    control.number != LEADER && (control.region == region) != (controls.get(LEADER).region == region);
            if (apart && control.child != null) {
                JsonArray unreachable = new JsonArray();
                if (cut) {
                    unreachable.add(controls.get(LEADER).address());
                }
                control.child.ask(new JsonObject().add("unreachable", unreachable));
            }
        }
        for (Host host : hosts) {
            boolean own = host.region == region;
            JsonArray unreachable = cut ? followers(region, !own) : new JsonArray();
            host.child.ask(
                    new JsonObject().add("do", "cut").add("own", own && !cut).add("unreachable", unreachable));
        }
    }

    private void killControl(int number, boolean down) throws IOException, InterruptedException {
        progress.accept("control process " + number + (down ? " is killed" : " starts again"));
        Control control = controls.get(number);
        if (down) {
            control.child.kill();
            control.child = null;
            return;
        }
        start(control);
        control.atMark = new ProcessUsage(0, 0);
        control.metricsAtMark = Map.of();
        if (number == LEADER) {
            changes.connect(control.operator);
        }
    }

    private void slowReaders(double from, double until, int count) {
        Map<Host, JsonArray> slow = new HashMap<>();
        for (int i = 0; i < Math.min(count, experiment.relays()); i++) {
            Host host = hosts.get(random.nextInt(hosts.size()));
            slow.computeIfAbsent(host, key -> new JsonArray()).add(random.nextInt(host.members.size()));
        }
        both(from, until, on -> {
            progress.accept(count + (on ? " relays read nothing" : " relays read again"));
            for (Map.Entry<Host, JsonArray> one : slow.entrySet()) {
                one.getKey()
                        .child
                        .ask(new JsonObject().add("do", "read").add("on", !on).add("relays", one.getValue()));
            }
        });
    }

    // ---- end ----

    private void usageAtEnd() throws IOException {
        for (Host host : hosts) {
            host.atEnd = ProcessUsage.of(host.child.pid());
        }
    }

    /** Seconds until all relays have the last epoch; infinite if that does not come to be in time. */
    private double settle() throws IOException, InterruptedException {
        progress.accept("waiting for the last epoch at all relays");
        double from = now();
        while (changes.waiting() > 0 && now() < from + experiment.settle()) {
            sleep(POLL_SECONDS);
        }
        boolean all = awaitEpoch(changes.lastEpoch(), experiment.settle());
        return all ? now() - from : Double.POSITIVE_INFINITY;
    }

    private HollowReport report(double seconds) throws IOException, InterruptedException {
        HollowReport report = new HollowReport(seconds, beganMicros, restarts, changes);
        JsonArray published = new JsonArray();
        for (long at : changes.published()) {
            published.add(at);
        }
        List<JsonObject> answers = askAll(new JsonObject().add("do", "report").add("published", published));
        for (int i = 0; i < hosts.size(); i++) {
            Host host = hosts.get(i);
            List<String> names =
                    host.members.stream().map(relay -> relays.get(relay).name()).toList();
            report.addHost(names, answers.get(i), host.atMark, host.atEnd);
        }
        for (Control control : controls) {
            if (control.child != null) {
                report.addControl(
                        control.number == LEADER,
                        control.atMark,
                        ProcessUsage.of(control.child.pid()),
                        control.metricsAtMark,
                        OperatorLines.metrics(control.operator));
            }
        }
        return report;
    }

    private HollowReport.About about(double firstMapSeconds, double settled) {
        int mapBytes = new ShardMapCodec().encode(firstMap).length;
        return new HollowReport.About(
                experiment.processes(), firstMap.rangeCount(), mapBytes, firstMapSeconds, settled, memoryInUse());
    }

    private double memoryInUse() {
        return hosts.stream().mapToLong(host -> host.atEnd.residentKb()).sum() * 1024.0 / MEGABYTE;
    }

    @Override
    public void close() throws IOException {
        if (changes != null) {
            changes.close();
        }
        for (Host host : hosts) {
            if (host.child != null) {
                host.child.close();
            }
        }
        for (Control control : controls) {
            if (control.child != null) {
                control.child.close();
            }
        }
    }
}
