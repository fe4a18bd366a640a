package calicovale.manager.sessions;

import calicovale.protocols.signal.Message;

/** One session, from its set-up to its end. Its state is changed by the {@link SessionStateTable} alone. */
public final class Session {

    /** Where a session is on its way. */
    public enum State {
        /** Taken, no attempt is out. */
        REQUESTED,
        /** One attempt is out. */
        ATTEMPTING,
        /** It plays. */
        PLAYING,
        /** It is not held any more. */
        ENDED
    }

    /** Where a set-up came from and its answer goes. */
    public interface Requester {}

    private final long id;
    private final String controllerId;
    private final Requester requester;
    private final String sessionClass;
    private final String title;
    private final double giveUpMs;
    private byte[] description;
    State state = State.REQUESTED;
    long server = -1;
    int attemptCount;
    double attemptSentAtMs;
    private int rung = -1;
    private boolean departed;
    private boolean knownToController;

    Session(long id, Requester requester, String sessionClass, String title, byte[] description, double giveUpMs) {
        this.id = id;
        this.controllerId = Message.name(id);
        this.requester = requester;
        this.sessionClass = sessionClass;
        this.title = title;
        this.description = description;
        this.giveUpMs = giveUpMs;
    }

    /** Its number on the wire. */
    public long id() {
        return id;
    }

    /** Its number in 16 hex digits, by which the controller knows it. */
    public String controllerId() {
        return controllerId;
    }

    /** Where it came from. */
    public Requester requester() {
        return requester;
    }

    /** The class's name. */
    public String sessionClass() {
        return sessionClass;
    }

    /** The title. */
    public String title() {
        return title;
    }

    /** The viewer's description; null once the session stands. */
    public byte[] description() {
        return description;
    }

    /** When its viewer gives up. */
    public double giveUpMs() {
        return giveUpMs;
    }

    /** Its state. */
    public State state() {
        return state;
    }

    /** The server of the attempt that is out, or where it stands; -1: none. */
    public long server() {
        return server;
    }

    /** The number of the last attempt, from 0; -1: none yet. */
    public int attemptNumber() {
        return attemptCount - 1;
    }

    /** When the last attempt was sent. */
    public double attemptSentAtMs() {
        return attemptSentAtMs;
    }

    /** The rung in force or asked for; -1: the lowest of its class. */
    public int rung() {
        return rung;
    }

    /** Sets the rung. */
    public void rung(int newRung) {
        rung = newRung;
    }

    /** Whether its viewer has given it up: no answer is owed. */
    public boolean departed() {
        return departed;
    }

    /** Its viewer has given it up. */
    public void markDeparted() {
        departed = true;
    }

    /** Whether the controller has heard of it. */
    public boolean knownToController() {
        return knownToController;
    }

    /** The controller hears of it. */
    public void markKnownToController() {
        knownToController = true;
    }

    void dropDescription() {
        description = null;
    }

    @Override
    public String toString() {
        return controllerId + " " + state;
    }
}
