package juniperusher.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import juniperusher.storm.StormSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorSettingsTest {
    @TempDir
    Path folder;

    private Path file(String text) throws Exception {
        return Files.writeString(folder.resolve("relay.toml"), text);
    }

    @Test
    void whatIsShownCanBeReadAndSaysTheDefaults() throws Exception {
        assertEquals(StormSettings.USUAL, OperatorSettings.read(file(OperatorSettings.shown())).storm());
        assertEquals(StormSettings.USUAL, OperatorSettings.read(file("[storm]\n")).storm());
    }

    @Test
    void withoutItsTableOrSwitchedOffAPartIsOff() throws Exception {
        assertNull(OperatorSettings.read(file("")).storm());
        assertNull(OperatorSettings.read(file("[storm]\non = false\nquiet = 3\n")).storm());
    }

    @Test
    void theFileOfTheDeploymentCanBeRead() throws Exception {
        assertEquals(StormSettings.USUAL, OperatorSettings.read(Path.of("deploy/relay.toml")).storm());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            [storm                          | :1: | ]
            [strom]                         | :1: | 'strom' is not known; expected the table [storm]
            storm = 3                       | :1: | expected the table
            [storm];quite = 2               | :2: | expected one of on, again_calm
            [storm];quiet = 'long'          | :2: | expected a number
            [storm];on = 1                  | :2: | expected true or false
            [storm];quiet = 2;margin = 1.5  | :3: | margin must be above 0 and at most 1
            [storm];outage_after = -1       | :2: | outage_after must be above 0
            [storm];again_calm = 0.5        | :2: | again_calm must be below again_share
            """)
    void aMistakeIsOneLineThatSaysWhere(String text, String line, String expected) {
        OperatorSettings.Mistake mistake = assertThrows(OperatorSettings.Mistake.class,
                () -> OperatorSettings.read(file(text.replace(';', '\n') + '\n')));
        assertTrue(mistake.getMessage().contains("relay.toml" + line), mistake.getMessage());
        assertTrue(mistake.getMessage().contains(expected), mistake.getMessage());
        assertEquals(1, mistake.getMessage().lines().count());
    }
}
