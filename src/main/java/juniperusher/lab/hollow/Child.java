package juniperusher.lab.hollow;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A process of the hollow fleet, which is told what to do in lines of JSON and answers each with one. */
final class Child implements AutoCloseable {
    private static final List<String> OPTIONS = List.of(
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xss256k", "-XX:MaxMetaspaceSize=48m");
    private static final long ANSWER_SECONDS = 60;
    private static final long END_SECONDS = 10;
    private static final String END_OF_OUTPUT = "";

    private final String name;
    private final Path log;
    private final Process process;
    private final Writer commands;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    private Child(String name, Path log, Process process) {
        this.name = name;
        this.log = log;
        this.process = process;
        commands = new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
        Thread reader = new Thread(this::readAnswers, name + "-answers");
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts the program with these arguments and that heap; its log goes to a file in the folder. */
    static Child start(String name, Path folder, String mainClass, int heapMb, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(List.of("-Xmx" + heapMb + "m", "-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(arguments);
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        return new Child(name, log, builder.start());
    }

    private void readAnswers() {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String line;
            while ((line = reader.readLine()) != null) {
                answers.add(line);
            }
        } catch (IOException e) {
            answers.add(END_OF_OUTPUT); // it was killed
            return;
        }
        answers.add(END_OF_OUTPUT);
    }

    /** Tells it something; the answer is to be taken by {@link #answer}. */
    void tell(JsonObject command) throws IOException {
        commands.write(command + "\n");
        commands.flush();
    }

    /** Its next answer. */
    JsonObject answer() throws IOException, InterruptedException {
        String line = answers.poll(ANSWER_SECONDS, TimeUnit.SECONDS);
        if (line == null || line.equals(END_OF_OUTPUT)) {
            throw new IOException(name + (line == null ? " does not answer" : " has ended") + lastLogLine());
        }
        return Json.parse(line).asObject();
    }

    private String lastLogLine() throws IOException {
        List<String> lines = Files.exists(log) ? Files.readAllLines(log) : List.of();
        return lines.isEmpty() ? "" : ": " + lines.get(lines.size() - 1);
    }

    /** Tells it something and waits for the answer. */
    JsonObject ask(JsonObject command) throws IOException, InterruptedException {
        tell(command);
        return answer();
    }

    long pid() {
        return process.pid();
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS);
    }

    /** Ends it, by force if that takes too long. */
    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                kill();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
