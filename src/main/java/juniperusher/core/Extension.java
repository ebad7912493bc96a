package juniperusher.core;

import java.util.List;
import juniperusher.Protocol.Target;

/** A further front and the endpoints that are reached over its wire, beside those of the platform. */
public interface Extension extends AutoCloseable {
    /** Its endpoints, which no resolver result names. */
    List<Target> targets();

    /** Calls to them. */
    Subchannels subchannels();

    /** Adds its front to the relay. */
    void join(Relay relay);

    /** Begins to take RPCs in. */
    void open() throws Exception;
}
