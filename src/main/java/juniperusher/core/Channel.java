package juniperusher.core;

/** The client's side of one RPC: told once whether the relay takes the RPC on. */
public interface Channel {
    /** The relay has taken the RPC on and owes it its end. */
    void takenOn();

    /** The relay has not taken it on; handing it in again is harmless. */
    void refused(UnavailableStatus status);
}
