package juniperusher.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** An encoded state, split into the messages of a snapshot. All subscribers that need a snapshot share it. */
record EncodedState(Version version, List<ControlMessage.SnapshotPart> parts, int totalBytes) {
    /** Splits an encoded state into parts of at most {@code maxPartBytes} bytes. */
    static EncodedState of(long term, Version version, byte[] bytes, int maxPartBytes) {
        int checksum = ControlMessageCodec.checksum(bytes, 0, bytes.length);
        int partCount = Math.max(1, (bytes.length + maxPartBytes - 1) / maxPartBytes);
        List<ControlMessage.SnapshotPart> parts = new ArrayList<>();
        for (int partIndex = 0; partIndex < partCount; partIndex++) {
            int from = partIndex * maxPartBytes;
            byte[] content = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + maxPartBytes));
            parts.add(new ControlMessage.SnapshotPart(term, version, partIndex, partCount, checksum, content));
        }
        return new EncodedState(version, parts, bytes.length);
    }

    /** Returns a part with that term of the sender. */
    ControlMessage.SnapshotPart part(int partIndex, long senderTerm) {
        ControlMessage.SnapshotPart part = parts.get(partIndex);
        return part.term() == senderTerm ? part : part.withTerm(senderTerm);
    }
}
