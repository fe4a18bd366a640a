package calicovale.manager.viewers;

import calicovale.manager.sessions.Session;
import calicovale.manager.viewers.ViewerGateway.Request;
import calicovale.protocols.net.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The set-ups that wait for their decision. They are decided one by one, from each connection in turn, so that a
 * connection with many does not delay those of the others.
 *
 * <p>A set-up is not decided while input of its connection lies unread, because the viewer's cancel or close may be
 * behind it.
 */
final class SetUpQueue {
    private final EventLoop loop;
    private final BiConsumer<Session, Request> decision;
    /** Connections with undecided set-ups, the next one first. */
    private final ArrayDeque<ViewerLink> linksInTurn = new ArrayDeque<>();

    private boolean scheduled;

    /** Creates an empty queue; {@code decision} is called for each set-up with the decisions of a turn of the loop. */
    SetUpQueue(EventLoop loop, BiConsumer<Session, Request> decision) {
        this.loop = loop;
        this.decision = decision;
    }

    /** Adds a set-up, which {@link ViewerLink#removeUnanswered} takes back. */
    void add(ViewerLink link, Session session, Request request) {
        if (link.undecided.isEmpty() && !linksInTurn.contains(link)) {
            linksInTurn.addLast(link);
        }
        link.undecided.put(session, request);
        schedule();
    }

    private void schedule() {
        if (!scheduled && !linksInTurn.isEmpty()) {
            scheduled = true;
            loop.defer(EventLoop.Phase.DECISIONS, this::decideNext);
        }
    }

    private void decideNext() {
        scheduled = false;
        Map.Entry<Session, Request> next = pollNext();
        if (next != null) {
            schedule();
            decision.accept(next.getKey(), next.getValue());
        } else if (!linksInTurn.isEmpty()) {
            // all connections with set-ups have unread input, which is read in the next turn
            scheduled = true;
            loop.schedule(0, this::decideNext);
        }
    }

    /** Removes and returns the set-up that is decided next, or returns null if none can be decided now. */
    private Map.Entry<Session, Request> pollNext() {
        Map.Entry<Session, Request> next = null;
        for (int links = linksInTurn.size(); next == null && links > 0; links--) {
            ViewerLink link = linksInTurn.pollFirst();
            next = link.connection.mayHaveUnreadInput() ? null : link.pollUndecided();
            if (!link.undecided.isEmpty()) {
                linksInTurn.addLast(link);
            }
        }
        return next;
    }

    /** Returns the sessions whose set-ups wait for unread input and whose viewers give up before {@code deadlineMs}. */
    List<Session> waitingForInputUntil(double deadlineMs) {
        List<Session> expiring = new ArrayList<>();
        for (ViewerLink link : linksInTurn) {
            if (!link.connection.mayHaveUnreadInput()) {
                continue;
            }
            for (Session session : link.undecided.keySet()) {
                if (session.giveUpMs() < deadlineMs) {
                    expiring.add(session);
                }
            }
        }
        return expiring;
    }
}
