package calicovale.host;

/** A value that is not what was expected; the message says which and why. */
public class BadValueException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong. */
    public BadValueException(String what) {
        super(what);
    }
}
