package calicovale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the counts of the sliding window against an exact count. */
class SlidingWindowCounterTest {
    private static final int BUCKETS = 10;
    private static final double BUCKET_MS = 50;

    private static long countSince(List<Double> times, double startMs) {
        return times.stream().filter(time -> time >= startMs).count();
    }

    @Test
    void theCountedPeriodIsAsLongAsTheBucketsOrShorterByOneOfThem() {
        SplittableRandom random = new SplittableRandom(17);
        SlidingWindowCounter counter = new SlidingWindowCounter(BUCKETS, BUCKET_MS);
        List<Double> times = new ArrayList<>();
        double nowMs = -1000;
        for (int i = 0; i < 3000; i++) {
            // sometimes longer than the whole window
            nowMs += random.nextInt(50) == 0 ? random.nextDouble(1500) : random.nextDouble(40);
            if (random.nextBoolean()) {
                counter.add(nowMs);
                times.add(nowMs);
            }
            long count = counter.count(nowMs);
            assertTrue(count >= countSince(times, nowMs - (BUCKETS - 1) * BUCKET_MS), "events are missing");
            assertTrue(count <= countSince(times, nowMs - BUCKETS * BUCKET_MS), "old events are counted");
        }
    }

    @Test
    void anEventAfterTheClockWasSetBackIsCounted() {
        SlidingWindowCounter counter = new SlidingWindowCounter(BUCKETS, BUCKET_MS);
        counter.add(10_000);
        counter.add(5_000);
        assertEquals(2, counter.count(5_000));
        assertEquals(0, counter.count(10_000 + BUCKETS * BUCKET_MS));
    }
}
