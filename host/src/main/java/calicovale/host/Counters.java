package calicovale.host;

import java.util.LinkedHashMap;
import java.util.Map;

/** What one session manager has counted since its start; written by its loop's thread only. */
public final class Counters {
    private final Map<String, long[]> counts = new LinkedHashMap<>();

    /** Adds one. */
    public void count(String name) {
        counts.computeIfAbsent(name, n -> new long[1])[0]++;
    }

    /** The count so far. */
    public long get(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** All counts, in the order of their first event. */
    public Map<String, Long> all() {
        Map<String, Long> result = new LinkedHashMap<>();
        counts.forEach((name, count) -> result.put(name, count[0]));
        return result;
    }
}
