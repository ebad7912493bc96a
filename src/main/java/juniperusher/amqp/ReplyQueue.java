package juniperusher.amqp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Ends that wait for the client that asked for them, under the name of its reply-to. */
final class ReplyQueue {
    private final Deque<Delivery> waiting = new ArrayDeque<>();
    private final List<Consumer> consumers = new ArrayList<>();
    private int turn;

    /** An end as a message; {@code acknowledged} runs once the client has it. */
    record Delivery(String queue, Content content, boolean again, Runnable acknowledged) {
        Delivery putBack() {
            return new Delivery(queue, content, true, acknowledged);
        }
    }

    private record Consumer(AmqpServerConnection.ServerChannel channel, String tag, boolean noAck) {
    }

    synchronized int waiting() {
        return waiting.size();
    }

    void add(Delivery delivery) {
        synchronized (this) {
            waiting.add(delivery);
        }
        deliver();
    }

    void consume(AmqpServerConnection.ServerChannel channel, String tag, boolean noAck) {
        synchronized (this) {
            consumers.add(new Consumer(channel, tag, noAck));
        }
        deliver();
    }

    synchronized void cancel(AmqpServerConnection.ServerChannel channel, String tag) {
        consumers.removeIf(consumer -> consumer.channel() == channel && consumer.tag().equals(tag));
    }

    private void deliver() {
        while (true) {
            Delivery next;
            Consumer consumer;
            synchronized (this) {
                if (waiting.isEmpty() || consumers.isEmpty()) {
                    return;
                }
                next = waiting.poll();
                consumer = consumers.get(turn++ % consumers.size());
            }
            if (!consumer.channel().deliver(consumer.tag(), consumer.noAck(), next)) {
                cancel(consumer.channel(), consumer.tag());
                synchronized (this) {
                    waiting.addFirst(next);
                }
            }
        }
    }
}
