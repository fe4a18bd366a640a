package calicovale.protocols.net;

/**
 * The bounds of one loop.
 *
 * @param mailbox messages from other threads that may wait; a power of two
 * @param readBytes bytes read from one connection in one turn
 * @param pendingBytes bytes that may wait to be written to one peer
 * @param backlog connections that may wait to be accepted
 * @param acceptsPerTurn connections accepted in one turn of the loop
 * @param datagramsPerTurn datagrams taken of one socket in one turn of the loop
 */
public record LoopLimits(
        int mailbox, int readBytes, int pendingBytes, int backlog, int acceptsPerTurn, int datagramsPerTurn) {

    /** Bounds that suit a process with some thousands of peers. */
    public static final LoopLimits DEFAULT = new LoopLimits(1 << 14, 1 << 16, 1 << 20, 1024, 64, 64);
}
