import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the review share: stand-ins of the platform, of endpoints and of clients after the protocol page,
 * and real relay processes started with the command of the deploy file. All addresses are loopback addresses.
 */
final class Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String LOOPBACK = "127.0.0.1";
    private static final long START = System.nanoTime();
    private static final long LIMIT_MILLIS = 115_000; // of a whole run
    private static final Path HOLDER = Path.of("target/review-2/holdsocket");

    private final Path root;
    final Path folder;
    private final PrintWriter record;
    private final List<ServerSocket> servers = new CopyOnWriteArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<Long> startedPids = new CopyOnWriteArrayList<>();
    private Process socketHolder;
    private BufferedReader socketHolderOut;

    /** Writes the record beside the case; the working folder has to be the project's root. */
    private Rig(String caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        if (!Files.exists(root.resolve("target/juniperusher.jar"))) {
            cannotRun("target/juniperusher.jar is not built");
        }
    }

    /** What a case does; returns how the rule was broken. */
    interface Case {
        List<String> play(Rig rig) throws Exception;
    }

    /** Plays a case and ends this process with 0 if its rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(String caseFolder, Case played) throws IOException {
        Rig rig = new Rig(caseFolder);
        daemon("limit", () -> {
            sleep(LIMIT_MILLIS);
            rig.cannotRun("the case has taken too long");
        });
        try {
            rig.finish(played.play(rig));
        } catch (Exception | Error e) {
            e.printStackTrace();
            rig.cannotRun(e.toString());
        }
    }

    /** Milliseconds since the start. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    void log(String text) {
        String line = String.format("%10.1f %s", now(), text);
        synchronized (record) {
            record.println(line);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Condition {
        boolean holds() throws IOException;
    }

    static boolean await(long millis, Condition condition) throws IOException {
        double until = now() + millis;
        while (!condition.holds()) {
            if (now() > until) {
                return false;
            }
            sleep(5);
        }
        return true;
    }

    /** A free port below those that the system gives to outgoing connections, of which there are many. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                return free.getLocalPort();
            } catch (BindException e) {
                continue;
            }
        }
    }

    static void daemon(String name, IoTask task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        return; // the other side has ended the connection
                    }
                },
                name,
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    interface IoTask {
        void run() throws IOException;
    }

    // ---- HTTP ----

    /** One request or response; names of headers are in lower case. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        double firstByteAt;
        double lastByteAt;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads a message with a Content-Length; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            if (head.size() == 0) {
                message.firstByteAt = now();
            }
            head.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        message.first = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            message.headers.put(
                    lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).strip());
        }
        int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
        message.body = in.readNBytes(length);
        message.lastByteAt = now();
        return message.body.length < length ? null : message;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers
                + (status.startsWith("204") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    interface Service {
        /** Answers on the socket; returns false to end the connection. */
        boolean serve(Message request, Socket socket) throws IOException;
    }

    /** Serves a port with a thread for each connection. */
    int serve(int port, Service service) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(LOOPBACK, port), 500);
        servers.add(server);
        daemon("accept", () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon("serve", () -> {
                    try (socket) {
                        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                        Message request = read(in);
                        while (request != null && service.serve(request, socket)) {
                            request = read(in);
                        }
                    }
                });
            }
        });
        return server.getLocalPort();
    }

    /** One call on a connection of its own. */
    static Message call(int port, String method, String path, String body, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            write(
                    socket.getOutputStream(),
                    method + " " + path + " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
            Message answer = read(socket.getInputStream());
            if (answer == null) {
                throw new IOException("no answer");
            }
            return answer;
        }
    }

    static boolean saysYes(int port, String path) {
        try {
            return call(port, "GET", path, "", 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    // ---- the platform: discovery's agent and the receiver of notices ----

    final class Platform {
        final int port;
        private final List<String> entries = new ArrayList<>();
        private final List<String> changes = new CopyOnWriteArrayList<>();
        /** Outcomes and times of the notices by message. */
        final Map<String, Queue<Notice>> notices = new ConcurrentHashMap<>();

        Platform() throws IOException {
            port = serve(0, this::answer);
        }

        synchronized void add(String id, int endpointPort, int cell, String kind, String zone) {
            entries.add(entry(id, endpointPort, cell, kind, zone, "up"));
        }

        private String entry(String id, int endpointPort, int cell, String kind, String zone, String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + LOOPBACK + ':' + endpointPort + "\",\"zone\":\"" + zone
                    + "\",\"kind\":\"" + kind + "\",\"cell\":" + cell + ",\"state\":\"" + state
                    + "\",\"weight\":50.0,\"started_ms\":0}";
        }

        synchronized String list() {
            return "{\"version\":" + (changes.size() + 1) + ",\"full\":true,\"servers\":[" + String.join(",", entries)
                    + "]}";
        }

        private boolean answer(Message request, Socket socket) throws IOException {
            OutputStream out = socket.getOutputStream();
            if (request.path().equals("/status")) {
                for (String line : request.text().split("\n")) {
                    String id = field(line, "message");
                    Notice notice = new Notice(field(line, "outcome"), now());
                    notices.computeIfAbsent(id, key -> new ConcurrentLinkedQueue<>()).add(notice);
                    log("notice " + id + " " + notice.outcome);
                }
                write(out, response("204 No Content", "", ""));
                return true;
            }
            if (!request.path().contains("stream=1")) {
                write(out, response("200 OK", "", list()));
                return true;
            }
            int next = Math.max(0, Integer.parseInt(request.path().replaceAll(".*index=", "")) - 1);
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int quiet = 0; ; quiet += 20) {
                for (; next < changes.size(); next++) {
                    String change = changes.get(next) + "\n";
                    write(out, Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
                }
                if (quiet >= 2_000) {
                    write(out, "1\r\n\n\r\n");
                    quiet = 0;
                }
                sleep(20);
            }
        }
    }

    record Notice(String outcome, double at) {}

    static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    // ---- endpoints ----

    /** A call as an endpoint sees it. */
    static final class Call {
        String endpoint;
        List<String> ids;
        double firstByteAt;
        double lastByteAt;
        double endedAt = Double.POSITIVE_INFINITY;
        volatile boolean answered;
        int status;
        double waitMillis; // that the answer told
        double writtenAt = Double.POSITIVE_INFINITY; // when the answer was written
    }

    interface Behaviour {
        /** The answer's status line without the version, and its delay; null to hang until the relay closes. */
        Answer answer(Call call);
    }

    record Answer(String status, String headers, long afterMillis) {
        static final Answer DELIVERED = new Answer("200 OK", "", 20);
    }

    final class Endpoint {
        final String id;
        final int port;
        final List<Call> calls = new CopyOnWriteArrayList<>();
        private volatile Behaviour behaviour;

        Endpoint(String id, Behaviour behaviour) throws IOException {
            this.id = id;
            this.behaviour = behaviour;
            port = serve(0, this::answer);
        }

        void behave(Behaviour next) {
            behaviour = next;
        }

        private boolean answer(Message request, Socket socket) throws IOException {
            if (request.first.startsWith("GET ")) {
                write(socket.getOutputStream(), response("200 OK", "", ""));
                return true;
            }
            Call call = new Call();
            call.endpoint = id;
            call.firstByteAt = request.firstByteAt;
            call.lastByteAt = request.lastByteAt;
            boolean many = request.path().equals("/receive-many");
            call.ids = many ? ids(request.text()) : List.of(request.headers.get("x-call-id"));
            calls.add(call);
            log("call at " + id + " " + call.ids);
            Answer answer = behaviour.answer(call);
            boolean closed = closedWithin(socket, answer == null ? 120_000 : answer.afterMillis);
            call.endedAt = now();
            if (closed || answer == null) {
                log("call at " + id + " " + call.ids + " closed by the relay");
                return false;
            }
            String body = many && answer.status.startsWith("200") ? states(call.ids) : "";
            write(socket.getOutputStream(), response(answer.status, answer.headers, body));
            call.writtenAt = now();
            Matcher wait = Pattern.compile("Retry-After: ([0-9.]+)").matcher(answer.headers);
            call.waitMillis = wait.find() ? Double.parseDouble(wait.group(1)) * 1000 : 0;
            call.status = Integer.parseInt(answer.status.substring(0, 3));
            call.answered = true;
            log("answer of " + id + " " + call.ids + " " + answer.status + " " + answer.headers.strip());
            return true;
        }
    }

    private static List<String> ids(String json) {
        List<String> ids = new ArrayList<>();
        Matcher matcher = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        while (matcher.find()) {
            ids.add(matcher.group(1));
        }
        return ids;
    }

    private static String states(List<String> ids) {
        StringBuilder out = new StringBuilder("[");
        ids.forEach(id -> out.append(out.length() > 1 ? "," : "")
                .append("{\"id\":\"" + id + "\",\"state\":\"delivered\"}"));
        return out.append("]").toString();
    }

    /** Waits for the peer to close its side. */
    private static boolean closedWithin(Socket socket, long millis) {
        double until = now() + millis;
        try {
            while (now() < until) {
                socket.setSoTimeout((int) Math.max(1, until - now()));
                try {
                    if (socket.getInputStream().read() < 0) {
                        return true;
                    }
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
            socket.setSoTimeout(0);
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    // ---- clients ----

    /** A client that keeps one connection, sends one request at a time and waits 400 ms for each answer. */
    final class Client {
        private final java.util.function.IntSupplier relayPort;
        private Socket socket;

        Client(java.util.function.IntSupplier relayPort) {
            this.relayPort = relayPort;
        }

        /** Hands in a message and returns the status of the answer, 0 without one. */
        int send(String id, String messageClass, int destination, long budgetMillis, String extraHeaders, String query) {
            String body = "body of " + id;
            String request = "POST /" + messageClass + query + " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: " + messageClass + "\r\nX-Budget: " + budgetMillis + "m\r\nX-Envelope: dest="
                    + destination + "\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            for (int attempt = 0; attempt < 2; attempt++) {
                boolean fresh = socket == null;
                try {
                    if (fresh) {
                        socket = new Socket();
                        socket.setTcpNoDelay(true);
                        socket.connect(new InetSocketAddress(LOOPBACK, relayPort.getAsInt()), 400);
                    }
                    socket.setSoTimeout(400);
                    write(socket.getOutputStream(), request);
                    Message answer = read(socket.getInputStream());
                    if (answer != null) {
                        if ("close".equalsIgnoreCase(answer.headers.get("connection"))) {
                            drop();
                        }
                        log("client " + id + " " + messageClass + " dest=" + destination + " " + answer.status());
                        return answer.status();
                    }
                    drop();
                } catch (java.net.SocketTimeoutException e) {
                    drop();
                    log("client " + id + " no answer in 400 ms");
                    return 0;
                } catch (IOException e) {
                    drop();
                }
                if (fresh) {
                    break; // only a closing that crosses a request is followed by the same request once more
                }
            }
            log("client " + id + " no answer");
            return 0;
        }

        private void drop() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                log("client: " + e);
            }
            socket = null;
        }
    }

    // ---- relay processes ----

    /** The command of the deploy file. */
    String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            Matcher matcher = Pattern.compile("run = \"(.*)\"").matcher(line);
            if (matcher.matches()) {
                return matcher.group(1);
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    void cannotRun(String why) {
        log("cannot run: " + why);
        System.err.println("cannot run: " + why);
        try (Stream<Path> logs = Files.list(folder)) {
            for (Path each : logs.filter(path -> path.toString().endsWith(".log")).toList()) {
                List<String> lines = Files.readAllLines(each);
                lines.subList(Math.max(0, lines.size() - 5), lines.size())
                        .forEach(line -> log(each.getFileName() + ": " + line));
            }
        } catch (IOException e) {
            log("the logs cannot be read: " + e);
        }
        try {
            close();
        } catch (IOException e) {
            log("the temporary folder is not removed: " + e);
        }
        Runtime.getRuntime().halt(2);
    }

    /** The environment of one relay process; all that may differ between two of them are the file and the second address. */
    Map<String, String> environment(String name, int listen, int discovery, int operators, Path state, Path config) {
        Map<String, String> environment = new HashMap<>();
        environment.put("RELAY_NAME", name);
        environment.put("RELAY_LISTEN", LOOPBACK + ':' + listen);
        environment.put("RELAY_DISCOVERY", LOOPBACK + ':' + discovery);
        environment.put("RELAY_STATE", state.toString());
        environment.put("RELAY_CONFIG", config.toString());
        if (operators > 0) {
            environment.put("RELAY_MGMT", LOOPBACK + ':' + operators);
        }
        environment.put("TMPDIR", folder.toString());
        return environment;
    }

    /** Opens the clients' listening socket, which the platform holds on the days of an upgrade. */
    void holdSocket(int port) throws IOException {
        socketHolder = new ProcessBuilder(HOLDER.toString(), Integer.toString(port))
                .directory(root.toFile())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        processes.add(socketHolder);
        socketHolderOut = new BufferedReader(new InputStreamReader(socketHolder.getInputStream()));
        if (!"ready".equals(socketHolderOut.readLine())) {
            cannotRun("the clients' socket cannot be opened");
        }
    }

    /** Starts a relay that inherits the clients' socket as descriptor 0; returns its process id. */
    long startInheriting(Map<String, String> environment, String log) throws IOException {
        StringBuilder command = new StringBuilder("export RELAY_ACCEPT_FD=0");
        environment.forEach((name, value) -> command.append(' ').append(name).append("='").append(value).append('\''));
        command.append("; ").append(runCommand());
        socketHolder.getOutputStream()
                .write((folder.resolve(log) + "\t" + command + "\n").getBytes(StandardCharsets.UTF_8));
        socketHolder.getOutputStream().flush();
        long pid = Long.parseLong(socketHolderOut.readLine());
        startedPids.add(pid);
        log("started " + log + " as process " + pid);
        return pid;
    }

    /** Starts the first process and waits until it says yes on its second address. */
    long startFirst(Map<String, String> environment, int operators) throws IOException {
        long pid = startInheriting(environment, "relay-0.log");
        if (!await(30_000, () -> saysYes(operators, "/status"))) {
            cannotRun("the first process does not say yes");
        }
        return pid;
    }

    /** Ends the old process of an upgrade as the platform does: SIGTERM, and SIGKILL after 3.7 s if it lives then. */
    void endOld(long pid) throws IOException {
        signal(pid, "TERM");
        await(3_700, () -> !isAlive(pid));
        if (isAlive(pid)) {
            signal(pid, "KILL");
        }
        await(2_000, () -> !isAlive(pid));
        log("the old process has ended");
    }

    static boolean isAlive(long pid) {
        return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
    }

    void signal(long pid, String name) throws IOException {
        log("SIG" + name + " to " + pid);
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** A configuration after src/main/resources/selftest.json, with these settings replaced. */
    Path writeConfig(String file, int listen, Platform platform, Map<String, String> replacements) throws IOException {
        String text = Files.readString(root.resolve("src/main/resources/selftest.json"))
                .replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\":\"" + LOOPBACK + ':' + listen + "\"")
                .replaceFirst("\"discovery\": *\"[^\"]*\"", "\"discovery\":\"" + LOOPBACK + ':' + platform.port + "\"")
                .replaceFirst("(?s)\"known\": *\\{.*?\\}", Matcher.quoteReplacement("\"known\": " + platform.list()));
        for (Map.Entry<String, String> each : replacements.entrySet()) {
            String next = text.replaceFirst(each.getKey(), Matcher.quoteReplacement(each.getValue()));
            if (next.equals(text)) {
                cannotRun("the configuration has no " + each.getKey());
            }
            text = next;
        }
        Path config = folder.resolve(file);
        Files.writeString(config, text);
        return config;
    }

    private void endProcesses() {
        startedPids.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
    }

    private void close() throws IOException {
        endProcesses();
        for (ServerSocket server : servers) {
            server.close();
        }
        sleep(100);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    private void finish(List<String> breaches) throws IOException {
        breaches.forEach(breach -> log("BROKEN " + breach));
        log(breaches.isEmpty() ? "the rule held" : breaches.size() + " breaches");
        breaches.stream().limit(5).forEach(System.out::println);
        System.out.println(breaches.isEmpty() ? "held" : "broken: " + breaches.size());
        close();
        Runtime.getRuntime().halt(breaches.isEmpty() ? 0 : 1);
    }
}
