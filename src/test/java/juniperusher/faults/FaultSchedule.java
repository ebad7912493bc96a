package juniperusher.faults;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** Faults drawn from a seed, played on a {@link FaultWorld} one after the other, some of them beside each other. */
final class FaultSchedule {
    private static final int CROWD = 200; // idle connections
    private static final int SHORT_PAUSE = 150; // ms for which a process may be held up
    private static final int SERIES = 5; // signals in a row, at most
    private static final int[] FOLDER_ERRORS = {FaultShim.ENOSPC, FaultShim.EIO};
    private static final int[] ACCEPT_ERRORS = {FaultShim.ENFILE, FaultShim.EMFILE};
    private static final int[] CLOCK_STEPS = {10, -10, 3_600, -3_600}; // s

    private final FaultWorld world;
    private final Random random;
    private final List<String> played = new CopyOnWriteArrayList<>();
    private int wallClock;

    /** One fault; it returns once it is over. */
    private interface Fault {
        void play() throws IOException, InterruptedException;
    }

    FaultSchedule(FaultWorld world, long seed) {
        this.world = world;
        random = new Random(seed);
    }

    /** What was played, for the report. */
    List<String> played() {
        return played;
    }

    /** Plays so many faults, and a restart somewhere among them. */
    void play(int faults) throws IOException, InterruptedException {
        int restartAt = random.nextInt(faults);
        for (int i = 0; i < faults; i++) {
            if (i == restartAt) {
                Thread beside = beside(draw());
                restart();
                beside.join();
            }
            Thread beside = random.nextInt(3) == 0 ? beside(draw()) : null;
            draw().play();
            if (beside != null) {
                beside.join();
            }
            Thread.sleep(random.nextInt(300));
        }
        world.relay.faults().heal();
    }

    private Thread beside(Fault fault) {
        Thread thread = new Thread(() -> {
            try {
                fault.play();
            } catch (IOException | InterruptedException e) {
                world.ledger.broken("the test itself: " + e);
            }
        });
        thread.start();
        return thread;
    }

    private void restart() throws IOException, InterruptedException {
        if (random.nextBoolean()) {
            played.add("kill");
            world.restart();
        } else {
            int signals = 1 + random.nextInt(SERIES);
            played.add("term*" + signals);
            world.endAndRestart(signals);
        }
    }

    private Fault draw() {
        return switch (random.nextInt(10)) {
            case 0, 1, 2 -> endpoints();
            case 3, 4 -> folder();
            case 5 -> wallClock();
            case 6 -> sockets();
            case 7 -> signals();
            case 8 -> discovery();
            default -> crowd();
        };
    }

    private long span(int least, int most) {
        return least + random.nextInt(most - least);
    }

    private Fault endpoints() {
        EndpointStandIn.Kind[] kinds = EndpointStandIn.Kind.values();
        EndpointStandIn.Kind kind = kinds[random.nextInt(kinds.length)];
        long after = span(20, 900);
        long lasts = span(400, 2_000);
        int first = random.nextInt(world.endpoints.size());
        int many = 1 + random.nextInt(world.endpoints.size());
        return () -> {
            played.add(many + "*" + kind + "@" + after + "ms");
            List<EndpointStandIn> struck = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                struck.add(world.endpoints.get((first + i) % world.endpoints.size()));
            }
            struck.forEach(endpoint -> endpoint.behave(ids -> new EndpointStandIn.Treatment(kind, after)));
            Thread.sleep(lasts);
            struck.forEach(endpoint -> endpoint.behave(ids -> world.usual()));
        };
    }

    private Fault folder() {
        int error = FOLDER_ERRORS[random.nextInt(FOLDER_ERRORS.length)];
        int half = random.nextInt(2);
        int open = random.nextInt(3) == 0 ? error : 0;
        long lasts = span(200, 1_500);
        return () -> {
            played.add("folder " + error + (half == 1 ? " half" : "") + (open != 0 ? " open" : ""));
            world.relay.faults().set(FaultShim.Word.FOLDER_WRITE_HALF, half);
            world.relay.faults().set(FaultShim.Word.FOLDER_OPEN_ERRNO, open);
            world.relay.faults().set(FaultShim.Word.FOLDER_WRITE_ERRNO, error);
            Thread.sleep(lasts);
            world.relay.faults().set(FaultShim.Word.FOLDER_WRITE_ERRNO, 0);
            world.relay.faults().set(FaultShim.Word.FOLDER_OPEN_ERRNO, 0);
        };
    }

    private Fault wallClock() {
        int step = CLOCK_STEPS[random.nextInt(CLOCK_STEPS.length)];
        return () -> {
            played.add("wall clock " + step);
            wallClock += step;
            world.relay.faults().set(FaultShim.Word.WALL_CLOCK_SECONDS, wallClock);
        };
    }

    private Fault sockets() {
        FaultShim.Word[] words = {
            FaultShim.Word.ACCEPT_ERRNO,
            FaultShim.Word.CONNECT_ERRNO,
            FaultShim.Word.SOCKET_PIECES,
            FaultShim.Word.SOCKET_ERRNO
        };
        FaultShim.Word word = words[random.nextInt(words.length)];
        int value =
                switch (word) {
                    case ACCEPT_ERRNO -> ACCEPT_ERRORS[random.nextInt(ACCEPT_ERRORS.length)];
                    case CONNECT_ERRNO -> FaultShim.EADDRNOTAVAIL;
                    case SOCKET_PIECES -> 7;
                    default -> FaultShim.EMFILE;
                };
        long lasts = span(200, 1_000);
        return () -> {
            played.add(word + "=" + value);
            world.relay.faults().set(word, value);
            Thread.sleep(lasts);
            world.relay.faults().set(word, 0);
        };
    }

    private Fault signals() {
        int many = 1 + random.nextInt(SERIES);
        boolean stop = random.nextBoolean();
        return () -> {
            played.add(stop ? "stop" : "hup*" + many);
            for (int i = 0; i < many && !stop; i++) {
                world.relay.signal("HUP");
            }
            if (stop) {
                world.relay.signal("STOP");
                Thread.sleep(SHORT_PAUSE);
                world.relay.signal("CONT");
            }
        };
    }

    private Fault discovery() {
        long lasts = span(300, 3_000);
        return () -> {
            played.add("discovery silent");
            world.platform.discoverySilent(true);
            Thread.sleep(lasts);
            world.platform.discoverySilent(false);
        };
    }

    /** Clients that say nothing, or half a request, and stay. */
    private Fault crowd() {
        long lasts = span(300, 2_500);
        boolean half = random.nextBoolean();
        return () -> {
            played.add(half ? "crowd with half a request" : "mute crowd");
            List<Socket> sockets = new ArrayList<>();
            try {
                for (int i = 0; i < CROWD; i++) {
                    Socket socket = new Socket();
                    sockets.add(socket);
                    socket.connect(world.relay.address(), 200);
                    if (half) {
                        socket.getOutputStream().write("POST /aviso".getBytes());
                    }
                }
                Thread.sleep(lasts);
            } catch (IOException e) {
                Thread.sleep(lasts); // the relay is down, or ends them
            } finally {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        };
    }
}
