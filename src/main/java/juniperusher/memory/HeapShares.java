package juniperusher.memory;

/**
 * The largest part of the heap that each kind of input may use. The rest is for the relay itself: its classes, the list
 * of endpoints, its connections, and room for the garbage collector.
 *
 * @param requestBytes  requests on server connections that are not complete or not answered yet
 * @param messageBytes  messages that are accepted and have not ended
 * @param responseBytes responses to calls that are being read
 */
public record HeapShares(long requestBytes, long messageBytes, long responseBytes) {
    private static final int REQUEST_DIVISOR = 6;
    private static final int MESSAGE_DIVISOR = 8;
    private static final int RESPONSE_DIVISOR = 16;

    /** Divides a heap of at most {@code maxHeapBytes}. */
    public static HeapShares of(long maxHeapBytes) {
        return new HeapShares(
                maxHeapBytes / REQUEST_DIVISOR, maxHeapBytes / MESSAGE_DIVISOR, maxHeapBytes / RESPONSE_DIVISOR);
    }

    /** Divides the heap of this process. */
    public static HeapShares ofThisProcess() {
        return of(Runtime.getRuntime().maxMemory());
    }
}
