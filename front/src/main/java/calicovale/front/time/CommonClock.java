package calicovale.front.time;

/**
 * This manager's estimate of the common clock, which is the box directory's clock. Managers take turns at cold boxes
 * by the common time. The estimate advances with the monotonic clock and is corrected by timed exchanges with the
 * directory (Cristian's algorithm), so neither a wrong wall clock nor a step of it moves a manager out of its turn.
 * From the first exchange on the common time never runs backwards. Not thread-safe.
 */
public final class CommonClock {
    /**
     * Growth of the error bound of an old exchange, in ms per s of its age, because clocks drift by less than 100 ppm.
     */
    private static final double DRIFT_MS_PER_S = 0.1;

    private double offsetMs;
    private double errorMs = Double.MAX_VALUE;
    private double sampledAtMs;
    private double lastReturnedMs = Double.NEGATIVE_INFINITY;
    private long sampleCount;

    /**
     * Creates an estimate that follows the wall clock until the first exchange.
     *
     * @param monotonicMs reading of the monotonic clock, in ms
     * @param wallMs reading of the wall clock at the same moment, in ms since 1970
     */
    public CommonClock(double monotonicMs, double wallMs) {
        offsetMs = wallMs - monotonicMs;
    }

    /**
     * Adds the result of one exchange with the directory. An exchange with a negative round trip or a NaN is ignored.
     *
     * @param sentMs monotonic time at which the request was sent, in ms
     * @param receivedMs monotonic time at which the response was received, in ms
     * @param remoteMs the directory's clock at some moment in between, in ms since 1970
     */
    public void addSample(double sentMs, double receivedMs, double remoteMs) {
        double halfRoundTripMs = (receivedMs - sentMs) / 2;
        if (halfRoundTripMs < 0 || Double.isNaN(remoteMs)) {
            return;
        }
        if (sampleCount++ == 0) {
            // times returned before the first exchange came from the wall clock, and nobody was served by them, so they
            // must not be a lower bound of the common time
            lastReturnedMs = Double.NEGATIVE_INFINITY;
        }
        double agedErrorMs =
                errorMs == Double.MAX_VALUE ? errorMs : errorMs + DRIFT_MS_PER_S * (receivedMs - sampledAtMs) / 1000;
        double measuredOffsetMs = remoteMs - (sentMs + receivedMs) / 2;
        // an exchange with a larger error is used only if it contradicts the estimate, because then the directory's
        // clock was set
        if (halfRoundTripMs <= agedErrorMs || Math.abs(measuredOffsetMs - offsetMs) > halfRoundTripMs + agedErrorMs) {
            offsetMs = measuredOffsetMs;
            errorMs = halfRoundTripMs;
            sampledAtMs = receivedMs;
        }
    }

    /**
     * Returns the common time, in ms since 1970, at a reading of the monotonic clock in ms. It is never less than a
     * time returned before, but for those before the first exchange.
     */
    public double timeAt(double monotonicMs) {
        lastReturnedMs = Math.max(lastReturnedMs, monotonicMs + offsetMs);
        return lastReturnedMs;
    }

    /** Returns whether any exchange has succeeded. */
    public boolean isSynced() {
        return sampleCount > 0;
    }

    /**
     * Returns half the round trip of the exchange that the estimate is based on, in ms: the upper bound of the
     * estimate's error at that exchange. It is {@link Double#MAX_VALUE} before the first.
     */
    public double errorMs() {
        return errorMs;
    }
}
