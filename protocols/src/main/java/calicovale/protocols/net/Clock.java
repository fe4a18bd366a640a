package calicovale.protocols.net;

/**
 * Source of monotonic and wall-clock time. All code reads the time from a clock, so that it can run in virtual time.
 */
public interface Clock {

    /** Returns monotonic time in nanoseconds from an arbitrary origin. */
    long nanos();

    /**
     * Returns the wall-clock time in milliseconds since 1970-01-01 UTC. It advances with the monotonic clock, so it
     * never steps when the system time is set.
     */
    double millis();

    /** Returns a clock that reads the system's wall time once and then advances it with the monotonic clock. */
    static Clock system() {
        return new Clock() {
            private final long originNanos = System.nanoTime();
            private final double originMs = System.currentTimeMillis();

            @Override
            public long nanos() {
                return System.nanoTime();
            }

            @Override
            public double millis() {
                return originMs + (System.nanoTime() - originNanos) / 1e6;
            }
        };
    }
}
