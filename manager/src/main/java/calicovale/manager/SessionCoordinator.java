package calicovale.manager;

import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.Departed;
import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.Started;
import calicovale.ControllerApi.Takeover;
import calicovale.host.ControllerHost;
import calicovale.host.Counters;
import calicovale.manager.bus.BusEvent;
import calicovale.manager.config.ManagerConfig;
import calicovale.manager.servers.ServerLinkSettings;
import calicovale.manager.servers.ServerPool;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.Session.Requester;
import calicovale.manager.sessions.Session.State;
import calicovale.manager.sessions.SessionTable;
import calicovale.manager.viewers.ViewerGateway;
import calicovale.manager.viewers.ViewerSettings;
import calicovale.protocols.net.ByteBudget;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects viewers, the controller and video servers: messages become events of the controller, its actions become
 * messages. It makes no decisions of its own; a refusal or failure of the controller is sent to the viewer at once.
 */
public final class SessionCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(SessionCoordinator.class);
    /**
     * File descriptors kept for other uses than connections of viewers and links to servers: those of the process
     * itself, the listening socket, the event bus and a reserve.
     */
    private static final int OWN_DESCRIPTORS = 40;
    /** Least number of descriptors for connections of viewers and links to servers, however low the limit is. */
    private static final int MIN_LINK_DESCRIPTORS = 8;
    /** Fraction of the remaining descriptors that links to servers may use; viewers' connections may use the others. */
    private static final double SERVER_LINKS_FRACTION = 0.35;
    /** Bound of held sessions for each MB of memory. A session takes about 1 kB here and in the controller. */
    private static final int SESSIONS_PER_MB = 100;
    /** Heap, in bytes, allowed for each held session, including garbage. */
    private static final long HEAP_BYTES_PER_SESSION = 4096;
    /** Part of the heap that set-ups without an answer may take together. */
    private static final int SET_UPS_HEAP_DIVISOR = 16;
    /** Upper bound of sessions handed over at unlisted servers, because a faulty client can name any server. */
    private static final int MAX_UNLISTED = 512;
    /** Number of the latest releases that are remembered for sessions whose hand-over may still come. */
    private static final int MAX_ENDED_BEFORE_HAND_OVER = 1024;
    /**
     * Upper bound, in ms, of the time that the platform leaves for answers after the last set-up of a drain;
     * {@link #ANSWER_MARGIN_MS} of it is kept in reserve.
     */
    private static final double MAX_ANSWER_MS = 3000;
    /** Part, in ms, of the time for answers during a drain that is kept in reserve. */
    private static final double ANSWER_MARGIN_MS = 200;
    /** Upper bound of unanswered set-ups on one connection; 90 set-ups a second with a hung server stay below it. */
    private static final int MAX_SET_UPS_PER_LINK = 128;
    /**
     * Time, in ms, within which a valid message must arrive on a new connection; faulty clients must be disconnected
     * within 3 s.
     */
    private static final double VALID_MESSAGE_TIMEOUT_MS = 2000;
    /** Time, in ms, after which a connection is closed whose peer does not read what it is sent. */
    private static final double NOT_READING_TIMEOUT_MS = 5000;
    /** Largest accepted wait of a viewer as a multiple of its class's deadline; longer ones are rejected as invalid. */
    private static final double MAX_WAIT_MULTIPLE = 2;
    /** Time, in ms, after which opening a link to a server fails if the settings state none. */
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    /** Silence, in ms, after which a server is checked if the settings state no interval between notes. */
    private static final double DEFAULT_SILENCE_TIMEOUT_MS = 4000;
    /**
     * Longest silence, in ms, after which a server is checked, because sessions that it no longer holds must be
     * released within 8 s.
     */
    private static final double MAX_SILENCE_TIMEOUT_MS = 4500;
    /** Fraction of the servers' idle timeout for which an idle link is still used. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    private final EventLoop loop;
    private final Counters counters = new Counters();
    private final SessionTable sessions;
    private final ServerPool servers;
    private final ViewerGateway viewers;
    private final ControllerHost host;
    /**
     * Time, in ms, for answers after the last set-up of a drain: the longest deadline of all classes, at most
     * {@link #MAX_ANSWER_MS}.
     */
    private final double drainAnswerMs;
    /** Sessions handed over at servers that the list has not named yet; raised to the controller once it does. */
    private final Map<Session, Takeover> unlisted = new LinkedHashMap<>();
    /**
     * Ids of the latest sessions that were released while not held here, because their hand-over may still come; true
     * if their server released them, false if their viewer did.
     */
    private final Map<Long, Boolean> endedBeforeHandOver = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_ENDED_BEFORE_HAND_OVER;
        }
    };

    /** Creates the controller and raises the known servers to it. Must be called on the loop. */
    public SessionCoordinator(EventLoop loop, ManagerConfig config) {
        this.loop = loop;
        RateLimitedLog log = log(LOG);
        var platform = config.platform();
        var controller = platform.controller();
        long capacityByHeap = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_SESSION;
        int capacity = (int) Math.max(
                1,
                Math.min(
                        platform.maxSessions() > 0 ? platform.maxSessions() : Integer.MAX_VALUE,
                        Math.min(capacityByHeap, (long) SESSIONS_PER_MB * config.memoryLimitMb())));
        sessions = new SessionTable(capacity);
        drainAnswerMs = Math.min(
                MAX_ANSWER_MS,
                controller.classes().stream()
                        .mapToDouble(c -> c.deadlineMs())
                        .max()
                        .orElse(0));
        int descriptors = Math.max(MIN_LINK_DESCRIPTORS, config.descriptorLimit() - OWN_DESCRIPTORS);
        int serverLinks = (int) (SERVER_LINKS_FRACTION * descriptors);
        double noteIntervalMs = controller.media().noteEveryMs();
        double silenceTimeoutMs = noteIntervalMs > 0
                ? Math.min(
                        MAX_SILENCE_TIMEOUT_MS,
                        2 * noteIntervalMs + controller.media().noteDelayMs())
                : DEFAULT_SILENCE_TIMEOUT_MS;
        servers = new ServerPool(
                loop,
                new SplittableRandom(config.seed()),
                new ServerLinkSettings(
                        serverLinks,
                        platform.connectTimeoutMs() > 0 ? platform.connectTimeoutMs() : DEFAULT_CONNECT_TIMEOUT_MS,
                        platform.connectionIdleMs() > 0
                                ? IDLE_TIMEOUT_FRACTION * platform.connectionIdleMs()
                                : Double.MAX_VALUE,
                        silenceTimeoutMs),
                platform,
                sessions,
                log,
                new ServerEvents());
        viewers = new ViewerGateway(
                loop,
                new ViewerSettings(
                        descriptors - serverLinks,
                        MAX_SET_UPS_PER_LINK,
                        new ByteBudget(Runtime.getRuntime().maxMemory() / SET_UPS_HEAP_DIVISOR),
                        controller.limits().retryAfterMs(),
                        VALID_MESSAGE_TIMEOUT_MS,
                        NOT_READING_TIMEOUT_MS,
                        platform.classes(),
                        controller.classes().stream()
                                .map(c -> MAX_WAIT_MULTIPLE * c.deadlineMs())
                                .toList(),
                        controller.media().cells(),
                        controller.media().rungKb().size()),
                sessions,
                log,
                new ViewerEvents());
        host = new ControllerHost(
                loop.clock()::millis,
                loop.clock()::nanos,
                loop::schedule,
                controller,
                config.seed(),
                new ControllerActions());
        raiseKnownServers(config);
    }

    /** Raises the server list that results from all events known at the start. */
    private void raiseKnownServers(ManagerConfig config) {
        // in the order in which they were told, because an address belongs to the server that was told last
        Map<String, BusEvent.Entry> entries = new LinkedHashMap<>();
        long generation = 0;
        for (BusEvent event : config.knownEvents()) {
            if (event.complete()) {
                entries.clear();
            }
            for (BusEvent.Entry entry : event.entries()) {
                entries.remove(entry.id());
                entries.put(entry.id(), entry);
            }
            generation = event.generation();
        }
        host.raise(servers.apply(
                new BusEvent(config.knownOffset(), generation, true, List.copyOf(entries.values())), ListScope.SAVED));
    }

    /** Returns a log that counts with this manager's counters. */
    RateLimitedLog log(Logger logger) {
        return new RateLimitedLog(logger, counters, loop.clock());
    }

    /** Listens for viewers and returns the bound address. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        return viewers.open(address);
    }

    /** Applies an event of the bus and raises sessions whose servers are now listed. */
    public void handleBusEvent(BusEvent event) {
        ServerList list = servers.apply(event, event.complete() ? ListScope.COMPLETE : ListScope.CHANGES);
        host.raise(list);
        for (var entries = unlisted.entrySet().iterator(); entries.hasNext(); ) {
            var unlistedEntry = entries.next();
            if (unlistedEntry.getKey().state() == State.ENDED) {
                entries.remove();
            } else if (servers.isListed(unlistedEntry.getKey().server())) {
                entries.remove();
                unlistedEntry.getKey().markKnownToController();
                host.raise(unlistedEntry.getValue());
                servers.ensureLink(unlistedEntry.getKey().server());
            }
        }
    }

    /**
     * Starts a drain. Set-ups still come for {@code lateRequestsMs}, and all must be answered before the platform
     * kills the process.
     */
    public void drain(double lateRequestsMs) {
        viewers.setAnswerDeadline(loop.clock().millis() + drainAnswerMs + lateRequestsMs - ANSWER_MARGIN_MS);
    }

    /** Returns whether nothing is left to answer, release, read or write. */
    public boolean isQuiet() {
        return sessions.size() == 0 && viewers.isQuiet() && !servers.hasQueuedMessages();
    }

    /** Stops accepting viewers and closes the sending side of their connections. */
    public void closeViewers() {
        viewers.closeGracefully();
    }

    /** Returns the number of viewers' connections. */
    public int viewerLinkCount() {
        return viewers.linkCount();
    }

    /** Returns the number of sessions that wait for an answer or are playing. */
    public int sessionCount() {
        return sessions.size();
    }

    /** Returns all counters, with the present numbers of sessions, links and servers. */
    public Map<String, Long> counts() {
        Map<String, Long> all = counters.snapshot();
        // log lines of single sessions name their states, these counters do not: "held.out" counts REQUESTED and
        // ATTEMPTING, "held.standing" counts PLAYING
        all.put("held.out", (long) sessions.count(State.REQUESTED) + sessions.count(State.ATTEMPTING));
        all.put("held.standing", (long) sessions.count(State.PLAYING));
        all.put("bytes.set-ups", viewers.setUpBytes());
        all.put("bytes.unwritten", loop.pendingBytes().used());
        all.put("links.viewers", (long) viewers.linkCount());
        all.put("links.servers", (long) servers.linkCount());
        all.put("servers", (long) servers.serverCount());
        all.put("controller.servers", (long) host.serversHeld());
        return all;
    }

    private calicovale.ControllerApi.Request request(String id, ViewerGateway.Request request, double giveUpMs) {
        return new calicovale.ControllerApi.Request(
                id,
                request.classIndex(),
                0,
                request.viewer(),
                request.title(),
                giveUpMs,
                0,
                request.homeCell(),
                request.span(),
                request.topRung(),
                request.retry(),
                false,
                request.returning());
    }

    private void attemptEnded(
            Session session, long server, Outcome outcome, double elapsedMs, boolean closed, Map<String, Double> load) {
        counters.increment("outcome." + outcome);
        host.raise(new AttemptEnded(
                session.controllerId(), session.attemptNumber(), server, outcome, elapsedMs, closed, load));
    }

    /** Ends a playing session from this side: at its server, in the table and for the controller. */
    private void endPlayingSession(Session session) {
        long server = session.server();
        double elapsedMs = loop.clock().millis() - session.attemptSentAtMs();
        servers.sendRelease(session, Cause.NORMAL);
        sessions.end(session);
        attemptEnded(session, server, Outcome.CANCELLED, elapsedMs, true, Map.of());
    }

    /** Raises events of viewers to the controller. */
    private final class ViewerEvents implements ViewerGateway.Listener {
        @Override
        public void sessionRequested(Session session, ViewerGateway.Request request) {
            counters.increment("asked");
            session.markKnownToController();
            host.raise(request(session.controllerId(), request, request.giveUpMs()));
        }

        @Override
        public void sessionHandedOver(
                long sessionId, Requester requester, ViewerGateway.Request request, String server) {
            unlisted.keySet().removeIf(session -> session.state() == State.ENDED);
            if (unlisted.size() >= MAX_UNLISTED) {
                counters.increment("handed-over.too-many-unlisted");
                return;
            }
            counters.increment("handed-over");
            long serverNumber = servers.numberOf(server);
            Session session = sessions.takeOver(
                    sessionId,
                    requester,
                    "",
                    request.title(),
                    serverNumber,
                    loop.clock().millis());
            Takeover takeover = new Takeover(request(session.controllerId(), request, Double.MAX_VALUE), serverNumber);
            Boolean endedByServer = endedBeforeHandOver.remove(sessionId);
            if (endedByServer != null) {
                counters.increment("handed-over.ended-before");
                if (endedByServer) {
                    viewers.notifyViewer(session, Message.release(session.id(), Cause.NORMAL));
                } else {
                    servers.sendRelease(session, Cause.NORMAL);
                }
                sessions.end(session);
            } else if (servers.isListed(serverNumber)) {
                session.markKnownToController();
                host.raise(takeover);
                servers.ensureLink(serverNumber);
            } else {
                // the list may be late, so the session is held; it is released if the list does not name its server in
                // time
                counters.increment("handed-over.unlisted");
                unlisted.put(session, takeover);
            }
        }

        @Override
        public void unknownSessionReleased(long sessionId) {
            endedBeforeHandOver.put(sessionId, false);
        }

        @Override
        public void viewerDeparted(Session session) {
            if (session.state() == State.ENDED) {
                return;
            }
            counters.increment("departed");
            if (session.knownToController()) {
                host.raise(new Departed(session.controllerId()));
            }
            if (session.state() == State.REQUESTED) {
                sessions.end(session);
            }
        }

        @Override
        public void sessionReleased(Session session) {
            counters.increment("left");
            endPlayingSession(session);
        }
    }

    /** Raises events of servers to the controller and sends answers and releases to viewers. */
    private final class ServerEvents implements ServerPool.Listener {
        @Override
        public void attemptSucceeded(Session session, double elapsedMs, byte[] description) {
            counters.increment("started");
            host.raise(new Started(session.controllerId(), session.attemptNumber(), session.server(), elapsedMs));
            if (session.state() == State.PLAYING
                    && !viewers.answer(
                            session,
                            Message.of(MessageType.ANM, session.id()).with(Parameter.DESCRIPTION, description))) {
                // its viewer has left, so no later event of the viewer would end it
                endPlayingSession(session);
            }
        }

        @Override
        public void attemptFailed(
                Session session, long server, Outcome outcome, double elapsedMs, Map<String, Double> load) {
            boolean requestOver = session.departed();
            if (requestOver) {
                sessions.end(session);
            }
            attemptEnded(session, server, outcome, elapsedMs, requestOver, load);
        }

        @Override
        public void sessionEnded(Session session, long server, Outcome outcome, Map<String, Double> load) {
            int cause =
                    switch (outcome) {
                        case OK -> Cause.NORMAL;
                        case CANCELLED -> Cause.CANCELLED;
                        default -> Cause.TEMPORARY_FAILURE;
                    };
            sessions.end(session);
            viewers.notifyViewer(session, Message.release(session.id(), cause));
            attemptEnded(session, server, outcome, loop.clock().millis() - session.attemptSentAtMs(), true, load);
        }

        @Override
        public void noteReceived(Session session, NoteKind kind, double value) {
            counters.increment("note." + kind);
            host.raise(new Note(session.controllerId(), session.attemptNumber(), session.server(), kind, value));
        }

        @Override
        public void unknownSessionReleased(long sessionId) {
            endedBeforeHandOver.put(sessionId, true);
        }
    }

    /** Carries out the controller's actions. */
    private final class ControllerActions implements ControllerHost.ActionHandler {
        private Session heldSession(String id) {
            return sessions.get(Long.parseUnsignedLong(id, 16));
        }

        @Override
        public void attempt(String id, long server, double timeoutMs) {
            Session session = heldSession(id);
            if (session != null && session.state() == State.REQUESTED) {
                counters.increment("attempts");
                servers.startAttempt(session, server, timeoutMs);
            }
        }

        @Override
        public void cancel(String id, int attempt) {
            Session session = heldSession(id);
            if (session != null && session.state() == State.ATTEMPTING && session.attemptNumber() == attempt) {
                servers.cancel(session);
            }
        }

        @Override
        public void rung(String id, int rung) {
            Session session = heldSession(id);
            if (session != null) {
                session.rung(rung);
                if (session.state() == State.PLAYING) {
                    counters.increment("rungs");
                    servers.sendRung(session);
                }
            }
        }

        @Override
        public void move(String id) {
            Session session = heldSession(id);
            if (session != null && session.state() == State.PLAYING) {
                counters.increment("moves");
                viewers.notifyViewer(session, Message.of(MessageType.FAC, session.id()));
                endPlayingSession(session);
            }
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            Session session = heldSession(id);
            if (session != null && session.state() == State.REQUESTED) {
                counters.increment("refused");
                Message refusal = Message.release(session.id(), Cause.CONGESTION);
                if (retryAfterMs > 0) {
                    refusal.with(Parameter.RETRY_AFTER, String.valueOf((long) Math.ceil(retryAfterMs)));
                }
                viewers.answer(session, refusal);
                sessions.end(session);
            }
        }

        @Override
        public void fail(String id) {
            Session session = heldSession(id);
            if (session != null && session.state() == State.REQUESTED) {
                counters.increment("failed");
                viewers.answer(session, Message.release(session.id(), Cause.TEMPORARY_FAILURE));
                sessions.end(session);
            }
        }

        @Override
        public void log(String text) {
            LOG.info("controller: {}", text);
        }
    }
}
