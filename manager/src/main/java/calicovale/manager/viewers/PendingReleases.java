package calicovale.manager.viewers;

import calicovale.protocols.signal.Message;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;

/**
 * Messages that end sessions whose own connection is closed, while no connection with a playing session is open.
 *
 * <p>They may be sent on any connection of a viewers' front, but a connection without a playing session may belong to a
 * client that reads nothing. So each is kept, and sent on each such connection once, until a connection shows by a
 * playing session that it belongs to a front, or its time is over.
 */
final class PendingReleases {
    /** Upper bound of the messages that are kept. */
    private static final int MAX_PENDING = 4096;
    /** Time, in ms, for which a message is kept; it must reach the viewer within 8 s of the session's end. */
    private static final double TIMEOUT_MS = 7000;

    /** One message; {@code number} rises with each message that is added. */
    private record Pending(long number, Message message, double untilMs) {}

    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private long lastNumber;
    /** Number of the latest message that was sent on any connection. */
    private long lastSentNumber;

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    /** Adds a message; returns false if too many are kept. */
    boolean add(Message message, double nowMs) {
        if (pending.size() >= MAX_PENDING) {
            return false;
        }
        pending.addLast(new Pending(++lastNumber, message, nowMs + TIMEOUT_MS));
        return true;
    }

    /** Returns whether there are messages that have not been sent on the connection. */
    boolean hasUnsentFor(ViewerLink link) {
        return !pending.isEmpty() && link.lastPendingRelease < lastNumber;
    }

    /** Sends all messages that have not been sent on the connection, oldest first; they are still kept. */
    void sendOn(ViewerLink link) {
        ArrayDeque<Pending> unsent = new ArrayDeque<>();
        for (Iterator<Pending> newestFirst = pending.descendingIterator(); newestFirst.hasNext(); ) {
            Pending next = newestFirst.next();
            if (next.number <= link.lastPendingRelease) {
                break;
            }
            unsent.addFirst(next);
        }
        unsent.forEach(next -> link.send(next.message));
        link.lastPendingRelease = lastNumber;
        lastSentNumber = lastNumber;
    }

    /** Removes all messages and returns them, oldest first. */
    List<Message> removeAll() {
        List<Message> messages = pending.stream().map(Pending::message).toList();
        pending.clear();
        return messages;
    }

    /** Removes messages whose time is over; returns how many of them were never sent. */
    int removeExpired(double nowMs) {
        int neverSent = 0;
        for (Iterator<Pending> oldestFirst = pending.iterator(); oldestFirst.hasNext(); ) {
            Pending oldest = oldestFirst.next();
            if (oldest.untilMs > nowMs) {
                break;
            }
            oldestFirst.remove();
            neverSent += oldest.number > lastSentNumber ? 1 : 0;
        }
        return neverSent;
    }
}
