package calicovale.gossip.wire;

/** Thrown for a message that does not follow the wire format; the text says what was expected. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a text that says what was expected. */
    public MalformedMessageException(String expected) {
        super(expected);
    }
}
