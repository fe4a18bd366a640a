package calicovale.protocols.hls;

/** Thrown for a malformed playlist; the message names the line. */
public final class HlsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code lineNumber} counts from 1. */
    public HlsException(int lineNumber, String message) {
        super("line " + lineNumber + ": " + message);
    }
}
