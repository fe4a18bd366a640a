package calicovale.manager.viewers;

import calicovale.manager.sessions.Session;
import calicovale.manager.viewers.ViewerGateway.Request;
import calicovale.protocols.net.EventLoop;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The set-ups that wait for their decision. They are decided one by one, from each connection in turn, so that a
 * connection with many does not delay those of the others.
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
        ViewerLink link = linksInTurn.pollFirst();
        Map.Entry<Session, Request> next = link.pollUndecided();
        if (!link.undecided.isEmpty()) {
            linksInTurn.addLast(link);
        }
        schedule();
        if (next != null) {
            decision.accept(next.getKey(), next.getValue());
        }
    }
}
