package juniperusher.lab.fleet;

/**
 * A state for the laboratory, of which only the order of its changes is kept: as a count and a hash over all of them,
 * so that two states are the same only if the same changes led to them.
 */
public record Ledger(long changes, long hash) {
    /** Before any change. */
    public static final Ledger EMPTY = new Ledger(0, 0);

    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    Ledger after(long change) {
        return new Ledger(changes + 1, (Long.rotateLeft(hash, 17) ^ change) * MULTIPLIER + 1);
    }
}
