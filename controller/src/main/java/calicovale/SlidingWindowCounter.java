package calicovale;

/**
 * Counts events of the latest period of time in a fixed number of equal buckets, so that its memory does not depend on
 * the rate of events.
 *
 * <p>The counted period ends now. Its length varies by one bucket, because the oldest bucket is dropped as a whole.
 */
final class SlidingWindowCounter {
    private final double bucketMs;
    private final long[] counts;
    /** Number, counted from clock time 0, of the newest bucket. */
    private long newestBucket = Long.MIN_VALUE;

    private long total;

    /** Creates a counter of the latest {@code buckets} buckets, of {@code bucketMs} ms each. */
    SlidingWindowCounter(int buckets, double bucketMs) {
        this.bucketMs = bucketMs;
        counts = new long[buckets];
    }

    /** Counts an event at clock time {@code nowMs}. If the clock was set back, it counts in the newest bucket. */
    void add(double nowMs) {
        advance(nowMs);
        counts[slot(newestBucket)]++;
        total++;
    }

    /** Returns the number of events in the period that ends at clock time {@code nowMs}. */
    long count(double nowMs) {
        advance(nowMs);
        return total;
    }

    /** Drops the buckets that are too old at clock time {@code nowMs}. */
    private void advance(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (bucket <= newestBucket) {
            return;
        }
        long firstNew = newestBucket == Long.MIN_VALUE ? bucket : newestBucket + 1;
        for (long b = Math.max(firstNew, bucket - counts.length + 1); b <= bucket; b++) {
            total -= counts[slot(b)];
            counts[slot(b)] = 0;
        }
        newestBucket = bucket;
    }

    private int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) counts.length);
    }
}
