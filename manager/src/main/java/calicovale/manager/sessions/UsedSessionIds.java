package calicovale.manager.sessions;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of sessions for which an attempt was made lately. A set-up with such an id may have run already, so it must
 * not be sent to a server again; every set-up must have a new id.
 */
final class UsedSessionIds {
    /** Time, in ms, for which an id is kept. */
    private static final double KEPT_MS = 60_000;
    /** Upper bound of ids that are kept; the oldest ones give way. */
    private static final int MAX_KEPT = 8192;

    /** For each id the clock time, in ms, of its latest attempt, oldest first. */
    private final Map<Long, Double> attemptedAtMs = new LinkedHashMap<>();

    /** Adds the id of a session for which an attempt is made. */
    void add(long id, double nowMs) {
        attemptedAtMs.remove(id);
        if (attemptedAtMs.size() >= MAX_KEPT) {
            attemptedAtMs.remove(attemptedAtMs.keySet().iterator().next());
        }
        attemptedAtMs.put(id, nowMs);
        Iterator<Double> oldestFirst = attemptedAtMs.values().iterator();
        while (nowMs - oldestFirst.next() > KEPT_MS) {
            oldestFirst.remove();
        }
    }

    boolean contains(long id) {
        return attemptedAtMs.containsKey(id);
    }
}
