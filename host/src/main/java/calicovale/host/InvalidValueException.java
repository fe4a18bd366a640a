package calicovale.host;

/** Thrown for a value that is not accepted; the message names the value and what is accepted. */
public class InvalidValueException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the value and what is accepted. */
    public InvalidValueException(String message) {
        super(message);
    }
}
