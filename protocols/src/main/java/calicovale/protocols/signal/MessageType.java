package calicovale.protocols.signal;

/** The types of message, by the terms of the ISDN user part where it has one. */
public final class MessageType {
    /** Initial address: a set-up. */
    public static final int IAM = 1;
    /** Address complete: progress, which means nothing here. */
    public static final int ACM = 6;
    /** Answer: the session stands. */
    public static final int ANM = 9;
    /** Release: refusal, giving up, or the end of a session, by its cause. */
    public static final int REL = 12;
    /** Release complete: the release was heard. */
    public static final int RLC = 16;
    /** Call progress: a note on a session that stands. */
    public static final int CPG = 44;
    /** Facility: the session is moved. */
    public static final int FAC = 51;
    /** User part test. */
    public static final int UPT = 52;
    /** User part available: the test's result. */
    public static final int UPA = 53;
    /** A new rung; the platform's own. */
    public static final int RUNG = 60;

    private MessageType() {}
}
