package calicovale.protocols.signal;

/** Codes of the parameters. */
public final class Parameter {
    /** The class of session. */
    public static final int CLASS = 1;
    /** How long the sender waits, in ms. */
    public static final int WAIT = 3;
    /** Marks a viewer's retry. */
    public static final int RETRY = 7;
    /** The title. */
    public static final int TITLE = 9;
    /** Further figures, as {@code name:value} set apart by semicolons. */
    public static final int EXTRAS = 11;
    /** How long to stay away, in ms. */
    public static final int RETRY_AFTER = 13;
    /** What a note tells. */
    public static final int NOTE = 15;
    /** A load report. */
    public static final int LOAD = 19;
    /** The rung, from 0. */
    public static final int RUNG = 23;
    /** A note's figure. */
    public static final int VALUE = 25;
    /** The cause, one byte. */
    public static final int CAUSE = 29;
    /** The description, any bytes. */
    public static final int DESCRIPTION = 31;

    private Parameter() {}
}
