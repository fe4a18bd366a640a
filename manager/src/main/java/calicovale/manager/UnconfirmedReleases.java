package calicovale.manager;

import calicovale.protocols.signal.Message;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Releases that were written to a connection and are not confirmed by the peer, so that they can be sent again if the
 * connection ends. Peers need not confirm; an unconfirmed release is kept for {@link #KEPT_MS}.
 *
 * @param <L> type of the connections
 */
public final class UnconfirmedReleases<L> {
    /** Time, in ms, for which a release is kept. Releases must arrive within 8 s of the session's end. */
    private static final double KEPT_MS = 8000;
    /**
     * Time, in ms, before the peer's own close of a connection within which a release may have crossed that close. The
     * peer has read what was written earlier, because a close with unread input resets the connection.
     */
    private static final double CROSSING_MS = 1000;
    /** Upper bound of releases that are kept; the oldest ones give way. */
    private static final int MAX_KEPT = 4096;

    private record Sent<L>(L link, Message release, double sentAtMs) {}

    private final Map<Long, Sent<L>> bySession = new LinkedHashMap<>();

    /** Adds a release that was written on {@code link}. */
    public void add(L link, Message release, double nowMs) {
        removeExpired(nowMs);
        bySession.remove(release.sessionId());
        if (bySession.size() >= MAX_KEPT) {
            bySession.remove(bySession.keySet().iterator().next());
        }
        bySession.put(release.sessionId(), new Sent<>(link, release, nowMs));
    }

    /** Removes the release of a session, because the peer has confirmed it. */
    public void confirm(long sessionId) {
        bySession.remove(sessionId);
    }

    /**
     * Removes the releases of a connection that has ended, and returns those that the peer may not have read, oldest
     * first.
     *
     * @param closedByPeer whether the peer closed the connection in order
     */
    public List<Message> linkEnded(L link, boolean closedByPeer, double nowMs) {
        List<Message> unread = new ArrayList<>();
        double unreadSinceMs = nowMs - (closedByPeer ? CROSSING_MS : KEPT_MS);
        for (Iterator<Sent<L>> oldestFirst = bySession.values().iterator(); oldestFirst.hasNext(); ) {
            Sent<L> sent = oldestFirst.next();
            if (sent.link != link) {
                continue;
            }
            oldestFirst.remove();
            if (sent.sentAtMs >= unreadSinceMs) {
                unread.add(sent.release);
            }
        }
        return unread;
    }

    /** Returns the number of releases that are kept. */
    public int size() {
        return bySession.size();
    }

    private void removeExpired(double nowMs) {
        Iterator<Sent<L>> oldestFirst = bySession.values().iterator();
        while (oldestFirst.hasNext() && nowMs - oldestFirst.next().sentAtMs > KEPT_MS) {
            oldestFirst.remove();
        }
    }
}
