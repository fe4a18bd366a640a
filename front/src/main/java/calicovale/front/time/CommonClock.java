package calicovale.front.time;

/**
 * Owns this manager's estimate of the common clock, which is the box directory's: managers take turns at cold boxes by it.
 * It is carried forward by the monotonic clock and corrected by timed exchanges (Cristian's method), so neither a wrong wall
 * clock nor a step of it moves a manager out of its turn. After its first reading it never runs backwards.
 */
public final class CommonClock {
    /** Milliseconds by which an old exchange is trusted less for each second of age: clocks drift under 0.1 in 1000. */
    private static final double DRIFT_MS_PER_S = 0.1;

    private double offset;
    private double error = Double.MAX_VALUE;
    private double sampledAt;
    private double last = Double.NEGATIVE_INFINITY;
    private long samples;

    /** Until the first exchange the wall clock is believed. */
    public CommonClock(double monotonicMs, double wallMs) {
        offset = wallMs - monotonicMs;
    }

    /**
     * Takes one exchange: asked at {@code sentMs}, answered at {@code receivedMs} (monotonic), the directory's clock showing
     * {@code remoteMs} in between.
     */
    public void sample(double sentMs, double receivedMs, double remoteMs) {
        double half = (receivedMs - sentMs) / 2;
        if (half < 0 || Double.isNaN(remoteMs)) {
            return;
        }
        if (samples++ == 0) {
            // before the first exchange only a guess was given, and nobody was served: it must not hold the clock up
            last = Double.NEGATIVE_INFINITY;
        }
        double aged = error == Double.MAX_VALUE ? error : error + DRIFT_MS_PER_S * (receivedMs - sampledAt) / 1000;
        double seen = remoteMs - (sentMs + receivedMs) / 2;
        // a worse exchange still counts where it proves the estimate wrong: the directory's clock was set
        if (half <= aged || Math.abs(seen - offset) > half + aged) {
            offset = seen;
            error = half;
            sampledAt = receivedMs;
        }
    }

    /** The common time, in ms since 1970, at a monotonic reading; never less than one given since the first exchange. */
    public double at(double monotonicMs) {
        last = Math.max(last, monotonicMs + offset);
        return last;
    }

    /** Whether any exchange succeeded. */
    public boolean synced() {
        return samples > 0;
    }

    /** Half the round trip of the exchange believed: the most by which the estimate was wrong then, in ms. */
    public double errorMs() {
        return error;
    }
}
