package calicovale.protocols.signal;

/** Bytes that are no message, after which the stream cannot be read on. */
public final class SignalException extends Exception {
    private static final long serialVersionUID = 1L;

    SignalException(String what) {
        super(what);
    }
}
