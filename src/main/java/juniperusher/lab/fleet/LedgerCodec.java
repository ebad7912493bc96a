package juniperusher.lab.fleet;

import java.util.zip.CRC32C;
import juniperusher.distribution.DamagedStateException;
import juniperusher.distribution.StateCodec;

/** Ledgers and their changes as bytes of a chosen length, each with a checksum of its numbers. */
public final class LedgerCodec implements StateCodec<Ledger> {
    /** The fewest bytes of a state. */
    public static final int SMALLEST_STATE = 20;
    /** The fewest bytes of a change. */
    public static final int SMALLEST_CHANGE = 12;

    private final int stateBytes;

    /** States are encoded in so many bytes. */
    public LedgerCodec(int stateBytes) {
        this.stateBytes = Math.max(SMALLEST_STATE, stateBytes);
    }

    /** A change of so many bytes. */
    public static byte[] change(long value, int bytes) {
        byte[] change = new byte[Math.max(SMALLEST_CHANGE, bytes)];
        put(change, 0, Long.BYTES, value);
        return sealed(change, Long.BYTES);
    }

    @Override
    public byte[] encode(Ledger state) {
        byte[] bytes = new byte[stateBytes];
        put(bytes, 0, Long.BYTES, state.changes());
        put(bytes, Long.BYTES, Long.BYTES, state.hash());
        return sealed(bytes, 2 * Long.BYTES);
    }

    @Override
    public Ledger decode(byte[] bytes) throws DamagedStateException {
        check(bytes, 2 * Long.BYTES);
        return new Ledger(get(bytes, 0, Long.BYTES), get(bytes, Long.BYTES, Long.BYTES));
    }

    @Override
    public Ledger apply(Ledger state, byte[] delta) throws DamagedStateException {
        check(delta, Long.BYTES);
        return state.after(get(delta, 0, Long.BYTES));
    }

    private static void check(byte[] bytes, int numbers) throws DamagedStateException {
        if (bytes.length < numbers + Integer.BYTES
                || (int) get(bytes, numbers, Integer.BYTES) != checksum(bytes, numbers)) {
            throw new DamagedStateException(bytes.length + " bytes whose checksum is not that of their numbers");
        }
    }

    private static byte[] sealed(byte[] bytes, int numbers) {
        put(bytes, numbers, Integer.BYTES, checksum(bytes, numbers));
        return bytes;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }

    private static void put(byte[] bytes, int at, int length, long number) {
        for (int i = 0; i < length; i++) {
            bytes[at + i] = (byte) (number >>> 8 * (length - 1 - i));
        }
    }

    private static long get(byte[] bytes, int at, int length) {
        long number = 0;
        for (int i = 0; i < length; i++) {
            number = number << 8 | Byte.toUnsignedLong(bytes[at + i]);
        }
        return number;
    }
}
