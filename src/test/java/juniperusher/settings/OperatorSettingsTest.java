package juniperusher.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import juniperusher.storm.StormSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Defaults, disabled tables, error messages and command-line overrides of the operator's settings file. */
class OperatorSettingsTest {
    @TempDir
    Path folder;

    private Path writeSettings(String text) throws Exception {
        return Files.writeString(folder.resolve("relay.toml"), text);
    }

    @Test
    void describedKeysCanBeReadAndHoldTheDefaults() throws Exception {
        assertEquals(
                StormSettings.DEFAULT,
                OperatorSettings.read(writeSettings(OperatorSettings.describeKeys()))
                        .storm());
        assertEquals(
                StormSettings.DEFAULT,
                OperatorSettings.read(writeSettings("[storm]\n")).storm());
    }

    @Test
    void missingOrDisabledStormTableGivesNoStormSettings() throws Exception {
        assertNull(OperatorSettings.read(writeSettings("")).storm());
        assertNull(OperatorSettings.read(writeSettings("[storm]\non = false\nquiet = 3\n"))
                .storm());
    }

    @Test
    void deploymentFileCanBeRead() throws Exception {
        assertEquals(
                StormSettings.DEFAULT,
                OperatorSettings.read(Path.of("deploy/relay.toml")).storm());
    }

    @Test
    void brokerEntriesGetTheirDefaults() throws Exception {
        var amqp = OperatorSettings.read(writeSettings("[amqp]\nclass = 'own'\nlisten = '127.0.0.1:5672'\n"
                        + "[[amqp.brokers]]\n"
                        + "destination = 7\naddress = 'b:5672'\nrouting_key = 'builds'\n"))
                .amqp();
        assertEquals("own", amqp.getString("class", ""));
        assertEquals("own", juniperusher.amqp.AmqpConfig.fromTable(amqp).defaultMessageClass());
        assertEquals(10, amqp.get("brokers").asArray().get(0).asObject().getDouble("weight", 0));
        assertNull(OperatorSettings.read(writeSettings("[amqp]\non = false\n")).amqp());
    }

    @Test
    void fleetAndControlTablesGetTheirDefaultsAndCanBeDisabled() throws Exception {
        OperatorSettings off =
                OperatorSettings.read(writeSettings("[storm]\n[fleet]\non = false\n[control]\non = false\n"));
        assertNull(off.fleet());
        assertNull(off.control());
        OperatorSettings on =
                OperatorSettings.read(writeSettings("[fleet]\ncontrol = ['h:1', '[::1]:65535']\nregion = 'r-1'\n"
                        + "zone = 'a'\n[control]\nlisten = '127.0.0.1:7400'\nstate = 's'\n"));
        assertEquals(30, on.fleet().getDouble("stale_after", 0));
        assertEquals("[::1]:65535", on.fleet().get("control").asArray().get(1).asString());
        assertEquals(0, on.control().get("upstream").asArray().size());
        assertEquals(on, OperatorSettings.read(writeSettings(on.toToml())));
    }

    @Test
    void effectiveSettingsCanBeReadBack() throws Exception {
        OperatorSettings first = OperatorSettings.read(writeSettings("[storm]\nquiet = 3\n[amqp]\nclass = 'own'\n"
                + "[[amqp.brokers]]\n"
                + "destination = 7\naddress = 'b:1'\nrouting_key = \"a \\\"b\\\"\"\n"));
        assertEquals(first, OperatorSettings.read(writeSettings(first.toToml())));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '"', textBlock = """
            [storm                          | :1: | ]
            [strom]                         | :1: | 'strom' is not known; expected one of storm, amqp, fleet, control
            storm = 3                       | :1: | object expected
            [storm];quite = 2               | :2: | 'storm.quite' is not known; expected one of on
            [storm];quiet = 'long'          | :2: | number expected
            [storm];on = 1                  | :2: | boolean expected
            [storm];quiet = 2;margin = 1.5  | :3: | must have a maximum value of 1
            [storm];outage_after = -1       | :2: | must have an exclusive minimum value of 0
            [storm];again_calm = 0.5        | :   | again_calm must be below again_share
            [amqp];class = 'c';listen = 'here' | :3: | does not match
            [amqp];class='c';[[amqp.brokers]];destination=1;address='b:1' | :3: | 'routing_key' not found
            [amqp];class='c';[[amqp.brokers]];adress='b:1' | :4: | 'amqp.brokers.0.adress' is not known
            [amqp];listen = 'h:1'           | :1: | 'class' not found
            [storm];margin = 2;[amqp];user = 3 | :2: | maximum value
            [fleet];region='r';zone='z'     | :1: | 'control' not found
            [fleet];control=['h:1'];zone='z' | :1: | 'region' not found
            [fleet];control=['h:1','h'];region='r';zone='z' | :2: | 'fleet.control.1'
            [fleet];control=['h:65536'];region='r';zone='z' | :2: | 'fleet.control.0' = "h:65536"
            [fleet];control=[];region='r';zone='z' | :2: | 'fleet.control'
            [fleet];control=['h:1'];region='R 1';zone='z' | :3: | 'fleet.region' = "R 1"
            [fleet];control=['h:1'];region='r';zone='' | :4: | 'fleet.zone'
            [fleet];control=['h:1'];region='r';zone='z';max_map_bytes=12 | :5: | 'fleet.max_map_bytes' = 12
            [fleet];control=['h:1'];region='r';zone='z';stale_after=0 | :5: | 'fleet.stale_after' = 0
            [control];listen='h:0';state='s' | :2: | 'control.listen' = "h:0"
            [control];listen='h:1'          | :1: | 'state' not found
            [control];listen='h:1';state='s';operator='10.0.0.1:7401' | :4: | 'control.operator'
            [control];listen='h:1';state='s';destinations=0 | :4: | 'control.destinations' = 0
            """)
    void invalidFileIsRefusedWithOneLineThatNamesThePlace(String text, String line, String expected) {
        TomlReader.InvalidTomlException exception = assertThrows(
                TomlReader.InvalidTomlException.class,
                () -> OperatorSettings.read(writeSettings(text.replace(';', '\n') + '\n')));
        assertTrue(exception.getMessage().contains("relay.toml" + line), exception.getMessage());
        assertTrue(exception.getMessage().contains(expected), exception.getMessage());
        assertEquals(1, exception.getMessage().lines().count());
    }

    /** Covers the older form of the AMQP settings: a separate JSON file. */
    @Test
    void amqpJsonFileWithoutAClassIsRefusedInOneLine() throws Exception {
        Path file = Files.writeString(folder.resolve("amqp.json"), "{\"listen\":\"127.0.0.1:5672\"}");
        String message = assertThrows(IllegalArgumentException.class, () -> juniperusher.amqp.AmqpConfig.readFile(file))
                .getMessage();
        assertTrue(message.startsWith("amqp.json cannot be read: class is missing"), message);
        assertEquals(1, message.lines().count());
    }

    // Guards against a broker without a destination that gets the messages of destination 0.
    @Test
    void amqpJsonFileWithABrokerWithoutDestinationIsRefusedInOneLine() throws Exception {
        Path file = Files.writeString(
                folder.resolve("amqp.json"), "{\"class\":\"own\",\"brokers\":[{\"address\":\"127.0.0.1:5672\"}]}");
        String message = assertThrows(IllegalArgumentException.class, () -> juniperusher.amqp.AmqpConfig.readFile(file))
                .getMessage();
        assertTrue(message.startsWith("amqp.json cannot be read: destination is missing"), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void commandLineOverrideReplacesTheFilesValueAndIsValidated() throws Exception {
        TomlReader reader = TomlReader.withSchema(OperatorSettings.class, "operator.schema.json");
        Path file = writeSettings("[storm]\nquiet = 3\n[amqp]\nclass = 'own'\n[[amqp.brokers]]\n"
                + "destination = 7\naddress = 'b:1'\n"
                + "routing_key = ''\n");
        var read = reader.read(file, List.of("storm.quiet=4", "amqp.brokers.0.destination=8"));
        assertEquals(4, read.get("storm").asObject().getDouble("quiet", 0));
        assertEquals(
                8,
                read.get("amqp")
                        .asObject()
                        .get("brokers")
                        .asArray()
                        .get(0)
                        .asObject()
                        .getInt("destination", 0));
        for (String invalid :
                List.of("storm.quiet=-1", "storm.quiet", "amqp.brokers.3.destination=1", "storm.quiet.x=1")) {
            assertTrue(
                    assertThrows(TomlReader.InvalidTomlException.class, () -> reader.read(file, List.of(invalid)))
                            .getMessage()
                            .startsWith("--set " + invalid),
                    invalid);
        }
    }
}
