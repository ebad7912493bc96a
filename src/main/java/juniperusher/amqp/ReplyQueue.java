package juniperusher.amqp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import juniperusher.clock.SteadyClock;

/** Ends that wait for the client that asked for them, under the name of its reply-to. */
final class ReplyQueue {
    private static final long KEPT = 600_000; // ms for which an end waits for its client

    private final Deque<Delivery> waiting = new ArrayDeque<>();
    private final List<Consumer> consumers = new ArrayList<>();
    private int turn;
    private long keptMillis = KEPT;

    /** An end as a message; {@code acknowledged} runs once the client has it. */
    record Delivery(String queue, Content content, boolean again, long since, Runnable acknowledged) {
        Delivery putBack() {
            return new Delivery(queue, content, true, since, acknowledged);
        }
    }

    private record Consumer(AmqpServerConnection.ServerChannel channel, String tag, boolean noAck) {}

    /** Keeps ends for another time than the usual one. */
    synchronized void keep(long millis) {
        keptMillis = millis;
    }

    synchronized int waiting() {
        return waiting.size();
    }

    void add(Delivery delivery) {
        Deque<Delivery> old = new ArrayDeque<>();
        synchronized (this) {
            waiting.add(delivery);
            // Guards against ends that nobody fetches: they would fill the journal until nothing is taken on.
            while (SteadyClock.millis() - waiting.peek().since() > keptMillis) {
                old.add(waiting.poll());
            }
        }
        old.forEach(each -> each.acknowledged().run());
        deliver();
    }

    void consume(AmqpServerConnection.ServerChannel channel, String tag, boolean noAck) {
        synchronized (this) {
            consumers.add(new Consumer(channel, tag, noAck));
        }
        deliver();
    }

    synchronized void cancel(AmqpServerConnection.ServerChannel channel, String tag) {
        consumers.removeIf(
                consumer -> consumer.channel() == channel && consumer.tag().equals(tag));
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
