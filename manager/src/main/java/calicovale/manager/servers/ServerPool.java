package calicovale.manager.servers;

import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.host.PlatformSettings;
import calicovale.manager.RateLimitedLog;
import calicovale.manager.bus.BusEvent;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.Session.State;
import calicovale.manager.sessions.SessionStateTable;
import calicovale.protocols.net.ConnectFailedException;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Owns the video servers as the event bus lists them, the links to them, the attempts that are out and what is heard of sessions
 * that stand. Every attempt ends once, by what the server says, by its time or by its link; a session that stands ends by what the
 * server says, or when the server is seen to be dead.
 */
public final class ServerPool {
    /** What links to servers are called in the loop. */
    private static final String CONNECTION_KIND = "server";
    /** Ms between looks at links that say nothing or only half a message. */
    private static final double SWEEP_INTERVAL_MS = 100;
    /** Ms for which a message may stand half read: a whole one is 16 KiB at most. */
    private static final double PARTIAL_MESSAGE_TIMEOUT_MS = 250;
    /** Links of one server that are kept when nothing is out on them. */
    private static final int MAX_SPARE_IDLE_LINKS = 2;
    /** Ms after which further idle links are closed. */
    private static final double SPARE_IDLE_TIMEOUT_MS = 3000;
    /** Refusals one after the other, over so many ms, that show that the process is gone. */
    private static final int REFUSALS_BEFORE_DEAD = 3;

    private static final double REFUSED_BEFORE_DEAD_MS = 300;
    /** Ms between the first tries to reach a server where sessions stand, and most between later ones. */
    private static final double FIRST_RECONNECT_DELAY_MS = 150;

    private static final double MAX_RECONNECT_DELAY_MS = 1000;
    /** Links one after the other that releases are tried on, where none comes up. */
    private static final int MAX_RELEASE_RESENDS = 3;
    /** Part by which looks and tries are spread: managers hear of a server's trouble at the same time. */
    private static final double JITTER = 0.2;
    /** Ms of silence after which a server that cannot be reached is taken for gone: releases are due 8 s after the end. */
    private static final double SILENT_BEFORE_DEAD_MS = 6500;
    /** Ms for which it was then tried at least. */
    private static final double UNREACHABLE_BEFORE_DEAD_MS = 1000;

    /** Hears what becomes of attempts and sessions. */
    public interface Listener {
        /** The session plays. */
        void attemptSucceeded(Session session, double elapsedMs, byte[] description);

        /** The attempt ended and no session stands by it. */
        void attemptFailed(Session session, long server, Outcome outcome, double elapsedMs, Map<String, Double> load);

        /** A session that stood came to its end. */
        void sessionEnded(Session session, long server, Outcome outcome, Map<String, Double> load);

        /** News on a session that stands. */
        void noteReceived(Session session, NoteKind kind, double value);

        /** A server released a session that is not held here. */
        void unknownSessionReleased(long sessionId);
    }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final ServerLinkSettings settings;
    private final PlatformSettings platform;
    private final SessionStateTable table;
    private final RateLimitedLog log;
    private final Listener listener;
    private final ServerNumbers numbers = new ServerNumbers();
    private final Map<Long, VideoServer> servers = new TreeMap<>();
    private final Map<Long, Attempt> attemptsBySession = new HashMap<>();
    private int linkCount;

    /** Starts with no server. */
    public ServerPool(
            EventLoop loop,
            RandomGenerator random,
            ServerLinkSettings settings,
            PlatformSettings platform,
            SessionStateTable table,
            RateLimitedLog log,
            Listener listener) {
        this.loop = loop;
        this.random = random;
        this.settings = settings;
        this.platform = platform;
        this.table = table;
        this.log = log;
        this.listener = listener;
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }

    double nowMs() {
        return loop.clock().millis();
    }

    void deferDecision(Runnable body) {
        loop.defer(EventLoop.Phase.DECISIONS, body);
    }

    /** Messages that wait for a link to stand. */
    public boolean hasQueuedMessages() {
        return servers.values().stream().anyMatch(s -> s.links.stream().anyMatch(ServerLink::hasQueued));
    }

    /** Links that are open or being opened. */
    public int linkCount() {
        return linkCount;
    }

    /** Servers that are known. */
    public int serverCount() {
        return servers.size();
    }

    // --- The list ---

    /** Takes an event of the bus and gives what the controller is to be told. */
    public ServerList apply(BusEvent event, ListScope scope) {
        List<ServerEntry> entries = new ArrayList<>();
        List<VideoServer> named = new ArrayList<>();
        for (BusEvent.Entry entry : event.entries()) {
            VideoServer server = serverNamed(entry.id());
            server.listed = true;
            named.add(server);
            handle(server, entry);
            ServerState state =
                    switch (entry.lifecycle()) {
                        case IN_SERVICE -> ServerState.READY;
                        case TERMINATING -> ServerState.DRAINING;
                        case TERMINATED -> ServerState.GONE;
                    };
            entries.add(new ServerEntry(
                    server.number,
                    state,
                    Math.max(0, platform.kinds().indexOf(entry.kind())),
                    Math.max(0, platform.zones().indexOf(entry.zone())),
                    entry.cell(),
                    entry.startedAtMs(),
                    entry.weight()));
        }
        if (event.complete()) {
            for (VideoServer server : servers.values()) {
                server.gone |= !named.contains(server);
            }
        }
        return new ServerList(scope, event.generation(), List.copyOf(entries));
    }

    private void handle(VideoServer server, BusEvent.Entry entry) {
        server.gone = entry.lifecycle() == BusEvent.Lifecycle.TERMINATED;
        InetSocketAddress previousAddress = server.address;
        boolean moved = entry.address() != null
                && previousAddress != null
                && !entry.address().equals(previousAddress);
        if (entry.address() != null) {
            server.address = entry.address();
        }
        if (server.gone || entry.address() == null) {
            return;
        }
        if (moved || entry.startedAtMs() > server.startedAtMs) {
            server.startedAtMs = Math.max(server.startedAtMs, entry.startedAtMs());
            double startMs = moved ? Double.MAX_VALUE : entry.startedAtMs();
            endSessionsBefore(server, startMs);
            // a link to the process before leads to whoever answers there now, or to nobody
            for (ServerLink link : List.copyOf(server.links)) {
                if (link.openedAtMs < startMs) {
                    link.unusable = true;
                    if (moved || link.attempts.isEmpty()) {
                        link.connection.close();
                    }
                }
            }
        }
        for (VideoServer other : List.copyOf(servers.values())) {
            // who had the address before is gone: what answers there now is another
            if (other != server && server.address.equals(other.address)) {
                other.address = null;
                other.gone = true;
                markDead(other, "its address has a new owner");
            }
        }
    }

    /** A new process runs under the server's name: what stood before its start is over. */
    private void endSessionsBefore(VideoServer server, double startMs) {
        for (Session session : table.playingAt(server.number)) {
            if (session.attemptSentAtMs() < startMs) {
                log.count("server.restarted-under-session");
                listener.sessionEnded(session, server.number, Outcome.RESET, Map.of());
            }
        }
    }

    private VideoServer serverNamed(String name) {
        return servers.computeIfAbsent(
                numbers.numberOf(name), n -> new VideoServer(n, name, nowMs(), JITTER * random.nextDouble()));
    }

    /** The number of the server of this name, whether or not the list has named it yet. */
    public long numberOf(String name) {
        return serverNamed(name).number;
    }

    /** Whether the list has named a server. */
    public boolean isListed(long serverNumber) {
        VideoServer server = servers.get(serverNumber);
        return server != null && server.listed;
    }

    // --- Attempts ---

    /** Sends a set-up; the session is out from now until the listener hears of it. */
    public void startAttempt(Session session, long serverNumber, double timeoutMs) {
        VideoServer server = servers.get(serverNumber);
        double nowMs = nowMs();
        table.startAttempt(session, serverNumber, nowMs);
        ServerLink link = server == null || server.address == null || session.departed() ? null : linkFor(server);
        Attempt attempt = new Attempt(session, link, nowMs);
        attemptsBySession.put(session.id(), attempt);
        if (link == null) {
            loop.schedule(0, () -> {
                log.count("attempt.no-link");
                // it never left, and the server has no part in that
                endAttempt(attempt, Outcome.MOOT, Map.of());
            });
            return;
        }
        link.attempts.put(session.id(), attempt);
        attempt.timeout = loop.schedule(timeoutMs, () -> attemptTimedOut(attempt));
        Message setUp = Message.of(MessageType.IAM, session.id())
                .with(Parameter.CLASS, session.sessionClass())
                .with(Parameter.WAIT, String.valueOf(Math.max(1, (long) Math.ceil(timeoutMs))))
                .with(Parameter.TITLE, session.title());
        if (session.rung() >= 0) {
            setUp.with(Parameter.RUNG, String.valueOf(session.rung()));
        }
        if (session.description() != null) {
            setUp.with(Parameter.DESCRIPTION, session.description());
        }
        link.send(setUp);
    }

    /** The link that carries a set-up: one with nothing out on it, else a new one, else the least loaded. */
    private ServerLink linkFor(VideoServer server) {
        ServerLink best = null;
        double nowMs = nowMs();
        for (ServerLink link : List.copyOf(server.links)) {
            if (link.partialSinceMs > 0 || link.unusable) {
                continue;
            }
            if (link.open && link.attempts.isEmpty() && nowMs - link.lastUsedAtMs > settings.idleTimeoutMs()) {
                link.connection.close();
            } else if (best == null
                    || rank(link) < rank(best)
                    || rank(link) == rank(best) && link.lastUsedAtMs > best.lastUsedAtMs) {
                best = link;
            }
        }
        if (best != null && best.attempts.isEmpty() || linkCount >= settings.maxLinks() && best != null) {
            return best;
        }
        if (linkCount >= settings.maxLinks() && !closeOldestIdleLink()) {
            log.warn("server.no-link-free", linkCount + " links");
            return null;
        }
        return connect(server);
    }

    private static int rank(ServerLink link) {
        return 2 * link.attempts.size() + (link.open ? 0 : 1);
    }

    /** Closes the link that was idle for longest; false if none is. */
    private boolean closeOldestIdleLink() {
        ServerLink oldest = null;
        for (VideoServer server : servers.values()) {
            for (ServerLink link : server.links) {
                if (link.open
                        && link.attempts.isEmpty()
                        && (oldest == null || link.lastUsedAtMs < oldest.lastUsedAtMs)) {
                    oldest = link;
                }
            }
        }
        if (oldest != null) {
            oldest.connection.close();
        }
        return oldest != null;
    }

    private ServerLink connect(VideoServer server) {
        ServerLink link = new ServerLink(this, server, nowMs());
        server.links.add(link);
        linkCount++;
        link.connection = loop.connect(server.address, CONNECTION_KIND, settings.connectTimeoutMs(), link);
        return link;
    }

    private void attemptTimedOut(Attempt attempt) {
        ServerLink link = attempt.link;
        if (link.discardUnsent(attempt.session.id())) {
            endAttempt(attempt, Outcome.CONNECT_FAILED, Map.of());
            return;
        }
        log.count("attempt.overdue");
        link.send(Message.release(attempt.session.id(), Cause.NORMAL));
        boolean linkSilent = link.lastReceivedAtMs < attempt.sentAtMs;
        endAttempt(attempt, Outcome.TIMEOUT, Map.of());
        if (linkSilent) {
            // what is out on it is given up by closing it, so no answer that comes late finds a viewer gone
            log.count("server.link-silent");
            link.connection.close();
        }
    }

    /** Calls the attempt of a session off; the listener hears it as cancelled. */
    public void cancel(Session session) {
        Attempt attempt = attemptsBySession.get(session.id());
        if (attempt == null) {
            return;
        }
        if (attempt.link != null && !attempt.link.discardUnsent(session.id())) {
            attempt.link.send(Message.release(session.id(), Cause.NORMAL));
        }
        endAttempt(attempt, Outcome.CANCELLED, Map.of());
    }

    /** Without effect on an attempt that has ended: its time, its link and its server may all tell of it in one turn. */
    private void endAttempt(Attempt attempt, Outcome outcome, Map<String, Double> load) {
        Session session = attempt.session;
        if (attemptsBySession.get(session.id()) != attempt) {
            return;
        }
        long server = session.server();
        forget(attempt);
        table.attemptFailed(session);
        listener.attemptFailed(session, server, outcome, nowMs() - attempt.sentAtMs, load);
    }

    private void forget(Attempt attempt) {
        attemptsBySession.remove(attempt.session.id());
        if (attempt.link != null) {
            attempt.link.attempts.remove(attempt.session.id());
        }
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
    }

    // --- Sessions that stand ---

    /** Tells the server a new rung. */
    public void sendRung(Session session) {
        sendTo(
                session.server(),
                Message.of(MessageType.RUNG, session.id()).with(Parameter.RUNG, String.valueOf(session.rung())));
    }

    /** Ends a session at its server; the listener does not hear of it. */
    public void sendRelease(Session session, int cause) {
        sendTo(session.server(), Message.release(session.id(), cause));
    }

    private void sendTo(long serverNumber, Message message) {
        VideoServer server = servers.get(serverNumber);
        if (server == null || server.address == null) {
            return;
        }
        ServerLink best = null;
        for (ServerLink link : server.links) {
            best = !link.unusable && (best == null || link.open && !best.open) ? link : best;
        }
        if (best == null && (linkCount < settings.maxLinks() || closeOldestIdleLink())) {
            best = connect(server);
        }
        if (best != null) {
            best.send(message);
        }
    }

    /** A session was taken over: the server must have a link to send on. */
    public void ensureLink(long serverNumber) {
        VideoServer server = servers.get(serverNumber);
        if (server != null && server.links.isEmpty()) {
            openLinkIfNeeded(server);
        }
    }

    /** Opens a link to a server where sessions stand, unless one is being opened. */
    private void openLinkIfNeeded(VideoServer server) {
        boolean connecting = server.links.stream().anyMatch(link -> !link.open);
        if (!connecting
                && server.address != null
                && table.playingCountAt(server.number) > 0
                && (linkCount < settings.maxLinks() || closeOldestIdleLink())) {
            connect(server);
        }
    }

    // --- What comes on links ---

    /** Takes a message; what is wrong with it, or null. */
    String handle(ServerLink link, Message message) {
        if (message.malformed()) {
            return "a message that cannot be read: " + message;
        }
        Session session = table.get(message.session());
        boolean heldHere = session != null && session.server() == link.server.number;
        switch (message.type()) {
            case MessageType.ACM, MessageType.RLC -> {
                return null;
            }
            case MessageType.ANM -> {
                return heldHere && session.state() == State.ATTEMPTING
                        ? handleAnswer(link, session, message)
                        : handleUnexpectedAnswer(link, message, heldHere);
            }
            case MessageType.REL -> {
                link.send(Message.of(MessageType.RLC, message.session()));
                if (heldHere && session.state() == State.ATTEMPTING) {
                    handleRefusal(session, message);
                } else if (heldHere && session.state() == State.PLAYING) {
                    handleRelease(session, message);
                } else {
                    log.count("server.release-of-none");
                    if (session == null) {
                        listener.unknownSessionReleased(message.session());
                    }
                }
                return null;
            }
            case MessageType.CPG -> {
                if (heldHere && session.state() == State.PLAYING) {
                    handleNote(session, message);
                }
                return null;
            }
            default -> {
                return "a message of type " + message.type();
            }
        }
    }

    private String handleAnswer(ServerLink link, Session session, Message message) {
        Attempt attempt = attemptsBySession.get(session.id());
        byte[] description = message.value(Parameter.DESCRIPTION);
        if (attempt == null || attempt.link != link) {
            return handleUnexpectedAnswer(link, message, true);
        }
        if (description == null) {
            return "an answer without a description";
        }
        double elapsedMs = nowMs() - attempt.sentAtMs;
        forget(attempt);
        table.attemptSucceeded(session);
        listener.attemptSucceeded(session, elapsedMs, description);
        return null;
    }

    /** An answer that nobody waits for, or once more: where nothing is held here by its number, it is released. */
    private String handleUnexpectedAnswer(ServerLink link, Message message, boolean heldHere) {
        log.count("server.answer-of-none");
        if (!heldHere) {
            link.send(Message.release(message.session(), Cause.NORMAL));
        }
        return null;
    }

    private void handleRefusal(Session session, Message message) {
        Attempt attempt = attemptsBySession.get(session.id());
        Outcome outcome =
                switch (message.cause()) {
                    case Cause.NO_CIRCUIT -> Outcome.FULL;
                    case Cause.UNAVAILABLE -> Outcome.ERROR;
                    case Cause.TIMER_EXPIRY -> Outcome.MOOT;
                    default -> Outcome.RESET;
                };
        endAttempt(attempt, outcome, loadReport(message));
    }

    private void handleRelease(Session session, Message message) {
        Outcome outcome =
                switch (message.cause()) {
                    case Cause.NORMAL -> Outcome.OK;
                    case Cause.CANCELLED -> Outcome.CANCELLED;
                    default -> Outcome.RESET;
                };
        listener.sessionEnded(session, session.server(), outcome, loadReport(message));
    }

    private void handleNote(Session session, Message message) {
        NoteKind kind =
                switch (String.valueOf(message.text(Parameter.NOTE))) {
                    case "quality" -> NoteKind.DELIVERED_SHARE;
                    case "profile" -> NoteKind.RUNG;
                    case "nic" -> NoteKind.LINK_USE;
                    case "tor" -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        double value = ServerReportParser.nonNegativeNumber(message.text(Parameter.VALUE));
        if (kind == null || Double.isNaN(value)) {
            log.count("server.note-unknown");
            return;
        }
        listener.noteReceived(session, kind, value);
    }

    private Map<String, Double> loadReport(Message message) {
        return ServerReportParser.loadReport(message.text(Parameter.LOAD));
    }

    // --- Links that open, close and say nothing ---

    void linkOpened(ServerLink link) {
        VideoServer server = link.server;
        server.consecutiveRefusals = 0;
        server.releaseResends = 0;
        server.unreachableSinceMs = 0;
    }

    /** The link is gone: nothing more is sent on it, and what it counts for here is free. */
    void linkRemoved(ServerLink link) {
        link.server.links.remove(link);
        linkCount--;
    }

    /** A link brought what cannot be read, or stopped in the middle: nothing more on it is of use. */
    void linkFailed(ServerLink link, String reason) {
        log.warn("server.spoilt", link.server + ": " + reason);
        link.connection.reset(new IOException(reason));
    }

    void linkClosed(ServerLink link, boolean everOpen, ConnectFailedException connectFailure, List<Message> releases) {
        VideoServer server = link.server;
        double nowMs = nowMs();
        boolean hasUsableLink = server.hasUsableLink();
        if (connectFailure == null) {
            log.count("server.link-closed");
        } else if (connectFailure.local()) {
            log.warn("server.not-tried", connectFailure.getMessage());
        } else if (connectFailure.timedOut()) {
            log.count("server.unreachable");
            server.unreachableSinceMs =
                    server.unreachableSinceMs > 0 ? server.unreachableSinceMs : nowMs - settings.connectTimeoutMs();
        } else {
            log.count("server.refused");
            server.refusedSinceMs = server.consecutiveRefusals++ == 0 ? nowMs : server.refusedSinceMs;
        }
        for (Attempt attempt : List.copyOf(link.attempts.values())) {
            endAttempt(
                    attempt,
                    everOpen
                            ? Outcome.RESET
                            : connectFailure != null && connectFailure.local() ? Outcome.MOOT : Outcome.CONNECT_FAILED,
                    Map.of());
        }
        if (!releases.isEmpty() && !server.gone && server.releaseResends++ < MAX_RELEASE_RESENDS) {
            // what its viewer has ended would play on for nobody
            log.count("server.release-again");
            loop.schedule(reconnectDelayMs(server), () -> releases.forEach(release -> sendTo(server.number, release)));
        }
        if (table.playingCountAt(server.number) == 0) {
            return;
        }
        // links that stay open prove nothing once nothing comes on them: a machine that vanished does not close them
        boolean silent = !hasUsableLink || nowMs - server.lastReceivedAtMs > settings.silenceTimeoutMs();
        if (silent
                && server.consecutiveRefusals >= REFUSALS_BEFORE_DEAD
                && nowMs - server.refusedSinceMs >= REFUSED_BEFORE_DEAD_MS) {
            markDead(server, "its process is gone");
        } else if (server.unreachableSinceMs > 0
                && nowMs - server.unreachableSinceMs > UNREACHABLE_BEFORE_DEAD_MS
                && nowMs - server.lastReceivedAtMs > SILENT_BEFORE_DEAD_MS) {
            markDead(server, "it cannot be reached");
        } else if (silent && server.reconnectTimer == null) {
            server.reconnectTimer = loop.schedule(connectFailure == null ? 0 : reconnectDelayMs(server), () -> {
                server.reconnectTimer = null;
                if (!server.hasUsableLink()
                        || loop.clock().millis() - server.lastReceivedAtMs > settings.silenceTimeoutMs()) {
                    openLinkIfNeeded(server);
                }
            });
        }
    }

    private double reconnectDelayMs(VideoServer server) {
        double maxDelayMs = Math.min(
                MAX_RECONNECT_DELAY_MS,
                FIRST_RECONNECT_DELAY_MS
                        * (1 << Math.min(REFUSALS_BEFORE_DEAD, server.reconnectAttempts++ / REFUSALS_BEFORE_DEAD)));
        return maxDelayMs * (1 - JITTER * random.nextDouble());
    }

    private void markDead(VideoServer server, String reason) {
        List<Session> ended = table.playingAt(server.number);
        if (!ended.isEmpty()) {
            log.warn("server.dead", server + ": " + reason + ", " + ended.size() + " sessions are over");
        }
        for (Session session : ended) {
            listener.sessionEnded(session, server.number, Outcome.RESET, Map.of());
        }
        for (ServerLink link : List.copyOf(server.links)) {
            link.connection.close();
        }
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
        double nowMs = nowMs();
        for (VideoServer server : List.copyOf(servers.values())) {
            int spareIdleLinks = 0;
            for (ServerLink link : List.copyOf(server.links)) {
                if (link.partialSinceMs > 0 && nowMs - link.partialSinceMs > PARTIAL_MESSAGE_TIMEOUT_MS) {
                    link.fail("half a message for " + (long) PARTIAL_MESSAGE_TIMEOUT_MS + " ms");
                } else if (link.attempts.isEmpty()
                        && (link.unusable
                                || link.open
                                        && nowMs - link.lastUsedAtMs > SPARE_IDLE_TIMEOUT_MS
                                        && ++spareIdleLinks > MAX_SPARE_IDLE_LINKS)) {
                    link.connection.close();
                }
            }
            boolean hasSessions = table.playingCountAt(server.number) > 0;
            double silenceTimeoutMs = settings.silenceTimeoutMs() * (1 + server.silenceJitter);
            if (hasSessions
                    && server.address == null
                    && nowMs - Math.max(server.lastReceivedAtMs, server.firstKnownAtMs) > SILENT_BEFORE_DEAD_MS) {
                markDead(server, server.listed ? "it has no address" : "the list does not name it");
            } else if (hasSessions
                    && nowMs - Math.max(server.lastReceivedAtMs, server.lastCheckedAtMs) > silenceTimeoutMs) {
                server.lastCheckedAtMs = nowMs;
                log.count("server.looked-at");
                openLinkIfNeeded(server);
            } else if (hasSessions && server.links.isEmpty() && server.reconnectTimer == null) {
                openLinkIfNeeded(server);
            }
            if ((server.gone || !server.listed)
                    && !hasSessions
                    && server.links.stream().allMatch(link -> link.attempts.isEmpty())) {
                forget(server);
            }
        }
    }

    private void forget(VideoServer server) {
        for (ServerLink link : List.copyOf(server.links)) {
            link.connection.close();
        }
        servers.remove(server.number);
        numbers.forget(server.name);
    }
}
