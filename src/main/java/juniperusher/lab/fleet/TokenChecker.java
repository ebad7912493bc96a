package juniperusher.lab.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that there is one owner at a time. It sees what each process believes by its own reckoning, told
 * at every
 * moment that the laboratory plays, and what the store let through.
 */
public final class TokenChecker {
    private final Map<String, Map<String, Long>> believed = new HashMap<>(); // thing, holder: token
    private final Map<String, Long> acted = new HashMap<>(); // thing: the greatest token that has acted
    private final Map<String, Long> held = new HashMap<>(); // thing: the greatest token ever held
    private boolean leasesKept = true;
    private String broken; // the first break, or null

    /** A process believes that it may act under this token; 0 that it may not. */
    public void believes(double at, String thing, String holder, long token) {
        Map<String, Long> now = believed.computeIfAbsent(thing, key -> new HashMap<>());
        Long before = token == 0 ? now.remove(holder) : now.put(holder, token);
        if (token != 0 && now.size() > 1 && leasesKept) {
            fail(at, "two owners of " + thing + ": " + new java.util.TreeMap<>(now));
        }
        if (token != 0
                && leasesKept
                && (before == null || before != token)
                && token < held.merge(thing, token, Math::max)) {
            fail(at, holder + " holds " + thing + " under " + token + ", older than " + held.get(thing));
        }
    }

    /** The store has ended a lease before its time: no holder can know, and only what it does is fenced. */
    public void leasesBroken() {
        leasesKept = false;
    }

    /** The store has done something that was fenced by this token. */
    public void acted(double at, String thing, String holder, long token) {
        if (token < acted.merge(thing, token, Math::max)) {
            fail(at, holder + " acted on " + thing + " under " + token + " after " + acted.get(thing));
        }
    }

    private void fail(double at, String what) {
        broken = broken == null ? at + " s: " + what : broken;
    }

    /** The first break, or null. */
    public String broken() {
        return broken;
    }
}
