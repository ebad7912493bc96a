package juniperusher.lab;

/**
 * What a client asks for, over all its attempts to hand it in. Not safe for threads.
 */
public final class Wish {
    /** Place of the message's destination in the plan. */
    public final int destination;
    /** Place of its class in the settings. */
    public final int messageClass;
    /** Place of its tenant in the plan, 0 if there are none. */
    public final int tenant;
    /** The relay that it is handed in to. */
    public final int relay;
    /** The key of its order, 0 for none. */
    public final long key;
    /** s, when it was asked for. */
    public final double from;
    /** s, when its time is up. */
    public final double until;

    private int tries;

    Wish(int destination, int messageClass, int tenant, int relay, long key, double from, double until) {
        this.destination = destination;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.relay = relay;
        this.key = key;
        this.from = from;
        this.until = until;
    }

    /** How often it has been handed in to a relay that was there. */
    public int tries() {
        return tries;
    }

    /** It is handed in. */
    public void handedIn() {
        tries++;
    }

    /** It has reached no relay: that was no try. */
    public void unreached() {
        tries--;
    }

    /** Whether it carries a key. */
    public boolean keyed() {
        return key != 0;
    }

    /** Its key as text. */
    public String subject() {
        return Long.toHexString(key);
    }
}
