package juniperusher.lab.fleet;

import java.nio.ByteBuffer;
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
        ByteBuffer out = ByteBuffer.allocate(Math.max(SMALLEST_CHANGE, bytes)).putLong(value);
        return out.putInt(checksum(out.array(), Long.BYTES)).array();
    }

    @Override
    public byte[] encode(Ledger state) {
        ByteBuffer out =
                ByteBuffer.allocate(stateBytes).putLong(state.changes()).putLong(state.hash());
        return out.putInt(checksum(out.array(), 2 * Long.BYTES)).array();
    }

    @Override
    public Ledger decode(byte[] bytes) throws DamagedStateException {
        ByteBuffer in = checked(bytes, 2 * Long.BYTES);
        return new Ledger(in.getLong(), in.getLong());
    }

    @Override
    public Ledger apply(Ledger state, byte[] delta) throws DamagedStateException {
        return state.after(checked(delta, Long.BYTES).getLong());
    }

    private static ByteBuffer checked(byte[] bytes, int numbers) throws DamagedStateException {
        if (bytes.length < numbers + Integer.BYTES
                || ByteBuffer.wrap(bytes).getInt(numbers) != checksum(bytes, numbers)) {
            throw new DamagedStateException(bytes.length + " bytes whose checksum is not that of their numbers");
        }
        return ByteBuffer.wrap(bytes);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }
}
