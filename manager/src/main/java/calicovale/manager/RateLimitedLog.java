package calicovale.manager;

import calicovale.host.Counters;
import calicovale.protocols.net.Clock;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;

/** Counts all events that peers can cause at any rate, and logs at most one a second of each kind. */
public final class RateLimitedLog {
    /** Shortest interval, in ms, between log lines of one kind. */
    private static final double MIN_INTERVAL_MS = 1000;

    private final Logger log;
    private final Counters counters;
    private final Clock clock;
    /** For each kind: the clock time of the last line, in ms, and the number of events since without a line. */
    private final Map<String, double[]> timeAndUnloggedByKind = new HashMap<>();

    /** Creates a log that counts with {@code counters}. */
    public RateLimitedLog(Logger log, Counters counters, Clock clock) {
        this.log = log;
        this.counters = counters;
        this.clock = clock;
    }

    /** Counts an event. The kinds are a small fixed set, so the counters stay bounded. */
    public void count(String kind) {
        counters.increment(kind);
    }

    /**
     * Counts an event and logs it as a warning, with the number of events of this kind that were not logged since its
     * last line.
     */
    public void warn(String kind, Object detail) {
        counters.increment(kind);
        double nowMs = clock.millis();
        double[] timeAndUnlogged =
                timeAndUnloggedByKind.computeIfAbsent(kind, k -> new double[] {Double.NEGATIVE_INFINITY, 0});
        if (nowMs - timeAndUnlogged[0] < MIN_INTERVAL_MS) {
            timeAndUnlogged[1]++;
            return;
        }
        log.warn(
                "{}: {}{}",
                kind,
                detail,
                timeAndUnlogged[1] > 0 ? " (and " + (long) timeAndUnlogged[1] + " more)" : "");
        timeAndUnlogged[0] = nowMs;
        timeAndUnlogged[1] = 0;
    }
}
