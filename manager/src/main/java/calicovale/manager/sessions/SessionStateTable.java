package calicovale.manager.sessions;

import calicovale.manager.sessions.Session.Requester;
import calicovale.manager.sessions.Session.State;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns every session that is held, and the only ways from one state to another: asked, out, standing, over. One attempt is out at
 * once, and a session that is over is held no more. It is bounded.
 */
public final class SessionStateTable {
    private final int capacity;
    private final Map<Long, Session> sessionsById = new HashMap<>();
    private final Map<Long, Set<Session>> playingByServer = new HashMap<>();
    private final EnumMap<State, Integer> countByState = new EnumMap<>(State.class);

    /** Holds so many at most. */
    public SessionStateTable(int capacity) {
        this.capacity = capacity;
        for (State state : State.values()) {
            countByState.put(state, 0);
        }
    }

    /** The session of this number, or null. */
    public Session get(long id) {
        return sessionsById.get(id);
    }

    /** Whether no further session can be held. */
    public boolean isFull() {
        return sessionsById.size() >= capacity;
    }

    /** Sessions held. */
    public int size() {
        return sessionsById.size();
    }

    /** Sessions in a state; of those over, how many there were. */
    public int count(State state) {
        return countByState.get(state);
    }

    /** Takes a set-up. */
    public Session request(
            long id, Requester requester, String sessionClass, String title, byte[] description, double giveUpMs) {
        if (isFull() || sessionsById.containsKey(id)) {
            throw new IllegalStateException("session " + id + " is held, or the table is full");
        }
        Session session = new Session(id, requester, sessionClass, title, description, giveUpMs);
        sessionsById.put(id, session);
        countByState.merge(State.REQUESTED, 1, Integer::sum);
        return session;
    }

    /** Takes a session that plays at a server already. */
    public Session takeOver(
            long id, Requester requester, String sessionClass, String title, long server, double nowMs) {
        Session session = request(id, requester, sessionClass, title, null, Double.MAX_VALUE);
        startAttempt(session, server, nowMs);
        attemptSucceeded(session);
        return session;
    }

    /** An attempt goes out. */
    public void startAttempt(Session session, long server, double nowMs) {
        transition(session, State.REQUESTED, State.ATTEMPTING);
        session.server = server;
        session.attemptCount++;
        session.attemptSentAtMs = nowMs;
    }

    /** The attempt ended without a session. */
    public void attemptFailed(Session session) {
        transition(session, State.ATTEMPTING, State.REQUESTED);
        session.server = -1;
    }

    /** The attempt came to play. */
    public void attemptSucceeded(Session session) {
        transition(session, State.ATTEMPTING, State.PLAYING);
        session.dropDescription();
        playingByServer
                .computeIfAbsent(session.server, n -> new LinkedHashSet<>())
                .add(session);
    }

    /** It is held no more, whatever its state. */
    public void end(Session session) {
        State previous = session.state;
        transition(session, previous, State.ENDED);
        if (previous == State.PLAYING) {
            Set<Session> playing = playingByServer.get(session.server);
            playing.remove(session);
            if (playing.isEmpty()) {
                playingByServer.remove(session.server);
            }
        }
        sessionsById.remove(session.id());
    }

    private void transition(Session session, State from, State to) {
        if (session.state != from || from == State.ENDED) {
            throw new IllegalStateException(session + ": not " + from + ", so it cannot be " + to);
        }
        countByState.merge(from, -1, Integer::sum);
        countByState.merge(to, 1, Integer::sum);
        session.state = to;
    }

    /** How many sessions stand at a server. */
    public int playingCountAt(long server) {
        Set<Session> playing = playingByServer.get(server);
        return playing == null ? 0 : playing.size();
    }

    /** The sessions that stand at a server, as they are now. */
    public List<Session> playingAt(long server) {
        return List.copyOf(playingByServer.getOrDefault(server, Set.of()));
    }
}
