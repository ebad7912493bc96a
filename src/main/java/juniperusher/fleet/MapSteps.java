package juniperusher.fleet;

import java.util.ArrayList;
import java.util.List;
import juniperusher.shard.ShardMapStep;

/** Parses an operator command into steps of the shard map: one or more, separated by {@code ;}. */
final class MapSteps {
    private static final String EXPECTED = "expected 'move FROM OWNER', 'release FROM', 'split FROM AT', 'merge FROM', "
            + "'put NAME REGION ZONE WEIGHT' or 'remove NAME'";

    private MapSteps() {}

    /**
     * Parses one line.
     *
     * @throws IllegalArgumentException with a one-line message if the line is not a valid command
     */
    static List<ShardMapStep> parse(String line) {
        List<ShardMapStep> steps = new ArrayList<>();
        for (String part : line.split(";")) {
            steps.add(step(part.strip()));
        }
        return steps;
    }

    private static ShardMapStep step(String text) {
        String[] words = text.split("\\s+");
        try {
            return switch (words[0] + "/" + words.length) {
                case "move/3" -> new ShardMapStep.Move(Integer.parseInt(words[1]), words[2]);
                case "release/2" -> new ShardMapStep.Release(Integer.parseInt(words[1]));
                case "split/3" -> new ShardMapStep.Split(Integer.parseInt(words[1]), Integer.parseInt(words[2]));
                case "merge/2" -> new ShardMapStep.Merge(Integer.parseInt(words[1]));
                case "put/5" -> new ShardMapStep.PutRelay(RelayList.parse(text.substring("put ".length()), "put"));
                case "remove/2" -> new ShardMapStep.RemoveRelay(words[1]);
                default -> throw new IllegalArgumentException("'" + text + "': " + EXPECTED);
            };
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "': expected a destination's number; " + EXPECTED, e);
        }
    }
}
