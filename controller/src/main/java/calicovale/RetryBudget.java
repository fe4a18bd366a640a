package calicovale;

import calicovale.ControllerApi.Rules;

/**
 * The budget of further attempts (rule 6): within a sliding window, a fixed number of them and a number for each
 * request are allowed. Its memory does not depend on the rate of requests.
 *
 * <p>The rule counts requests and attempts where they arrive, so both ends of its window may differ from those seen
 * here. A margin on the strict side allows for that: attempts stay in the count longer, requests leave it earlier.
 */
final class RetryBudget {
    /** Upper bound of the margin in ms: the longest delay with which a request or an attempt arrives. */
    private static final double MAX_MARGIN_MS = 500;
    /** Upper bound of the margin, as a fraction of the window. */
    private static final double MAX_MARGIN_FRACTION = 0.1;
    /** Number of buckets in which a window is counted. */
    private static final int BUCKETS = 256;
    /** Shortest length in ms of a bucket, for a window of length 0. */
    private static final double MIN_BUCKET_MS = 1;

    private final boolean limited;
    private final double freeAttempts;
    private final double attemptsPerRequest;
    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter furtherAttempts;

    /** Creates the budget that the rules state. If they state none, all further attempts are allowed. */
    RetryBudget(Rules rules) {
        limited = rules.extraFree() >= 0;
        freeAttempts = rules.extraFree();
        attemptsPerRequest = rules.extraWindowMs() > 0 ? rules.extraRatio() : 0;
        double marginMs = Math.min(MAX_MARGIN_MS, MAX_MARGIN_FRACTION * rules.extraWindowMs());
        requests = new SlidingWindowCounter(BUCKETS, bucketMs(rules.extraWindowMs() - marginMs));
        // one bucket more, because the counted period may be shorter than its buckets together by one of them
        furtherAttempts = new SlidingWindowCounter(BUCKETS + 1, bucketMs(rules.extraWindowMs() + marginMs));
    }

    private static double bucketMs(double windowMs) {
        return Math.max(MIN_BUCKET_MS, windowMs / BUCKETS);
    }

    /** Counts a request at clock time {@code nowMs}. */
    void recordRequest(double nowMs) {
        requests.add(nowMs);
    }

    /** Counts a further attempt at clock time {@code nowMs}. */
    void recordFurtherAttempt(double nowMs) {
        furtherAttempts.add(nowMs);
    }

    /** Returns whether one more further attempt is allowed at clock time {@code nowMs}. */
    boolean allowsFurtherAttempt(double nowMs) {
        return !limited
                || furtherAttempts.count(nowMs) + 1 <= freeAttempts + attemptsPerRequest * requests.count(nowMs);
    }
}
