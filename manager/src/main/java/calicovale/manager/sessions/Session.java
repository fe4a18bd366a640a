package calicovale.manager.sessions;

import calicovale.protocols.signal.Message;

/** One session, from its set-up to its end. Its state is changed by the {@link SessionTable} alone. */
public final class Session {

    /** Where a session is on its way. */
    public enum State {
        /** Taken, no attempt is out. */
        ASKED,
        /** One attempt is out. */
        OUT,
        /** It plays. */
        STANDING,
        /** It is not held any more. */
        OVER
    }

    /** Where a set-up came from and its answer goes. */
    public interface Origin {}

    private final long id;
    private final String name;
    private final Origin origin;
    private final String sessionClass;
    private final String title;
    private final double giveUpMs;
    private byte[] description;
    State state = State.ASKED;
    long server = -1;
    int attempts;
    double sinceMs;
    private int rung = -1;
    private boolean departed;
    private boolean told;

    Session(long id, Origin origin, String sessionClass, String title, byte[] description, double giveUpMs) {
        this.id = id;
        this.name = Message.formatSessionId(id);
        this.origin = origin;
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
    public String name() {
        return name;
    }

    /** Where it came from. */
    public Origin origin() {
        return origin;
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
    public int attempt() {
        return attempts - 1;
    }

    /** When the last attempt was sent. */
    public double sinceMs() {
        return sinceMs;
    }

    /** The rung in force or asked for; -1: the lowest of its class. */
    public int rung() {
        return rung;
    }

    /** Sets the rung. */
    public void rung(int next) {
        rung = next;
    }

    /** Whether its viewer has given it up: no answer is owed. */
    public boolean departed() {
        return departed;
    }

    /** Its viewer has given it up. */
    public void depart() {
        departed = true;
    }

    /** Whether the controller has heard of it. */
    public boolean told() {
        return told;
    }

    /** The controller hears of it. */
    public void tell() {
        told = true;
    }

    void dropDescription() {
        description = null;
    }

    @Override
    public String toString() {
        return name + " " + state;
    }
}
