package juniperusher.amqp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import juniperusher.clock.SteadyClock;

/** A queue of outcomes that wait for a client to consume them. Its name is the reply-to of the orders. Thread-safe. */
final class ReplyQueue {
    private static final long RETENTION_MILLIS = 600_000;

    private final Deque<Delivery> pending = new ArrayDeque<>();
    private final List<Consumer> consumers = new ArrayList<>();
    private int deliveryCount;
    private long retentionMillis = RETENTION_MILLIS;

    /**
     * An outcome to be delivered to a client.
     *
     * @param queue         name of the queue
     * @param content       the message
     * @param redelivered   whether the client may have received it before
     * @param createdMillis when the outcome was first queued, by {@link SteadyClock}
     * @param onCompleted   run when the client has acknowledged it, when it was sent to a consumer without
     *     acknowledgements, or when it has expired
     */
    record Delivery(String queue, Content content, boolean redelivered, long createdMillis, Runnable onCompleted) {
        /** Returns a copy marked as redelivered. */
        Delivery asRedelivered() {
            return new Delivery(queue, content, true, createdMillis, onCompleted);
        }
    }

    private record Consumer(AmqpServerConnection.ServerChannel channel, String tag, boolean noAck) {}

    /** Changes how long an outcome waits to be consumed, 10 minutes by default. */
    synchronized void setRetention(long millis) {
        retentionMillis = millis;
    }

    synchronized int pendingCount() {
        return pending.size();
    }

    /** Adds an outcome, drops expired ones and delivers what it can. */
    void add(Delivery delivery) {
        Deque<Delivery> expired = new ArrayDeque<>();
        synchronized (this) {
            pending.add(delivery);
            // Outcomes that no client consumes expire: they would fill the journal until the relay accepts no RPC.
            while (!pending.isEmpty() && SteadyClock.millis() - pending.peek().createdMillis() > retentionMillis) {
                expired.add(pending.poll());
            }
        }
        expired.forEach(each -> each.onCompleted().run());
        deliver();
    }

    /** Adds a consumer; outcomes are distributed to consumers in turn. */
    void addConsumer(AmqpServerConnection.ServerChannel channel, String tag, boolean noAck) {
        synchronized (this) {
            consumers.add(new Consumer(channel, tag, noAck));
        }
        deliver();
    }

    /** Removes a consumer; what it has not acknowledged stays with its channel. */
    synchronized void removeConsumer(AmqpServerConnection.ServerChannel channel, String tag) {
        consumers.removeIf(
                consumer -> consumer.channel() == channel && consumer.tag().equals(tag));
    }

    private void deliver() {
        while (true) {
            Delivery next;
            Consumer consumer;
            synchronized (this) {
                if (pending.isEmpty() || consumers.isEmpty()) {
                    return;
                }
                next = pending.poll();
                consumer = consumers.get(deliveryCount++ % consumers.size());
            }
            if (!consumer.channel().deliver(consumer.tag(), consumer.noAck(), next)) {
                removeConsumer(consumer.channel(), consumer.tag());
                synchronized (this) {
                    pending.addFirst(next);
                }
            }
        }
    }
}
