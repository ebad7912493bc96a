package juniperusher.core;

import java.nio.charset.StandardCharsets;
import juniperusher.Protocol.MessageClass;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Maps order keys of any length to 64 bits for the decision module. Two keys with the same hash are ordered as one key.
 */
final class OrderKeys {
    private static final long NO_KEY = 0;
    private static final long KEY_FOR_ZERO_HASH = 1;

    private OrderKeys() {}

    /**
     * Returns the order key of a request, or 0 if its messages are not ordered.
     *
     * @param messageClass class of the request, null if it is unknown
     */
    static long of(RpcRequest request, MessageClass messageClass) {
        if (messageClass == null
                || !messageClass.ordered()
                || request.orderKey().isEmpty()) {
            return NO_KEY;
        }
        long hash = MurmurHash3.hash128x64(request.orderKey().getBytes(StandardCharsets.UTF_8))[0];
        return hash == NO_KEY ? KEY_FOR_ZERO_HASH : hash;
    }
}
