import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Stand-ins for clients, endpoints and the platform, and the relay as a process. Loopback only, real clock. */
final class World implements AutoCloseable {
    /** Whether the disruption is played. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final long startNanos = System.nanoTime();
    final Path root = Path.of("").toAbsolutePath(); // the project's root
    final Path folder;
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> servers = new ArrayList<>();

    World(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        record.printf(Locale.ROOT, "%7.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    @Override
    public synchronized void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        servers.forEach(server -> {
            try {
                server.close();
            } catch (Exception e) {
                // it is closed already
            }
        });
        servers.clear();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // it is removed already
        }
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean play(World world) throws Exception;
    }

    /** Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not be played. */
    static void play(String[] arguments, Case played) {
        int code = 2;
        try {
            World world = new World(Path.of(arguments[0]));
            try {
                code = played.play(world) ? 0 : 1;
                world.log(code == 0 ? "the rule held" : "the rule was broken");
            } catch (Throwable e) {
                world.log("the case could not be played: " + e);
                e.printStackTrace();
            } finally {
                world.close();
            }
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    static void thread(Work work) {
        Thread thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (Exception e) {
                // a socket that was closed
            }
        }, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    interface Work {
        void run() throws Exception;
    }

    // ---- the relay's configuration ----

    /** The settings of a small deployment; the values are those of the site registo-lisboa. */
    static final class Config {
        int held = 60;
        int calls = 12;
        int sockets = 1024;
        int memoryMb = 192;
        double diskMb = 3;
        String batchByKind = "[10,1]";
        List<String> classes = new ArrayList<>(List.of(
                messageClass("aviso-push", "idempotent", 6, 0.8, 1, 0.1),
                messageClass("ordem-build", "at_most_once", 20, 4, 3, 0.5)));

        static String messageClass(
                String name, String effect, double deadline, double aim, double worth, double late) {
            return String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"deadlineS\":%s,\"effect\":\"%s\",\"group\":\"all\",\"keyTtlS\":5.0,"
                            + "\"lateValue\":%s,\"objectiveS\":%s,\"streamed\":false,\"worth\":%s}",
                    name, deadline, effect, late, aim, worth);
        }

        String text(String listen, int discoveryPort, String servers) {
            return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                    + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                    + ",\"sockets\":" + sockets + ",\"disk_mb\":" + diskMb + "},\"peers\":[],"
                    + "\"known\":{\"version\":1,\"full\":true,\"servers\":" + servers + "},"
                    + "\"settings\":{\"allowed\":{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":50000,\"dialTimeoutS\":1.0,"
                    + "\"keepaliveS\":10.0,\"maxAttempts\":12,\"maxRetryAfterS\":2.0,\"mayCancel\":true,"
                    + "\"mostHeld\":" + held + ",\"parallelTries\":false,\"peerMessages\":true,\"probes\":true,"
                    + "\"retryAfter\":true,\"streamsPerConn\":8},\"azs\":[\"lisboa-1\"],"
                    + "\"callers\":{\"marksRetry\":false},\"familyInfo\":{\"batchByKind\":" + batchByKind
                    + ",\"feeByZone\":[0.0],\"kindApart\":[false,false],\"late\":\"halving\",\"maxCalls\":" + calls
                    + ",\"notes\":\"\",\"turnedAwayPrice\":0.03},\"fees\":{\"crossZone\":0.0},"
                    + "\"kinds\":[\"grande-parceiro\",\"pequeno-projeto\"],"
                    + "\"loadReport\":{\"fields\":[\"x0\",\"x1\"],\"how\":\"inline\"},\"locality\":0,\"me\":0,"
                    + "\"membershipMode\":\"push\",\"obligations\":{\"askWithinS\":10.0,\"coldFrom\":0.14,"
                    + "\"drainGraceS\":0.5,\"graceToAnswerS\":0.02,\"tipAfterS\":1.5,\"tipMultiple\":2.5,"
                    + "\"warmWithinS\":13.0},\"overShareWorth\":0.1,\"peersTotal\":1,\"quantumS\":0.005,"
                    + "\"requestClasses\":[" + String.join(",", classes) + "],\"stage\":0,\"stages\":[\"destinos\"],"
                    + "\"tenants\":[],\"weightSource\":\"rough\",\"workload\":\"deliver\",\"worthBy\":\"request\"}}";
        }
    }

    // ---- the relay ----

    /** A process of the deploy file's run command. */
    final class Relay {
        private static final Pattern DISCOVERY = Pattern.compile("\"discovery\":\"([^\"]*)\"");
        final String name;
        final int port;
        final Path state;
        final Path config;
        final Map<String, String> environment = new TreeMap<>();
        String arguments = "";
        String prefix = ""; // a program that execs the command
        Process process;

        Relay(String name, int port, Path state) throws IOException {
            this.name = name;
            this.port = port;
            this.state = Files.createDirectories(state);
            config = folder.resolve(name + ".json");
        }

        void configure(String text) throws IOException {
            Matcher discovery = DISCOVERY.matcher(text);
            if (discovery.find()) {
                environment.put("RELAY_DISCOVERY", discovery.group(1));
            }
            Path next = folder.resolve(name + ".json.next");
            Files.writeString(next, text);
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws Exception {
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = \""))
                    .map(line -> line.substring(7, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder();
            String command = run + arguments;
            if (!prefix.isEmpty()) {
                command = "exec " + prefix + " " + command.replaceFirst("^exec ", "");
            }
            builder.command("/bin/sh", "-c", command);
            builder.directory(root.toFile());
            Path tmp = Files.createDirectories(folder.resolve("tmp-" + name));
            builder.environment().put("TMPDIR", tmp.toString());
            builder.environment().put("RELAY_NAME", "n0");
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("RELAY_STATE", state.toString());
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            synchronized (World.this) {
                process = builder.start();
                processes.add(process);
            }
            log("relay " + name + " started");
        }

        /** Waits until GET /up answers 200. */
        void awaitUp() throws Exception {
            long until = now() + 30_000;
            while (now() < until) {
                if (!process.isAlive()) {
                    throw new Unplayable("the relay " + name + " has exited with " + process.exitValue());
                }
                try (Client client = new Client(port)) {
                    if (client.exchange("GET /up HTTP/1.1\r\nHost: relay\r\n\r\n", new byte[0], 1000).status == 200) {
                        log("relay " + name + " is up");
                        return;
                    }
                } catch (IOException e) {
                    sleep(20);
                }
            }
            throw new Unplayable("the relay " + name + " is not up after 30 s");
        }

        void signal(String signal) throws Exception {
            log("relay " + name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws Exception {
            log("relay " + name + " gets SIGKILL");
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }

        List<String> logLines() throws IOException {
            return Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
        }
    }

    /** The case cannot be played here. */
    static final class Unplayable extends Exception {
        Unplayable(String why) {
            super(why);
        }
    }

    // ---- HTTP ----

    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>(); // names in lower case
        byte[] body = {};

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a request or an answer with a Content-Length; null at the end of the connection. */
    static Request readMessage(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Request message = new Request();
        String[] words = first.split(" ", 3);
        message.method = words[0];
        message.path = words.length > 1 ? words[1] : "";
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
        message.body = in.readNBytes(length);
        return message.body.length < length ? null : message;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return null;
    }

    /** An HTTP/1.1 server with a thread for each connection. */
    abstract class Server implements AutoCloseable {
        final ServerSocket socket;
        private final java.util.Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server() throws IOException {
            socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            synchronized (World.this) {
                servers.add(this);
            }
            thread(() -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    open.add(accepted);
                    thread(() -> {
                        try (accepted) {
                            InputStream in = new BufferedInputStream(accepted.getInputStream());
                            for (Request request = readMessage(in);
                                    request != null && handle(request, accepted);
                                    request = readMessage(in)) {
                                accepted.setSoTimeout(0);
                            }
                        } finally {
                            open.remove(accepted);
                        }
                    });
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        void write(Socket to, String text) throws IOException {
            to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void answer(Socket to, String status, String headers, String body) throws IOException {
            if (this instanceof Endpoint) {
                log("endpoint " + port() + " answers " + status);
            }
            String length = status.startsWith("204")
                    ? ""
                    : "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n";
            write(to, "HTTP/1.1 " + status + "\r\n" + length + headers + "\r\n" + body);
        }

        /** Handles a request; returns false to close the connection. */
        abstract boolean handle(Request request, Socket from) throws Exception;

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket each : open) {
                each.close();
            }
        }
    }

    /** Waits up to {@code millis} for the peer to close its side or reset; returns whether it did. */
    static boolean closedWithin(Socket socket, long millis) {
        try {
            socket.setSoTimeout((int) Math.max(1, millis));
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Discovery and the receiver of notices. Answers at once. */
    final class Platform extends Server {
        final Map<String, List<String>> notices = new ConcurrentHashMap<>(); // outcomes by message
        final Map<String, Long> firstNoticeAt = new ConcurrentHashMap<>();
        volatile String serverList = "[]"; // the whole list, as it stands
        private final List<String> changes = new java.util.concurrent.CopyOnWriteArrayList<>(); // versions 2, 3, ...
        volatile boolean silent; // discovery is down: it answers nothing
        private static final Pattern INDEX = Pattern.compile("index=(\\d{1,9})");
        private static final Pattern NOTICE =
                Pattern.compile("\"message\":\"([^\"]*)\",\"outcome\":\"([^\"]*)\"");

        Platform() throws IOException {}

        /** Tells a change of the list: entries that replace the ones with their ids. */
        void change(String entries, String newList) {
            serverList = newList;
            changes.add("{\"version\":" + (changes.size() + 2) + ",\"full\":false,\"servers\":[" + entries + "]}");
        }

        @Override
        boolean handle(Request request, Socket from) throws Exception {
            if (request.path.equals("/status")) {
                Matcher matcher = NOTICE.matcher(request.text());
                while (matcher.find()) {
                    String id = matcher.group(1);
                    firstNoticeAt.putIfAbsent(id, now());
                    notices.computeIfAbsent(id, key -> new java.util.concurrent.CopyOnWriteArrayList<>())
                            .add(matcher.group(2));
                    log("notice " + id + " " + matcher.group(2));
                }
                answer(from, "204 No Content", "", "");
                return true;
            }
            if (silent) {
                return !closedWithin(from, 100_000);
            }
            if (!request.path.contains("stream=1")) {
                answer(
                        from,
                        "200 OK",
                        "",
                        "{\"version\":" + (changes.size() + 1) + ",\"full\":true,\"servers\":" + serverList + "}");
                return true;
            }
            Matcher index = INDEX.matcher(request.path);
            int next = index.find() ? Math.max(0, Integer.parseInt(index.group(1)) - 1) : 0;
            write(from, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            long heardAt = now();
            while (!closedWithin(from, 50)) {
                if (silent) {
                    continue;
                }
                for (; next < changes.size(); next++) {
                    String line = changes.get(next) + "\n";
                    write(from, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                    log("discovery tells: " + changes.get(next));
                    heardAt = now();
                }
                if (now() - heardAt >= 1_900) {
                    write(from, "1\r\n\n\r\n");
                    heardAt = now();
                }
            }
            return false;
        }
    }

    /** What an endpoint does with a call. */
    interface Behaviour {
        /** Handles a call with these ids; returns false to close the connection. */
        boolean handle(Endpoint endpoint, List<String> ids, Request request, Socket from) throws Exception;
    }

    /** An endpoint. */
    final class Endpoint extends Server {
        private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]*)\"");
        final Map<String, List<Long>> runs = new ConcurrentHashMap<>(); // times by message
        volatile Behaviour behaviour;

        Endpoint(Behaviour behaviour) throws IOException {
            this.behaviour = behaviour;
        }

        String entry(int cell, String kind) {
            return entry("s-" + cell, cell, kind, 200);
        }

        String entry(String id, int cell, String kind, double weight) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port() + "\",\"zone\":\"lisboa-1\",\"kind\":\""
                    + kind + "\",\"cell\":" + cell
                    + ",\"state\":\"up\",\"weight\":" + weight + ",\"started_ms\":0}";
        }

        @Override
        boolean handle(Request request, Socket from) throws Exception {
            if (request.method.equals("GET")) {
                answer(from, "200 OK", "", "");
                return true;
            }
            List<String> ids = new ArrayList<>();
            if (request.path.equals("/receive")) {
                ids.add(request.headers.get("x-call-id"));
            } else {
                Matcher matcher = ID.matcher(request.text());
                while (matcher.find()) {
                    ids.add(matcher.group(1));
                }
            }
            log("endpoint " + port() + " " + request.path + " " + ids);
            return behaviour.handle(this, ids, request, from);
        }

        void ran(List<String> ids) {
            log("endpoint " + port() + " runs " + ids);
            ids.forEach(id -> runs.computeIfAbsent(id, key -> new java.util.concurrent.CopyOnWriteArrayList<>())
                    .add(now()));
        }

        /** Runs the messages and answers that they are delivered. */
        boolean deliver(List<String> ids, Request request, Socket from) throws IOException {
            ran(ids);
            answer(from, "200 OK", "", request.path.equals("/receive") ? "" : states(ids, "delivered"));
            return true;
        }
    }

    static String states(List<String> ids, String state) {
        StringBuilder text = new StringBuilder("[");
        ids.forEach(id -> text.append(text.length() > 1 ? "," : "")
                .append("{\"id\":\"" + id + "\",\"state\":\"" + state + "\"}"));
        return text.append(']').toString();
    }

    // ---- clients ----

    /** An answer; status 0 if the connection ended without one, -1 if none came in time. */
    static final class Answer {
        final int status;
        final Map<String, String> headers;

        Answer(int status, Map<String, String> headers) {
            this.status = status;
            this.headers = headers;
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Answer exchange(String head, byte[] body, int millis) throws IOException {
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            socket.getOutputStream().write(all);
            socket.setSoTimeout(millis);
            try {
                Request answer = readMessage(in);
                return answer == null
                        ? new Answer(0, Map.of())
                        : new Answer(Integer.parseInt(answer.path), answer.headers);
            } catch (java.net.SocketTimeoutException e) {
                return new Answer(-1, Map.of());
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String head(String id, String messageClass, int dest, long budgetMillis, int length) {
        return "POST /" + messageClass + " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + messageClass + "\r\nX-Budget: " + budgetMillis + "m\r\nContent-Length: "
                + length + "\r\nX-Envelope: dest=" + dest + "\r\n\r\n";
    }

    /** Hands a message in on a connection of its own, as clients do; returns the status. */
    int submit(int port, String id, String messageClass, int dest, long budgetMillis, byte[] body) {
        try (Client client = new Client(port)) {
            int status = client.exchange(head(id, messageClass, dest, budgetMillis, body.length), body, 400).status;
            log("client " + id + " " + messageClass + " dest=" + dest + " budget=" + budgetMillis + " answer=" + status);
            return status;
        } catch (IOException e) {
            log("client " + id + " " + e);
            return 0;
        }
    }
}
