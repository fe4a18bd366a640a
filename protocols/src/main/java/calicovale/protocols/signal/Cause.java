package calicovale.protocols.signal;

/** Codes of {@link Parameter#CAUSE} in a release and in a test result. Codes from 16 are those of Q.850. */
public final class Cause {
    /** The user part test failed. */
    public static final int FAILED = 0;
    /** The user part test passed. */
    public static final int PASSED = 1;
    /** Normal clearing. */
    public static final int NORMAL = 16;
    /** Normal, unspecified: an established session was cancelled. */
    public static final int CANCELLED = 31;
    /** No circuit available: the server is full and the set-up did not run. */
    public static final int NO_CIRCUIT = 34;
    /** Temporary failure: the set-up failed or the session broke off. */
    public static final int TEMPORARY_FAILURE = 41;
    /** Switching equipment congestion: the set-up is refused and may be retried later. */
    public static final int CONGESTION = 42;
    /** Resource unavailable: the set-up ended with an error. */
    public static final int UNAVAILABLE = 47;
    /** Invalid call reference value: the session id is in use already, or does not name the session that is meant. */
    public static final int INVALID_REFERENCE = 81;
    /** Mandatory information element is missing: a required parameter is absent. */
    public static final int ELEMENT_MISSING = 96;
    /** Message type non-existent: the type is unknown. */
    public static final int TYPE_UNKNOWN = 97;
    /** Invalid information element contents: a parameter has an invalid value. */
    public static final int INVALID_CONTENTS = 100;
    /** Recovery on timer expiry: the set-up was never sent, so it did not run. */
    public static final int TIMER_EXPIRY = 102;

    /** Protocol error, unspecified. */
    public static final int PROTOCOL_ERROR = 111;

    private Cause() {}
}
