package calicovale.protocols.signal;

/** Thrown for bytes that are not a message; the rest of the stream cannot be parsed. */
public final class MessageFramingException extends Exception {
    private static final long serialVersionUID = 1L;

    MessageFramingException(String message) {
        super(message);
    }
}
