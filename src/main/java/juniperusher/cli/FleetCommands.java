package juniperusher.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import juniperusher.core.Counters;
import juniperusher.fleet.ControlService;
import juniperusher.fleet.ControlSettings;
import juniperusher.fleet.FleetMembership;
import juniperusher.fleet.FleetSettings;
import juniperusher.settings.OperatorSettings;

/**
 * The command {@code control}, and the subscription of a relay to the fleet's shard map. {@code serve} loads
 * the classes of the fleet only if its settings enable the table [fleet].
 */
final class FleetCommands {
    private FleetCommands() {}

    /** Subscribes the relay to the shard map until the result is closed. */
    static AutoCloseable subscribeToShardMap(JsonObject table, String relayName, Path stateFolder, Counters counters)
            throws IOException {
        return FleetMembership.start(FleetSettings.of(table), relayName, stateFolder, counters);
    }

    @Parameters(commandDescription = "Runs a control process of the fleet, as configured by [control] in the settings")
    static final class RunControl implements Main.Command {
        @Parameter(names = "--settings", required = true, description = "The operator's TOML file")
        private String settingsFile;

        @Override
        public int run() throws Exception {
            OperatorSettings operator = SettingsFile.read(settingsFile);
            if (operator.control() == null) {
                throw new ParameterException(settingsFile + ": expected a table [control] that is on");
            }
            ControlService service;
            try {
                service = ControlService.start(ControlSettings.of(operator.control()));
            } catch (IllegalArgumentException e) {
                throw new ParameterException(settingsFile + ": " + e.getMessage());
            }
            System.out.println("control process on " + service.subscriberAddress()
                    + (service.operatorAddress() == null ? "" : ", operator on " + service.operatorAddress()));
            Runtime.getRuntime().addShutdownHook(new Thread(service::close, "close"));
            new CountDownLatch(1).await();
            return 0;
        }
    }
}
