package juniperusher.shard.assign;

import java.util.List;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapStep;

/**
 * What is to change for the available relays to own everything within the bounds.
 *
 * @param steps of one epoch; empty where nothing is to change
 * @param moved how many destinations get another owner
 * @param minimum no assignment within the bounds moves fewer
 * @param abandonedRegions the regions without an available relay; their ranges keep the owners that they have
 */
public record AssignmentPlan(List<ShardMapStep> steps, long moved, long minimum, List<String> abandonedRegions) {
    /** The map with the steps taken, the same one where there is none. */
    public ShardMap applyTo(ShardMap map) {
        return steps.isEmpty() ? map : map.next(steps);
    }
}
