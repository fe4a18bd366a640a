package calicovale.protocols.net;

import java.nio.ByteBuffer;

/**
 * Observer of the traffic on a loop's connections. It is called on the loop's thread after the system call that moved
 * the bytes. The buffers are views that are valid only during the call.
 */
public interface Tap {

    /** Ignores all traffic. */
    Tap NONE = new Tap() {};

    /** Called when a connection has been accepted or established. */
    default void opened(Connection connection) {}

    /** Called when bytes have been read. */
    default void read(Connection connection, ByteBuffer bytes) {}

    /** Called when bytes have been written. */
    default void wrote(Connection connection, ByteBuffer bytes) {}

    /** Called when the peer has closed its sending side (half-close). */
    default void inputEnded(Connection connection) {}

    /** Called when the connection has been closed locally, whichever side caused it. */
    default void closed(Connection connection) {}
}
