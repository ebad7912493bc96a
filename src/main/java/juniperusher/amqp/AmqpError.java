package juniperusher.amqp;

/** A protocol error that closes a channel or the connection with a reply code of the AMQP 0-9-1 specification. */
final class AmqpError extends RuntimeException {
    static final int CONTENT_TOO_LARGE = 311;
    static final int NO_ROUTE = 312;
    static final int CONNECTION_FORCED = 320;
    static final int ACCESS_REFUSED = 403;
    static final int NOT_FOUND = 404;
    static final int PRECONDITION_FAILED = 406;
    static final int FRAME_ERROR = 501;
    static final int SYNTAX_ERROR = 502;
    static final int COMMAND_INVALID = 503;
    static final int CHANNEL_ERROR = 504;
    static final int UNEXPECTED_FRAME = 505;
    static final int NOT_ALLOWED = 530;
    static final int NOT_IMPLEMENTED = 540;
    private static final long serialVersionUID = 1L;

    private final int replyCode;

    AmqpError(int replyCode, String text) {
        super(text);
        this.replyCode = replyCode;
    }

    /** The reply code, one of the constants of this class. */
    int replyCode() {
        return replyCode;
    }

    /** Whether this is a channel exception, which leaves the connection open, rather than a connection exception. */
    boolean closesOnlyChannel() {
        return replyCode == CONTENT_TOO_LARGE
                || replyCode == ACCESS_REFUSED
                || replyCode == NOT_FOUND
                || replyCode == PRECONDITION_FAILED;
    }
}
