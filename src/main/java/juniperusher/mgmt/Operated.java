package juniperusher.mgmt;

/** The relay as the operators' calls see it. Implementations are thread-safe. */
public interface Operated {
    /** The result of entering or leaving maintenance. */
    enum Answer {
        /** The call has taken effect, or already had. */
        DONE,
        /** Discovery has never listed an endpoint with this id. */
        UNKNOWN,
        /** The relay is still starting. */
        NOT_NOW
    }

    /** Whether this process serves clients at present. */
    boolean serving();

    /** Puts the endpoint under maintenance: after the return no new calls go to it, until {@link #exit}. */
    Answer enter(String id);

    /** Ends the maintenance of the endpoint, so that calls may go to it again. */
    Answer exit(String id);

    /** Stands for a relay that is still starting: it does not serve, and maintenance calls are refused. */
    Operated STARTING = new Operated() {
        @Override
        public boolean serving() {
            return false;
        }

        @Override
        public Answer enter(String id) {
            return Answer.NOT_NOW;
        }

        @Override
        public Answer exit(String id) {
            return Answer.NOT_NOW;
        }
    };
}
