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
import calicovale.manager.servers.ServerPool;
import calicovale.manager.servers.ServerSettings;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.Session.Origin;
import calicovale.manager.sessions.Session.State;
import calicovale.manager.sessions.SessionTable;
import calicovale.manager.viewers.ViewerDesk;
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
public final class SessionManager {
    private static final Logger LOG = LoggerFactory.getLogger(SessionManager.class);
    /** Descriptors that are neither of viewers nor of servers: the process's own, its listener, the bus, and some in hand. */
    private static final int OWN_DESCRIPTORS = 40;
    /** Part of the others that links to servers may have. */
    private static final double SERVERS_PART = 0.35;
    /** Sessions held for each MB of memory: one takes about 1 kB here and in the controller. */
    private static final int SESSIONS_PER_MB = 100;
    /** Bytes of heap for each session held, garbage included. */
    private static final long BYTES_PER_SESSION = 4096;
    /** Sessions handed over at servers that are not known: a bad client can name any. */
    private static final int MOST_UNLISTED = 512;
    /** Ends remembered of sessions that are not held. */
    private static final int ENDED_UNHELD = 1024;
    /** Most ms that the platform leaves for answers at a drain, after the last set-up, and what is kept in hand of them. */
    private static final double MOST_ANSWER_MS = 3000;

    private static final double ANSWER_MARGIN_MS = 200;
    /** Set-ups open at once on one connection: all of 90 a second with a hung server are fewer. */
    private static final int MOST_OWED = 128;
    /** Ms in which a connection must bring something of use; bad clients are owed an end within 3 s. */
    private static final double SPEAK_MS = 2000;
    /** By how much a viewer's wait may pass its class's: figures beyond it are no waits. */
    private static final double WAIT_OVER = 2;
    /** Ms between a server's notes where the settings name none. */
    private static final double QUIET_MS = 4000;
    /** Longest silence of a server, in ms, before it is looked at: what it no longer holds must be released within 8 s. */
    private static final double MOST_QUIET_MS = 4500;
    /** Part of the time after which servers close idle connections that they are used for. */
    private static final double IDLE_PART = 0.8;

    private final EventLoop loop;
    private final Counters counters = new Counters();
    private final SessionTable table;
    private final ServerPool servers;
    private final ViewerDesk viewers;
    private final ControllerHost host;
    private final double longestMs;
    /** Sessions handed over at servers that the list has not named yet; the controller hears of them once it has. */
    private final Map<Session, Takeover> unlisted = new LinkedHashMap<>();
    /** Sessions that ended before they were handed over, by whether their server told so; the latest of them. */
    private final Map<Long, Boolean> endedUnheld = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > ENDED_UNHELD;
        }
    };

    /** Makes the manager and tells its controller what is known of servers; to be called on the loop. */
    public SessionManager(EventLoop loop, ManagerConfig config) {
        this.loop = loop;
        LimitedLog log = log(LOG);
        var platform = config.platform();
        var controller = platform.controller();
        long byHeap = Runtime.getRuntime().maxMemory() / BYTES_PER_SESSION;
        int most = (int) Math.max(
                1,
                Math.min(
                        platform.maxSessions() > 0 ? platform.maxSessions() : Integer.MAX_VALUE,
                        Math.min(byHeap, (long) SESSIONS_PER_MB * config.memoryMb())));
        table = new SessionTable(most);
        longestMs = Math.min(
                MOST_ANSWER_MS,
                controller.classes().stream()
                        .mapToDouble(c -> c.deadlineMs())
                        .max()
                        .orElse(0));
        int descriptors = Math.max(8, config.sockets() - OWN_DESCRIPTORS);
        int links = (int) (SERVERS_PART * descriptors);
        double told = controller.media().noteEveryMs();
        double quiet =
                told > 0 ? Math.min(MOST_QUIET_MS, 2 * told + controller.media().noteDelayMs()) : QUIET_MS;
        servers = new ServerPool(
                loop,
                new SplittableRandom(config.seed()),
                new ServerSettings(
                        links,
                        platform.connectTimeoutMs() > 0 ? platform.connectTimeoutMs() : 250,
                        platform.connectionIdleMs() > 0 ? IDLE_PART * platform.connectionIdleMs() : Double.MAX_VALUE,
                        quiet),
                platform,
                table,
                log,
                new FromServers());
        viewers = new ViewerDesk(
                loop,
                new ViewerSettings(
                        descriptors - links,
                        MOST_OWED,
                        controller.limits().retryAfterMs(),
                        SPEAK_MS,
                        platform.classes(),
                        controller.classes().stream()
                                .map(c -> WAIT_OVER * c.deadlineMs())
                                .toList(),
                        controller.media().cells(),
                        controller.media().rungKb().size()),
                table,
                log,
                new FromViewers());
        host = new ControllerHost(
                loop.clock()::millis,
                loop.clock()::nanos,
                loop::schedule,
                controller,
                config.seed(),
                new FromController());
        known(config);
    }

    /** What was known at the start: one list, as it stood after the last of its events. */
    private void known(ManagerConfig config) {
        Map<String, BusEvent.Entry> entries = new TreeMap<>();
        long generation = 0;
        for (BusEvent event : config.known()) {
            if (event.whole()) {
                entries.clear();
            }
            event.entries().forEach(entry -> entries.put(entry.id(), entry));
            generation = event.generation();
        }
        host.raise(servers.apply(
                new BusEvent(config.knownOffset(), generation, true, List.copyOf(entries.values())), ListScope.SAVED));
    }

    /** A log that counts with this manager's counters. */
    LimitedLog log(Logger logger) {
        return new LimitedLog(logger, counters, loop.clock());
    }

    /** Listens for viewers. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        return viewers.open(address);
    }

    /** Takes an event of the bus. */
    public void onBus(BusEvent event) {
        ServerList list = servers.apply(event, event.whole() ? ListScope.COMPLETE : ListScope.CHANGES);
        host.raise(list);
        for (var waiting = unlisted.entrySet().iterator(); waiting.hasNext(); ) {
            var next = waiting.next();
            if (next.getKey().state() == State.OVER) {
                waiting.remove();
            } else if (servers.listed(next.getKey().server())) {
                waiting.remove();
                next.getKey().tell();
                host.raise(next.getValue());
                servers.attend(next.getKey().server());
            }
        }
    }

    /** A drain has begun; set-ups come for {@code stillComeMs} more, and all are to be answered before the process is killed. */
    public void drain(double stillComeMs) {
        viewers.answerBy(loop.clock().millis() + longestMs + stillComeMs - ANSWER_MARGIN_MS);
    }

    /** Whether nothing is left to be answered, released, read or written. */
    public boolean quiet() {
        return table.size() == 0 && viewers.quiet() && !servers.waits();
    }

    /** Takes no more viewers and ends the sending side of those that are there. */
    public void finish() {
        viewers.finish();
    }

    /** Connections of viewers. */
    public int viewers() {
        return viewers.links();
    }

    /** Sessions that are owed an answer or stand. */
    public int held() {
        return table.size();
    }

    /** What has been counted, with the present sizes. */
    public Map<String, Long> counts() {
        Map<String, Long> all = counters.snapshot();
        all.put("held.out", (long) table.count(State.ASKED) + table.count(State.OUT));
        all.put("held.standing", (long) table.count(State.STANDING));
        all.put("links.viewers", (long) viewers.links());
        all.put("links.servers", (long) servers.links());
        all.put("servers", (long) servers.size());
        all.put("controller.servers", (long) host.serversHeld());
        return all;
    }

    private calicovale.ControllerApi.Request request(String id, ViewerDesk.Request r, double giveUpMs) {
        return new calicovale.ControllerApi.Request(
                id,
                r.classIndex(),
                0,
                r.viewer(),
                r.title(),
                giveUpMs,
                0,
                r.home(),
                r.copies(),
                r.top(),
                r.retry(),
                false,
                r.again());
    }

    private void attemptEnded(
            Session s, long server, Outcome outcome, double elapsedMs, boolean closed, Map<String, Double> load) {
        counters.increment("outcome." + outcome);
        host.raise(new AttemptEnded(s.name(), s.attempt(), server, outcome, elapsedMs, closed, load));
    }

    /** Ends a session that stands from here: at its server, in the table and for the controller. */
    private void cut(Session s) {
        long server = s.server();
        double elapsed = loop.clock().millis() - s.sinceMs();
        servers.release(s, Cause.NORMAL);
        table.over(s);
        attemptEnded(s, server, Outcome.CANCELLED, elapsed, true, Map.of());
    }

    /** What viewers want, told to the controller. */
    private final class FromViewers implements ViewerDesk.Listener {
        @Override
        public void asked(Session s, ViewerDesk.Request r) {
            counters.increment("asked");
            s.tell();
            host.raise(request(s.name(), r, r.giveUpMs()));
        }

        @Override
        public void handedOver(long id, Origin origin, ViewerDesk.Request r, String server) {
            unlisted.keySet().removeIf(s -> s.state() == State.OVER);
            if (unlisted.size() >= MOST_UNLISTED) {
                counters.increment("handed-over.too-many-unlisted");
                return;
            }
            counters.increment("handed-over");
            long number = servers.number(server);
            Session s = table.takeOver(
                    id, origin, "", r.title(), number, loop.clock().millis());
            Takeover takeover = new Takeover(request(s.name(), r, Double.MAX_VALUE), number);
            Boolean endedByServer = endedUnheld.remove(id);
            if (endedByServer != null) {
                counters.increment("handed-over.ended-before");
                if (endedByServer) {
                    viewers.tell(s, Message.release(s.id(), Cause.NORMAL));
                } else {
                    servers.release(s, Cause.NORMAL);
                }
                table.over(s);
            } else if (servers.listed(number)) {
                s.tell();
                host.raise(takeover);
                servers.attend(number);
            } else {
                // the list is late: it stands, and is released if the list does not name its server in time
                counters.increment("handed-over.unlisted");
                unlisted.put(s, takeover);
            }
        }

        @Override
        public void leftUnheld(long id) {
            endedUnheld.put(id, false);
        }

        @Override
        public void departed(Session s) {
            if (s.state() == State.OVER) {
                return;
            }
            counters.increment("departed");
            if (s.told()) {
                host.raise(new Departed(s.name()));
            }
            if (s.state() == State.ASKED) {
                table.over(s);
            }
        }

        @Override
        public void left(Session s) {
            counters.increment("left");
            cut(s);
        }
    }

    /** What servers say, told to the controller and passed on. */
    private final class FromServers implements ServerPool.Listener {
        @Override
        public void started(Session s, double elapsedMs, byte[] description) {
            counters.increment("started");
            host.raise(new Started(s.name(), s.attempt(), s.server(), elapsedMs));
            if (s.state() == State.STANDING
                    && !viewers.answer(
                            s, Message.of(MessageType.ANM, s.id()).with(Parameter.DESCRIPTION, description))) {
                // its viewer is gone: nobody would ever end it
                cut(s);
            }
        }

        @Override
        public void failed(Session s, long server, Outcome outcome, double elapsedMs, Map<String, Double> load) {
            boolean over = s.departed();
            if (over) {
                table.over(s);
            }
            attemptEnded(s, server, outcome, elapsedMs, over, load);
        }

        @Override
        public void ended(Session s, long server, Outcome outcome, Map<String, Double> load) {
            int cause =
                    switch (outcome) {
                        case OK -> Cause.NORMAL;
                        case CANCELLED -> Cause.CANCELLED;
                        default -> Cause.TEMPORARY_FAILURE;
                    };
            table.over(s);
            viewers.tell(s, Message.release(s.id(), cause));
            attemptEnded(s, server, outcome, loop.clock().millis() - s.sinceMs(), true, load);
        }

        @Override
        public void note(Session s, NoteKind kind, double value) {
            counters.increment("note." + kind);
            host.raise(new Note(s.name(), s.attempt(), s.server(), kind, value));
        }

        @Override
        public void releasedUnheld(long id) {
            endedUnheld.put(id, true);
        }
    }

    /** What the controller does, carried out. */
    private final class FromController implements ControllerHost.ActionHandler {
        private Session held(String id) {
            return table.get(Long.parseUnsignedLong(id, 16));
        }

        @Override
        public void attempt(String id, long server, double timeoutMs) {
            Session s = held(id);
            if (s != null && s.state() == State.ASKED) {
                counters.increment("attempts");
                servers.attempt(s, server, timeoutMs);
            }
        }

        @Override
        public void cancel(String id, int attempt) {
            Session s = held(id);
            if (s != null && s.state() == State.OUT && s.attempt() == attempt) {
                servers.cancel(s);
            }
        }

        @Override
        public void rung(String id, int rung) {
            Session s = held(id);
            if (s != null) {
                s.rung(rung);
                if (s.state() == State.STANDING) {
                    counters.increment("rungs");
                    servers.rung(s);
                }
            }
        }

        @Override
        public void move(String id) {
            Session s = held(id);
            if (s != null && s.state() == State.STANDING) {
                counters.increment("moves");
                viewers.tell(s, Message.of(MessageType.FAC, s.id()));
                cut(s);
            }
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            Session s = held(id);
            if (s != null && s.state() == State.ASKED) {
                counters.increment("refused");
                Message refusal = Message.release(s.id(), Cause.CONGESTION);
                if (retryAfterMs > 0) {
                    refusal.with(Parameter.RETRY_AFTER, String.valueOf((long) Math.ceil(retryAfterMs)));
                }
                viewers.answer(s, refusal);
                table.over(s);
            }
        }

        @Override
        public void fail(String id) {
            Session s = held(id);
            if (s != null && s.state() == State.ASKED) {
                counters.increment("failed");
                viewers.answer(s, Message.release(s.id(), Cause.TEMPORARY_FAILURE));
                table.over(s);
            }
        }

        @Override
        public void log(String text) {
            LOG.info("controller: {}", text);
        }
    }
}
