package calicovale.manager.servers;

import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.host.PlatformSettings;
import calicovale.manager.RateLimitedLog;
import calicovale.manager.UnconfirmedReleases;
import calicovale.manager.bus.BusEvent;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.SessionTable;
import calicovale.protocols.net.ConnectFailedException;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Manages the video servers that the event bus lists, the links to them and the attempts in progress, and reports
 * events of playing sessions.
 *
 * <p>Each attempt ends exactly once: by the server's answer, by its timeout or by the loss of its link. A playing
 * session ends when its server releases it or is considered dead.
 */
public final class ServerPool {
    /** Kind of connection, as stated to the event loop, of links to video servers. */
    private static final String CONNECTION_KIND = "server";
    /** Interval, in ms, between checks for idle links, incomplete messages and silent servers. */
    private static final double SWEEP_INTERVAL_MS = 100;
    /** Upper bound, in ms, for receiving the rest of a message, which has at most 16 KiB. */
    private static final double PARTIAL_MESSAGE_TIMEOUT_MS = 250;
    /** Number of links without attempts that are kept open to one server. */
    private static final int MAX_SPARE_IDLE_LINKS = 2;
    /** Upper bound of links that are closing. Their descriptors are part of the process's own. */
    private static final int MAX_CLOSING_LINKS = 8;
    /** Time, in ms, within which a server must end its side of a link that is closing. */
    private static final double CLOSING_TIMEOUT_MS = 500;
    /** Idle time, in ms, after which links beyond {@link #MAX_SPARE_IDLE_LINKS} are closed. */
    private static final double SPARE_IDLE_TIMEOUT_MS = 3000;
    /**
     * Consecutive refused connections, over at least {@link #REFUSED_BEFORE_DEAD_MS}, after which the server's
     * process is considered gone.
     */
    private static final int REFUSALS_BEFORE_DEAD = 3;
    /** Least time, in ms, from the first to the last of these refusals. */
    private static final double REFUSED_BEFORE_DEAD_MS = 300;
    /**
     * Delay, in ms, before the first reconnects to a server with playing sessions; it grows up to
     * {@link #MAX_RECONNECT_DELAY_MS}.
     */
    private static final double FIRST_RECONNECT_DELAY_MS = 150;
    /** Number of reconnect attempts after which the delay doubles. */
    private static final int ATTEMPTS_PER_DOUBLING = 3;
    /** Upper bound of the doublings of the reconnect delay. */
    private static final int MAX_DOUBLINGS = 3;
    /** Upper bound, in ms, of the delay between reconnects. */
    private static final double MAX_RECONNECT_DELAY_MS = 1000;
    /**
     * Upper bound, in ms, of the time until a server with playing sessions is connected to again after its last link was
     * closed to make room. A release that waits there for a link must reach the viewer within 8 s.
     */
    private static final double EVICTED_RECONNECT_MS = 4000;
    /** Upper bound of messages that wait until a link to their server can be opened, for each server. */
    private static final int MAX_WAITING_MESSAGES = 1024;
    /** Number of times that unread releases are sent again, on a new link each time, while no link opens. */
    private static final int MAX_RELEASE_RESENDS = 3;
    /**
     * Fraction by which silence timeouts and reconnect delays vary at random, because all managers notice a server's
     * failure at the same time.
     */
    private static final double JITTER = 0.2;
    /**
     * Silence, in ms, after which a server that cannot be reached is considered dead. Viewers must get releases
     * within 8 s of a session's end.
     */
    private static final double SILENT_BEFORE_DEAD_MS = 6500;
    /** Time, in ms, for which a server that can be reached again may say nothing before its sessions are ended. */
    private static final double RETURNED_SILENT_MS = 500;
    /** Minimum time, in ms, for which connections must have timed out before a silent server is considered dead. */
    private static final double UNREACHABLE_BEFORE_DEAD_MS = 1000;

    /** Receives the results of attempts and the events of playing sessions. */
    public interface Listener {
        /** Reports that the attempt succeeded; the session is playing. {@code description} is the server's. */
        void attemptSucceeded(Session session, double elapsedMs, byte[] description);

        /** Reports that the attempt ended without a playing session. {@code load} is empty without a load report. */
        void attemptFailed(Session session, long server, Outcome outcome, double elapsedMs, Map<String, Double> load);

        /** Reports the end of a playing session. {@code load} is empty without a load report. */
        void sessionEnded(Session session, long server, Outcome outcome, Map<String, Double> load);

        /** Reports a note of the server on a playing session. */
        void noteReceived(Session session, NoteKind kind, double value);

        /** Reports that a server released a session that this manager does not hold. */
        void unknownSessionReleased(long sessionId);
    }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final ServerLinkSettings settings;
    private final PlatformSettings platform;
    private final SessionTable sessions;
    private final RateLimitedLog log;
    private final Listener listener;
    private final ServerNumbers numbers = new ServerNumbers();
    private final Map<Long, VideoServer> servers = new TreeMap<>();
    private final Map<Long, Attempt> attemptsBySession = new HashMap<>();
    private final UnconfirmedReleases<ServerLink> unconfirmedReleases = new UnconfirmedReleases<>();
    private final ServerMessageHandler messageHandler;
    private int linkCount;
    private int closingLinkCount;

    /** Creates a pool without servers and schedules its periodic checks on {@code loop}. */
    public ServerPool(
            EventLoop loop,
            RandomGenerator random,
            ServerLinkSettings settings,
            PlatformSettings platform,
            SessionTable sessions,
            RateLimitedLog log,
            Listener listener) {
        this.loop = loop;
        this.random = random;
        this.settings = settings;
        this.platform = platform;
        this.sessions = sessions;
        this.log = log;
        this.listener = listener;
        messageHandler = new ServerMessageHandler(this, sessions, log, listener);
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }

    double nowMs() {
        return loop.clock().millis();
    }

    /** Defers the handling of a message that was received. */
    void deferMessage(Message message, Runnable handling) {
        loop.deferDecision(message.heapBytes(), handling);
    }

    /** Notes that a release was written on a link, so that it is sent again if the link ends before it is read. */
    void releaseWritten(ServerLink link, Message release) {
        unconfirmedReleases.add(link, release, nowMs());
    }

    void deferDecision(Runnable body) {
        loop.defer(EventLoop.Phase.DECISIONS, body);
    }

    /** Returns whether any message waits for a link to open. */
    public boolean hasQueuedMessages() {
        return servers.values().stream()
                .anyMatch(server -> !server.waitingMessages.isEmpty()
                        || server.links.stream().anyMatch(ServerLink::hasQueued));
    }

    /** Returns the number of links that are open or being opened. */
    public int linkCount() {
        return linkCount;
    }

    /** Returns the number of known servers. */
    public int serverCount() {
        return servers.size();
    }

    // --- Server list ---

    /** Applies an event of the bus and returns the list, of the given scope, to report to the controller. */
    public ServerList apply(BusEvent event, ListScope scope) {
        // the servers to report, in the event's order, with those that lose their address to one of them
        Set<VideoServer> changed = new LinkedHashSet<>();
        for (BusEvent.Entry entry : event.entries()) {
            VideoServer server = serverNamed(entry.id());
            server.entry = entry;
            changed.add(server);
            applyEntry(server, changed);
        }
        if (event.complete()) {
            for (VideoServer server : servers.values()) {
                server.gone |= !changed.contains(server);
            }
        }
        List<ServerEntry> entries = changed.stream().map(this::controllerEntry).toList();
        return new ServerList(scope, event.generation(), entries);
    }

    private ServerEntry controllerEntry(VideoServer server) {
        BusEvent.Entry entry = server.entry;
        ServerState state = server.gone
                ? ServerState.GONE
                : entry.lifecycle() == BusEvent.Lifecycle.TERMINATING ? ServerState.DRAINING : ServerState.READY;
        return new ServerEntry(
                server.number,
                state,
                Math.max(0, platform.kinds().indexOf(entry.kind())),
                Math.max(0, platform.zones().indexOf(entry.zone())),
                entry.cell(),
                entry.startedAtMs(),
                entry.weight());
    }

    /** Applies a server's latest entry; adds servers that lose their address by it to {@code changed}. */
    private void applyEntry(VideoServer server, Set<VideoServer> changed) {
        BusEvent.Entry entry = server.entry;
        server.gone = entry.lifecycle() == BusEvent.Lifecycle.TERMINATED;
        if (entry.address() == null) {
            return;
        }
        VideoServer owner = ownerOf(entry.address(), server);
        double startedAtMs = Math.max(server.startedAtMs, entry.startedAtMs());
        if (owner != null && (server.gone || !owner.gone && startedAtMs < owner.startedAtMs)) {
            // late news of a server that was at this address before
            loseAddress(server);
            return;
        }
        boolean moved = server.address != null && !entry.address().equals(server.address);
        server.address = entry.address();
        if (server.gone) {
            return;
        }
        if (moved || startedAtMs > server.startedAtMs) {
            server.startedAtMs = startedAtMs;
            replaceProcess(server, moved ? Double.MAX_VALUE : entry.startedAtMs());
        }
        if (owner != null) {
            loseAddress(owner);
            if (owner.entry != null) {
                changed.add(owner);
            }
        }
    }

    /** Returns the other server that is known to be at the address now, or null. */
    private VideoServer ownerOf(InetSocketAddress address, VideoServer except) {
        for (VideoServer server : servers.values()) {
            if (server != except && address.equals(server.address)) {
                return server;
            }
        }
        return null;
    }

    /** Records that another server answers at the address of this one, which is therefore gone. */
    private void loseAddress(VideoServer server) {
        server.address = null;
        server.gone = true;
        endSessionsAndLinks(server, "another server has its address now");
    }

    /** Ends what belongs to the process of a server before {@code startMs}, when a new one has started. */
    private void replaceProcess(VideoServer server, double startMs) {
        endSessionsBefore(server, startMs);
        // links to the previous process are dead, or reach another process at the same address
        for (ServerLink link : List.copyOf(server.links)) {
            if (link.openedAtMs < startMs) {
                link.unusable = true;
                if (startMs == Double.MAX_VALUE || link.attempts.isEmpty()) {
                    link.connection.close();
                }
            }
        }
    }

    /** Ends the sessions that began before {@code startMs}, when a new process took over the server's name. */
    private void endSessionsBefore(VideoServer server, double startMs) {
        for (Session session : sessions.playingAt(server.number)) {
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

    /** Returns the number of the server of this name, and adds the server if it is not known yet. */
    public long numberOf(String name) {
        return serverNamed(name).number;
    }

    /** Returns whether the list has named the server. */
    public boolean isListed(long serverNumber) {
        VideoServer server = servers.get(serverNumber);
        return server != null && server.entry != null;
    }

    // --- Attempts ---

    /** Starts an attempt, which lasts until the listener gets its result. */
    public void startAttempt(Session session, long serverNumber, double timeoutMs) {
        VideoServer server = servers.get(serverNumber);
        double nowMs = nowMs();
        sessions.startAttempt(session, serverNumber, nowMs);
        ServerLink link = server == null || server.address == null || session.departed() ? null : linkFor(server);
        Attempt attempt = new Attempt(session, link, nowMs);
        attemptsBySession.put(session.id(), attempt);
        if (link == null) {
            loop.schedule(0, () -> {
                log.count("attempt.no-link");
                // the set-up was never sent, so the result must not count against the server
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

    /**
     * Returns a link without attempts, else a new one, else the one with the fewest attempts; null if there is none.
     */
    private ServerLink linkFor(VideoServer server) {
        ServerLink best = null;
        double nowMs = nowMs();
        for (ServerLink link : List.copyOf(server.links)) {
            if (link.partialSinceMs > 0 || link.unusable) {
                continue;
            }
            if (link.open && link.attempts.isEmpty() && nowMs - link.lastUsedAtMs > settings.idleTimeoutMs()) {
                closeIdle(link);
            } else if (best == null
                    || loadRank(link) < loadRank(best)
                    || loadRank(link) == loadRank(best) && link.lastUsedAtMs > best.lastUsedAtMs) {
                best = link;
            }
        }
        if (best != null && best.attempts.isEmpty() || linkCount >= settings.maxLinks() && best != null) {
            return best;
        }
        if (!makeRoom()) {
            log.warn(
                    "server.no-link-free",
                    "no link to " + server + ": " + linkCount + " of at most " + settings.maxLinks()
                            + " links are in use, none is idle; the attempt ends");
            return null;
        }
        return connect(server);
    }

    /** Returns a rank that orders links by attempts in progress; of links with equally many, open ones come first. */
    private static int loadRank(ServerLink link) {
        return 2 * link.attempts.size() + (link.open ? 0 : 1);
    }

    /** Returns whether another link may be opened; at the bound on links, closes an idle one to make that possible. */
    private boolean makeRoom() {
        if (linkCount < settings.maxLinks()) {
            return true;
        }
        ServerLink idle = IdleLinks.leastUseful(servers.values(), sessions, nowMs());
        if (idle == null) {
            return false;
        }
        log.count("server.link-evicted");
        idle.evicted = true;
        idle.server.evictedAtMs = nowMs();
        closeIdle(idle);
        return true;
    }

    /**
     * Closes a link without attempts. The link is no longer used, but what the server sent before it noticed, such as a
     * release, is still read while not too many links are closing.
     */
    private void closeIdle(ServerLink link) {
        if (!link.open || link.unusable || closingLinkCount >= MAX_CLOSING_LINKS) {
            link.connection.close();
            return;
        }
        link.server.links.remove(link);
        linkCount--;
        link.closing = true;
        closingLinkCount++;
        link.closeTimer = loop.schedule(CLOSING_TIMEOUT_MS, () -> {
            link.silent = true;
            link.connection.close();
        });
        link.connection.shutdownOutputWhenDrained();
    }

    private ServerLink connect(VideoServer server) {
        ServerLink link = new ServerLink(this, server, nowMs());
        server.lastCheckedAtMs = link.openedAtMs;
        server.links.add(link);
        linkCount++;
        link.connection = loop.connect(server.address, CONNECTION_KIND, settings.connectTimeoutMs(), link);
        server.waitingMessages.forEach(link::send);
        server.waitingMessages.clear();
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
            // closing the link ends its other attempts too, so that no late answer comes for a viewer that has left
            log.count("server.link-silent");
            link.silent = true;
            link.connection.close();
        }
    }

    /** Cancels the attempt of a session, if any; the listener gets {@link Outcome#CANCELLED}. */
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

    /**
     * Ends an attempt. Does nothing if it has ended already, because its timeout, its link and its server may all
     * end it in one turn of the loop.
     */
    void endAttempt(Attempt attempt, Outcome outcome, Map<String, Double> load) {
        Session session = attempt.session;
        if (attemptsBySession.get(session.id()) != attempt) {
            return;
        }
        long server = session.server();
        forget(attempt);
        sessions.attemptFailed(session);
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

    // --- Playing sessions ---

    /** Sends the session's rung to its server. */
    public void sendRung(Session session) {
        sendTo(
                session.server(),
                Message.of(MessageType.RUNG, session.id()).with(Parameter.RUNG, String.valueOf(session.rung())));
    }

    /** Releases a session at its server, without a call of the listener. */
    public void sendRelease(Session session, int cause) {
        sendTo(session.server(), Message.release(session.id(), cause));
    }

    /** Sends a message to a server on a link to it, which is opened if there is none. */
    void sendTo(long serverNumber, Message message) {
        VideoServer server = servers.get(serverNumber);
        if (server == null || server.address == null) {
            return;
        }
        ServerLink best = null;
        for (ServerLink link : server.links) {
            best = !link.unusable && (best == null || link.open && !best.open) ? link : best;
        }
        if (best == null && makeRoom()) {
            best = connect(server);
        }
        if (best != null) {
            best.send(message);
        } else if (server.waitingMessages.size() < MAX_WAITING_MESSAGES) {
            log.count("server.message-waits");
            server.waitingMessages.add(message);
        } else {
            log.warn(
                    "server.message-dropped",
                    "a message to " + server + " is dropped, " + server.waitingMessages.size()
                            + " messages wait there for a link");
        }
    }

    /** Opens a link to the server of a session that was taken over, if it has none. */
    public void ensureLink(long serverNumber) {
        VideoServer server = servers.get(serverNumber);
        if (server != null && server.links.isEmpty()) {
            openLinkIfNeeded(server);
        }
    }

    /** Opens a link to a server with playing sessions, unless one is being opened. */
    private void openLinkIfNeeded(VideoServer server) {
        boolean connecting = server.links.stream().anyMatch(link -> !link.open);
        if (!connecting && server.address != null && sessions.playingCountAt(server.number) > 0 && makeRoom()) {
            connect(server);
        }
    }

    // --- Received messages ---

    /** Handles a message of a server. Returns what is wrong with it, or null. */
    String handle(ServerLink link, Message message) {
        return messageHandler.handle(link, message);
    }

    /** Returns the attempt in progress of a session, or null. */
    Attempt attemptOf(Session session) {
        return attemptsBySession.get(session.id());
    }

    /** Ends an attempt whose session plays now. */
    void attemptSucceeded(Attempt attempt, byte[] description) {
        double elapsedMs = nowMs() - attempt.sentAtMs;
        forget(attempt);
        sessions.attemptSucceeded(attempt.session);
        listener.attemptSucceeded(attempt.session, elapsedMs, description);
    }

    /** Records that the server has confirmed the release of a session. */
    void releaseConfirmed(long sessionId) {
        unconfirmedReleases.confirm(sessionId);
    }

    // --- State of links and servers ---

    void linkOpened(ServerLink link) {
        link.server.recordOpened(link, nowMs());
    }

    /** Removes a link, so that nothing more is sent on it and it no longer counts towards the bound. */
    void linkRemoved(ServerLink link) {
        if (link.closing) {
            closingLinkCount--;
            link.closeTimer.cancel();
            return;
        }
        link.server.links.remove(link);
        linkCount--;
    }

    /** Resets a link on which a malformed or incomplete message was received. */
    void linkFailed(ServerLink link, String reason) {
        log.warn("server.spoilt", link.server + ": " + reason);
        link.connection.reset(new IOException(reason));
    }

    void linkClosed(ServerLink link, boolean everOpen, ConnectFailedException connectFailure, List<Message> releases) {
        VideoServer server = link.server;
        if (everOpen && !link.inputComplete) {
            server.lostInput.record(server.linksCreated, link.silent, nowMs());
        }
        List<Message> unreadReleases = new ArrayList<>(releases);
        unreadReleases.addAll(unconfirmedReleases.linkEnded(link, link.inputComplete, nowMs()));
        resendReleases(server, unreadReleases);
        if (link.evicted) {
            // nothing is in progress on it; the server is connected to again by the periodic check
            return;
        }
        boolean hasUsableLink = server.hasUsableLink();
        recordLinkEnd(server, connectFailure);
        Outcome outcome = attemptOutcome(everOpen, connectFailure);
        for (Attempt attempt : List.copyOf(link.attempts.values())) {
            endAttempt(attempt, outcome, Map.of());
        }
        if (sessions.playingCountAt(server.number) > 0) {
            // an open link without traffic proves nothing, because a machine that failed does not close its connections
            boolean silent = !hasUsableLink || nowMs() - server.lastReceivedAtMs > settings.silenceTimeoutMs();
            String deathReason = deathReason(server, silent);
            if (deathReason != null) {
                endSessionsAndLinks(server, deathReason);
            } else if (silent && server.reconnectTimer == null) {
                scheduleReconnect(server, connectFailure == null);
            }
        }
    }

    /** Counts the end of a link and notes what it tells about its server. */
    private void recordLinkEnd(VideoServer server, ConnectFailedException connectFailure) {
        double nowMs = nowMs();
        if (connectFailure == null) {
            log.count("server.link-closed");
        } else if (connectFailure.notAttempted()) {
            log.warn("server.not-tried", connectFailure.getMessage());
        } else if (connectFailure.timedOut()) {
            log.count("server.unreachable");
            server.unreachableSinceReceived = true;
            server.unreachableSinceMs =
                    server.unreachableSinceMs > 0 ? server.unreachableSinceMs : nowMs - settings.connectTimeoutMs();
        } else {
            log.count("server.refused");
            server.refusedSinceMs = server.consecutiveRefusals++ == 0 ? nowMs : server.refusedSinceMs;
        }
    }

    /** Returns the outcome of the attempts on a link that has ended. */
    private static Outcome attemptOutcome(boolean everOpen, ConnectFailedException connectFailure) {
        if (everOpen) {
            return Outcome.RESET;
        }
        return connectFailure != null && connectFailure.notAttempted() ? Outcome.MOOT : Outcome.CONNECT_FAILED;
    }

    /**
     * Sends releases again whose link ended before the server has read them, as far as is known; without them, sessions
     * would play on.
     */
    private void resendReleases(VideoServer server, List<Message> releases) {
        if (!releases.isEmpty() && !server.gone && server.releaseResends++ < MAX_RELEASE_RESENDS) {
            log.count("server.release-again");
            loop.schedule(reconnectDelayMs(server), () -> releases.forEach(release -> resendRelease(server, release)));
        }
    }

    private void resendRelease(VideoServer server, Message release) {
        Session session = sessions.get(release.sessionId());
        // a later attempt at the same server must not be released
        if (session == null || session.server() != server.number) {
            sendTo(server.number, release);
        }
    }

    /** Returns why a server is considered dead, or null if it is not. */
    private String deathReason(VideoServer server, boolean silent) {
        double nowMs = nowMs();
        boolean refuses = server.consecutiveRefusals >= REFUSALS_BEFORE_DEAD
                && nowMs - server.refusedSinceMs >= REFUSED_BEFORE_DEAD_MS;
        if (silent && refuses) {
            return "it refuses connections";
        }
        boolean unreachable = server.unreachableSinceMs > 0
                && nowMs - server.unreachableSinceMs > UNREACHABLE_BEFORE_DEAD_MS
                && nowMs - server.lastReceivedAtMs > SILENT_BEFORE_DEAD_MS;
        return unreachable ? "it cannot be reached" : null;
    }

    /**
     * Schedules the opening of a link to a silent server.
     *
     * @param wasOpen whether the last link ended after it was open; the first try after a link that worked is made at
     *     once, further ones are not, because a server may accept connections and close them
     */
    private void scheduleReconnect(VideoServer server, boolean wasOpen) {
        boolean atOnce = wasOpen && server.reconnectAttempts == 0;
        double delayMs = reconnectDelayMs(server);
        server.reconnectTimer = loop.schedule(atOnce ? 0 : delayMs, () -> {
            server.reconnectTimer = null;
            if (!server.hasUsableLink() || nowMs() - server.lastReceivedAtMs > settings.silenceTimeoutMs()) {
                openLinkIfNeeded(server);
            }
        });
    }

    private double reconnectDelayMs(VideoServer server) {
        double maxDelayMs = Math.min(
                MAX_RECONNECT_DELAY_MS,
                FIRST_RECONNECT_DELAY_MS
                        * (1 << Math.min(MAX_DOUBLINGS, server.reconnectAttempts++ / ATTEMPTS_PER_DOUBLING)));
        return maxDelayMs * (1 - JITTER * random.nextDouble());
    }

    /**
     * Returns whether a server was out of reach, can be reached again and has said nothing since. Then a new process
     * answers there, which does not know the sessions, or the sessions are cut off from it for too long.
     */
    private boolean hasReturnedSilent(VideoServer server) {
        return server.unreachableSinceReceived
                && server.unreachableSinceMs == 0
                && nowMs() - server.reachableAgainAtMs > RETURNED_SILENT_MS
                && nowMs() - server.lastReceivedAtMs > SILENT_BEFORE_DEAD_MS;
    }

    /**
     * Ends the sessions of a server that has returned without a word, and closes its links from before. The sessions
     * are released at the server too, in case its process is the same.
     */
    private void endSessionsOfFormerProcess(VideoServer server) {
        for (ServerLink link : List.copyOf(server.links)) {
            if (link.openedAtMs < server.reachableAgainAtMs - settings.connectTimeoutMs()) {
                link.connection.close();
            }
        }
        List<Session> ended = sessions.playingAt(server.number);
        log.warn("server.returned-silent", server + ": " + ended.size() + " sessions ended");
        for (Session session : ended) {
            sendRelease(session, Cause.NORMAL);
            listener.sessionEnded(session, server.number, Outcome.RESET, Map.of());
        }
    }

    /** Ends the sessions and closes the links of a server that is considered dead. */
    private void endSessionsAndLinks(VideoServer server, String reason) {
        server.waitingMessages.clear();
        List<Session> ended = sessions.playingAt(server.number);
        if (!ended.isEmpty()) {
            log.warn("server.dead", server + ": " + reason + ", " + ended.size() + " sessions ended");
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
        List<VideoServer> unlinked = new ArrayList<>();
        for (VideoServer server : List.copyOf(servers.values())) {
            closeFaultyAndSpareLinks(server);
            if (!server.waitingMessages.isEmpty()) {
                unlinked.add(server);
            } else if (sessions.playingCountAt(server.number) > 0) {
                checkServerWithSessions(server, unlinked);
            } else if ((server.gone || server.entry == null)
                    && server.links.stream().allMatch(link -> link.attempts.isEmpty())) {
                forget(server);
            }
        }
        connectToUnlinked(unlinked);
    }

    private void closeFaultyAndSpareLinks(VideoServer server) {
        double nowMs = nowMs();
        int spareIdleLinks = 0;
        for (ServerLink link : List.copyOf(server.links)) {
            if (link.partialSinceMs > 0
                    && nowMs - link.partialSinceMs > PARTIAL_MESSAGE_TIMEOUT_MS
                    && !link.connection.mayHaveUnreadInput()) {
                link.fail("message still incomplete after " + (long) PARTIAL_MESSAGE_TIMEOUT_MS + " ms");
            } else if (link.attempts.isEmpty()
                    && (link.unusable
                            || link.open
                                    && nowMs - link.lastUsedAtMs > SPARE_IDLE_TIMEOUT_MS
                                    && ++spareIdleLinks > MAX_SPARE_IDLE_LINKS)) {
                closeIdle(link);
            }
        }
    }

    /** Checks whether a server with playing sessions can be reached; adds it to {@code unlinked} if it has no link. */
    private void checkServerWithSessions(VideoServer server, List<VideoServer> unlinked) {
        double nowMs = nowMs();
        double silenceTimeoutMs = settings.silenceTimeoutMs() * (1 - server.timingJitter / 2);
        if (server.address == null
                && nowMs - Math.max(server.lastReceivedAtMs, server.firstKnownAtMs) > SILENT_BEFORE_DEAD_MS) {
            endSessionsAndLinks(
                    server, server.entry != null ? "it has no address" : "the server list does not name it");
        } else if (hasReturnedSilent(server)) {
            endSessionsOfFormerProcess(server);
        } else if (server.links.isEmpty()) {
            unlinked.add(server);
        } else if (nowMs - Math.max(server.lastReceivedAtMs, server.lastCheckedAtMs) > silenceTimeoutMs) {
            server.lastCheckedAtMs = nowMs;
            log.count("server.looked-at");
            openLinkIfNeeded(server);
        } else if (server.lostInput.isDue(nowMs)
                && server.reconnectTimer == null
                && (linkCount < settings.maxLinks() || nowMs >= linkDueMs(server))) {
            log.count("server.input-lost");
            server.lostInput.opening(nowMs);
            openLinkIfNeeded(server);
        }
    }

    /**
     * Connects to servers that need a link and have none: at once while the bound on links is not reached, else in turn
     * by {@link #linkDueMs}.
     */
    private void connectToUnlinked(List<VideoServer> unlinked) {
        double nowMs = nowMs();
        unlinked.sort(Comparator.comparingDouble(ServerPool::linkDueMs));
        for (VideoServer server : unlinked) {
            if (server.address == null || server.reconnectTimer != null) {
                continue;
            }
            boolean due = nowMs >= linkDueMs(server);
            if (!due && linkCount >= settings.maxLinks() || !makeRoom()) {
                return;
            }
            connect(server);
        }
    }

    /**
     * Returns the clock time, in ms, from which a server without a link is connected to at the bound on links: at once
     * if messages wait for it, else {@link #EVICTED_RECONNECT_MS} after its last link was closed to make room.
     */
    private static double linkDueMs(VideoServer server) {
        return server.waitingMessages.isEmpty()
                ? server.evictedAtMs + EVICTED_RECONNECT_MS * (1 - server.timingJitter)
                : Double.NEGATIVE_INFINITY;
    }

    private void forget(VideoServer server) {
        for (ServerLink link : List.copyOf(server.links)) {
            link.connection.close();
        }
        servers.remove(server.number);
        numbers.forget(server.name);
    }
}
