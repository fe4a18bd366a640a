package calicovale.protocols.net;

import java.nio.ByteBuffer;

/**
 * Sees what crosses the sockets of a loop, after the system call that moved it; called on the loop's thread. The buffers
 * are views that hold only for the call.
 */
public interface Tap {

    /** Sees nothing. */
    Tap NONE = new Tap() {};

    /** A connection was accepted or established. */
    default void opened(Connection c) {}

    /** Bytes were read. */
    default void read(Connection c, ByteBuffer bytes) {}

    /** Bytes were written. */
    default void wrote(Connection c, ByteBuffer bytes) {}

    /** The peer will send no more. */
    default void ended(Connection c) {}

    /** The connection is closed here, whoever closed it. */
    default void closed(Connection c) {}
}
