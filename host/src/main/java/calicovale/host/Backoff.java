package calicovale.host;

import java.util.random.RandomGenerator;

/** Owns the waits between tries to reach one peer: doubling up to a bound, each spread over its whole length. */
public final class Backoff {
    private final double firstMs;
    private final double mostMs;
    private final RandomGenerator random;
    private int failures;

    /** The first wait is up to {@code firstMs}, the longest up to {@code mostMs}. */
    public Backoff(double firstMs, double mostMs, RandomGenerator random) {
        this.firstMs = firstMs;
        this.mostMs = mostMs;
        this.random = random;
    }

    /** The next wait in ms: between half of and the whole present length, so that peers that failed together spread. */
    public double nextMs() {
        double length = Math.min(mostMs, firstMs * Math.pow(2, Math.min(30, failures)));
        failures++;
        return length * (0.5 + 0.5 * random.nextDouble());
    }

    /** The peer was reached. */
    public void reset() {
        failures = 0;
    }

    /** Tries that failed since the peer was last reached. */
    public int failures() {
        return failures;
    }
}
