package calicovale.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.front.time.CommonClock;
import calicovale.host.Backoff;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CommonClockTest {

    @Test
    void aWrongWallClockIsCorrectedToWithinHalfARoundTrip() {
        CommonClock clock = new CommonClock(1000, 5_000_200);
        assertFalse(clock.isSynced());
        assertEquals(5_000_200, clock.timeAt(1000));
        // the directory's clock showed 5_000_000 at some moment between 1000 and 1010
        clock.addSample(1000, 1010, 5_000_000);
        assertTrue(clock.isSynced());
        assertTrue(Math.abs(clock.errorMs() - 5) < 1e-9);
        assertEquals(5_000_006, clock.timeAt(1011), 1e-6);
        // from the first exchange on the common time never runs backwards
        clock.addSample(1020, 1022, 4_900_000);
        assertEquals(5_000_006, clock.timeAt(1023), 1e-6);
        clock.addSample(1024, 1024, 5_000_019);
        assertEquals(5_000_295, clock.timeAt(1300), 1e-6);
    }

    @Test
    void aSlowExchangeDoesNotReplaceABetterEstimate() {
        CommonClock clock = new CommonClock(0, 0);
        clock.addSample(0, 2, 1001);
        clock.addSample(100, 500, 1180);
        assertEquals(2000, clock.timeAt(1000), 1e-6);
    }

    @Test
    void aClockThatWasSetIsFollowedWhateverTheRoundTrip() {
        CommonClock clock = new CommonClock(0, 0);
        clock.addSample(0, 2, 1001);
        clock.addSample(100, 140, 9120);
        assertEquals(10_000, clock.timeAt(1000), 1e-6);
    }

    @Test
    void invalidSamplesAreIgnored() {
        CommonClock clock = new CommonClock(0, 70);
        clock.addSample(10, 5, 1);
        clock.addSample(10, 15, Double.NaN);
        assertFalse(clock.isSynced());
        assertEquals(170, clock.timeAt(100));
    }

    @Test
    void delaysDoubleUpToTheBoundAndAreJittered() {
        Backoff backoff = new Backoff(100, 1000, new SplittableRandom(1));
        double boundedDelaysSumMs = 0;
        for (int i = 0; i < 20; i++) {
            double delayMs = backoff.nextDelayMs();
            double boundMs = Math.min(1000, 100 * Math.pow(2, i));
            assertTrue(delayMs >= boundMs / 2 && delayMs <= boundMs, "delay " + i + " is " + delayMs);
            boundedDelaysSumMs += i >= 10 ? delayMs : 0;
        }
        assertTrue(boundedDelaysSumMs > 5100 && boundedDelaysSumMs < 9900, "no jitter: " + boundedDelaysSumMs);
        assertEquals(20, backoff.failedAttempts());
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= 100);
    }
}
