package calicovale.manager.viewers;

import calicovale.manager.RateLimitedLog;
import calicovale.manager.UnconfirmedReleases;
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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Accepts connections of viewers' fronts, bounds their number, and makes sure that each valid set-up gets exactly
 * one answer. Invalid messages are answered with an error of the protocol or by closing the connection; other
 * connections are not affected.
 */
public final class ViewerGateway {
    /** Kind of connection, as stated to the event loop, of viewers' connections. */
    private static final String CONNECTION_KIND = "viewer";
    /** Interval, in ms, between checks for connections without valid messages. */
    private static final double SWEEP_INTERVAL_MS = 200;
    /**
     * Number of protocol faults after which a connection is closed if they outnumber its valid messages. This stops
     * a peer that sends only invalid messages at full speed, and keeps a front's connection open when one of its many
     * viewers is faulty.
     */
    private static final int MAX_PROTOCOL_FAULTS = 8;

    /** Receives the requests of viewers. */
    public interface Listener {
        /** Reports a valid set-up. */
        void sessionRequested(Session session, Request request);

        /** Reports a hand-over: the session already plays at {@code server}. */
        void sessionHandedOver(long sessionId, Session.Requester requester, Request request, String server);

        /** Reports that a viewer departed before its set-up was answered. */
        void viewerDeparted(Session session);

        /** Reports that a viewer ended a playing session. */
        void sessionReleased(Session session);

        /** Reports that a viewer released a session that this manager does not hold. */
        void unknownSessionReleased(long sessionId);
    }

    /**
     * The parameters of a set-up for the controller.
     *
     * @param classIndex index of the class in the settings
     * @param viewer key of the viewer; empty: unknown
     * @param giveUpMs clock time at which the viewer gives up, in ms
     * @param homeCell first cell that holds the title
     * @param span number of consecutive cells that hold it
     * @param topRung highest rung that the viewer can use
     * @param retry whether the client marked the set-up as a repeat
     * @param returning whether the viewer had a session before and comes back
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

    private final EventLoop loop;
    private final ViewerSettings settings;
    private final SessionTable sessions;
    private final RateLimitedLog log;
    private final Listener listener;
    private final Set<ViewerLink> links = new LinkedHashSet<>();
    private final PendingReleases pendingReleases = new PendingReleases();
    private final UnconfirmedReleases<ViewerLink> unconfirmedReleases = new UnconfirmedReleases<>();
    private final SetUpQueue setUps;
    private EventLoop.Listener listeningSocket;
    private double answerDeadlineMs = Double.MAX_VALUE;

    /** Creates a gateway, which listens after {@link #open}. */
    public ViewerGateway(
            EventLoop loop, ViewerSettings settings, SessionTable sessions, RateLimitedLog log, Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.sessions = sessions;
        this.log = log;
        this.listener = listener;
        setUps = new SetUpQueue(loop, this::decide);
    }

    double nowMs() {
        return loop.clock().millis();
    }

    /** Listens and returns the bound address. Must be called on the loop. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        listeningSocket = loop.listen(address, CONNECTION_KIND, this::accept);
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
        return listeningSocket.address();
    }

    /**
     * Returns whether nothing is left to do for viewers: all connections are accepted, no message is incomplete, no
     * answer waits to be written and no release waits for a connection.
     */
    public boolean isQuiet() {
        double nowMs = nowMs();
        return listeningSocket.acceptQueueDrained()
                && pendingReleases.isEmpty()
                && links.stream()
                        .allMatch(link -> link.connection.pendingBytes() == 0
                                && (link.partialSinceMs == 0
                                        || nowMs - link.partialSinceMs > settings.validMessageTimeoutMs()));
    }

    /** Sets the clock time, in ms, by which all further set-ups must be answered. */
    public void setAnswerDeadline(double deadlineMs) {
        answerDeadlineMs = deadlineMs;
    }

    /**
     * Stops accepting connections and closes the sending side of all open ones. A full close could discard answers that
     * are not read yet.
     */
    public void closeGracefully() {
        listeningSocket.close();
        for (ViewerLink link : links) {
            link.connection.shutdownOutputWhenDrained();
        }
    }

    /** Returns the number of bytes that are reserved for unanswered set-ups. */
    public long setUpBytes() {
        return settings.setUpBytes().used();
    }

    /** Returns the number of connections. */
    public int linkCount() {
        return links.size();
    }

    private Connection.Handler accept(Connection connection) {
        if (links.size() >= settings.maxLinks() && !evictLeastValuableLink()) {
            log.warn("viewer.refused-connection", links.size() + " connections are open, none can be closed");
            return null;
        }
        ViewerLink link = new ViewerLink(this, connection, nowMs());
        links.add(link);
        return link;
    }

    /**
     * Closes the connection of the lowest {@link ViewerLink#retentionRank}, among equals the one idle for longest.
     * Connections with unanswered set-ups stay. Returns whether one was closed.
     */
    private boolean evictLeastValuableLink() {
        ViewerLink least = null;
        for (ViewerLink link : links) {
            boolean ranksLower = least == null
                    || link.retentionRank() < least.retentionRank()
                    || link.retentionRank() == least.retentionRank() && link.lastUsedAtMs < least.lastUsedAtMs;
            least = link.unansweredSetUps() == 0 && ranksLower ? link : least;
        }
        if (least != null) {
            log.count("viewer.evicted");
            least.connection.close();
        }
        return least != null;
    }

    // --- Received messages ---

    void handle(ViewerLink link, Message message) {
        switch (message.type()) {
            case MessageType.IAM -> handleSetUp(link, message);
            case MessageType.REL -> handleRelease(link, message);
            case MessageType.UPT -> {
                countValidMessage(link);
                link.send(Message.of(MessageType.UPA, message.sessionId())
                        .with(Parameter.CAUSE, new byte[] {Cause.PASSED}));
            }
            case MessageType.RLC -> {
                log.count("viewer.heard");
                unconfirmedReleases.confirm(message.sessionId());
            }
            case MessageType.ACM -> log.count("viewer.heard");
            default ->
                rejectMessage(
                        link, message.sessionId(), Cause.TYPE_UNKNOWN, "unexpected message of type " + message.type());
        }
    }

    private void countValidMessage(ViewerLink link) {
        link.hasSentValidMessage = true;
        link.validMessages++;
    }

    /**
     * Counts a playing session of a connection and sends the pending releases on it for the last time, because the
     * session shows that the connection belongs to a viewers' front.
     */
    private void countPlayingSession(ViewerLink link) {
        link.sessionsPlayed++;
        pendingReleases.sendOn(link);
        for (Message release : pendingReleases.removeAll()) {
            unconfirmedReleases.add(link, release, nowMs());
        }
    }

    /** Counts a valid set-up of a connection and sends the pending releases on it with the decisions of this turn. */
    private void countSetUp(ViewerLink link) {
        countValidMessage(link);
        link.hasSentSetUp = true;
        if (pendingReleases.hasUnsentFor(link)) {
            loop.defer(EventLoop.Phase.DECISIONS, () -> pendingReleases.sendOn(link));
        }
    }

    private void handleSetUp(ViewerLink link, Message message) {
        SetUpRequest setUp = SetUpRequest.parse(message, settings);
        if (setUp.rejectCause() != 0) {
            rejectMessage(link, message.sessionId(), setUp.rejectCause(), setUp.rejectReason());
            return;
        }
        Session held = sessions.get(message.sessionId());
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
            if (held == null && !sessions.isFull()) {
                listener.sessionHandedOver(message.sessionId(), link, request, setUp.playingAt());
            }
            if (sessions.get(message.sessionId()) != null) {
                countPlayingSession(link);
            }
            return;
        }
        if (held != null) {
            rejectDuplicate(link, held);
            return;
        }
        if (sessions.wasAttempted(message.sessionId())) {
            rejectMessage(
                    link,
                    message.sessionId(),
                    Cause.INVALID_REFERENCE,
                    "set-up with the id of an earlier session, which may have run");
            return;
        }
        countSetUp(link);
        int heapBytes = setUp.heapBytes();
        if (!reserveForSetUp(link, heapBytes)) {
            link.send(refusal(message.sessionId()));
            return;
        }
        Session session = sessions.request(
                message.sessionId(),
                link,
                settings.classes().get(setUp.classIndex()),
                setUp.title(),
                setUp.description(),
                request.giveUpMs());
        link.addUnanswered(session, heapBytes);
        // decided when all available input has been read, because a cancel or close may follow directly
        setUps.add(link, session, request);
    }

    /** Returns the refusal of a set-up that was not passed on, which the viewer may repeat later. */
    private Message refusal(long sessionId) {
        Message refusal = Message.release(sessionId, Cause.CONGESTION);
        if (settings.retryAfterMs() > 0) {
            refusal.with(Parameter.RETRY_AFTER, String.valueOf((long) settings.retryAfterMs()));
        }
        return refusal;
    }

    private void decide(Session session, Request request) {
        if (session.state() == State.REQUESTED && !session.departed()) {
            listener.sessionRequested(session, request);
        }
    }

    /** Reserves the bytes of a set-up; returns false, and logs why, if it must be refused. */
    private boolean reserveForSetUp(ViewerLink link, int heapBytes) {
        if (sessions.isFull()) {
            log.warn("viewer.table-full", sessions.size() + " sessions are held, the set-up is refused");
            return false;
        }
        if (link.unansweredSetUps() >= settings.maxSetUpsPerLink()) {
            log.warn(
                    "viewer.too-many-open",
                    link.unansweredSetUps() + " set-ups on the connection are unanswered, the limit is "
                            + settings.maxSetUpsPerLink() + ", the set-up is refused");
            return false;
        }
        if (!link.reserve(settings.setUpBytes(), heapBytes)) {
            log.warn(
                    "viewer.too-many-bytes-open",
                    "unanswered set-ups keep " + settings.setUpBytes().used()
                            + " bytes, a set-up of a connection that keeps more than is free is refused");
            return false;
        }
        return true;
    }

    /**
     * Rejects a set-up with an id in use. If the set-up that holds the id waits for its answer on the same connection,
     * it ends too, because the two answers could not be told apart.
     */
    private void rejectDuplicate(ViewerLink link, Session held) {
        if (held.requester() == link && link.removeUnanswered(held, settings.setUpBytes())) {
            held.markDeparted();
            listener.viewerDeparted(held);
        }
        rejectMessage(link, held.id(), Cause.INVALID_REFERENCE, "set-up with the id of a session that is already held");
    }

    private void handleRelease(ViewerLink link, Message message) {
        Session session = sessions.get(message.sessionId());
        link.send(Message.of(MessageType.RLC, message.sessionId()));
        if (session == null) {
            log.count("viewer.release-of-none");
            listener.unknownSessionReleased(message.sessionId());
        } else if (session.state() == State.PLAYING) {
            listener.sessionReleased(session);
        } else if (session.requester() == link && !session.departed()) {
            link.removeUnanswered(session, settings.setUpBytes());
            session.markDeparted();
            listener.viewerDeparted(session);
        }
    }

    private void rejectMessage(ViewerLink link, long sessionId, int cause, String reason) {
        log.warn(
                "viewer.error",
                "session " + Message.formatSessionId(sessionId) + " from " + link.connection.remoteAddress() + ": "
                        + reason);
        link.send(Message.release(sessionId, cause));
        if (++link.protocolFaults >= MAX_PROTOCOL_FAULTS && link.protocolFaults > link.validMessages) {
            log.count("viewer.too-many-faults");
            link.connection.closeWhenDrained();
        }
    }

    void rejectStream(ViewerLink link, String reason) {
        log.warn("viewer.unreadable", "connection from " + link.connection.remoteAddress() + ": " + reason);
        link.send(Message.release(0, Cause.PROTOCOL_ERROR));
        link.connection.closeWhenDrained();
    }

    /**
     * Marks the viewers of a closed connection's set-ups as departed and sends its unread releases again. Both are done
     * at the end of the loop's turn, because this may be called from within a write, during a decision.
     */
    void linkClosed(ViewerLink link) {
        links.remove(link);
        for (Session session : link.removeAllUnanswered(settings.setUpBytes())) {
            session.markDeparted();
            loop.defer(EventLoop.Phase.TERMINATIONS, () -> listener.viewerDeparted(session));
        }
        loop.defer(EventLoop.Phase.DECISIONS, () -> {
            for (Message unread : unconfirmedReleases.linkEnded(link, link.closedByPeer, nowMs())) {
                log.count("viewer.release-again");
                notifyOnAnyLink(unread);
            }
        });
    }

    // --- Sent messages ---

    /** Sends the one answer of a set-up. Returns false, without sending, if none is due any more. */
    public boolean answer(Session session, Message message) {
        ViewerLink link = (ViewerLink) session.requester();
        if (!link.removeUnanswered(session, settings.setUpBytes())) {
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
     * Sends a message to the viewer of a session that was playing: on the session's own connection or, if that is
     * closed, on another one with playing sessions. If there is none, the message is kept until there is one, and is
     * sent on all connections with a set-up, because one of them may belong to the viewer's front.
     */
    public void notifyViewer(Session session, Message message) {
        ViewerLink own = (ViewerLink) session.requester();
        if (own.connection.isClosed()) {
            notifyOnAnyLink(message);
        } else {
            notifyOn(own, message);
        }
    }

    private void notifyOn(ViewerLink link, Message message) {
        unconfirmedReleases.add(link, message, nowMs());
        link.send(message);
    }

    private void notifyOnAnyLink(Message message) {
        ViewerLink link = latestLinkWithPlayingSessions();
        if (link != null) {
            notifyOn(link, message);
            return;
        }
        if (!pendingReleases.add(message, nowMs())) {
            log.warn(
                    "viewer.release-dropped",
                    "message for the viewer of session " + Message.formatSessionId(message.sessionId()) + " dropped, "
                            + pendingReleases.size() + " messages wait for a connection");
            return;
        }
        log.count("viewer.release-pending");
        for (ViewerLink other : List.copyOf(links)) {
            if (other.hasSentSetUp) {
                pendingReleases.sendOn(other);
            }
        }
    }

    /** Returns the connection with playing sessions that was used last, or null. */
    private ViewerLink latestLinkWithPlayingSessions() {
        return links.stream()
                .filter(link -> link.sessionsPlayed > 0)
                .max(Comparator.comparingDouble(link -> link.lastUsedAtMs))
                .orElse(null);
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
        double nowMs = nowMs();
        for (int late = pendingReleases.removeExpired(nowMs); late > 0; late--) {
            log.count("viewer.release-too-late");
        }
        for (Session session : setUps.waitingForInputUntil(nowMs + 2 * SWEEP_INTERVAL_MS)) {
            log.count("viewer.refused-unread");
            answer(session, refusal(session.id()));
            sessions.end(session);
        }
        for (ViewerLink link : new ArrayList<>(links)) {
            boolean noValidMessage =
                    !link.hasSentValidMessage && nowMs - link.openedAtMs > settings.validMessageTimeoutMs();
            boolean partialMessage = link.partialSinceMs > 0
                    && !link.connection.mayHaveUnreadInput()
                    && nowMs - link.partialSinceMs > settings.validMessageTimeoutMs()
                    && link.unansweredSetUps() == 0;
            boolean notReading =
                    link.unwrittenSinceMs > 0 && nowMs - link.unwrittenSinceMs > settings.notReadingTimeoutMs();
            if (noValidMessage || partialMessage || notReading) {
                log.count(noValidMessage ? "viewer.mute" : partialMessage ? "viewer.half" : "viewer.not-reading");
                link.connection.close();
            }
        }
    }
}
