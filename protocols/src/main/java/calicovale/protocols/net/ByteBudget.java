package calicovale.protocols.net;

/**
 * An upper bound of the bytes that several holders keep in memory together.
 *
 * <p>A holder may keep at most as much as is still free. So a few holders cannot use up the budget of all others, and
 * a single one can use half of it (dynamic thresholds: Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2),
 * 1998). Not thread-safe.
 */
public final class ByteBudget {
    private final long capacity;
    private long used;

    /** Creates a budget of {@code capacity} bytes. */
    public ByteBudget(long capacity) {
        this.capacity = capacity;
    }

    /**
     * Reserves bytes for a holder that keeps {@code held} bytes already. Returns false, without reserving any, if the
     * holder would then keep more than what is free now.
     */
    public boolean reserve(long held, long bytes) {
        if (held + bytes > capacity - used) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Returns reserved bytes to the budget. */
    public void release(long bytes) {
        used -= bytes;
    }

    /** Returns the number of reserved bytes. */
    public long used() {
        return used;
    }
}
