package juniperusher.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Guards against alert rules and README entries that name a metric which the program does not have: such an alert never
 * fires. The existing metrics are found in the text of the sources, as calls of {@code add} and {@code gauge} on a
 * variable named {@code counters}.
 */
public class AlertsTest {
    private static Set<String> findAll(Pattern pattern, String text) {
        Set<String> out = new TreeSet<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            out.add(matcher.group(1));
        }
        return out;
    }

    @Test
    public void alertsAndReadmeNameOnlyExistingMetrics() throws IOException {
        StringBuilder sources = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                sources.append(Files.readString(file));
            }
        }
        Set<String> existing =
                findAll(Pattern.compile("counters\\s*\\.(?:add|gauge)\\(\\s*\"(\\w+)\""), sources.toString());
        assertTrue(existing.size() >= 8, "metrics: " + existing);
        Pattern metricName = Pattern.compile("juniperusher_(\\w+)");
        for (String file : new String[] {"deploy/alerts.yml", "README.md"}) {
            Set<String> missing = findAll(metricName, Files.readString(Path.of(file)));
            assertTrue(missing.size() >= 3, file + " names " + missing);
            missing.removeAll(existing);
            assertEquals(missing, Set.of(), file);
        }
    }
}
