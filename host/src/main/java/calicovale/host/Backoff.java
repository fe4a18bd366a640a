package calicovale.host;

import java.util.random.RandomGenerator;

/**
 * Computes the delays between attempts to reach one peer. The delay doubles with each failed attempt up to an upper
 * bound and is reduced by random jitter of up to one half.
 */
public final class Backoff {
    private final double initialDelayMs;
    private final double maxDelayMs;
    private final RandomGenerator random;
    private int failures;

    /**
     * Creates a backoff without failed attempts.
     *
     * @param initialDelayMs upper bound of the first delay, in ms
     * @param maxDelayMs upper bound of every delay, in ms
     * @param random source of the jitter
     */
    public Backoff(double initialDelayMs, double maxDelayMs, RandomGenerator random) {
        this.initialDelayMs = initialDelayMs;
        this.maxDelayMs = maxDelayMs;
        this.random = random;
    }

    /**
     * Returns the delay before the next attempt, in ms, and counts one more failed attempt. The delay lies between one
     * half and the whole of the current upper bound, so that callers whose attempts failed at the same time do not
     * retry at the same time.
     */
    public double nextDelayMs() {
        // caps the exponent, so that the power stays finite however many attempts have failed
        double delayMs = Math.min(maxDelayMs, initialDelayMs * Math.pow(2, Math.min(30, failures)));
        failures++;
        return delayMs * (0.5 + 0.5 * random.nextDouble());
    }

    /** Starts again from the initial delay, after the peer was reached. */
    public void reset() {
        failures = 0;
    }

    /** Returns the number of failed attempts since the peer was last reached. */
    public int failedAttempts() {
        return failures;
    }
}
