package calicovale.gossip.wire;

/** Token bucket that allows a rate per second, with bursts of up to two seconds' worth. */
final class TokenBucket {
    private static final double MAX_BURST_S = 2;
    private final double perSecond;
    private double tokens;
    private double lastRefillMs;

    TokenBucket(double perSecond, double nowMs) {
        this.perSecond = perSecond;
        tokens = perSecond * MAX_BURST_S;
        lastRefillMs = nowMs;
    }

    boolean take(double nowMs) {
        tokens = Math.min(perSecond * MAX_BURST_S, tokens + perSecond * (nowMs - lastRefillMs) / 1000);
        lastRefillMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    double lastRefillMs() {
        return lastRefillMs;
    }
}
