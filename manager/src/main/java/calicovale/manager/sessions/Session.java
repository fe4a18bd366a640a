package calicovale.manager.sessions;

import calicovale.protocols.signal.Message;

/** One session, from its set-up to its end. Only {@link SessionTable} changes its state. */
public final class Session {

    /** The state of a session. */
    public enum State {
        /** A set-up was accepted; no attempt is in progress. */
        REQUESTED,
        /** One attempt is in progress. */
        ATTEMPTING,
        /** The session plays at a server. */
        PLAYING,
        /** The session is over and no longer held. */
        ENDED
    }

    /** The peer that sent a set-up and gets its answer. */
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
        this.controllerId = Message.formatSessionId(id);
        this.requester = requester;
        this.sessionClass = sessionClass;
        this.title = title;
        this.description = description;
        this.giveUpMs = giveUpMs;
    }

    /** Returns the session's id in messages. */
    public long id() {
        return id;
    }

    /** Returns the id in 16 hex digits, as the controller uses it. */
    public String controllerId() {
        return controllerId;
    }

    /** Returns the peer that sent the set-up. */
    public Requester requester() {
        return requester;
    }

    /** Returns the name of the session class; empty for a session that was handed over. */
    public String sessionClass() {
        return sessionClass;
    }

    /** Returns the title. */
    public String title() {
        return title;
    }

    /** Returns the viewer's description, or null once the session plays. */
    public byte[] description() {
        return description;
    }

    /** Returns the clock time, in ms, at which the viewer gives up. */
    public double giveUpMs() {
        return giveUpMs;
    }

    /** Returns the state. */
    public State state() {
        return state;
    }

    /** Returns the number of the server of the current attempt or of the playing session; -1: none. */
    public long server() {
        return server;
    }

    /** Returns the number of the last attempt, from 0; -1: there was none. */
    public int attemptNumber() {
        return attemptCount - 1;
    }

    /** Returns the clock time, in ms, at which the last attempt was started. */
    public double attemptSentAtMs() {
        return attemptSentAtMs;
    }

    /** Returns the current or requested rung; -1: the lowest of the class. */
    public int rung() {
        return rung;
    }

    /** Sets the rung. */
    public void rung(int newRung) {
        rung = newRung;
    }

    /** Returns whether the viewer has given up the set-up, so that no answer is due. */
    public boolean departed() {
        return departed;
    }

    /** Records that the viewer has given up the set-up. */
    public void markDeparted() {
        departed = true;
    }

    /** Returns whether the session has been raised to the controller. */
    public boolean knownToController() {
        return knownToController;
    }

    /** Records that the session is raised to the controller. */
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
