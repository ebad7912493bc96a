package juniperusher.core;

/**
 * A temporary refusal of an RPC.
 *
 * @param retryAfter seconds after which the client should retry, 0 for no advice
 */
public record UnavailableStatus(double retryAfter) {}
