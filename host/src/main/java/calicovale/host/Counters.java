package calicovale.host;

import java.util.LinkedHashMap;
import java.util.Map;

/** Named event counters of one session manager since its start. Only the thread of its event loop may change them. */
public final class Counters {
    private final Map<String, long[]> counts = new LinkedHashMap<>();

    /** Adds one to a counter, which starts at 0. */
    public void increment(String name) {
        counts.computeIfAbsent(name, n -> new long[1])[0]++;
    }

    /** Returns a counter's value, or 0 if nothing was counted under the name. */
    public long get(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** Returns a copy of all counters, in the order in which each was first incremented. */
    public Map<String, Long> snapshot() {
        Map<String, Long> result = new LinkedHashMap<>();
        counts.forEach((name, count) -> result.put(name, count[0]));
        return result;
    }
}
