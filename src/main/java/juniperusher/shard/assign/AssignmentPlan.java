package juniperusher.shard.assign;

import java.util.List;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapStep;

/**
 * The changes that assign all ranges to available relays within the load bounds. Immutable.
 *
 * @param steps the steps of one epoch; empty if nothing changes
 * @param movedDestinations the number of destinations that get another owner
 * @param minMovedDestinations a lower bound of the number of destinations that any assignment within the bounds moves
 * @param unavailableRegions the regions without an available relay; the owners of their ranges do not change
 */
public record AssignmentPlan(
        List<ShardMapStep> steps, long movedDestinations, long minMovedDestinations, List<String> unavailableRegions) {
    /** Applies the steps and returns the next map, or returns the given map if there are no steps. */
    public ShardMap applyTo(ShardMap map) {
        return steps.isEmpty() ? map : map.withSteps(steps);
    }
}
