package juniperusher.core;

import juniperusher.clock.SteadyClock;

/**
 * An attempt to deliver an RPC. The time window in which it may be repeated starts with it.
 *
 * @param startedAtMillis time just before the first byte in milliseconds of {@link SteadyClock}
 * @param zoneIndex index of the endpoint's zone in the settings, -1 if unknown
 */
public record Attempt(long startedAtMillis, int zoneIndex) {}
