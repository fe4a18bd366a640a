package calicovale.gossip.wire;

/**
 * Bounds of messages.
 *
 * @param datagramBytes of one datagram, envelope included; below what any path carries whole (RFC 8200, 5: 1280)
 * @param exchangeBytes of one message by a connection
 * @param updatesMost updates in one message by a connection
 * @param claimsMost claims in one statement
 * @param skewMs by which a message's time may differ from the clock here: clocks differ, and old messages are replayed
 * @param membersMost senders whose sequences are remembered, and certificates that are held
 * @param perPeer messages a second verified of one key from the address that it is known by
 * @param strangers the same for all other addresses together
 */
public record WireLimits(
        int datagramBytes,
        int exchangeBytes,
        int updatesMost,
        int claimsMost,
        double skewMs,
        int membersMost,
        double perPeer,
        double strangers) {
    /** Bounds for groups of up to a thousand. */
    public static final WireLimits DEFAULT = new WireLimits(1200, 1 << 19, 4000, 8, 30_000, 1000, 200, 100);
}
