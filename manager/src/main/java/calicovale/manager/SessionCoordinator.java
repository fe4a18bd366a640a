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
import calicovale.manager.sessions.SessionStateTable;
import calicovale.manager.viewers.ViewerGateway;
import calicovale.manager.viewers.ViewerSettings;
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
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the way of every session between viewers, controller and servers: what comes in becomes an event, an action becomes a
 * message. It decides nothing; whatever the controller gives up on is answered at once.
 */
public final class SessionCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(SessionCoordinator.class);
    /** Descriptors that are neither of viewers nor of servers: the process's own, its listener, the bus, and some in hand. */
    private static final int OWN_DESCRIPTORS = 40;
    /** Part of the others that links to servers may have. */
    private static final double SERVER_LINKS_FRACTION = 0.35;
    /** Sessions held for each MB of memory: one takes about 1 kB here and in the controller. */
    private static final int SESSIONS_PER_MB = 100;
    /** Bytes of heap for each session held, garbage included. */
    private static final long HEAP_BYTES_PER_SESSION = 4096;
    /** Sessions handed over at servers that are not known: a bad client can name any. */
    private static final int MAX_UNLISTED = 512;
    /** Ends remembered of sessions that are not held. */
    private static final int MAX_UNKNOWN_ENDED = 1024;
    /** Most ms that the platform leaves for answers at a drain, after the last set-up, and what is kept in hand of them. */
    private static final double MAX_ANSWER_MS = 3000;

    private static final double ANSWER_MARGIN_MS = 200;
    /** Set-ups open at once on one connection: all of 90 a second with a hung server are fewer. */
    private static final int MAX_SET_UPS_PER_LINK = 128;
    /** Ms in which a connection must bring something of use; bad clients are owed an end within 3 s. */
    private static final double VALID_MESSAGE_TIMEOUT_MS = 2000;
    /** By how much a viewer's wait may pass its class's: figures beyond it are no waits. */
    private static final double MAX_WAIT_MULTIPLE = 2;
    /** Ms between a server's notes where the settings name none. */
    private static final double DEFAULT_SILENCE_TIMEOUT_MS = 4000;
    /** Longest silence of a server, in ms, before it is looked at: what it no longer holds must be released within 8 s. */
    private static final double MAX_SILENCE_TIMEOUT_MS = 4500;
    /** Part of the time after which servers close idle connections that they are used for. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    private final EventLoop loop;
    private final Counters counters = new Counters();
    private final SessionStateTable sessions;
    private final ServerPool servers;
    private final ViewerGateway viewers;
    private final ControllerHost host;
    private final double maxDeadlineMs;
    /** Sessions handed over at servers that the list has not named yet; the controller hears of them once it has. */
    private final Map<Session, Takeover> unlisted = new LinkedHashMap<>();
    /** Sessions that ended before they were handed over, by whether their server told so; the latest of them. */
    private final Map<Long, Boolean> unknownEnded = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_UNKNOWN_ENDED;
        }
    };

    /** Makes the manager and tells its controller what is known of servers; to be called on the loop. */
    public SessionCoordinator(EventLoop loop, ManagerConfig config) {
        this.loop = loop;
        RateLimitedLog log = log(LOG);
        var platform = config.platform();
        var controller = platform.controller();
        long capacityByHeap = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_SESSION;
        int capacity = (int) Math.max(
                1,
                Math.min(
                        platform.mostHeld() > 0 ? platform.mostHeld() : Integer.MAX_VALUE,
                        Math.min(capacityByHeap, (long) SESSIONS_PER_MB * config.memoryLimitMb())));
        sessions = new SessionStateTable(capacity);
        maxDeadlineMs = Math.min(
                MAX_ANSWER_MS,
                controller.classes().stream()
                        .mapToDouble(c -> c.deadlineMs())
                        .max()
                        .orElse(0));
        int descriptors = Math.max(8, config.descriptorLimit() - OWN_DESCRIPTORS);
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
                        platform.connectTimeoutMs() > 0 ? platform.connectTimeoutMs() : 250,
                        platform.connIdleMs() > 0 ? IDLE_TIMEOUT_FRACTION * platform.connIdleMs() : Double.MAX_VALUE,
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
                        controller.limits().retryAfterMs(),
                        VALID_MESSAGE_TIMEOUT_MS,
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

    /** What was known at the start: one list, as it stood after the last of its events. */
    private void raiseKnownServers(ManagerConfig config) {
        Map<String, BusEvent.Entry> entries = new TreeMap<>();
        long generation = 0;
        for (BusEvent event : config.knownEvents()) {
            if (event.complete()) {
                entries.clear();
            }
            event.entries().forEach(entry -> entries.put(entry.id(), entry));
            generation = event.generation();
        }
        host.raise(servers.apply(
                new BusEvent(config.knownOffset(), generation, true, List.copyOf(entries.values())), ListScope.SAVED));
    }

    /** A log that counts with this manager's counters. */
    RateLimitedLog log(Logger logger) {
        return new RateLimitedLog(logger, counters, loop.clock());
    }

    /** Listens for viewers. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        return viewers.open(address);
    }

    /** Takes an event of the bus. */
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

    /** A drain has begun; set-ups come for {@code stillComeMs} more, and all are to be answered before the process is killed. */
    public void drain(double lateRequestsMs) {
        viewers.setAnswerDeadline(loop.clock().millis() + maxDeadlineMs + lateRequestsMs - ANSWER_MARGIN_MS);
    }

    /** Whether nothing is left to be answered, released, read or written. */
    public boolean isQuiet() {
        return sessions.size() == 0 && viewers.isQuiet() && !servers.hasQueuedMessages();
    }

    /** Takes no more viewers and ends the sending side of those that are there. */
    public void closeViewers() {
        viewers.closeGracefully();
    }

    /** Connections of viewers. */
    public int viewerLinkCount() {
        return viewers.linkCount();
    }

    /** Sessions that are owed an answer or stand. */
    public int sessionCount() {
        return sessions.size();
    }

    /** What has been counted, with the present sizes. */
    public Map<String, Long> counts() {
        Map<String, Long> all = counters.all();
        all.put("held.out", (long) sessions.count(State.REQUESTED) + sessions.count(State.ATTEMPTING));
        all.put("held.standing", (long) sessions.count(State.PLAYING));
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
        counters.count("outcome." + outcome);
        host.raise(new AttemptEnded(
                session.controllerId(), session.attemptNumber(), server, outcome, elapsedMs, closed, load));
    }

    /** Ends a session that stands from here: at its server, in the table and for the controller. */
    private void endPlayingSession(Session session) {
        long server = session.server();
        double elapsedMs = loop.clock().millis() - session.attemptSentAtMs();
        servers.sendRelease(session, Cause.NORMAL);
        sessions.end(session);
        attemptEnded(session, server, Outcome.CANCELLED, elapsedMs, true, Map.of());
    }

    /** What viewers want, told to the controller. */
    private final class ViewerEvents implements ViewerGateway.Listener {
        @Override
        public void sessionRequested(Session session, ViewerGateway.Request request) {
            counters.count("asked");
            session.markKnownToController();
            host.raise(request(session.controllerId(), request, request.giveUpMs()));
        }

        @Override
        public void sessionHandedOver(
                long sessionId, Requester requester, ViewerGateway.Request request, String server) {
            unlisted.keySet().removeIf(session -> session.state() == State.ENDED);
            if (unlisted.size() >= MAX_UNLISTED) {
                counters.count("handed-over.too-many-unlisted");
                return;
            }
            counters.count("handed-over");
            long serverNumber = servers.numberOf(server);
            Session session = sessions.takeOver(
                    sessionId,
                    requester,
                    "",
                    request.title(),
                    serverNumber,
                    loop.clock().millis());
            Takeover takeover = new Takeover(request(session.controllerId(), request, Double.MAX_VALUE), serverNumber);
            Boolean endedByServer = unknownEnded.remove(sessionId);
            if (endedByServer != null) {
                counters.count("handed-over.ended-before");
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
                // the list is late: it stands, and is released if the list does not name its server in time
                counters.count("handed-over.unlisted");
                unlisted.put(session, takeover);
            }
        }

        @Override
        public void unknownSessionReleased(long sessionId) {
            unknownEnded.put(sessionId, false);
        }

        @Override
        public void setUpAbandoned(Session session) {
            if (session.state() == State.ENDED) {
                return;
            }
            counters.count("departed");
            if (session.knownToController()) {
                host.raise(new Departed(session.controllerId()));
            }
            if (session.state() == State.REQUESTED) {
                sessions.end(session);
            }
        }

        @Override
        public void sessionReleased(Session session) {
            counters.count("left");
            endPlayingSession(session);
        }
    }

    /** What servers say, told to the controller and passed on. */
    private final class ServerEvents implements ServerPool.Listener {
        @Override
        public void attemptSucceeded(Session session, double elapsedMs, byte[] description) {
            counters.count("started");
            host.raise(new Started(session.controllerId(), session.attemptNumber(), session.server(), elapsedMs));
            if (session.state() == State.PLAYING
                    && !viewers.answer(
                            session,
                            Message.of(MessageType.ANM, session.id()).with(Parameter.DESCRIPTION, description))) {
                // its viewer is gone: nobody would ever end it
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
            counters.count("note." + kind);
            host.raise(new Note(session.controllerId(), session.attemptNumber(), session.server(), kind, value));
        }

        @Override
        public void unknownSessionReleased(long sessionId) {
            unknownEnded.put(sessionId, true);
        }
    }

    /** What the controller does, carried out. */
    private final class ControllerActions implements ControllerHost.Carrier {
        private Session held(String id) {
            return sessions.get(Long.parseUnsignedLong(id, 16));
        }

        @Override
        public void attempt(String id, long server, double timeoutMs) {
            Session session = held(id);
            if (session != null && session.state() == State.REQUESTED) {
                counters.count("attempts");
                servers.startAttempt(session, server, timeoutMs);
            }
        }

        @Override
        public void cancel(String id, int attempt) {
            Session session = held(id);
            if (session != null && session.state() == State.ATTEMPTING && session.attemptNumber() == attempt) {
                servers.cancel(session);
            }
        }

        @Override
        public void rung(String id, int rung) {
            Session session = held(id);
            if (session != null) {
                session.rung(rung);
                if (session.state() == State.PLAYING) {
                    counters.count("rungs");
                    servers.sendRung(session);
                }
            }
        }

        @Override
        public void move(String id) {
            Session session = held(id);
            if (session != null && session.state() == State.PLAYING) {
                counters.count("moves");
                viewers.notifyViewer(session, Message.of(MessageType.FAC, session.id()));
                endPlayingSession(session);
            }
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            Session session = held(id);
            if (session != null && session.state() == State.REQUESTED) {
                counters.count("refused");
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
            Session session = held(id);
            if (session != null && session.state() == State.REQUESTED) {
                counters.count("failed");
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
