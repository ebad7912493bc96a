package juniperusher.cli;

import java.util.List;
import java.util.Map;
import juniperusher.lab.Plan;
import juniperusher.lab.Run;

final class LabSockets {
    private LabSockets() {
    }

    static List<Run> play(Map<String, List<Plan>> plans) {
        throw new com.beust.jcommander.ParameterException("engine = \"sockets\" is not there yet");
    }
}
