package calicovale.manager;

import calicovale.host.Counters;
import calicovale.protocols.net.Clock;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;

/** Owns the counting and logging of what peers can cause at will: all is counted, one line of a kind a second is logged. */
public final class RateLimitedLog {
    private static final double MIN_INTERVAL_MS = 1000;

    private final Logger log;
    private final Counters counters;
    private final Clock clock;
    private final Map<String, double[]> lastByKind = new HashMap<>();

    /** Counts in {@code counters}. */
    public RateLimitedLog(Logger log, Counters counters, Clock clock) {
        this.log = log;
        this.counters = counters;
        this.clock = clock;
    }

    /** Counts one of a kind; the kinds are few and known. */
    public void count(String kind) {
        counters.count(kind);
    }

    /** Counts one of a kind and logs it, with how many went without a line. */
    public void warn(String kind, Object detail) {
        counters.count(kind);
        double nowMs = clock.millis();
        double[] seen = lastByKind.computeIfAbsent(kind, k -> new double[] {Double.NEGATIVE_INFINITY, 0});
        if (nowMs - seen[0] < MIN_INTERVAL_MS) {
            seen[1]++;
            return;
        }
        log.warn("{}: {}{}", kind, detail, seen[1] > 0 ? " (and " + (long) seen[1] + " more)" : "");
        seen[0] = nowMs;
        seen[1] = 0;
    }
}
