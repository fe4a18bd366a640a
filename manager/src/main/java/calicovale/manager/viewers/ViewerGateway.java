package calicovale.manager.viewers;

import calicovale.manager.RateLimitedLog;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.Session.State;
import calicovale.manager.sessions.SessionStateTable;
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
public final class ViewerGateway {
    /** What viewers' connections are called in the loop. */
    private static final String CONNECTION_KIND = "viewer";
    /** Ms between looks at connections that say nothing. */
    private static final double SWEEP_INTERVAL_MS = 200;
    /** Ms for which a release waits for a connection to be sent on; it is due after 8 s. */
    private static final double RELEASE_QUEUE_TIMEOUT_MS = 7000;
    /**
     * Faults of the protocol after which a connection is closed, where they outnumber what it sent of use: against a peer that
     * sends nothing else at full speed; a front that many viewers share is not closed for one of them.
     */
    private static final int MAX_PROTOCOL_FAULTS = 8;
    /** Releases that wait at most. */
    private static final int MAX_QUEUED_RELEASES = 4096;

    /** Hears what viewers want. */
    public interface Listener {
        /** A session is wanted. */
        void sessionRequested(Session session, Request request);

        /** A session plays at a server already. */
        void sessionHandedOver(long sessionId, Session.Requester requester, Request request, String server);

        /** A viewer gave a set-up up. */
        void setUpAbandoned(Session session);

        /** A viewer ended a session that stands. */
        void sessionReleased(Session session);

        /** A viewer ended a session that is not held here. */
        void unknownSessionReleased(long sessionId);
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
            int homeCell,
            int span,
            int topRung,
            boolean retry,
            boolean returning) {}

    private record QueuedRelease(Message message, double untilMs) {}

    private final EventLoop loop;
    private final ViewerSettings settings;
    private final SessionStateTable table;
    private final RateLimitedLog log;
    private final Listener listener;
    private final Set<ViewerLink> links = new LinkedHashSet<>();
    private final ArrayDeque<QueuedRelease> queuedReleases = new ArrayDeque<>();
    private EventLoop.Listener listeningSocket;
    private double answerDeadlineMs = Double.MAX_VALUE;

    /** Listens once {@link #open} is called. */
    public ViewerGateway(
            EventLoop loop, ViewerSettings settings, SessionStateTable table, RateLimitedLog log, Listener listener) {
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
        listeningSocket = loop.listen(address, CONNECTION_KIND, this::accept);
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
        return listeningSocket.address();
    }

    /**
     * Whether nothing is left to be done for viewers: all who came are in, nothing is half read, no answer waits to be written and
     * no release for a connection.
     */
    public boolean isQuiet() {
        double nowMs = nowMs();
        return listeningSocket.caughtUp()
                && queuedReleases.isEmpty()
                && links.stream()
                        .allMatch(link -> link.connection.pendingBytes() == 0
                                && (link.partialSinceMs == 0
                                        || nowMs - link.partialSinceMs > settings.validMessageTimeoutMs()));
    }

    /** All set-ups that come from now on are to be answered by then. */
    public void setAnswerDeadline(double deadlineMs) {
        answerDeadlineMs = deadlineMs;
    }

    /** Ends the sending side of all connections: what was answered is read by viewers, where a close could overtake it. */
    public void closeGracefully() {
        listeningSocket.close();
        for (ViewerLink link : links) {
            link.connection.finish();
        }
    }

    /** Connections held. */
    public int linkCount() {
        return links.size();
    }

    private Connection.Handler accept(Connection connection) {
        if (links.size() >= settings.maxLinks() && !evictLeastValuableLink()) {
            log.warn("viewer.refused-connection", links.size() + " connections are held");
            return null;
        }
        ViewerLink link = new ViewerLink(this, connection, nowMs());
        links.add(link);
        return link;
    }

    /** Closes the connection that is worth least: see {@link ViewerLink#retentionRank}; of those alike the one idle for longest. */
    private boolean evictLeastValuableLink() {
        ViewerLink least = null;
        for (ViewerLink link : links) {
            boolean ranksLower = least == null
                    || link.retentionRank() < least.retentionRank()
                    || link.retentionRank() == least.retentionRank() && link.lastUsedAtMs < least.lastUsedAtMs;
            least = link.awaitingAnswer.isEmpty() && ranksLower ? link : least;
        }
        if (least != null) {
            log.count("viewer.evicted");
            least.connection.close();
        }
        return least != null;
    }

    // --- What comes in ---

    void handle(ViewerLink link, Message message) {
        switch (message.type()) {
            case MessageType.IAM -> handleSetUp(link, message);
            case MessageType.REL -> handleRelease(link, message);
            case MessageType.UPT -> {
                countValidMessage(link);
                link.send(Message.of(MessageType.UPA, message.session())
                        .with(Parameter.CAUSE, new byte[] {Cause.PASSED}));
            }
            case MessageType.RLC, MessageType.ACM -> log.count("viewer.heard");
            default ->
                rejectMessage(link, message.session(), Cause.TYPE_UNKNOWN, "a message of type " + message.type());
        }
    }

    private void countValidMessage(ViewerLink link) {
        link.hasSentValidMessage = true;
        link.validMessages++;
    }

    /** A session that stands came by this connection, so it is a viewers' front's. */
    private void countPlayingSession(ViewerLink link) {
        link.sessionsPlayed++;
        sendQueuedReleases(link);
    }

    private void handleSetUp(ViewerLink link, Message message) {
        SetUpRequest setUp = SetUpRequest.parse(message, settings);
        if (setUp.rejectCause() != 0) {
            rejectMessage(link, message.session(), setUp.rejectCause(), setUp.rejectReason());
            return;
        }
        Session held = table.get(message.session());
        double nowMs = nowMs();
        Request request = new Request(
                setUp.classIndex(),
                setUp.title(),
                setUp.viewer(),
                Math.min(nowMs + setUp.waitMs(), answerDeadlineMs),
                setUp.homeCell(),
                setUp.span(),
                setUp.topRung(),
                setUp.retry(),
                setUp.returning());
        if (setUp.playingAt() != null) {
            countValidMessage(link);
            if (held == null && !table.isFull()) {
                listener.sessionHandedOver(message.session(), link, request, setUp.playingAt());
            }
            if (table.get(message.session()) != null) {
                countPlayingSession(link);
            }
            return;
        }
        if (held != null) {
            rejectDuplicate(link, held);
            return;
        }
        countValidMessage(link);
        if (table.isFull() || link.awaitingAnswer.size() >= settings.maxSetUpsPerLink()) {
            log.warn(
                    table.isFull() ? "viewer.table-full" : "viewer.too-many-open", table.size() + " sessions are held");
            Message refusal = Message.release(message.session(), Cause.CONGESTION);
            if (settings.retryAfterMs() > 0) {
                refusal.with(Parameter.RETRY_AFTER, String.valueOf((long) settings.retryAfterMs()));
            }
            link.send(refusal);
            return;
        }
        Session session = table.request(
                message.session(),
                link,
                settings.classes().get(setUp.classIndex()),
                setUp.title(),
                setUp.description(),
                request.giveUpMs());
        link.awaitingAnswer.add(session);
        // decided once all that is ready has been read: its own cancel or the close of its connection may lie right
        // behind
        loop.defer(EventLoop.Phase.DECISIONS, () -> {
            if (session.state() == State.REQUESTED && !session.departed()) {
                listener.sessionRequested(session, request);
            }
        });
    }

    /** One number for two set-ups: on one connection neither can be answered apart from the other, so both are over. */
    private void rejectDuplicate(ViewerLink link, Session held) {
        if (held.requester() == link && link.awaitingAnswer.contains(held)) {
            held.markDeparted();
            link.awaitingAnswer.remove(held);
            listener.setUpAbandoned(held);
        }
        rejectMessage(link, held.id(), Cause.INVALID_REFERENCE, "the id of a session that is held");
    }

    private void handleRelease(ViewerLink link, Message message) {
        Session session = table.get(message.session());
        link.send(Message.of(MessageType.RLC, message.session()));
        if (session == null) {
            log.count("viewer.release-of-none");
            listener.unknownSessionReleased(message.session());
        } else if (session.state() == State.PLAYING) {
            listener.sessionReleased(session);
        } else if (session.requester() == link && !session.departed()) {
            link.awaitingAnswer.remove(session);
            session.markDeparted();
            listener.setUpAbandoned(session);
        }
    }

    private void rejectMessage(ViewerLink link, long sessionId, int cause, String reason) {
        log.warn("viewer.error", reason);
        link.send(Message.release(sessionId, cause));
        if (++link.protocolFaults >= MAX_PROTOCOL_FAULTS && link.protocolFaults > link.validMessages) {
            log.count("viewer.too-many-faults");
            link.connection.closeWhenDrained();
        }
    }

    void rejectStream(ViewerLink link, String reason) {
        log.warn("viewer.unreadable", reason);
        link.send(Message.release(0, Cause.PROTOCOL_ERROR));
        link.connection.closeWhenDrained();
    }

    /** Told with the ends of the turn: this may be called from within a write, in the middle of a decision. */
    void linkClosed(ViewerLink link) {
        links.remove(link);
        for (Session session : link.awaitingAnswer) {
            session.markDeparted();
            loop.defer(EventLoop.Phase.ENDS, () -> listener.setUpAbandoned(session));
        }
        link.awaitingAnswer.clear();
    }

    // --- What goes out ---

    /** The one answer of a set-up; without effect where none is owed any more. */
    public boolean answer(Session session, Message message) {
        ViewerLink link = (ViewerLink) session.requester();
        if (!link.awaitingAnswer.remove(session)) {
            return false;
        }
        link.lastUsedAtMs = nowMs();
        link.send(message);
        if (message.type() == MessageType.ANM) {
            countPlayingSession(link);
        }
        return true;
    }

    /**
     * Tells the viewer of a session that stood, on the connection it came by, else on another that brought sessions which stand,
     * now or when there is one. Against connections that only ask and stay: what they are sent reaches no viewer.
     */
    public void notifyViewer(Session session, Message message) {
        ViewerLink link = (ViewerLink) session.requester();
        if (link.connection.isClosed()) {
            link = null;
            for (ViewerLink other : links) {
                link = other.sessionsPlayed > 0 && (link == null || other.lastUsedAtMs > link.lastUsedAtMs)
                        ? other
                        : link;
            }
        }
        if (link != null) {
            link.send(message);
        } else if (queuedReleases.size() < MAX_QUEUED_RELEASES) {
            queuedReleases.add(new QueuedRelease(message, nowMs() + RELEASE_QUEUE_TIMEOUT_MS));
        } else {
            log.warn("viewer.release-dropped", session);
        }
    }

    private void sendQueuedReleases(ViewerLink link) {
        double nowMs = nowMs();
        while (!queuedReleases.isEmpty()) {
            QueuedRelease queued = queuedReleases.poll();
            if (queued.untilMs() > nowMs) {
                link.send(queued.message());
            } else {
                log.count("viewer.release-too-late");
            }
        }
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
        double nowMs = nowMs();
        for (ViewerLink link : new ArrayList<>(links)) {
            boolean noValidMessage =
                    !link.hasSentValidMessage && nowMs - link.openedAtMs > settings.validMessageTimeoutMs();
            boolean partialMessage = link.partialSinceMs > 0
                    && nowMs - link.partialSinceMs > settings.validMessageTimeoutMs()
                    && link.awaitingAnswer.isEmpty();
            if (noValidMessage || partialMessage) {
                log.count(noValidMessage ? "viewer.mute" : "viewer.half");
                link.connection.close();
            }
        }
    }
}
