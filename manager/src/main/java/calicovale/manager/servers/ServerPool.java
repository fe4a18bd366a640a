package calicovale.manager.servers;

import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.host.PlatformSettings;
import calicovale.manager.LimitedLog;
import calicovale.manager.bus.BusEvent;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.Session.State;
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
    private static final String SERVER = "server";
    /** Ms between looks at links that say nothing or only half a message. */
    private static final double SWEEP_MS = 100;
    /** Ms for which a message may stand half read: a whole one is 16 KiB at most. */
    private static final double PARTIAL_MS = 250;
    /** Links of one server that are kept when nothing is out on them. */
    private static final int KEPT_IDLE = 2;
    /** Ms after which further idle links are closed. */
    private static final double SPARE_IDLE_MS = 3000;
    /** Refusals one after the other, over so many ms, that show that the process is gone. */
    private static final int REFUSALS = 3;

    private static final double REFUSED_MS = 300;
    /** Ms between the first tries to reach a server where sessions stand, and most between later ones. */
    private static final double AGAIN_MS = 150;

    private static final double MOST_AGAIN_MS = 1000;
    /** Links one after the other that releases are tried on, where none comes up. */
    private static final int RESENDS = 3;
    /** Part by which looks and tries are spread: managers hear of a server's trouble at the same time. */
    private static final double SPREAD = 0.2;
    /** Ms of silence after which a server that cannot be reached is taken for gone: releases are due 8 s after the end. */
    private static final double VANISHED_MS = 6500;
    /** Ms for which it was then tried at least. */
    private static final double UNREACHABLE_MS = 1000;

    /** Hears what becomes of attempts and sessions. */
    public interface Listener {
        /** The session plays. */
        void started(Session s, double elapsedMs, byte[] description);

        /** The attempt ended and no session stands by it. */
        void failed(Session s, long server, Outcome outcome, double elapsedMs, Map<String, Double> load);

        /** A session that stood came to its end. */
        void ended(Session s, long server, Outcome outcome, Map<String, Double> load);

        /** News on a session that stands. */
        void note(Session s, NoteKind kind, double value);

        /** A server released a session that is not held here. */
        void releasedUnheld(long id);
    }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final ServerSettings settings;
    private final PlatformSettings platform;
    private final SessionTable table;
    private final LimitedLog log;
    private final Listener listener;
    private final ServerNumbers numbers = new ServerNumbers();
    private final Map<Long, VideoServer> servers = new TreeMap<>();
    private final Map<Long, Attempt> out = new HashMap<>();
    private int links;

    /** Starts with no server. */
    public ServerPool(
            EventLoop loop,
            RandomGenerator random,
            ServerSettings settings,
            PlatformSettings platform,
            SessionTable table,
            LimitedLog log,
            Listener listener) {
        this.loop = loop;
        this.random = random;
        this.settings = settings;
        this.platform = platform;
        this.table = table;
        this.log = log;
        this.listener = listener;
        loop.schedule(SWEEP_MS, this::sweep);
    }

    double nowMs() {
        return loop.clock().millis();
    }

    void decide(Runnable body) {
        loop.defer(EventLoop.Phase.DECISIONS, body);
    }

    /** Messages that wait for a link to stand. */
    public boolean waits() {
        return servers.values().stream().anyMatch(s -> s.links.stream().anyMatch(ServerLink::waits));
    }

    /** Links that are open or being opened. */
    public int links() {
        return links;
    }

    /** Servers that are known. */
    public int size() {
        return servers.size();
    }

    // --- The list ---

    /** Takes an event of the bus and gives what the controller is to be told. */
    public ServerList apply(BusEvent event, ListScope scope) {
        List<ServerEntry> entries = new ArrayList<>();
        List<VideoServer> named = new ArrayList<>();
        for (BusEvent.Entry entry : event.entries()) {
            VideoServer server = server(entry.id());
            server.listed = true;
            named.add(server);
            take(server, entry);
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
        if (event.whole()) {
            for (VideoServer server : servers.values()) {
                server.gone |= !named.contains(server);
            }
        }
        return new ServerList(scope, event.generation(), List.copyOf(entries));
    }

    private void take(VideoServer server, BusEvent.Entry entry) {
        server.gone = entry.lifecycle() == BusEvent.Lifecycle.TERMINATED;
        InetSocketAddress was = server.address;
        boolean moved =
                entry.address() != null && was != null && !entry.address().equals(was);
        if (entry.address() != null) {
            server.address = entry.address();
        }
        if (server.gone || entry.address() == null) {
            return;
        }
        if (moved || entry.startedAtMs() > server.startedAtMs) {
            server.startedAtMs = Math.max(server.startedAtMs, entry.startedAtMs());
            double startMs = moved ? Double.MAX_VALUE : entry.startedAtMs();
            restarted(server, startMs);
            // a link to the process before leads to whoever answers there now, or to nobody
            for (ServerLink link : List.copyOf(server.links)) {
                if (link.openedAtMs < startMs) {
                    link.useless = true;
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
                died(other, "its address has a new owner");
            }
        }
    }

    /** A new process runs under the server's name: what stood before its start is over. */
    private void restarted(VideoServer server, double startMs) {
        for (Session s : table.listStandingAt(server.number)) {
            if (s.sinceMs() < startMs) {
                log.count("server.restarted-under-session");
                listener.ended(s, server.number, Outcome.RESET, Map.of());
            }
        }
    }

    private VideoServer server(String name) {
        return servers.computeIfAbsent(
                numbers.of(name), n -> new VideoServer(n, name, nowMs(), SPREAD * random.nextDouble()));
    }

    /** The number of the server of this name, whether or not the list has named it yet. */
    public long number(String name) {
        return server(name).number;
    }

    /** Whether the list has named a server. */
    public boolean listed(long number) {
        VideoServer server = servers.get(number);
        return server != null && server.listed;
    }

    // --- Attempts ---

    /** Sends a set-up; the session is out from now until the listener hears of it. */
    public void attempt(Session s, long number, double timeoutMs) {
        VideoServer server = servers.get(number);
        double now = nowMs();
        table.out(s, number, now);
        ServerLink link = server == null || server.address == null || s.departed() ? null : linkFor(server);
        Attempt attempt = new Attempt(s, link, now);
        out.put(s.id(), attempt);
        if (link == null) {
            loop.schedule(0, () -> {
                log.count("attempt.no-link");
                // it never left, and the server has no part in that
                end(attempt, Outcome.MOOT, Map.of());
            });
            return;
        }
        link.attempts.put(s.id(), attempt);
        attempt.overdue = loop.schedule(timeoutMs, () -> overdue(attempt));
        Message setUp = Message.of(MessageType.IAM, s.id())
                .with(Parameter.CLASS, s.sessionClass())
                .with(Parameter.WAIT, String.valueOf(Math.max(1, (long) Math.ceil(timeoutMs))))
                .with(Parameter.TITLE, s.title());
        if (s.rung() >= 0) {
            setUp.with(Parameter.RUNG, String.valueOf(s.rung()));
        }
        if (s.description() != null) {
            setUp.with(Parameter.DESCRIPTION, s.description());
        }
        link.send(setUp);
    }

    /** The link that carries a set-up: one with nothing out on it, else a new one, else the least loaded. */
    private ServerLink linkFor(VideoServer server) {
        ServerLink best = null;
        double now = nowMs();
        for (ServerLink link : List.copyOf(server.links)) {
            if (link.partialSinceMs > 0 || link.useless) {
                continue;
            }
            if (link.open && link.attempts.isEmpty() && now - link.usedAtMs > settings.idleMs()) {
                link.connection.close();
            } else if (best == null
                    || rank(link) < rank(best)
                    || rank(link) == rank(best) && link.usedAtMs > best.usedAtMs) {
                best = link;
            }
        }
        if (best != null && best.attempts.isEmpty() || links >= settings.mostLinks() && best != null) {
            return best;
        }
        if (links >= settings.mostLinks() && !freeOne()) {
            log.say("server.no-link-free", links + " links");
            return null;
        }
        return connect(server);
    }

    private static int rank(ServerLink link) {
        return 2 * link.attempts.size() + (link.open ? 0 : 1);
    }

    /** Closes the link that was idle for longest; false if none is. */
    private boolean freeOne() {
        ServerLink oldest = null;
        for (VideoServer server : servers.values()) {
            for (ServerLink link : server.links) {
                if (link.open && link.attempts.isEmpty() && (oldest == null || link.usedAtMs < oldest.usedAtMs)) {
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
        links++;
        link.connection = loop.connect(server.address, SERVER, settings.connectMs(), link);
        return link;
    }

    private void overdue(Attempt attempt) {
        ServerLink link = attempt.link;
        if (link.unsend(attempt.session.id())) {
            end(attempt, Outcome.CONNECT_FAILED, Map.of());
            return;
        }
        log.count("attempt.overdue");
        link.send(Message.release(attempt.session.id(), Cause.NORMAL));
        boolean silent = link.heardAtMs < attempt.sentAtMs;
        end(attempt, Outcome.TIMEOUT, Map.of());
        if (silent) {
            // what is out on it is given up by closing it, so no answer that comes late finds a viewer gone
            log.count("server.link-silent");
            link.connection.close();
        }
    }

    /** Calls the attempt of a session off; the listener hears it as cancelled. */
    public void cancel(Session s) {
        Attempt attempt = out.get(s.id());
        if (attempt == null) {
            return;
        }
        if (attempt.link != null && !attempt.link.unsend(s.id())) {
            attempt.link.send(Message.release(s.id(), Cause.NORMAL));
        }
        end(attempt, Outcome.CANCELLED, Map.of());
    }

    /** Without effect on an attempt that has ended: its time, its link and its server may all tell of it in one turn. */
    private void end(Attempt attempt, Outcome outcome, Map<String, Double> load) {
        Session s = attempt.session;
        if (out.get(s.id()) != attempt) {
            return;
        }
        long server = s.server();
        forget(attempt);
        table.back(s);
        listener.failed(s, server, outcome, nowMs() - attempt.sentAtMs, load);
    }

    private void forget(Attempt attempt) {
        out.remove(attempt.session.id());
        if (attempt.link != null) {
            attempt.link.attempts.remove(attempt.session.id());
        }
        if (attempt.overdue != null) {
            attempt.overdue.cancel();
        }
    }

    // --- Sessions that stand ---

    /** Tells the server a new rung. */
    public void rung(Session s) {
        tell(s.server(), Message.of(MessageType.RUNG, s.id()).with(Parameter.RUNG, String.valueOf(s.rung())));
    }

    /** Ends a session at its server; the listener does not hear of it. */
    public void release(Session s, int cause) {
        tell(s.server(), Message.release(s.id(), cause));
    }

    private void tell(long number, Message message) {
        VideoServer server = servers.get(number);
        if (server == null || server.address == null) {
            return;
        }
        ServerLink any = null;
        for (ServerLink link : server.links) {
            any = !link.useless && (any == null || link.open && !any.open) ? link : any;
        }
        if (any == null && (links < settings.mostLinks() || freeOne())) {
            any = connect(server);
        }
        if (any != null) {
            any.send(message);
        }
    }

    /** A session was taken over: the server must have a link to send on. */
    public void attend(long number) {
        VideoServer server = servers.get(number);
        if (server != null && server.links.isEmpty()) {
            reach(server);
        }
    }

    /** Opens a link to a server where sessions stand, unless one is being opened. */
    private void reach(VideoServer server) {
        boolean connecting = server.links.stream().anyMatch(link -> !link.open);
        if (!connecting
                && server.address != null
                && table.standingAt(server.number) > 0
                && (links < settings.mostLinks() || freeOne())) {
            connect(server);
        }
    }

    // --- What comes on links ---

    /** Takes a message; what is wrong with it, or null. */
    String take(ServerLink link, Message m) {
        if (m.malformed()) {
            return "a message that cannot be read: " + m;
        }
        Session s = table.get(m.sessionId());
        boolean here = s != null && s.server() == link.server.number;
        switch (m.type()) {
            case MessageType.ACM, MessageType.RLC -> {
                return null;
            }
            case MessageType.ANM -> {
                return here && s.state() == State.OUT ? answer(link, s, m) : late(link, m, here);
            }
            case MessageType.REL -> {
                link.send(Message.of(MessageType.RLC, m.sessionId()));
                if (here && s.state() == State.OUT) {
                    refused(s, m);
                } else if (here && s.state() == State.STANDING) {
                    released(s, m);
                } else {
                    log.count("server.release-of-none");
                    if (s == null) {
                        listener.releasedUnheld(m.sessionId());
                    }
                }
                return null;
            }
            case MessageType.CPG -> {
                if (here && s.state() == State.STANDING) {
                    note(s, m);
                }
                return null;
            }
            default -> {
                return "a message of type " + m.type();
            }
        }
    }

    private String answer(ServerLink link, Session s, Message m) {
        Attempt attempt = out.get(s.id());
        byte[] description = m.value(Parameter.DESCRIPTION);
        if (attempt == null || attempt.link != link) {
            return late(link, m, true);
        }
        if (description == null) {
            return "an answer without a description";
        }
        double elapsed = nowMs() - attempt.sentAtMs;
        forget(attempt);
        table.stands(s);
        listener.started(s, elapsed, description);
        return null;
    }

    /** An answer that nobody waits for, or once more: where nothing is held here by its number, it is released. */
    private String late(ServerLink link, Message m, boolean here) {
        log.count("server.answer-of-none");
        if (!here) {
            link.send(Message.release(m.sessionId(), Cause.NORMAL));
        }
        return null;
    }

    private void refused(Session s, Message m) {
        Attempt attempt = out.get(s.id());
        Outcome outcome =
                switch (m.cause()) {
                    case Cause.NO_CIRCUIT -> Outcome.FULL;
                    case Cause.UNAVAILABLE -> Outcome.ERROR;
                    case Cause.TIMER_EXPIRY -> Outcome.MOOT;
                    default -> Outcome.RESET;
                };
        end(attempt, outcome, load(m));
    }

    private void released(Session s, Message m) {
        Outcome outcome =
                switch (m.cause()) {
                    case Cause.NORMAL -> Outcome.OK;
                    case Cause.CANCELLED -> Outcome.CANCELLED;
                    default -> Outcome.RESET;
                };
        listener.ended(s, s.server(), outcome, load(m));
    }

    private void note(Session s, Message m) {
        NoteKind kind =
                switch (String.valueOf(m.text(Parameter.NOTE))) {
                    case "quality" -> NoteKind.DELIVERED_SHARE;
                    case "profile" -> NoteKind.RUNG;
                    case "nic" -> NoteKind.LINK_USE;
                    case "tor" -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        double value = Figures.number(m.text(Parameter.VALUE));
        if (kind == null || Double.isNaN(value)) {
            log.count("server.note-unknown");
            return;
        }
        listener.note(s, kind, value);
    }

    private Map<String, Double> load(Message m) {
        return Figures.report(m.text(Parameter.LOAD));
    }

    // --- Links that open, close and say nothing ---

    void opened(ServerLink link) {
        VideoServer server = link.server;
        server.refusals = 0;
        server.resends = 0;
        server.unreachableSinceMs = 0;
    }

    /** The link is gone: nothing more is sent on it, and what it counts for here is free. */
    void dropped(ServerLink link) {
        link.server.links.remove(link);
        links--;
    }

    /** A link brought what cannot be read, or stopped in the middle: nothing more on it is of use. */
    void spoilt(ServerLink link, String why) {
        log.say("server.spoilt", link.server + ": " + why);
        link.connection.reset(new IOException(why));
    }

    void closed(ServerLink link, boolean stood, ConnectFailedException failed, List<Message> releases) {
        VideoServer server = link.server;
        double now = nowMs();
        boolean alive = server.anyOpen();
        if (failed == null) {
            log.count("server.link-closed");
        } else if (failed.notAttempted()) {
            log.say("server.not-tried", failed.getMessage());
        } else if (failed.timedOut()) {
            log.count("server.unreachable");
            server.unreachableSinceMs =
                    server.unreachableSinceMs > 0 ? server.unreachableSinceMs : now - settings.connectMs();
        } else {
            log.count("server.refused");
            server.refusedSinceMs = server.refusals++ == 0 ? now : server.refusedSinceMs;
        }
        for (Attempt attempt : List.copyOf(link.attempts.values())) {
            end(
                    attempt,
                    stood
                            ? Outcome.RESET
                            : failed != null && failed.notAttempted() ? Outcome.MOOT : Outcome.CONNECT_FAILED,
                    Map.of());
        }
        if (!releases.isEmpty() && !server.gone && server.resends++ < RESENDS) {
            // what its viewer has ended would play on for nobody
            log.count("server.release-again");
            loop.schedule(againMs(server), () -> releases.forEach(release -> tell(server.number, release)));
        }
        if (table.standingAt(server.number) == 0) {
            return;
        }
        // links that stay open prove nothing once nothing comes on them: a machine that vanished does not close them
        boolean lost = !alive || now - server.heardAtMs > settings.quietMs();
        if (lost && server.refusals >= REFUSALS && now - server.refusedSinceMs >= REFUSED_MS) {
            died(server, "its process is gone");
        } else if (server.unreachableSinceMs > 0
                && now - server.unreachableSinceMs > UNREACHABLE_MS
                && now - server.heardAtMs > VANISHED_MS) {
            died(server, "it cannot be reached");
        } else if (lost && server.again == null) {
            server.again = loop.schedule(failed == null ? 0 : againMs(server), () -> {
                server.again = null;
                if (!server.anyOpen() || loop.clock().millis() - server.heardAtMs > settings.quietMs()) {
                    reach(server);
                }
            });
        }
    }

    private double againMs(VideoServer server) {
        double most = Math.min(MOST_AGAIN_MS, AGAIN_MS * (1 << Math.min(REFUSALS, server.tries++ / REFUSALS)));
        return most * (1 - SPREAD * random.nextDouble());
    }

    private void died(VideoServer server, String why) {
        List<Session> cut = table.listStandingAt(server.number);
        if (!cut.isEmpty()) {
            log.say("server.dead", server + ": " + why + ", " + cut.size() + " sessions are over");
        }
        for (Session s : cut) {
            listener.ended(s, server.number, Outcome.RESET, Map.of());
        }
        for (ServerLink link : List.copyOf(server.links)) {
            link.connection.close();
        }
    }

    private void sweep() {
        loop.schedule(SWEEP_MS, this::sweep);
        double now = nowMs();
        for (VideoServer server : List.copyOf(servers.values())) {
            int idle = 0;
            for (ServerLink link : List.copyOf(server.links)) {
                if (link.partialSinceMs > 0 && now - link.partialSinceMs > PARTIAL_MS) {
                    link.spoilt("half a message for " + (long) PARTIAL_MS + " ms");
                } else if (link.attempts.isEmpty()
                        && (link.useless || link.open && now - link.usedAtMs > SPARE_IDLE_MS && ++idle > KEPT_IDLE)) {
                    link.connection.close();
                }
            }
            boolean stands = table.standingAt(server.number) > 0;
            double quietMs = settings.quietMs() * (1 + server.spread);
            if (stands && server.address == null && now - Math.max(server.heardAtMs, server.knownAtMs) > VANISHED_MS) {
                died(server, server.listed ? "it has no address" : "the list does not name it");
            } else if (stands && now - Math.max(server.heardAtMs, server.lookedAtMs) > quietMs) {
                server.lookedAtMs = now;
                log.count("server.looked-at");
                reach(server);
            } else if (stands && server.links.isEmpty() && server.again == null) {
                reach(server);
            }
            if ((server.gone || !server.listed)
                    && !stands
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
