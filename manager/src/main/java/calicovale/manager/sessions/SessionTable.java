package calicovale.manager.sessions;

import calicovale.manager.sessions.Session.Origin;
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
public final class SessionTable {
    private final int most;
    private final Map<Long, Session> held = new HashMap<>();
    private final Map<Long, Set<Session>> standing = new HashMap<>();
    private final EnumMap<State, Integer> counts = new EnumMap<>(State.class);

    /** Holds so many at most. */
    public SessionTable(int most) {
        this.most = most;
        for (State state : State.values()) {
            counts.put(state, 0);
        }
    }

    /** The session of this number, or null. */
    public Session get(long id) {
        return held.get(id);
    }

    /** Whether no further session can be held. */
    public boolean full() {
        return held.size() >= most;
    }

    /** Sessions held. */
    public int size() {
        return held.size();
    }

    /** Sessions in a state; of those over, how many there were. */
    public int count(State state) {
        return counts.get(state);
    }

    /** Takes a set-up. */
    public Session ask(long id, Origin origin, String sessionClass, String title, byte[] description, double giveUpMs) {
        if (full() || held.containsKey(id)) {
            throw new IllegalStateException("session " + id + " is held, or the table is full");
        }
        Session s = new Session(id, origin, sessionClass, title, description, giveUpMs);
        held.put(id, s);
        counts.merge(State.ASKED, 1, Integer::sum);
        return s;
    }

    /** Takes a session that plays at a server already. */
    public Session takeOver(long id, Origin origin, String sessionClass, String title, long server, double nowMs) {
        Session s = ask(id, origin, sessionClass, title, null, Double.MAX_VALUE);
        out(s, server, nowMs);
        stands(s);
        return s;
    }

    /** An attempt goes out. */
    public void out(Session s, long server, double nowMs) {
        go(s, State.ASKED, State.OUT);
        s.server = server;
        s.attempts++;
        s.sinceMs = nowMs;
    }

    /** The attempt ended without a session. */
    public void back(Session s) {
        go(s, State.OUT, State.ASKED);
        s.server = -1;
    }

    /** The attempt came to play. */
    public void stands(Session s) {
        go(s, State.OUT, State.STANDING);
        s.dropDescription();
        standing.computeIfAbsent(s.server, n -> new LinkedHashSet<>()).add(s);
    }

    /** It is held no more, whatever its state. */
    public void over(Session s) {
        State was = s.state;
        go(s, was, State.OVER);
        if (was == State.STANDING) {
            Set<Session> there = standing.get(s.server);
            there.remove(s);
            if (there.isEmpty()) {
                standing.remove(s.server);
            }
        }
        held.remove(s.id());
    }

    private void go(Session s, State from, State to) {
        if (s.state != from || from == State.OVER) {
            throw new IllegalStateException(s + ": not " + from + ", so it cannot be " + to);
        }
        counts.merge(from, -1, Integer::sum);
        counts.merge(to, 1, Integer::sum);
        s.state = to;
    }

    /** How many sessions stand at a server. */
    public int standingAt(long server) {
        Set<Session> there = standing.get(server);
        return there == null ? 0 : there.size();
    }

    /** The sessions that stand at a server, as they are now. */
    public List<Session> listStandingAt(long server) {
        return List.copyOf(standing.getOrDefault(server, Set.of()));
    }
}
