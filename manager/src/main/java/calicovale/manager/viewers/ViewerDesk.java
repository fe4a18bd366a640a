package calicovale.manager.viewers;

import calicovale.manager.LimitedLog;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.Session.State;
import calicovale.manager.sessions.SessionTable;
import calicovale.protocols.net.Connection;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Owns the viewers' side: who may connect and stay, and that each set-up that could be read gets one answer. What cannot be read
 * is answered with an error by the protocol, or a close, and nobody else notices.
 */
public final class ViewerDesk {
    /** What viewers' connections are called in the loop. */
    private static final String VIEWER = "viewer";
    /** Ms between looks at connections that say nothing. */
    private static final double SWEEP_MS = 200;
    /** Ms for which a release waits for a connection to be sent on; it is due after 8 s. */
    private static final double RELEASE_WAITS_MS = 7000;
    /**
     * Faults of the protocol after which a connection is closed, where they outnumber what it sent of use: against a peer that
     * sends nothing else at full speed; a front that many viewers share is not closed for one of them.
     */
    private static final int MOST_FAULTS = 8;
    /** Releases that wait at most. */
    private static final int RELEASES = 4096;

    /** Hears what viewers want. */
    public interface Listener {
        /** A session is wanted. */
        void asked(Session s, Request request);

        /** A session plays at a server already. */
        void handedOver(long id, Session.Origin origin, Request request, String server);

        /** A viewer gave a set-up up. */
        void departed(Session s);

        /** A viewer ended a session that stands. */
        void left(Session s);

        /** A viewer ended a session that is not held here. */
        void leftUnheld(long id);
    }

    /**
     * What a set-up says beside the session.
     *
     * @param classIndex the class's place in the settings
     */
    public record Request(
            int classIndex,
            String title,
            String viewer,
            double giveUpMs,
            int home,
            int copies,
            int top,
            boolean retry,
            boolean again) {}

    private record Waiting(Message message, double untilMs) {}

    private final EventLoop loop;
    private final ViewerSettings settings;
    private final SessionTable table;
    private final LimitedLog log;
    private final Listener listener;
    private final Set<ViewerLink> links = new LinkedHashSet<>();
    private final ArrayDeque<Waiting> releases = new ArrayDeque<>();
    private EventLoop.Listener socket;
    private double answerByMs = Double.MAX_VALUE;

    /** Listens once {@link #open} is called. */
    public ViewerDesk(EventLoop loop, ViewerSettings settings, SessionTable table, LimitedLog log, Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.table = table;
        this.log = log;
        this.listener = listener;
    }

    double nowMs() {
        return loop.clock().millis();
    }

    /** Listens; to be called on the loop. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        socket = loop.listen(address, VIEWER, this::accept);
        loop.schedule(SWEEP_MS, this::sweep);
        return socket.address();
    }

    /**
     * Whether nothing is left to be done for viewers: all who came are in, nothing is half read, no answer waits to be written and
     * no release for a connection.
     */
    public boolean quiet() {
        double now = nowMs();
        return socket.acceptQueueDrained()
                && releases.isEmpty()
                && links.stream()
                        .allMatch(link -> link.connection.pendingBytes() == 0
                                && (link.partialSinceMs == 0 || now - link.partialSinceMs > settings.speakMs()));
    }

    /** All set-ups that come from now on are to be answered by then. */
    public void answerBy(double ms) {
        answerByMs = ms;
    }

    /** Ends the sending side of all connections: what was answered is read by viewers, where a close could overtake it. */
    public void finish() {
        socket.close();
        for (ViewerLink link : links) {
            link.connection.shutdownOutputWhenDrained();
        }
    }

    /** Connections held. */
    public int links() {
        return links.size();
    }

    private Connection.Handler accept(Connection c) {
        if (links.size() >= settings.mostLinks() && !freeOne()) {
            log.say("viewer.refused-connection", links.size() + " connections are held");
            return null;
        }
        ViewerLink link = new ViewerLink(this, c, nowMs());
        links.add(link);
        return link;
    }

    /** Closes the connection that is worth least: see {@link ViewerLink#worth}; of those alike the one idle for longest. */
    private boolean freeOne() {
        ViewerLink least = null;
        for (ViewerLink link : links) {
            boolean less = least == null
                    || link.worth() < least.worth()
                    || link.worth() == least.worth() && link.usedAtMs < least.usedAtMs;
            least = link.owed.isEmpty() && less ? link : least;
        }
        if (least != null) {
            log.count("viewer.evicted");
            least.connection.close();
        }
        return least != null;
    }

    // --- What comes in ---

    void take(ViewerLink link, Message m) {
        switch (m.type()) {
            case MessageType.IAM -> setUp(link, m);
            case MessageType.REL -> release(link, m);
            case MessageType.UPT -> {
                useful(link);
                link.send(Message.of(MessageType.UPA, m.sessionId()).with(Parameter.CAUSE, new byte[] {Cause.PASSED}));
            }
            case MessageType.RLC, MessageType.ACM -> log.count("viewer.heard");
            default -> error(link, m.sessionId(), Cause.TYPE_UNKNOWN, "a message of type " + m.type());
        }
    }

    private void useful(ViewerLink link) {
        link.useful = true;
        link.good++;
    }

    /** A session that stands came by this connection, so it is a viewers' front's. */
    private void carries(ViewerLink link) {
        link.carried++;
        sendWaiting(link);
    }

    private void setUp(ViewerLink link, Message m) {
        SetUp setUp = SetUp.read(m, settings);
        if (setUp.fault() != 0) {
            error(link, m.sessionId(), setUp.fault(), setUp.why());
            return;
        }
        Session held = table.get(m.sessionId());
        double now = nowMs();
        Request request = new Request(
                setUp.classIndex(),
                setUp.title(),
                setUp.viewer(),
                Math.min(now + setUp.waitMs(), answerByMs),
                setUp.home(),
                setUp.copies(),
                setUp.top(),
                setUp.retry(),
                setUp.again());
        if (setUp.at() != null) {
            useful(link);
            if (held == null && !table.full()) {
                listener.handedOver(m.sessionId(), link, request, setUp.at());
            }
            if (table.get(m.sessionId()) != null) {
                carries(link);
            }
            return;
        }
        if (held != null) {
            twice(link, held);
            return;
        }
        useful(link);
        if (table.full() || link.owed.size() >= settings.mostOwed()) {
            log.say(table.full() ? "viewer.table-full" : "viewer.too-many-open", table.size() + " sessions are held");
            Message refusal = Message.release(m.sessionId(), Cause.CONGESTION);
            if (settings.retryAfterMs() > 0) {
                refusal.with(Parameter.RETRY_AFTER, String.valueOf((long) settings.retryAfterMs()));
            }
            link.send(refusal);
            return;
        }
        Session s = table.ask(
                m.sessionId(),
                link,
                settings.classes().get(setUp.classIndex()),
                setUp.title(),
                setUp.description(),
                request.giveUpMs());
        link.owed.add(s);
        // decided once all that is ready has been read: its own cancel or the close of its connection may lie right
        // behind
        loop.defer(EventLoop.Phase.DECISIONS, () -> {
            if (s.state() == State.ASKED && !s.departed()) {
                listener.asked(s, request);
            }
        });
    }

    /** One number for two set-ups: on one connection neither can be answered apart from the other, so both are over. */
    private void twice(ViewerLink link, Session held) {
        if (held.origin() == link && link.owed.contains(held)) {
            held.depart();
            link.owed.remove(held);
            listener.departed(held);
        }
        error(link, held.id(), Cause.INVALID_REFERENCE, "the id of a session that is held");
    }

    private void release(ViewerLink link, Message m) {
        Session s = table.get(m.sessionId());
        link.send(Message.of(MessageType.RLC, m.sessionId()));
        if (s == null) {
            log.count("viewer.release-of-none");
            listener.leftUnheld(m.sessionId());
        } else if (s.state() == State.STANDING) {
            listener.left(s);
        } else if (s.origin() == link && !s.departed()) {
            link.owed.remove(s);
            s.depart();
            listener.departed(s);
        }
    }

    private void error(ViewerLink link, long session, int cause, String why) {
        log.say("viewer.error", why);
        link.send(Message.release(session, cause));
        if (++link.faults >= MOST_FAULTS && link.faults > link.good) {
            log.count("viewer.too-many-faults");
            link.connection.closeWhenDrained();
        }
    }

    void unreadable(ViewerLink link, String why) {
        log.say("viewer.unreadable", why);
        link.send(Message.release(0, Cause.PROTOCOL_ERROR));
        link.connection.closeWhenDrained();
    }

    /** Told with the ends of the turn: this may be called from within a write, in the middle of a decision. */
    void closed(ViewerLink link) {
        links.remove(link);
        for (Session s : link.owed) {
            s.depart();
            loop.defer(EventLoop.Phase.TERMINATIONS, () -> listener.departed(s));
        }
        link.owed.clear();
    }

    // --- What goes out ---

    /** The one answer of a set-up; without effect where none is owed any more. */
    public boolean answer(Session s, Message message) {
        ViewerLink link = (ViewerLink) s.origin();
        if (!link.owed.remove(s)) {
            return false;
        }
        link.usedAtMs = nowMs();
        link.send(message);
        if (message.type() == MessageType.ANM) {
            carries(link);
        }
        return true;
    }

    /**
     * Tells the viewer of a session that stood, on the connection it came by, else on another that brought sessions which stand,
     * now or when there is one. Against connections that only ask and stay: what they are sent reaches no viewer.
     */
    public void tell(Session s, Message message) {
        ViewerLink link = (ViewerLink) s.origin();
        if (link.connection.isClosed()) {
            link = null;
            for (ViewerLink other : links) {
                link = other.carried > 0 && (link == null || other.usedAtMs > link.usedAtMs) ? other : link;
            }
        }
        if (link != null) {
            link.send(message);
        } else if (releases.size() < RELEASES) {
            releases.add(new Waiting(message, nowMs() + RELEASE_WAITS_MS));
        } else {
            log.say("viewer.release-dropped", s);
        }
    }

    private void sendWaiting(ViewerLink link) {
        double now = nowMs();
        while (!releases.isEmpty()) {
            Waiting waiting = releases.poll();
            if (waiting.untilMs() > now) {
                link.send(waiting.message());
            } else {
                log.count("viewer.release-too-late");
            }
        }
    }

    private void sweep() {
        loop.schedule(SWEEP_MS, this::sweep);
        double now = nowMs();
        for (ViewerLink link : new ArrayList<>(links)) {
            boolean mute = !link.useful && now - link.openedAtMs > settings.speakMs();
            boolean half =
                    link.partialSinceMs > 0 && now - link.partialSinceMs > settings.speakMs() && link.owed.isEmpty();
            if (mute || half) {
                log.count(mute ? "viewer.mute" : "viewer.half");
                link.connection.close();
            }
        }
    }
}
