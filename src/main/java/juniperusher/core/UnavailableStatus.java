package juniperusher.core;

/**
 * A temporary refusal of an RPC.
 *
 * @param retryAfterSeconds seconds after which the client should retry, 0 for no advice
 */
public record UnavailableStatus(double retryAfterSeconds) {}
