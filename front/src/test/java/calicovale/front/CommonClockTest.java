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
        assertFalse(clock.synced());
        assertEquals(5_000_200, clock.at(1000));
        // the directory's clock showed 5_000_000 at some moment between 1000 and 1010
        clock.sample(1000, 1010, 5_000_000);
        assertTrue(clock.synced());
        assertTrue(Math.abs(clock.errorMs() - 5) < 1e-9);
        assertEquals(5_000_006, clock.at(1011), 1e-6);
        // from here on it never runs backwards
        clock.sample(1020, 1022, 4_900_000);
        assertEquals(5_000_006, clock.at(1023), 1e-6);
        clock.sample(1024, 1024, 5_000_019);
        assertEquals(5_000_295, clock.at(1300), 1e-6);
    }

    @Test
    void aSlowExchangeDoesNotSpoilAGoodEstimate() {
        CommonClock clock = new CommonClock(0, 0);
        clock.sample(0, 2, 1001);
        clock.sample(100, 500, 1180);
        assertEquals(2000, clock.at(1000), 1e-6);
    }

    @Test
    void aClockThatWasSetIsFollowedWhateverTheRoundTrip() {
        CommonClock clock = new CommonClock(0, 0);
        clock.sample(0, 2, 1001);
        clock.sample(100, 140, 9120);
        assertEquals(10_000, clock.at(1000), 1e-6);
    }

    @Test
    void nonsenseIsPassedOver() {
        CommonClock clock = new CommonClock(0, 70);
        clock.sample(10, 5, 1);
        clock.sample(10, 15, Double.NaN);
        assertFalse(clock.synced());
        assertEquals(170, clock.at(100));
    }

    @Test
    void waitsDoubleUpToTheBoundAndAreSpread() {
        Backoff backoff = new Backoff(100, 1000, new SplittableRandom(1));
        double sum = 0;
        for (int i = 0; i < 20; i++) {
            double wait = backoff.nextDelayMs();
            double length = Math.min(1000, 100 * Math.pow(2, i));
            assertTrue(wait >= length / 2 && wait <= length, "wait " + i + " is " + wait);
            sum += i >= 10 ? wait : 0;
        }
        assertTrue(sum > 5100 && sum < 9900, "no spread: " + sum);
        assertEquals(20, backoff.failedAttempts());
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= 100);
    }
}
