package juniperusher.core;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The log of what becomes of each message, by its id: one line for each state transition, so that a message can be
 * followed from its client's request to its final answer. Lines are written at level DEBUG to a logger of their own,
 * {@value #NAME}, which {@code -Dorg.slf4j.simpleLogger.log.juniperusher.messages=debug} turns on. Safe for threads.
 */
final class MessageLog {
    /** Name of the logger. */
    static final String NAME = "juniperusher.messages";

    private static final Logger LOG = LoggerFactory.getLogger(NAME);

    private MessageLog() {}

    /** The message was written to the journal and its client is about to hear that it is taken on. */
    static void taken(int number, RpcRequest request, double secondsLeft) {
        LOG.atDebug()
                .addKeyValue("id", request.id())
                .addKeyValue("number", number)
                .addKeyValue("class", request.messageClass())
                .addKeyValue("destination", request.destination())
                .addKeyValue("left", secondsLeft)
                .log("taken on");
    }

    /** The message was not taken on, for that reason. */
    static void refused(RpcRequest request, String reason) {
        LOG.atDebug()
                .addKeyValue("id", request.id())
                .addKeyValue("reason", reason)
                .log("refused");
    }

    /** An earlier process left the message unfinished. */
    static void recovered(Journal.Owed left, double secondsLeft) {
        LOG.atDebug()
                .addKeyValue("id", left.request().id())
                .addKeyValue("number", left.number())
                .addKeyValue("attempts", left.attempts())
                .addKeyValue("may_have_run", left.mayHaveRun())
                .addKeyValue("end", left.end() == null ? "none" : left.end().kind())
                .addKeyValue("left", secondsLeft)
                .log("recovered");
    }

    /** The message joins a call, which starts once all of its {@code members} have joined. */
    static void attempt(Rpc rpc, int attempt, SharedCall call) {
        LOG.atDebug()
                .addKeyValue("id", rpc.request().id())
                .addKeyValue("attempt", attempt)
                .addKeyValue("endpoint", call.target().id())
                .addKeyValue("call", call.number())
                .addKeyValue("members", call.size())
                .addKeyValue("left", rpc.timeLeft())
                .log("attempt");
    }

    /** The message's part in a call is over. */
    static void attemptEnded(Rpc rpc, int attempt, SharedCall call, CallResult result) {
        LOG.atDebug()
                .addKeyValue("id", rpc.request().id())
                .addKeyValue("attempt", attempt)
                .addKeyValue("call", call.number())
                .addKeyValue("end", result.end())
                .addKeyValue("elapsed", call.elapsed())
                .addKeyValue("told", result.told())
                .log("attempt ended");
    }

    /** The message has its final answer. */
    static void ended(Rpc rpc, RpcEnd end) {
        LOG.atDebug()
                .addKeyValue("id", end.id())
                .addKeyValue("end", end.kind())
                .addKeyValue("left", rpc.timeLeft())
                .log("ended");
    }

    /** The platform has acknowledged the status report with the message's final answer. */
    static void reported(RpcRequest request) {
        LOG.atDebug().addKeyValue("id", request.id()).log("end acknowledged");
    }
}
