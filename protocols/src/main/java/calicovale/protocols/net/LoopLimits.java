package calicovale.protocols.net;

/**
 * Limits of one event loop.
 *
 * @param mailbox maximum number of queued messages from other threads; a power of two
 * @param readBytes size in bytes of the buffer for one read call
 * @param pendingBytes maximum number of bytes waiting to be written to one peer
 * @param totalPendingBytes maximum number of bytes waiting to be written to all peers together; a peer may have as many
 *     as are still free
 * @param backlog maximum number of connections waiting to be accepted on one listening socket
 * @param acceptsPerTurn maximum number of connections accepted on one listening socket in one turn of the loop
 * @param datagramsPerTurn maximum number of datagrams received on one socket in one turn of the loop
 */
public record LoopLimits(
        int mailbox,
        int readBytes,
        int pendingBytes,
        long totalPendingBytes,
        int backlog,
        int acceptsPerTurn,
        int datagramsPerTurn) {

    /** Limits for a process with some thousands of peers. */
    public static final LoopLimits DEFAULT = new LoopLimits(1 << 14, 1 << 16, 1 << 20, 1 << 26, 1024, 64, 64);
}
