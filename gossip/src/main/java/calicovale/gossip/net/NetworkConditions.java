package calicovale.gossip.net;

/** Simulated faults of the network, for rehearsals: losses, delays and partitions, which loopback does not have. */
public interface NetworkConditions {
    /** A network without faults. */
    NetworkConditions NO_FAULTS = (from, to, connection) -> 0;

    /** Returns the delay of a message in ms; negative if it is lost or the connection can't be established. */
    double delayMs(String from, String to, boolean connection);
}
