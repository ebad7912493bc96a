package juniperusher.core;

import java.util.List;
import juniperusher.Protocol.Target;

/**
 * An additional protocol beside the platform's HTTP: a front that accepts RPCs and the endpoints that are called over
 * the same protocol.
 */
public interface Extension extends AutoCloseable {
    /** Endpoints of this extension, which resolver results do not contain. */
    List<Target> targets();

    /** Calls to these endpoints. */
    Subchannels subchannels();

    /** Adds the front of this extension to the relay. */
    void registerFront(Relay relay);

    /** Starts to accept RPCs. */
    void startAccepting() throws Exception;
}
