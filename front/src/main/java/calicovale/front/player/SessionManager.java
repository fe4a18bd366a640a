package calicovale.front.player;

import calicovale.ControllerApi.ServerList;
import calicovale.front.ledger.LedgerDesk;
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
import calicovale.stitch.ChangeBook;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Owns the way of a player's exchange to the part that answers it, and those parts: sessions held ({@link SessionTable}), their
 * set-ups ({@link SetUps}), their playlists ({@link Reloads}), programme changes ({@link Programme}), the ledger ({@link
 * SessionKeeper}) and the boxes ({@link BoxNews}). It decides nothing on placement and quality.
 */
public final class SessionManager {
    /** Characters of a viewer's name: it stands in every step of the ledger. */
    private static final int MOST_VIEWER_CHARS = 200;

    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final ControllerHost host;
    private final SessionTable table;
    private final PlayerAnswers answers;
    private final SetUps setUps;
    private final Reloads reloads;
    private final Programme programme;
    private final BoxNews boxes;
    private Supplier<Map<String, Long>> wireCounts = Map::of;

    /** {@code incarnation} names this process among all that had its number. */
    public SessionManager(
            EventLoop loop,
            FrontSettings settings,
            CommonClock common,
            RandomGenerator random,
            HttpClient client,
            ChangeBook changes,
            LedgerDesk ledger,
            Counters counters,
            String incarnation) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        SourceCache sources = new SourceCache(
                settings.bounds().sources(),
                settings.controller().media().rungKb().size(),
                counters);
        table = new SessionTable(loop, settings, random);
        answers = new PlayerAnswers(settings, counters);
        boxes = new BoxNews(loop, settings, random, client, counters, table, incarnation);
        setUps = new SetUps(loop, settings, counters, table, answers, boxes::box, incarnation);
        host = new ControllerHost(
                () -> common.at(loop.clock().nanos() / 1e6),
                loop.clock()::nanos,
                loop::schedule,
                settings.controller(),
                settings.seed(),
                setUps);
        SessionKeeper keeper = new SessionKeeper(loop, settings, ledger, host::nowMs, counters);
        programme = new Programme(
                loop,
                settings,
                changes,
                sources,
                ledger,
                host::nowMs,
                counters,
                new PieceSetUps(loop, settings, counters, table, setUps, host));
        reloads = new Reloads(loop, settings, counters, table, answers, sources, keeper, programme, setUps);
        setUps.with(host, programme, reloads);
        boxes.with(host, programme, setUps);
        table.onForgotten(v -> {
            programme.over(v);
            if (v.given && !v.ofPiece) {
                keeper.over(v);
            }
        });
        ledger.foundShowings().forEach(s -> changes.remember(s.change(), s.name()));
    }

    /** The controller's host, for measurements. */
    public ControllerHost host() {
        return host;
    }

    /** What the status page shows of the wire beside the sessions' counts. */
    public void wireCounts(Supplier<Map<String, Long>> counts) {
        wireCounts = counts;
    }

    /** Sessions held, in any state. */
    public int sessions() {
        return table.byToken.size();
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Takes one exchange of a player. */
    public void handle(Exchange x) {
        String path = x.head().path();
        String method = x.head().method();
        boolean reads = method.equals("GET") || method.equals("HEAD");
        String title = between(path, "/v1/lectures/", "/index.m3u8");
        String token = between(path, "/s/", "/media.m3u8");
        if (title != null) {
            if (method.equals("GET")) {
                first(x, title);
            } else {
                x.problem(405, new Headers().add("Allow", "GET"), "Method Not Allowed", null, "");
            }
        } else if (token != null) {
            if (reads) {
                reloads.reload(x, token);
            } else {
                x.problem(405, new Headers().add("Allow", "GET, HEAD"), "Method Not Allowed", null, "");
            }
        } else if (path.matches("/s/[0-9a-f]+/pieces/[A-Za-z0-9._-]+\\.m3u8") && reads) {
            reloads.piece(
                    x,
                    path.substring(3, path.indexOf('/', 3)),
                    path.substring(path.lastIndexOf('/') + 1, path.length() - 5));
        } else if (path.equals("/v1/status") && reads) {
            status(x);
        } else {
            counters.increment("not-found");
            x.problem(404, "Not Found", "no such resource");
        }
    }

    /** The one path segment between a prefix and a suffix, or null. */
    private static String between(String path, String prefix, String suffix) {
        int from = prefix.length();
        int to = path.length() - suffix.length();
        return to > from && path.startsWith(prefix) && path.endsWith(suffix) && path.indexOf('/', from) == to
                ? path.substring(from, to)
                : null;
    }

    private void first(Exchange x, String title) {
        HttpHead head = x.head();
        String className = head.queryParameter("class");
        int c = className == null ? -1 : settings.classNames().indexOf(className);
        String named = head.queryParameter("viewer");
        String viewer = named != null ? named : Cmcd.of(head).getOrDefault("sid", "");
        boolean tooLong = viewer.length() > MOST_VIEWER_CHARS;
        if (c < 0 || tooLong || !title.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,99}")) {
            counters.increment("bad-requests");
            x.problem(
                    400,
                    "Bad Request",
                    c < 0
                            ? "class: one of " + settings.classNames() + " is expected"
                            : tooLong
                                    ? "viewer: at most " + MOST_VIEWER_CHARS + " characters are expected"
                                    : "title: letters, digits, dots, dashes are expected");
            return;
        }
        var k = settings.controller().classes().get(c);
        int top;
        double wait;
        try {
            String topText = head.queryParameter("top");
            top = topText == null ? k.highestRung() : Integer.parseInt(topText);
            String waitText = head.queryParameter("wait");
            wait = waitText == null ? k.deadlineMs() : Math.min(k.deadlineMs(), Integer.parseInt(waitText));
        } catch (NumberFormatException e) {
            counters.increment("bad-requests");
            x.problem(400, "Bad Request", "top and wait: whole numbers are expected");
            return;
        }
        if (top < k.lowestRung()) {
            counters.increment("bad-requests");
            x.problem(400, "Bad Request", "top: at least " + k.lowestRung() + " is expected for this class");
            return;
        }
        String tenant = head.queryParameter("tenant");
        int t = tenant == null ? 0 : settings.tenantNames().indexOf(tenant);
        if (t < 0) {
            counters.increment("bad-requests");
            x.problem(400, "Bad Request", "tenant: unknown");
            return;
        }
        String full = table.full();
        if (full != null) {
            counters.increment(full);
            answers.turnAway(x, null, settings.controller().limits().retryAfterMs());
            return;
        }
        Viewing v = new Viewing(
                table.newToken(),
                c,
                t,
                viewer,
                title,
                top,
                wait,
                new SessionPlaylist(settings.playlist(), nowMs(), host.nowMs()));
        v.returning = head.queryParameter("returning") != null;
        v.interstitials = switch (settings.interstitials()) {
            case NEVER -> false;
            case ASKED -> head.queryParameter("interstitials") != null;
            case ALWAYS -> true;
        };
        programme.cookies(v, head.headers().getAll("Cookie"));
        table.byToken.put(v.token, v);
        counters.increment("requests-taken");
        setUps.place(v, x, head.queryParameter("retry") != null, false, v.returning);
    }

    private void status(Exchange x) {
        ObjectNode n = Documents.MAPPER.createObjectNode();
        n.put("sessions", table.byToken.size()).put("pending", table.pending);
        ObjectNode counts = n.putObject("counters");
        counters.snapshot().forEach(counts::put);
        wireCounts.get().forEach(counts::put);
        x.respond(200, "application/json", n.toString());
    }

    /** A change was told or withdrawn. */
    public void changesChanged() {
        programme.changed();
    }

    /** The version of the book for which every session has been looked at, and the ms that the last such pass took. */
    public double[] changesPlanned() {
        return new double[] {programme.planned(), programme.passMs()};
    }

    /** How a change fared here, as JSON: sessions that were shown it, wait for it, had it left out, or cut. */
    public ObjectNode changeTally(String id) {
        Programme.Tally t = programme.tally(id);
        return Documents.MAPPER
                .createObjectNode()
                .put("shown", t.shown)
                .put("waited", t.waited)
                .put("leftOut", t.leftOut)
                .put("cut", t.cut);
    }

    /** Moves a playing session as the controller's action does, by the id of its request: for rehearsals. */
    public void move(String id) {
        setUps.move(id);
    }

    /** Sets the rung of a session as the controller's action does: for rehearsals. */
    public void rung(String id, int rung) {
        setUps.rung(id, rung);
    }

    /** Takes news of the list. */
    public void onList(ServerList list, Map<Long, InetSocketAddress> addresses) {
        boxes.onList(list, addresses);
    }

    /** Takes no new requests; {@code done} runs once every answer owed has been given. */
    public void drain(Runnable done) {
        table.drain(done);
    }

    /** Lets all sessions go at their boxes: they end with their manager. */
    public void releaseAll() {
        table.playingAt.forEach((box, there) -> there.forEach(v -> box.release(v.key())));
    }
}
