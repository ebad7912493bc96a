package juniperusher;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Which package may know which. */
public class ImportsTest {
    private static final Path ROOT = Path.of("src/main/java/juniperusher");
    private static final Map<String, List<String>> FORBIDDEN = Map.ofEntries(
            Map.entry(
                    "core",
                    List.of(
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "org.eclipse.jetty")),
            Map.entry("net", List.of("juniperusher.http", "juniperusher.amqp", "juniperusher.cli", "juniperusher.sim")),
            Map.entry("http", List.of("juniperusher.amqp", "juniperusher.cli")),
            Map.entry("amqp", List.of("juniperusher.http", "juniperusher.cli", "juniperusher.sim")),
            Map.entry(
                    "membership",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "org.eclipse.jetty",
                            "com.eclipsesource",
                            "java.io",
                            "java.nio",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.net.Socket")),
            Map.entry(
                    "storm",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.membership",
                            "juniperusher.lab",
                            "org.eclipse.jetty",
                            "java.io",
                            "java.net",
                            "java.util.concurrent",
                            "java.lang.System")),
            Map.entry(
                    "maintenance",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.mgmt",
                            "org.eclipse.jetty",
                            "java.net.Socket",
                            "java.util.concurrent")),
            Map.entry(
                    "mgmt",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.membership",
                            "juniperusher.maintenance")),
            Map.entry(
                    "lab",
                    List.of(
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.lab.sockets",
                            "juniperusher.lab.report",
                            "juniperusher.settings",
                            "org.eclipse.jetty",
                            "java.io",
                            "java.net",
                            "java.util.concurrent")),
            Map.entry(
                    "settings",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "org.eclipse.jetty")),
            Map.entry(
                    "store",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.ownership",
                            "juniperusher.lab",
                            "java.io",
                            "java.net",
                            "java.nio",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.time")),
            Map.entry(
                    "ownership",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.lab",
                            "java.io",
                            "java.net",
                            "java.nio",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.time")),
            Map.entry(
                    "status",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "org.eclipse.jetty",
                            "com.eclipsesource",
                            "java.io",
                            "java.net",
                            "java.nio",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.time")),
            Map.entry(
                    "distribution",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.shard",
                            "juniperusher.store",
                            "juniperusher.lab",
                            "java.io",
                            "java.net",
                            "java.nio.channels",
                            "java.nio.file",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.time")),
            Map.entry(
                    "shard",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.lab",
                            "juniperusher.store",
                            "juniperusher.ownership",
                            "juniperusher.shard.assign",
                            "java.io",
                            "java.net",
                            "java.nio.file",
                            "java.nio.channels",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.time")),
            Map.entry(
                    "shard/assign",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.lab",
                            "juniperusher.store",
                            "juniperusher.ownership",
                            "java.io",
                            "java.net",
                            "java.nio.file",
                            "java.nio.channels",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.time")),
            Map.entry(
                    "fleet",
                    List.of(
                            "juniperusher.core.Relay",
                            "juniperusher.core.Journal",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.lab",
                            "org.eclipse.jetty")),
            Map.entry(
                    "lab/hollow",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "juniperusher.settings",
                            "juniperusher.lab.sockets",
                            "org.eclipse.jetty")),
            Map.entry(
                    "lab/shard",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.Control",
                            "java.io",
                            "java.net",
                            "java.nio",
                            "java.util.concurrent")),
            Map.entry(
                    "lab/fleet",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "java.io",
                            "java.net",
                            "java.nio",
                            "java.util.concurrent",
                            "java.lang.System",
                            "java.time")),
            Map.entry(
                    "lab/scale",
                    List.of(
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.sim",
                            "juniperusher.settings",
                            "juniperusher.lab.sockets",
                            "org.eclipse.jetty",
                            "java.net",
                            "java.util.concurrent")),
            Map.entry(
                    "sim",
                    List.of(
                            "juniperusher.core",
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "org.eclipse.jetty")),
            Map.entry(
                    "lab/sockets",
                    List.of(
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.cli",
                            "juniperusher.Control",
                            "juniperusher.storm",
                            "juniperusher.membership")),
            Map.entry(
                    "lab/report",
                    List.of(
                            "juniperusher.http",
                            "juniperusher.amqp",
                            "juniperusher.net",
                            "juniperusher.cli",
                            "juniperusher.core",
                            "juniperusher.Control",
                            "juniperusher.lab.sockets",
                            "org.eclipse.jetty",
                            "java.net")));

    @Test
    public void noPackageNamesOneThatItMayNotKnow() throws IOException {
        List<String> broken = new ArrayList<>();
        int read = 0;
        for (Map.Entry<String, List<String>> rule : FORBIDDEN.entrySet()) {
            try (Stream<Path> files = Files.list(ROOT.resolve(rule.getKey()))) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    read++;
                    String text = Files.readString(file);
                    rule.getValue().stream()
                            .filter(name -> text.contains(name + "."))
                            .forEach(name -> broken.add(file + " knows " + name));
                }
            }
        }
        assertEquals(broken, List.of());
        assertTrue(read > 30, "only " + read + " files were read");
    }
}
