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

/** The fleet's commands, and a relay's part in it. Nothing of the fleet is loaded where none of them runs. */
final class FleetCommands {
    private FleetCommands() {}

    /** The relay subscribes to the shard map from now on. */
    static AutoCloseable join(JsonObject table, String name, Path state, Counters counters) throws IOException {
        return FleetMembership.start(FleetSettings.of(table), name, state, counters);
    }

    @Parameters(commandDescription = "Runs a control process of the fleet, as [control] in the settings says")
    static final class RunControl implements Main.Command {
        @Parameter(names = "--settings", required = true, description = "The operator's own TOML file")
        private String settings;

        @Override
        public int run() throws Exception {
            OperatorSettings operator = SettingsFile.read(settings);
            if (operator.control() == null) {
                throw new ParameterException(settings + ": expected a table [control] that is on");
            }
            ControlService service;
            try {
                service = ControlService.start(ControlSettings.of(operator.control()));
            } catch (IllegalArgumentException e) {
                throw new ParameterException(settings + ": " + e.getMessage());
            }
            System.out.println("control process on " + service.listening()
                    + (service.operator() == null ? "" : ", operator on " + service.operator()));
            Runtime.getRuntime().addShutdownHook(new Thread(service::close, "close"));
            new CountDownLatch(1).await();
            return 0;
        }
    }
}
