package calicovale.gossip.wire;

/**
 * Bounds of messages.
 *
 * @param maxDatagramBytes largest datagram, envelope included; below the 1280 bytes that every path carries
 *     unfragmented (RFC 8200, section 5)
 * @param maxFrameBytes largest message over a connection, envelope included
 * @param maxUpdates largest number of updates or statements in one message
 * @param maxClaims largest number of claims in one statement
 * @param maxClockSkewMs largest difference between a message's time of sending and the local clock; above 0 because
 *     clocks differ, and bounded because old messages may be replayed
 * @param maxSenders largest number of senders whose sequence numbers are remembered, and of certificates held; twice
 *     as many sources have a rate of their own
 * @param knownSourceRatePerS messages per second that are verified for one key from one known source
 * @param unknownSourceRatePerS messages per second that are verified from all other sources together
 */
public record WireLimits(
        int maxDatagramBytes,
        int maxFrameBytes,
        int maxUpdates,
        int maxClaims,
        double maxClockSkewMs,
        int maxSenders,
        double knownSourceRatePerS,
        double unknownSourceRatePerS) {
    /** Bounds for groups of up to 1000 members. */
    public static final WireLimits DEFAULT = new WireLimits(1200, 1 << 19, 4000, 8, 30_000, 1000, 200, 100);
}
