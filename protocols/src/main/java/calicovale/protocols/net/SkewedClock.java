package calicovale.protocols.net;

/** A clock whose wall time differs from a base clock by an offset in ms, which can be changed while it is in use. */
public final class SkewedClock implements Clock {
    private final Clock base;
    private volatile double offsetMs;

    /** Creates a clock whose wall time is {@code offsetMs} ahead of {@code base}. */
    public SkewedClock(Clock base, double offsetMs) {
        this.base = base;
        this.offsetMs = offsetMs;
    }

    /** Steps the wall time by {@code deltaMs}. The monotonic time does not change, as on a real machine. */
    public void step(double deltaMs) {
        offsetMs += deltaMs;
    }

    @Override
    public long nanos() {
        return base.nanos();
    }

    @Override
    public double millis() {
        return base.millis() + offsetMs;
    }
}
