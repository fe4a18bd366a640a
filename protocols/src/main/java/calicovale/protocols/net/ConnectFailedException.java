package calicovale.protocols.net;

import java.io.IOException;

/** A connection that never stood: nothing that was to be sent on it can have been received. */
public final class ConnectFailedException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean timedOut;
    private final boolean local;

    /** Wraps what the system said. */
    public ConnectFailedException(IOException cause) {
        this(cause, false);
    }

    ConnectFailedException(IOException cause, boolean local) {
        super("connect failed: " + cause.getMessage(), cause);
        timedOut = false;
        this.local = local;
    }

    /** Nothing answered in time. */
    public ConnectFailedException(String message) {
        super(message);
        timedOut = true;
        local = false;
    }

    /** Whether it was never tried, such as for lack of descriptors: that says nothing of the peer. */
    public boolean local() {
        return local;
    }

    /** Whether nothing answered in time, as against a refusal that shows that nobody listens. */
    public boolean timedOut() {
        return timedOut;
    }
}
