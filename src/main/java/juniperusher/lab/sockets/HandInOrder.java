package juniperusher.lab.sockets;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import juniperusher.lab.ClientMessage;

/** Clients hand in messages of one key one after another, each when the one before it has its answer. */
final class HandInOrder {
    private final Map<Long, Deque<ClientMessage>> waiting = new HashMap<>(); // by key that awaits an answer

    /** Whether a message may be handed in now; if not, {@link #answered} tells when. */
    boolean mayGo(ClientMessage wish) {
        if (!wish.hasKey()) {
            return true;
        }
        Deque<ClientMessage> before = waiting.get(wish.key);
        if (before == null) {
            waiting.put(wish.key, new ArrayDeque<>());
            return true;
        }
        before.add(wish);
        return false;
    }

    /** A message has its answer, or is not handed in after all; the next of its key, which may go now. */
    Optional<ClientMessage> answered(ClientMessage wish) {
        if (!wish.hasKey()) {
            return Optional.empty();
        }
        ClientMessage next = waiting.get(wish.key).poll();
        if (next == null) {
            waiting.remove(wish.key);
        }
        return Optional.ofNullable(next);
    }

    /** Whether any message waits for another's answer. */
    boolean isEmpty() {
        return waiting.isEmpty();
    }
}
