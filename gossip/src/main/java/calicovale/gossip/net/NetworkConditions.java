package calicovale.gossip.net;

/** Simulated faults of the network, for rehearsals: losses, delays and partitions, which loopback does not have. */
public interface NetworkConditions {
    /** A network without faults. */
    NetworkConditions NO_FAULTS = (sender, receiver, byConnection) -> 0;

    /**
     * Returns the delay of a message in ms; negative if it is lost or the connection can't be established.
     *
     * @param sender address of the sending member, as {@code host:port}
     * @param receiver address of the receiving member, as {@code host:port}
     * @param byConnection whether the message is sent over a connection; otherwise it is a datagram
     */
    double delayMs(String sender, String receiver, boolean byConnection);
}
