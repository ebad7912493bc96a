package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Plays a recorded exchange against the program and compares what the program sends. Each line holds the name of a
 * party, an operator and bytes:
 *
 * <ul>
 * <li>{@code >}: the party sends the bytes to the program;</li>
 * <li>{@code <}: the program must send exactly these bytes;</li>
 * <li>{@code !}: the program must close the party's connection;</li>
 * <li>{@code x}: the party closes its connection;</li>
 * <li>{@code ^}: the party takes the connection whose first byte is this character, and leaves those that come before
 * it to the next parties of its kind, since the program opens them in any order;</li>
 * <li>{@code -}: the program must open no further connection to the party for this many milliseconds;</li>
 * <li>{@code ~}: a pause in milliseconds.</li>
 * </ul>
 * Bytes are text with \r, \n and \xHH, or hexadecimal after {@code hex:}, where text in single quotes is a comment.
 * {*} matches any text without a line break. Blank lines and lines that begin with # are skipped.
 */
public final class ExchangePlayer implements AutoCloseable {
    private final Map<String, ServerSocket> servers = new HashMap<>();
    private final Map<String, Integer> ports = new HashMap<>();
    private final Map<String, Socket> sockets = new HashMap<>();
    private final Map<Socket, Integer> firstBytes = new HashMap<>(); // read to tell connections apart
    private final Map<String, Deque<Socket>> untaken = new HashMap<>(); // by kind of party

    /** Opens a server for a party that the program connects to, and returns its port. */
    public int server(String party) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        server.setSoTimeout(5_000);
        servers.put(party.replaceAll("\\d", ""), server);
        return server.getLocalPort();
    }

    /** Makes parties of this name, also followed by digits, connect to the program at the port. */
    public void client(String party, int port) {
        ports.put(party, port);
    }

    private Socket socket(String party) throws IOException {
        Socket existing = sockets.get(party);
        if (existing == null) {
            String kind = party.replaceAll("\\d", "");
            existing = servers.containsKey(kind)
                    ? accept(kind)
                    : new Socket(InetAddress.getByName("127.0.0.1"), ports.get(kind));
            existing.setSoTimeout(5_000);
            existing.setTcpNoDelay(true);
            sockets.put(party, existing);
        }
        return existing;
    }

    private Socket accept(String kind) throws IOException {
        Deque<Socket> left = untaken.get(kind);
        return left == null || left.isEmpty() ? servers.get(kind).accept() : left.poll();
    }

    private void takeConnectionBeginningWith(String party, char first) throws IOException {
        String kind = party.replaceAll("\\d", "");
        while (!sockets.containsKey(party)) {
            Socket accepted = servers.get(kind).accept();
            accepted.setSoTimeout(5_000);
            firstBytes.put(accepted, accepted.getInputStream().read());
            if (firstBytes.get(accepted) == first) {
                accepted.setTcpNoDelay(true);
                sockets.put(party, accepted);
            } else {
                untaken.computeIfAbsent(kind, absent -> new ArrayDeque<>()).add(accepted);
            }
        }
    }

    private InputStream input(String party) throws IOException {
        Socket socket = socket(party);
        Integer first = firstBytes.remove(socket);
        return first == null
                ? socket.getInputStream()
                : new SequenceInputStream(
                        new ByteArrayInputStream(new byte[] {first.byteValue()}), socket.getInputStream());
    }

    /** Plays all lines of the file in order; fails at the first difference. */
    public void play(Path file) throws Exception {
        int number = 0;
        int played = 0;
        for (String line : Files.readAllLines(file)) {
            number++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            played++;
            String[] parts = line.split(" ", 2);
            String party = parts[0].substring(0, parts[0].length() - 1);
            String rest = parts.length > 1 ? parts[1] : "";
            String where = file.getFileName() + ":" + number;
            switch (parts[0].charAt(parts[0].length() - 1)) {
                case '>' -> socket(party).getOutputStream().write(bytes(rest));
                case '<' -> expect(input(party), rest, where);
                case '^' -> takeConnectionBeginningWith(party, rest.charAt(0));
                case '!' -> assertEquals(read(socket(party).getInputStream()), -1, where + " is not closed");
                case 'x' -> sockets.remove(party).close();
                case '-' -> expectNoConnection(party, Integer.parseInt(rest), where);
                case '~' -> Thread.sleep(Long.parseLong(rest));
                default -> throw new IllegalArgumentException(where);
            }
        }
        assertTrue(played > 0, file + " contains no lines to play");
    }

    private void expectNoConnection(String party, int millis, String where) throws IOException {
        ServerSocket server = servers.get(party.replaceAll("\\d", ""));
        int timeoutMillis = server.getSoTimeout();
        server.setSoTimeout(millis);
        try (Socket unexpected = server.accept()) {
            fail(where + ": a connection from " + unexpected.getRemoteSocketAddress());
        } catch (SocketTimeoutException expected) {
            server.setSoTimeout(timeoutMillis);
        }
    }

    private static int read(InputStream in) {
        try {
            return in.read();
        } catch (SocketTimeoutException e) {
            return -2;
        } catch (IOException e) {
            return -1; // a reset also closes the connection
        }
    }

    private static void expect(InputStream in, String text, String where) {
        String expected = new String(bytes(text), StandardCharsets.ISO_8859_1);
        StringBuilder pattern = new StringBuilder();
        for (String part : expected.split(Pattern.quote("{*}"), -1)) {
            pattern.append(pattern.length() > 0 ? "[^\r\n]*?" : "").append(Pattern.quote(part));
        }
        Pattern whole = Pattern.compile(pattern.toString(), Pattern.DOTALL);
        StringBuilder received = new StringBuilder();
        while (!whole.matcher(received).matches()) {
            int next = received.length() < expected.length() + 400 ? read(in) : -3;
            boolean possible =
                    next >= 0 && (expected.contains("{*}") || expected.startsWith(received.toString() + (char) next));
            if (!possible) {
                assertEquals(
                        next >= 0 ? received.toString() + (char) next : received.toString(),
                        expected,
                        where + " (read " + next + ")");
            }
            received.append((char) next);
        }
    }

    private static byte[] bytes(String text) {
        if (text.startsWith("hex:")) {
            return HexFormat.of()
                    .parseHex(text.substring(4).replaceAll("'[^']*'", "").replace(" ", ""));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            char next = c == '\\' ? text.charAt(++i) : 0;
            if (next == 'x') {
                out.write(Integer.parseInt(text.substring(i + 1, i + 3), 16));
                i += 2;
            } else {
                out.write(next == 'r' ? '\r' : next == 'n' ? '\n' : next == 0 ? c : next);
            }
        }
        return out.toByteArray();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets.values()) {
            socket.close();
        }
        for (ServerSocket server : servers.values()) {
            server.close();
        }
    }
}
