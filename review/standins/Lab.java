import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: relay processes with the command of the deploy file, and stand-ins for the platform, servers
 * and clients as the protocol page describes them. All addresses are loopback addresses.
 */
final class Lab implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long LIMIT_MILLIS = 117_000;

    final Path folder = Files.createTempDirectory("review-");
    final Path state = Files.createDirectory(folder.resolve("state"));
    final Path tmp = Files.createDirectory(folder.resolve("tmp"));
    final Path root = Path.of("").toAbsolutePath(); // the scripts start in the project's root
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Relay> relays = new CopyOnWriteArrayList<>();
    private final List<Server> servers = new CopyOnWriteArrayList<>();

    Lab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** A case: returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    interface Case {
        int play(Lab lab) throws Exception;
    }

    /** Plays a case, whose record goes to the file {@code args[0]}, and exits with its result. */
    static void play(String[] args, Case played) {
        daemon(() -> {
            sleep(LIMIT_MILLIS);
            System.err.println("the case takes too long");
            System.exit(2);
        });
        int exitCode = 2;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            try {
                exitCode = played.play(lab);
            } catch (Exception e) {
                lab.note("the case could not run: %s", e);
                e.printStackTrace();
            }
            lab.note("exit code %d", exitCode);
        } catch (IOException | UncheckedIOException e) {
            e.printStackTrace();
        }
        System.exit(exitCode);
    }

    /** Milliseconds since the start of the case. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line to the record. */
    synchronized void note(String format, Object... arguments) {
        record.printf(Locale.ROOT, "%7d ms  %s%n", millis(), String.format(Locale.ROOT, format, arguments));
        record.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | UncheckedIOException e) {
                        return; // the peer or the case has closed the socket
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                "stand-in",
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    interface Task {
        void run() throws Exception;
    }

    private void endProcesses() {
        relays.forEach(Relay::kill);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Server server : servers) {
            server.close();
        }
        record.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(path);
                }
            }
        } else {
            System.err.println(folder);
        }
    }

    // ---- relays ----

    /** A free loopback port. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            return free.getLocalPort();
        }
    }

    /** The value of a key of deploy/balancer.toml, as the file writes it. */
    String deployKey(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            Matcher match = Pattern.compile(key + "\\s*=\\s*\"(.*)\"\\s*(#.*)?").matcher(line);
            if (match.matches()) {
                return match.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /** The configuration of the selftest, whose settings are those of a small deployment, with other addresses. */
    String config(String listen, int discovery, String servers, Map<String, String> replaced) throws IOException {
        String text = Files.readString(root.resolve("src/main/resources/selftest.json"))
                .replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\": \"" + listen + "\"")
                .replaceFirst("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"127.0.0.1:" + discovery + "\"")
                .replaceFirst("\"servers\": *\\[\\]", "\"servers\": [" + Matcher.quoteReplacement(servers) + "]");
        for (Map.Entry<String, String> each : replaced.entrySet()) {
            if (!text.contains(each.getKey())) {
                throw new IOException("the configuration has no " + each.getKey());
            }
            text = text.replace(each.getKey(), each.getValue());
        }
        return text;
    }

    /** Waits until {@code GET /up} is answered 200. */
    void awaitUp(int port, long limitMillis) throws IOException {
        long until = millis() + limitMillis;
        while (!isUp(port)) {
            if (millis() > until) {
                throw new IOException("the relay is not up");
            }
            sleep(20);
        }
    }

    /** Whether {@code GET /up} is answered 200 within 400 ms. */
    static boolean isUp(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 400);
            socket.setSoTimeout(400);
            socket.getOutputStream().write(ascii("GET /up HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n"));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** A process of {@code run}. */
    final class Relay {
        final String name;
        final Process process;
        final int mgmt;
        final Path log;
        volatile boolean ended; // told to end

        Relay(String name, Path config, String listen, int discovery, boolean inherit) throws IOException {
            this.name = name;
            mgmt = inherit ? freePort() : 0;
            log = folder.resolve("log-" + name);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployKey("run"));
            builder.directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.put("RELAY_NAME", "n0");
            environment.put("RELAY_LISTEN", listen);
            environment.put("RELAY_DISCOVERY", "127.0.0.1:" + discovery);
            environment.put("RELAY_STATE", state.toString());
            environment.put("RELAY_CONFIG", config.toString());
            environment.put("TMPDIR", tmp.toString());
            if (inherit) {
                environment.put("RELAY_ACCEPT_FD", "0");
                environment.put("RELAY_MGMT", "127.0.0.1:" + mgmt);
                builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
            }
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            relays.add(this);
        }

        /** Whether the operators' address says yes. */
        boolean serves() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(LOOPBACK, mgmt), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(ascii("GET /status HTTP/1.1\r\nHost: relay\r\n\r\n"));
                return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Waits for the yes of the operators' address. */
        void awaitYes(long limitMillis) throws IOException {
            long until = millis() + limitMillis;
            while (!serves()) {
                if (!process.isAlive() || millis() > until) {
                    throw new IOException(name + " gave no yes: " + lastLines());
                }
                sleep(3);
            }
        }

        String lastLines() throws IOException {
            List<String> lines = Files.readAllLines(log);
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - 4), lines.size()));
        }

        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** SIGTERM, and SIGKILL 3.7 s later if the process has not ended; returns once it has. */
        void end() throws InterruptedException {
            ended = true;
            signal("TERM");
            if (!process.waitFor(3700, TimeUnit.MILLISECONDS)) {
                kill();
            }
        }

        void kill() {
            ended = true;
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Resident memory in KiB, 0 if the process is gone. */
        long residentKib() {
            return procField("status", "VmRSS:");
        }

        /** Proportional share of memory in KiB, 0 if the process is gone. */
        long proportionalKib() {
            return procField("smaps_rollup", "Pss:");
        }

        private long procField(String file, String field) {
            try (Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/" + file))) {
                return lines.filter(line -> line.startsWith(field))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElse(0);
            } catch (IOException | UncheckedIOException e) {
                return 0;
            }
        }
    }

    /** What the state folder holds, each file counted in whole 512 bytes. */
    long stateBytes() throws IOException {
        long bytes = 0;
        try (Stream<Path> files = Files.list(state)) {
            for (Path file : files.toList()) {
                try {
                    bytes += (Files.size(file) + 511) / 512 * 512;
                } catch (NoSuchFileException e) {
                    continue; // removed meanwhile
                }
            }
        } catch (UncheckedIOException e) {
            return 0;
        }
        return bytes;
    }

    // ---- HTTP ----

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One request or response; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String path() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = input.read(); b >= 0; b = input.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).strip();
            }
            line.write(b);
        }
        return null;
    }

    /** Reads a message with a Content-Length, or with none; null at the end of the connection. */
    static Message read(InputStream input) throws IOException {
        String startLine = readLine(input);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input); line == null || !line.isEmpty(); line = readLine(input)) {
            if (line == null) {
                return null;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int size = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(size);
        return body.length < size ? null : new Message(startLine, headers, body);
    }

    /** A connection that a server has accepted. */
    static final class Connection {
        final Socket socket;
        final InputStream input;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            input = new BufferedInputStream(socket.getInputStream());
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(ascii(text));
        }

        void answer(String status, String headers, String body) throws IOException {
            write("HTTP/1.1 " + status + "\r\n"
                    + (status.startsWith("204") ? "" : "Content-Length: " + ascii(body).length + "\r\n")
                    + headers + "\r\n" + body);
        }

        /** Waits for the peer to close the connection; false if it did not within the time. */
        boolean closedWithin(long millis) throws IOException {
            long until = System.nanoTime() + millis * 1_000_000;
            for (long left = millis; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
                socket.setSoTimeout((int) left);
                try {
                    if (input.read() < 0) {
                        return true;
                    }
                } catch (SocketTimeoutException e) {
                    return false;
                } catch (IOException e) {
                    return true;
                } finally {
                    socket.setSoTimeout(0);
                }
            }
            return false;
        }
    }

    interface Handler {
        /** Answers the request; false to close the connection. */
        boolean handle(Message request, Connection connection) throws IOException;
    }

    /** A server on a free loopback port, with a thread for each connection. */
    final class Server {
        private final ServerSocket socket;
        private final Handler handler;
        private volatile boolean closed;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket(0, 500, LOOPBACK);
            servers.add(this);
            daemon(() -> {
                while (!closed) {
                    Socket accepted = socket.accept();
                    daemon(() -> serve(accepted));
                }
            });
        }

        private void serve(Socket accepted) throws IOException {
            try (accepted) {
                Connection connection = new Connection(accepted);
                Message request = read(connection.input);
                while (request != null && handler.handle(request, connection)) {
                    request = read(connection.input);
                }
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        void close() throws IOException {
            closed = true;
            socket.close();
        }
    }

    /** Discovery's agent and the platform: an unchanging list, and notices, each of which is answered 204 at once. */
    final class Platform {
        final Server server;
        final Map<String, Long> notices = new ConcurrentHashMap<>(); // first notice of each message
        final Map<String, String> outcomes = new ConcurrentHashMap<>();
        private volatile String list = "";

        Platform() throws IOException {
            server = new Server(this::handle);
        }

        int port() {
            return server.port();
        }

        /** Sets the entries of the list, in discovery's form. */
        void setServers(String entries) {
            list = entries;
        }

        private boolean handle(Message request, Connection connection) throws IOException {
            if (request.startLine().startsWith("POST /status ")) {
                for (String line : new String(request.body(), StandardCharsets.UTF_8).split("\n")) {
                    Matcher match =
                            Pattern.compile("\"message\":\"([^\"]*)\",\"outcome\":\"([^\"]*)\"").matcher(line);
                    if (match.find() && notices.putIfAbsent(match.group(1), millis()) == null) {
                        outcomes.put(match.group(1), match.group(2));
                        note("notice %s %s", match.group(1), match.group(2));
                    }
                }
                connection.answer("204 No Content", "", "");
            } else if (request.path().startsWith("/discovery/hosts?")) {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while (!connection.closedWithin(2000)) {
                    connection.write("1\r\n\n\r\n");
                }
                return false;
            } else if (request.path().equals("/discovery/hosts")) {
                connection.answer("200 OK", "", "{\"version\":1,\"full\":true,\"servers\":[" + list + "]}");
            } else {
                connection.answer("404 Not Found", "", "");
            }
            return true;
        }
    }

    /** An entry of discovery's list. */
    static String entry(String id, int port, String kind, int destination, double weight) {
        return entry(id, port, "lisboa-1", kind, destination, weight);
    }

    static String entry(String id, int port, String zone, String kind, int destination, double weight) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
                + "\",\"cell\":" + destination + ",\"state\":\"up\",\"weight\":" + weight + ",\"started_ms\":0}";
    }

    /** The ids of the messages in a call. */
    static List<String> ids(Message call) {
        if (!call.path().equals("/receive-many")) {
            return List.of(call.headers().get("x-call-id"));
        }
        List<String> ids = new ArrayList<>();
        Matcher match = Pattern.compile("\"id\":\"([^\"]*)\"").matcher(new String(call.body(), StandardCharsets.UTF_8));
        while (match.find()) {
            ids.add(match.group(1));
        }
        return ids;
    }

    /** Answers a call as delivered. */
    static void answerDelivered(Message call, Connection connection) throws IOException {
        StringBuilder states = new StringBuilder();
        if (call.path().equals("/receive-many")) {
            ids(call).forEach(id -> states.append(states.isEmpty() ? "[" : ",")
                    .append("{\"id\":\"" + id + "\",\"state\":\"delivered\"}"));
            states.append(']');
        }
        connection.answer("200 OK", "", states.toString());
    }

    /** A client that keeps one connection and sends one request at a time. */
    static final class Client implements AutoCloseable {
        private final int port;
        private Socket socket;
        private InputStream input;

        Client(int port) {
            this.port = port;
        }

        private void connect() throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 400);
            socket.setSoTimeout(400);
            input = new BufferedInputStream(socket.getInputStream());
        }

        /**
         * Hands a message in and returns the status of the answer: 0 if none came within 400 ms, -1 if the connection
         * ended without one. A kept connection that ends under the request is taken for one that the relay closed
         * between requests, so the request goes once more on a new one.
         */
        int send(String id, String messageClass, int destination, long budgetMillis, byte[] body) {
            byte[] head = ascii("POST /" + messageClass + " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: " + messageClass + "\r\nX-Budget: " + budgetMillis + "m\r\nContent-Length: "
                    + body.length + "\r\nX-Envelope: dest=" + destination + "\r\n\r\n");
            byte[] request = new byte[head.length + body.length];
            System.arraycopy(head, 0, request, 0, head.length);
            System.arraycopy(body, 0, request, head.length, body.length);
            boolean kept = socket != null;
            while (true) {
                try {
                    if (socket == null) {
                        connect();
                    }
                    OutputStream output = socket.getOutputStream();
                    output.write(request);
                    Message answer = read(input);
                    if (answer == null) {
                        throw new IOException("no answer");
                    }
                    if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
                        close();
                    }
                    return answer.status();
                } catch (SocketTimeoutException e) {
                    close();
                    return 0;
                } catch (IOException e) {
                    close();
                    if (!kept) {
                        return -1;
                    }
                    kept = false;
                }
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                return; // it is closed all the same
            } finally {
                socket = null;
            }
        }
    }
}
