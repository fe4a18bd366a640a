package calicovale.protocols.signal;

/** Causes of a release, after Q.850. */
public final class Cause {
    /** A test failed. */
    public static final int FAILED = 0;
    /** A test passed. */
    public static final int PASSED = 1;
    /** Normal clearing. */
    public static final int NORMAL = 16;
    /** Normal, unspecified: a session that stood was cancelled. */
    public static final int CANCELLED = 31;
    /** No circuit available: full, it never ran. */
    public static final int NO_CIRCUIT = 34;
    /** Temporary failure: the set-up or the session broke. */
    public static final int TEMPORARY_FAILURE = 41;
    /** Switching equipment congestion: refused, to be tried again later. */
    public static final int CONGESTION = 42;
    /** Resource unavailable: an error. */
    public static final int UNAVAILABLE = 47;
    /** Invalid call reference value: the session is in use, or not what it is said to be. */
    public static final int INVALID_REFERENCE = 81;
    /** Mandatory information element is missing. */
    public static final int ELEMENT_MISSING = 96;
    /** Message type non-existent. */
    public static final int TYPE_UNKNOWN = 97;
    /** Invalid information element contents. */
    public static final int INVALID_CONTENTS = 100;
    /** Recovery on timer expiry: it never left. */
    public static final int TIMER_EXPIRY = 102;

    /** Protocol error, unspecified. */
    public static final int PROTOCOL_ERROR = 111;

    private Cause() {}
}
