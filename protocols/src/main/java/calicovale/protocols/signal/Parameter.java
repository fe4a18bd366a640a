package calicovale.protocols.signal;

/** Codes of the parameters of a {@link Message}. */
public final class Parameter {
    /** Name of the session class. */
    public static final int CLASS = 1;
    /** Time for which the sender waits for an answer, in ms. */
    public static final int WAIT = 3;
    /** Marks a set-up as a viewer's retry. */
    public static final int RETRY = 7;
    /** Name of the title. */
    public static final int TITLE = 9;
    /** Further values, as {@code name:value} separated by semicolons. */
    public static final int EXTRAS = 11;
    /** Time after which a refused set-up may be retried, in ms. */
    public static final int RETRY_AFTER = 13;
    /** Kind of a note. */
    public static final int NOTE = 15;
    /** Load report of a server. */
    public static final int LOAD = 19;
    /** Rung of the session, from 0. */
    public static final int RUNG = 23;
    /** Value of a note. */
    public static final int VALUE = 25;
    /** Cause of a release or result of a test, one byte; see {@link Cause}. */
    public static final int CAUSE = 29;
    /** Description of the session, as uninterpreted bytes. */
    public static final int DESCRIPTION = 31;

    private Parameter() {}
}
