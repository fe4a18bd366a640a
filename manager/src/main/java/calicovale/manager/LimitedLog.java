package calicovale.manager;

import calicovale.host.Counters;
import calicovale.protocols.net.Clock;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;

/** Owns the counting and logging of what peers can cause at will: all is counted, one line of a kind a second is logged. */
public final class LimitedLog {
    private static final double EVERY_MS = 1000;

    private final Logger log;
    private final Counters counters;
    private final Clock clock;
    private final Map<String, double[]> last = new HashMap<>();

    /** Counts in {@code counters}. */
    public LimitedLog(Logger log, Counters counters, Clock clock) {
        this.log = log;
        this.counters = counters;
        this.clock = clock;
    }

    /** Counts one of a kind; the kinds are few and known. */
    public void count(String kind) {
        counters.increment(kind);
    }

    /** Counts one of a kind and logs it, with how many went without a line. */
    public void say(String kind, Object what) {
        counters.increment(kind);
        double now = clock.millis();
        double[] seen = last.computeIfAbsent(kind, k -> new double[] {Double.NEGATIVE_INFINITY, 0});
        if (now - seen[0] < EVERY_MS) {
            seen[1]++;
            return;
        }
        log.warn("{}: {}{}", kind, what, seen[1] > 0 ? " (and " + (long) seen[1] + " more)" : "");
        seen[0] = now;
        seen[1] = 0;
    }
}
