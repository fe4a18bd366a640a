package calicovale.front.player;

import calicovale.ControllerApi.ServerList;
import calicovale.front.ledger.SessionLedgerWriter;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.settings.FrontSettings;
import calicovale.front.time.CommonClock;
import calicovale.host.ControllerHost;
import calicovale.host.Counters;
import calicovale.protocols.http.Cmcd;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.ActiveChanges;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Routes players' exchanges to the objects that answer them, and constructs those objects: the sessions ({@link
 * SessionRegistry}), their set-ups ({@link SessionPlacer}), their playlists ({@link PlaylistRequests}), programme
 * changes ({@link ProgrammeChanges}), sessions on disk ({@link SessionPersistence}) and events of boxes ({@link
 * BoxEventHandler}). Placement and quality are decided by the controller, not here.
 */
public final class PlayerSessionManager {
    /** Upper bound of a viewer's name, in characters; limited because every ledger record of a session contains it. */
    private static final int MAX_VIEWER_CHARS = 200;

    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final ControllerHost host;
    private final SessionRegistry registry;
    private final PlayerResponses responses;
    private final SessionPlacer placer;
    private final PlaylistRequests playlistRequests;
    private final ProgrammeChanges programmeChanges;
    private final BoxEventHandler boxEvents;
    private Supplier<Map<String, Long>> connectionCounts = Map::of;

    /**
     * Creates the manager's session handling and takes over what the ledger recovered.
     *
     * @param incarnation distinguishes this process from earlier ones of the same manager number
     */
    public PlayerSessionManager(
            EventLoop loop,
            FrontSettings settings,
            CommonClock commonClock,
            RandomGenerator random,
            HttpClient client,
            ActiveChanges activeChanges,
            SessionLedgerWriter ledger,
            Counters counters,
            String incarnation) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        SourcePlaylistCache sourceCache = new SourcePlaylistCache(
                settings.bounds().sources(),
                settings.controller().media().rungKb().size(),
                counters);
        registry = new SessionRegistry(loop, settings, random);
        responses = new PlayerResponses(settings, counters);
        boxEvents = new BoxEventHandler(loop, settings, random, client, counters, registry, incarnation);
        placer = new SessionPlacer(loop, settings, counters, registry, responses, boxEvents::box, incarnation);
        host = new ControllerHost(
                () -> commonClock.timeAt(loop.clock().nanos() / 1e6),
                loop.clock()::nanos,
                loop::schedule,
                settings.controller(),
                settings.seed(),
                placer);
        SessionPersistence persistence = new SessionPersistence(loop, settings, ledger, host::nowMs, counters);
        programmeChanges = new ProgrammeChanges(
                loop,
                settings,
                activeChanges,
                sourceCache,
                ledger,
                host::nowMs,
                counters,
                new PieceSetUps(loop, settings, counters, registry, placer, host));
        playlistRequests = new PlaylistRequests(
                loop, settings, counters, registry, responses, sourceCache, persistence, programmeChanges, placer);
        placer.setCollaborators(host, programmeChanges, playlistRequests);
        boxEvents.setCollaborators(host, programmeChanges, placer);
        registry.setRemovalListener(session -> {
            programmeChanges.onSessionRemoved(session);
            if (session.playlistDelivered && !session.forPiece) {
                persistence.remove(session);
            }
        });
        ledger.recoveredShowings().forEach(s -> activeChanges.addShowingKey(s.changeId(), s.key()));
    }

    /** Returns the controller's host, for measurements. */
    public ControllerHost host() {
        return host;
    }

    /** Sets the source of the counters of connections that {@code /v1/status} lists after those of sessions. */
    public void setConnectionCounts(Supplier<Map<String, Long>> counts) {
        connectionCounts = counts;
    }

    /** Returns the number of sessions held, in any state. */
    public int sessionCount() {
        return registry.byToken.size();
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Answers one exchange of a player, now or once its session is placed. */
    public void handle(Exchange exchange) {
        String path = exchange.head().path();
        String method = exchange.head().method();
        boolean readOnly = method.equals("GET") || method.equals("HEAD");
        String title = pathSegmentBetween(path, "/v1/lectures/", "/index.m3u8");
        String token = pathSegmentBetween(path, "/s/", "/media.m3u8");
        if (title != null) {
            if (method.equals("GET")) {
                startSession(exchange, title);
            } else {
                exchange.problem(405, new Headers().add("Allow", "GET"), "Method Not Allowed", null, "");
            }
        } else if (token != null) {
            if (readOnly) {
                playlistRequests.handleReload(exchange, token);
            } else {
                exchange.problem(405, new Headers().add("Allow", "GET, HEAD"), "Method Not Allowed", null, "");
            }
        } else if (path.matches("/s/[0-9a-f]+/pieces/[A-Za-z0-9._-]+\\.m3u8") && readOnly) {
            playlistRequests.handlePiecePlaylist(
                    exchange,
                    path.substring(3, path.indexOf('/', 3)),
                    path.substring(path.lastIndexOf('/') + 1, path.length() - 5));
        } else if (path.equals("/v1/status") && readOnly) {
            status(exchange);
        } else {
            counters.increment("not-found");
            exchange.problem(404, "Not Found", "no such resource");
        }
    }

    /** Returns the single path segment between a prefix and a suffix, or null if the path has another form. */
    private static String pathSegmentBetween(String path, String prefix, String suffix) {
        int start = prefix.length();
        int end = path.length() - suffix.length();
        return end > start && path.startsWith(prefix) && path.endsWith(suffix) && path.indexOf('/', start) == end
                ? path.substring(start, end)
                : null;
    }

    /** Checks the parameters of a request for a lecture, creates its session and has it placed. */
    private void startSession(Exchange exchange, String title) {
        HttpHead head = exchange.head();
        String className = head.queryParameter("class");
        int classIndex = className == null ? -1 : settings.classNames().indexOf(className);
        String viewerParameter = head.queryParameter("viewer");
        String viewer =
                viewerParameter != null ? viewerParameter : Cmcd.of(head).getOrDefault("sid", "");
        boolean viewerTooLong = viewer.length() > MAX_VIEWER_CHARS;
        if (classIndex < 0 || viewerTooLong || !title.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,99}")) {
            counters.increment("bad-requests");
            exchange.problem(
                    400,
                    "Bad Request",
                    classIndex < 0
                            ? "class: one of " + settings.classNames() + " is expected"
                            : viewerTooLong
                                    ? "viewer: at most " + MAX_VIEWER_CHARS + " characters are expected"
                                    : "title: letters, digits, dots, dashes are expected");
            return;
        }
        var sessionClass = settings.controller().classes().get(classIndex);
        int topRung;
        double waitMs;
        try {
            String topText = head.queryParameter("top");
            topRung = topText == null ? sessionClass.highestRung() : Integer.parseInt(topText);
            String waitText = head.queryParameter("wait");
            waitMs = waitText == null
                    ? sessionClass.deadlineMs()
                    : Math.min(sessionClass.deadlineMs(), Integer.parseInt(waitText));
        } catch (NumberFormatException e) {
            counters.increment("bad-requests");
            exchange.problem(400, "Bad Request", "top and wait: whole numbers are expected");
            return;
        }
        if (topRung < sessionClass.lowestRung()) {
            counters.increment("bad-requests");
            exchange.problem(
                    400, "Bad Request", "top: at least " + sessionClass.lowestRung() + " is expected for this class");
            return;
        }
        String tenant = head.queryParameter("tenant");
        int tenantIndex = tenant == null ? 0 : settings.tenantNames().indexOf(tenant);
        if (tenantIndex < 0) {
            counters.increment("bad-requests");
            exchange.problem(400, "Bad Request", "tenant: unknown");
            return;
        }
        String limitCounter = registry.reachedLimitCounter();
        if (limitCounter != null) {
            counters.increment(limitCounter);
            responses.refuse(exchange, null, settings.controller().limits().retryAfterMs());
            return;
        }
        Session session = new Session(
                registry.newToken(),
                classIndex,
                tenantIndex,
                viewer,
                title,
                topRung,
                waitMs,
                new SessionPlaylist(settings.playlist(), nowMs(), host.nowMs()));
        session.returning = head.queryParameter("returning") != null;
        session.supportsInterstitials = switch (settings.interstitials()) {
            case NEVER -> false;
            case ASKED -> head.queryParameter("interstitials") != null;
            case ALWAYS -> true;
        };
        programmeChanges.readCookies(session, head.headers().getAll("Cookie"));
        registry.byToken.put(session.token, session);
        counters.increment("requests-taken");
        placer.place(session, exchange, head.queryParameter("retry") != null, false, session.returning);
    }

    private void status(Exchange exchange) {
        ObjectNode root = Documents.MAPPER.createObjectNode();
        root.put("sessions", registry.byToken.size()).put("pending", registry.pendingRequests);
        ObjectNode counts = root.putObject("counters");
        counters.snapshot().forEach(counts::put);
        connectionCounts.get().forEach(counts::put);
        exchange.respond(200, "application/json", root.toString());
    }

    /** Handles a programme change that was added or withdrawn. */
    public void onChangesUpdated() {
        programmeChanges.onChangesUpdated();
    }

    /**
     * Returns the version of the active changes that the last complete pass over all sessions covers, and the duration
     * of that pass in ms.
     */
    public double[] lastChangePass() {
        return new double[] {programmeChanges.completedPassVersion(), programmeChanges.lastPassDurationMs()};
    }

    /** Returns, as JSON, how many sessions were shown a change, wait for it, left it out, or had it cut short. */
    public ObjectNode changeCounts(String changeId) {
        ProgrammeChanges.ChangeCounts counts = programmeChanges.changeCounts(changeId);
        return Documents.MAPPER
                .createObjectNode()
                .put("shown", counts.shown)
                .put("waited", counts.waited)
                .put("leftOut", counts.leftOut)
                .put("cut", counts.cut);
    }

    /** Moves a playing session to another box as the controller's action does, by its request id; for rehearsals. */
    public void moveSession(String requestId) {
        placer.move(requestId);
    }

    /** Sets the rung of a session as the controller's action does, by its request id; for rehearsals. */
    public void setRung(String requestId, int rung) {
        placer.rung(requestId, rung);
    }

    /** Applies a new list of boxes from the directory, with their addresses by box number. */
    public void onList(ServerList list, Map<Long, InetSocketAddress> addresses) {
        boxEvents.onList(list, addresses);
    }

    /** Refuses new requests from now on; {@code done} runs once all pending requests are answered. */
    public void drain(Runnable done) {
        registry.drain(done);
    }

    /** Releases all playing sessions at their boxes, because they end with their manager. */
    public void releaseAllSessions() {
        registry.playingByBox.forEach(
                (box, sessions) -> sessions.forEach(session -> box.release(session.attemptKey())));
    }
}
