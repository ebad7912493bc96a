package juniperusher.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the state transitions of each message, one line each with the message's id, so that a message can be followed
 * from its submission to the acknowledgement of its end. Lines are written at level DEBUG to the logger {@value #NAME},
 * which {@code -Dorg.slf4j.simpleLogger.log.juniperusher.messages=debug} turns on. Safe for threads.
 */
final class MessageLog {
    /** Name of the logger. */
    static final String NAME = "juniperusher.messages";

    private static final Logger LOG = LoggerFactory.getLogger(NAME);

    private MessageLog() {}

    /** The message is in the journal, and its client is about to be told that it is accepted. */
    static void accepted(int number, RpcRequest request, double secondsLeft) {
        LOG.atDebug()
                .addKeyValue("id", request.id())
                .addKeyValue("number", number)
                .addKeyValue("class", request.messageClass())
                .addKeyValue("destination", request.destination())
                .addKeyValue("left", secondsLeft)
                .log("taken on");
    }

    /** The message was not accepted. */
    static void refused(RpcRequest request, String reason) {
        LOG.atDebug()
                .addKeyValue("id", request.id())
                .addKeyValue("reason", reason)
                .log("refused");
    }

    /** The client left before it could be told that the message is accepted; it is not sent. */
    static void withdrawn(RpcRequest request) {
        LOG.atDebug().addKeyValue("id", request.id()).log("withdrawn: its client has left");
    }

    /** The message came again and is not sent because of that; {@code earlierEnd} is null while it is pending. */
    static void returned(RpcRequest request, RpcEnd.Kind earlierEnd) {
        LOG.atDebug()
                .addKeyValue("id", request.id())
                .addKeyValue("end", earlierEnd == null ? "none" : earlierEnd)
                .log("came again");
    }

    /** A message that an earlier process left unfinished was read. */
    static void recovered(UnfinishedMessage entry, double secondsLeft) {
        LOG.atDebug()
                .addKeyValue("id", entry.request().id())
                .addKeyValue("number", entry.number())
                .addKeyValue("attempts", entry.attempts())
                .addKeyValue("may_have_run", entry.mayHaveRun())
                .addKeyValue("end", entry.end() == null ? "none" : entry.end().kind())
                .addKeyValue("left", secondsLeft)
                .log("recovered");
    }

    /** The message joins a call, which starts once all its {@code members} have joined. */
    static void attempt(Rpc rpc, int attempt, SharedCall call) {
        LOG.atDebug()
                .addKeyValue("id", rpc.request().id())
                .addKeyValue("attempt", attempt)
                .addKeyValue("endpoint", call.target().id())
                .addKeyValue("call", call.number())
                .addKeyValue("members", call.size())
                .addKeyValue("left", rpc.secondsLeft())
                .log("attempt");
    }

    /** The message's attempt, its part in a call, has ended. */
    static void attemptEnded(Rpc rpc, int attempt, SharedCall call, CallResult result) {
        LOG.atDebug()
                .addKeyValue("id", rpc.request().id())
                .addKeyValue("attempt", attempt)
                .addKeyValue("call", call.number())
                .addKeyValue("end", result.end())
                .addKeyValue("elapsed", call.elapsedSeconds())
                .addKeyValue("told", result.retryAfterSeconds())
                .log("attempt ended");
    }

    /** The message has ended. */
    static void ended(Rpc rpc, RpcEnd end) {
        LOG.atDebug()
                .addKeyValue("id", end.id())
                .addKeyValue("end", end.kind())
                .addKeyValue("left", rpc.secondsLeft())
                .log("ended");
    }

    /** The status report of the message's end is acknowledged. */
    static void reported(RpcRequest request) {
        LOG.atDebug().addKeyValue("id", request.id()).log("end acknowledged");
    }
}
