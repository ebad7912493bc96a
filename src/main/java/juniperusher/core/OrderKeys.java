package juniperusher.core;

import java.nio.charset.StandardCharsets;
import juniperusher.Protocol.MessageClass;
import org.apache.commons.codec.digest.MurmurHash3;

/** Order keys of any length as the module's 64 bits. Two keys that share a hash are ordered as if one. */
final class OrderKeys {
    private static final long NONE = 0;
    private static final long INSTEAD_OF_NONE = 1; // for a key whose hash is that of no key

    private OrderKeys() {}

    /** The key of a request of that class (null for one that is unknown); 0 where it has no order. */
    static long of(RpcRequest request, MessageClass kind) {
        if (kind == null || !kind.ordered() || request.orderKey().isEmpty()) {
            return NONE;
        }
        long hash = MurmurHash3.hash128x64(request.orderKey().getBytes(StandardCharsets.UTF_8))[0];
        return hash == NONE ? INSTEAD_OF_NONE : hash;
    }
}
