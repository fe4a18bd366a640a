package calicovale.protocols.http;

/**
 * Signals that a message is refused, with a status for the reason. The message framing is lost, so the connection
 * must be closed.
 */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** Creates an exception; a server responds with {@code status} (RFC 9110, 15.5 and 15.6). */
    public HttpException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the status code to respond with. */
    public int status() {
        return status;
    }
}
