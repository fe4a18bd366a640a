package calicovale.protocols.net;

import java.io.IOException;

/** Signals that a connection was never established, so that the peer cannot have received any data on it. */
public final class ConnectFailedException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean timedOut;
    private final boolean notAttempted;

    /** Creates an exception for an error reported by the operating system. */
    public ConnectFailedException(IOException cause) {
        this(cause, false);
    }

    ConnectFailedException(IOException cause, boolean notAttempted) {
        super("connect failed: " + cause.getMessage(), cause);
        timedOut = false;
        this.notAttempted = notAttempted;
    }

    /** Creates an exception for a connection attempt that timed out. */
    public ConnectFailedException(String message) {
        super(message);
        timedOut = true;
        notAttempted = false;
    }

    /**
     * Returns whether the attempt failed in this process before anything was sent, such as for lack of file
     * descriptors. Such a failure says nothing about the state of the peer.
     */
    public boolean notAttempted() {
        return notAttempted;
    }

    /**
     * Returns whether the attempt timed out; otherwise it was refused, failed with another error, or was not made (see
     * {@link #notAttempted()}).
     */
    public boolean timedOut() {
        return timedOut;
    }
}
