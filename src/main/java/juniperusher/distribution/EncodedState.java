package juniperusher.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A whole state as the messages that carry it, shared by all who get it. */
record EncodedState(Version version, List<ControlMessage.SnapshotPart> parts, int bytes) {
    /** Cuts the bytes into parts of at most so many each. */
    static EncodedState of(long term, Version version, byte[] bytes, int partBytes) {
        int checksum = ControlMessageCodec.checksum(bytes, 0, bytes.length);
        int count = Math.max(1, (bytes.length + partBytes - 1) / partBytes);
        List<ControlMessage.SnapshotPart> parts = new ArrayList<>();
        for (int part = 0; part < count; part++) {
            int from = part * partBytes;
            byte[] piece = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + partBytes));
            parts.add(new ControlMessage.SnapshotPart(term, version, part, count, checksum, piece));
        }
        return new EncodedState(version, parts, bytes.length);
    }

    /** One part, from a sender that has seen that term. */
    ControlMessage.SnapshotPart part(int number, long term) {
        ControlMessage.SnapshotPart part = parts.get(number);
        return part.term() == term ? part : part.inTerm(term);
    }
}
