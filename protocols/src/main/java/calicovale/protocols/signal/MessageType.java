package calicovale.protocols.signal;

/** Type codes of messages, named as in the ISDN user part where it has a counterpart. */
public final class MessageType {
    /** Initial address: requests the set-up of a session. */
    public static final int IAM = 1;
    /** Address complete: reports progress, which has no effect on the session. */
    public static final int ACM = 6;
    /** Answer: the session is established. */
    public static final int ANM = 9;
    /** Release: refuses or cancels a set-up or ends a session, depending on its cause. */
    public static final int REL = 12;
    /** Release complete: acknowledges a release. */
    public static final int RLC = 16;
    /** Call progress: a note on an established session. */
    public static final int CPG = 44;
    /** Facility: the session is moved to another server. */
    public static final int FAC = 51;
    /** User part test: asks the receiver for a test result. */
    public static final int UPT = 52;
    /** User part available: the result of a user part test. */
    public static final int UPA = 53;
    /** Sets a new rung; has no counterpart in the ISDN user part. */
    public static final int RUNG = 60;

    private MessageType() {}
}
