package gorsestack.lab.standin;

import java.util.HashMap;
import java.util.Map;

/**
 * Stores the idempotency keys that the upstreams of a tier have received, separately for each group of upstreams that share their keys: a
 * cell, a zone or all. Confined to the event loop.
 */
final class IdempotencyStore {
    /** The number of keys of a group above which expired ones are removed. */
    private static final int MAX_KEYS = 50_000;

    /** The time at which each key was received, by group and key. A duplicate within the window does not change it. */
    private final Map<String, Map<String, Long>> groups = new HashMap<>();

    /** Returns whether a key was received within the window in nanoseconds before now, and records it otherwise. */
    boolean repeats(String group, String key, long now, long window) {
        Map<String, Long> receivedAtByKey = groups.computeIfAbsent(group, name -> new HashMap<>());
        Long previous = receivedAtByKey.get(key);
        if (previous != null && now - previous <= window) {
            return true;
        }
        receivedAtByKey.put(key, now);
        if (receivedAtByKey.size() > MAX_KEYS) {
            receivedAtByKey.values().removeIf(receivedAt -> now - receivedAt > window);
        }
        return false;
    }
}
