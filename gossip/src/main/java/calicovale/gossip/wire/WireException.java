package calicovale.gossip.wire;

/** A message does not follow the wire format; the text says what was expected. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a text that says what was expected. */
    public WireException(String expected) {
        super(expected);
    }
}
