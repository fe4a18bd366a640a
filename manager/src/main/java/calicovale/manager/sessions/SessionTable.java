package calicovale.manager.sessions;

import calicovale.manager.sessions.Session.Requester;
import calicovale.manager.sessions.Session.State;
import calicovale.protocols.signal.Message;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds a bounded number of sessions and makes all their transitions between states. A session has at most one
 * attempt in progress, and one that has ended is removed. Transitions throw {@link IllegalStateException} if the
 * session is in another state than required.
 */
public final class SessionTable {
    private final int capacity;
    private final Map<Long, Session> sessionsById = new HashMap<>();
    private final Map<Long, Set<Session>> playingByServer = new HashMap<>();
    private final UsedSessionIds usedIds = new UsedSessionIds();
    private final EnumMap<State, Integer> countByState = new EnumMap<>(State.class);

    /** Creates an empty table for at most {@code capacity} sessions. */
    public SessionTable(int capacity) {
        this.capacity = capacity;
        for (State state : State.values()) {
            countByState.put(state, 0);
        }
    }

    /** Returns the session with this id, or null. */
    public Session get(long id) {
        return sessionsById.get(id);
    }

    /** Returns whether no further session can be held. */
    public boolean isFull() {
        return sessionsById.size() >= capacity;
    }

    /** Returns the number of held sessions. */
    public int size() {
        return sessionsById.size();
    }

    /** Returns the number of sessions in a state; for {@link State#ENDED}, of all sessions that have ended. */
    public int count(State state) {
        return countByState.get(state);
    }

    /** Adds a session for a set-up. Throws {@link IllegalStateException} if the id is held or the table is full. */
    public Session request(
            long id, Requester requester, String sessionClass, String title, byte[] description, double giveUpMs) {
        if (isFull() || sessionsById.containsKey(id)) {
            throw new IllegalStateException("session " + Message.formatSessionId(id)
                    + (sessionsById.containsKey(id)
                            ? " is already held"
                            : " cannot be held, because the table is full with " + capacity + " sessions"));
        }
        Session session = new Session(id, requester, sessionClass, title, description, giveUpMs);
        sessionsById.put(id, session);
        countByState.merge(State.REQUESTED, 1, Integer::sum);
        return session;
    }

    /** Adds a session that already plays at a server, with attempt number 0. */
    public Session takeOver(
            long id, Requester requester, String sessionClass, String title, long server, double nowMs) {
        Session session = request(id, requester, sessionClass, title, null, Double.MAX_VALUE);
        startAttempt(session, server, nowMs);
        attemptSucceeded(session);
        return session;
    }

    /** Starts an attempt: requested to attempting. */
    public void startAttempt(Session session, long server, double nowMs) {
        transition(session, State.REQUESTED, State.ATTEMPTING);
        session.server = server;
        session.attemptCount++;
        session.attemptSentAtMs = nowMs;
        usedIds.add(session.id(), nowMs);
    }

    /** Returns whether an attempt was made lately for a session with this id, held or not. */
    public boolean wasAttempted(long id) {
        return usedIds.contains(id);
    }

    /** Ends an attempt without a session: attempting to requested. */
    public void attemptFailed(Session session) {
        transition(session, State.ATTEMPTING, State.REQUESTED);
        session.server = -1;
    }

    /** Ends an attempt with a playing session: attempting to playing. */
    public void attemptSucceeded(Session session) {
        transition(session, State.ATTEMPTING, State.PLAYING);
        session.dropDescription();
        playingByServer
                .computeIfAbsent(session.server, n -> new LinkedHashSet<>())
                .add(session);
    }

    /** Ends a session in any state and removes it. */
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
            throw new IllegalStateException(session + ": no transition from " + from + " to " + to);
        }
        countByState.merge(from, -1, Integer::sum);
        countByState.merge(to, 1, Integer::sum);
        session.state = to;
    }

    /** Returns the number of sessions that play at a server. */
    public int playingCountAt(long server) {
        Set<Session> playing = playingByServer.get(server);
        return playing == null ? 0 : playing.size();
    }

    /** Returns a copy of the list of sessions that play at a server. */
    public List<Session> playingAt(long server) {
        return List.copyOf(playingByServer.getOrDefault(server, Set.of()));
    }
}
