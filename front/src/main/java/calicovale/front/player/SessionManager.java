package calicovale.front.player;

import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.Departed;
import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.Request;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.Started;
import calicovale.front.box.BoxLink;
import calicovale.front.box.LoadReport;
import calicovale.front.host.ControllerHost;
import calicovale.front.host.FrontCounters;
import calicovale.front.ledger.LedgerDesk;
import calicovale.front.playlist.Piece;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.Source;
import calicovale.front.settings.FrontSettings;
import calicovale.front.settings.FrontSettings.Holders;
import calicovale.front.time.Backoff;
import calicovale.front.time.CommonClock;
import calicovale.protocols.http.Cmcd;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.http.HttpClient.Failure;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.ChangeBook;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns all sessions of this manager, between players, controller and boxes: it turns what crossed a socket or fell due into
 * the controller's events and carries its actions out. Each exchange with a player is answered once: by the controller's
 * answer, or at its deadline. It decides nothing on placement and quality.
 */
public final class SessionManager implements ControllerHost.Carrier, BoxLink.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(SessionManager.class);
    private static final String HLS = "application/vnd.apple.mpegurl";
    private static final int TOKEN_BYTES = 16;
    /** Characters of a viewer's name: it stands in every step of the ledger. */
    private static final int MOST_VIEWER_CHARS = 200;

    private final EventLoop loop;
    private final FrontSettings settings;
    private final RandomGenerator random;
    private final HttpClient client;
    private final FrontCounters counters;
    private final ControllerHost host;
    private final String incarnation;
    private final SourceCache sources;
    private final ChangeBook changes;
    private final Programme programme;
    /** Every playlist is written into it: the loop owns it, and one is written at a time. */
    private final StringBuilder text = new StringBuilder(4096);
    private final SessionKeeper keeper;
    private final Map<String, Viewing> byToken = new HashMap<>();
    private final Map<String, Viewing> byId = new HashMap<>();
    private final Map<Long, BoxLink> boxes = new TreeMap<>();
    private final Map<BoxLink, Set<Viewing>> playingAt = new HashMap<>();
    private Supplier<Map<String, Long>> wireCounts = Map::of;
    private int pending;
    private long requests;
    private boolean draining;
    private Runnable drained;

    /** {@code incarnation} names this process among all that had its number. */
    public SessionManager(EventLoop loop, FrontSettings settings, CommonClock common, RandomGenerator random,
            HttpClient client, ChangeBook changes, LedgerDesk ledger, FrontCounters counters, String incarnation) {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
        this.client = client;
        this.counters = counters;
        this.incarnation = incarnation;
        this.sources = new SourceCache(settings.bounds().sources(),
                settings.controller().media().rungKb().size(), counters);
        this.changes = changes;
        this.host = new ControllerHost(loop, common, settings.controller(), settings.seed(), this);
        this.keeper = new SessionKeeper(loop, settings, ledger, host::nowMs, counters);
        this.programme = new Programme(loop, settings, changes, sources, ledger, host::nowMs, counters, new Pieces());
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
        return byToken.size();
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    // --- The player's side ---

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
                reload(x, token);
            } else {
                x.problem(405, new Headers().add("Allow", "GET, HEAD"), "Method Not Allowed", null, "");
            }
        } else if (path.matches("/s/[0-9a-f]+/pieces/[A-Za-z0-9._-]+\\.m3u8") && reads) {
            piece(x, path.substring(3, path.indexOf('/', 3)), path.substring(path.lastIndexOf('/') + 1, path.length() - 5));
        } else if (path.equals("/v1/status") && reads) {
            status(x);
        } else {
            counters.count("not-found");
            x.problem(404, "Not Found", "no such resource");
        }
    }

    /** The one path segment between a prefix and a suffix, or null. */
    private static String between(String path, String prefix, String suffix) {
        int from = prefix.length();
        int to = path.length() - suffix.length();
        return to > from && path.startsWith(prefix) && path.endsWith(suffix) && path.indexOf('/', from) == to
                ? path.substring(from, to) : null;
    }

    private void first(Exchange x, String title) {
        HttpHead head = x.head();
        String className = head.query("class");
        int c = className == null ? -1 : settings.classNames().indexOf(className);
        String named = head.query("viewer");
        String viewer = named != null ? named : Cmcd.of(head).getOrDefault("sid", "");
        boolean tooLong = viewer.length() > MOST_VIEWER_CHARS;
        if (c < 0 || tooLong || !title.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,99}")) {
            counters.count("bad-requests");
            x.problem(400, "Bad Request", c < 0 ? "class: one of " + settings.classNames() + " is expected"
                    : tooLong ? "viewer: at most " + MOST_VIEWER_CHARS + " characters are expected"
                    : "title: letters, digits, dots, dashes are expected");
            return;
        }
        var k = settings.controller().classes().get(c);
        int top;
        double wait;
        try {
            String topText = head.query("top");
            top = topText == null ? k.highestRung() : Integer.parseInt(topText);
            String waitText = head.query("wait");
            wait = waitText == null ? k.deadlineMs() : Math.min(k.deadlineMs(), Integer.parseInt(waitText));
        } catch (NumberFormatException e) {
            counters.count("bad-requests");
            x.problem(400, "Bad Request", "top and wait: whole numbers are expected");
            return;
        }
        if (top < k.lowestRung()) {
            counters.count("bad-requests");
            x.problem(400, "Bad Request", "top: at least " + k.lowestRung() + " is expected for this class");
            return;
        }
        String tenant = head.query("tenant");
        int t = tenant == null ? 0 : settings.tenantNames().indexOf(tenant);
        if (t < 0) {
            counters.count("bad-requests");
            x.problem(400, "Bad Request", "tenant: unknown");
            return;
        }
        if (draining || pending >= settings.bounds().pending() || byToken.size() >= settings.bounds().sessions()) {
            counters.count(draining ? "refused-draining" : pending >= settings.bounds().pending()
                    ? "bound-pending-hit" : "bound-sessions-hit");
            turnAway(x, null, settings.controller().limits().retryAfterMs());
            return;
        }
        Viewing v = new Viewing(token(), c, t, viewer, title, top, wait,
                new SessionPlaylist(settings.playlist(), nowMs(), host.nowMs()));
        v.returning = head.query("returning") != null;
        v.interstitials = switch (settings.interstitials()) {
            case NEVER -> false;
            case ASKED -> head.query("interstitials") != null;
            case ALWAYS -> true;
        };
        programme.cookies(v, head.headers().all("Cookie"));
        byToken.put(v.token, v);
        counters.count("requests-taken");
        place(v, x, head.query("retry") != null, false, v.returning);
    }

    private String token() {
        byte[] bytes = new byte[TOKEN_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Asks the controller for a place; {@code x} is answered by what comes of it, and may be null. */
    private void place(Viewing v, Exchange x, boolean retry, boolean moved, boolean returning) {
        v.state = Viewing.State.PLACING;
        v.id = "m" + settings.controller().self() + "-" + incarnation + "-" + ++requests;
        v.attempt = -1;
        // the controller names a rung only where it is not the class's lowest
        v.rung = settings.controller().classes().get(v.sessionClass).lowestRung();
        v.departed = false;
        v.timedOut = false;
        v.placedAtMs = nowMs();
        byId.put(v.id, v);
        pending++;
        if (x != null) {
            await(v, x);
        }
        double left = v.waitMs - settings.times().answerMargin();
        String id = v.id;
        v.deadline = loop.schedule(left, () -> overdue(v, id));
        Holders holders = v.holders != null ? v.holders
                : settings.titles().getOrDefault(v.title, new Holders(0, Integer.MAX_VALUE));
        host.raise(new Request(v.id, v.sessionClass, v.tenant, v.viewer, v.title, host.nowMs() + left, 0,
                holders.homeCell(), holders.span(), v.top, retry, moved, returning));
    }

    private void await(Viewing v, Exchange x) {
        v.waiting.add(x);
        x.onGone(() -> {
            if (v.state == Viewing.State.PLACING && v.waiting.stream().allMatch(Exchange::gone)) {
                depart(v);
            }
        });
    }

    private void depart(Viewing v) {
        if (v.departed) {
            return;
        }
        v.departed = true;
        counters.count("departed");
        LOG.atInfo().addKeyValue("session", v.id).log("the viewer left before the answer");
        // with an attempt out the controller calls it off, or it ends by itself: the request stays known until then
        host.raise(new Departed(v.id));
        if (v.call == null) {
            settle(v, Viewing.State.LOST);
        }
    }

    private void overdue(Viewing v, String id) {
        if (v.state != Viewing.State.PLACING || !v.id.equals(id) || v.departed) {
            return;
        }
        counters.count("overdue");
        v.departed = true;
        answerAll(v, x -> x.problem(504, named(id), "Gateway Timeout", "no box answered in time", ""));
        host.raise(new Departed(v.id));
        if (v.call == null) {
            settle(v, Viewing.State.LOST);
        }
    }

    /** A placing is over; a session that no player knows of is forgotten. */
    private void settle(Viewing v, Viewing.State state) {
        if (v.state == Viewing.State.PLACING) {
            pending--;
            v.deadline.cancel();
        }
        if (state != Viewing.State.PLAYING) {
            byId.remove(v.id);
        }
        v.state = state;
        v.call = null;
        v.changed.run();
        if (state == Viewing.State.LOST) {
            if (v.given && !v.ofPiece) {
                expire(v);
            } else {
                forget(v);
            }
        }
        if (drained != null && pending == 0) {
            Runnable end = drained;
            drained = null;
            end.run();
        }
    }

    /** Forgets a session without a box after a time in which its player did not ask. */
    private void expire(Viewing v) {
        String id = v.id;
        loop.schedule(settings.times().endedKept(), () -> {
            boolean over = v.state == Viewing.State.LOST || v.state == Viewing.State.ENDED;
            if (over && v.id.equals(id)) {
                forget(v);
            }
        });
    }

    private void forget(Viewing v) {
        byToken.remove(v.token);
        programme.over(v);
        if (v.given && !v.ofPiece) {
            keeper.over(v);
        }
    }

    private interface Answer {
        boolean to(Exchange x);
    }

    private boolean answerAll(Viewing v, Answer answer) {
        boolean any = false;
        List<Exchange> all = new ArrayList<>(v.waiting);
        v.waiting.clear();
        for (Exchange x : all) {
            if (!x.gone()) {
                any |= answer.to(x);
            }
        }
        return any;
    }

    /** Every answer to a placing names it, so that logs and answers can be joined. */
    private static Headers named(String id) {
        return id == null ? new Headers() : new Headers().add("Calicovale-Session", id);
    }

    private boolean turnAway(Exchange x, String id, double afterMs) {
        counters.count("refused");
        long seconds = Math.max(1, (long) Math.ceil(afterMs / 1000));
        return x.problem(503, named(id).add("Retry-After", Long.toString(seconds)), "Service Unavailable",
                "no room now", ",\"retryAfterMs\":" + Math.round(afterMs));
    }

    private void reload(Exchange x, String token) {
        Viewing v = byToken.get(token);
        if (v == null && byToken.size() < settings.bounds().sessions()) {
            v = keeper.back(token);
            if (v != null) {
                byToken.put(token, v);
            }
        }
        if (v == null || v.ofPiece) {
            counters.count("unknown-sessions");
            x.problem(404, "Not Found", "no such session here; ask for the lecture again");
            return;
        }
        counters.count("reloads");
        if (Cmcd.of(x.head()).containsKey("bs")) {
            counters.count("players-starved");
            LOG.atInfo().addKeyValue("session", v.id).log("the player's buffer ran empty");
        }
        route(v, x);
    }

    private void route(Viewing v, Exchange x) {
        switch (v.state) {
            case PLAYING -> serve(v, x, true);
            case PLACING -> await(v, x);
            case ENDED, LOST -> {
                if (v.source != null && v.playlist.complete(v.source)) {
                    serve(v, x, false);
                } else if (draining || pending >= settings.bounds().pending()) {
                    counters.count(draining ? "refused-draining" : "bound-pending-hit");
                    turnAway(x, null, settings.controller().limits().retryAfterMs());
                } else {
                    counters.count("returned");
                    place(v, x, false, false, true);
                }
            }
        }
    }

    /** Answers with the session's playlist, once the sources that it needs are here. */
    private void serve(Viewing v, Exchange x, boolean mayFetch) {
        Source now = sources.get(v.title, v.rung);
        int missing = -1;
        if (now == null && v.state == Viewing.State.PLAYING) {
            missing = v.rung;
        }
        if (now != null && v.state == Viewing.State.PLAYING) {
            v.source = now;
            SessionKeeper.goOn(v, now);
            if (!v.playlist.extend(now, v.rung, v.base + v.rung + "/", nowMs(), programme.stitcher(v))) {
                programme.whenReady(v, () -> {
                    if (!x.gone()) {
                        route(v, x);
                    }
                });
                return;
            }
            programme.extended(v);
        }
        missing = missing >= 0 ? missing : missing(v);
        if (missing >= 0 && mayFetch && v.box != null) {
            int fetched = missing;
            // what could not be had is not asked for again by this exchange
            sources.fetch(v.box, v.title, fetched, () -> {
                if (!x.gone()) {
                    serve(v, x, sources.get(v.title, fetched) != null);
                }
            });
            return;
        }
        if (v.playlist.runs() == 0 || missing(v) >= 0) {
            counters.count("reloads-failed");
            x.problem(502, "Bad Gateway", "the lecture's playlist can't be had");
            return;
        }
        if (keeper.covers(v)) {
            give(v, x);
        } else {
            keeper.whenKept(() -> {
                if (x.gone()) {
                    return;
                }
                if (v.playlist.runs() == 0 || missing(v) >= 0) {
                    // a source was dropped meanwhile
                    route(v, x);
                } else {
                    give(v, x);
                }
            });
        }
    }

    private void give(Viewing v, Exchange x) {
        Headers headers = named(v.id).add("Content-Type", HLS).add("Cache-Control", "no-store");
        String cookie = programme.cookie(v);
        if (cookie != null) {
            headers.add("Set-Cookie", cookie);
        }
        text.setLength(0);
        v.playlist.render(rung -> sources.get(v.title, rung), text);
        x.respond(200, headers, text.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with the playlist of a piece that a session's player plays as an interstitial. */
    private void piece(Exchange x, String token, String change) {
        Viewing v = byToken.get(token);
        Piece piece = v == null ? null : v.playlist.planned(change);
        if (piece == null) {
            counters.count("not-found");
            x.problem(404, "Not Found", "no such piece in a session here");
            return;
        }
        counters.count("pieces-given");
        x.respond(200, named(v.id).add("Content-Type", HLS).add("Cache-Control", "no-store"),
                piece.render().getBytes(StandardCharsets.UTF_8));
    }

    /** Set-ups for pieces, placed by the controller like any session; no player asks for them. */
    private final class Pieces implements Programme.Sessions {
        @Override
        public Collection<Viewing> all() {
            return byToken.values();
        }

        @Override
        public Viewing place(Viewing beside, String title, Holders holders, Runnable changed) {
            if (draining || pending >= settings.bounds().pending() || byToken.size() >= settings.bounds().sessions()) {
                counters.count("piece-set-ups-held");
                return null;
            }
            Viewing v = new Viewing(token(), beside.sessionClass, beside.tenant, beside.viewer, title, beside.top, beside.waitMs,
                    new SessionPlaylist(settings.playlist(), nowMs(), host.nowMs()));
            v.ofPiece = true;
            v.beside = beside;
            v.given = true;
            v.holders = holders;
            byToken.put(v.token, v);
            // not from within a reload: the controller's actions may concern the session whose playlist is being written
            loop.schedule(0, () -> {
                v.changed = changed;
                SessionManager.this.place(v, null, false, false, false);
            });
            return v;
        }

        @Override
        public void release(Viewing piece) {
            loop.schedule(0, () -> {
                if (piece.state == Viewing.State.PLAYING) {
                    piece.box.release(piece.key());
                    leave(piece, Outcome.OK, Map.of());
                } else if (piece.state == Viewing.State.PLACING) {
                    depart(piece);
                }
            });
        }

        @Override
        public void takes(Viewing v, int rung) {
            String key = v.key();
            loop.schedule(0, () -> {
                if (v.state == Viewing.State.PLAYING && v.key().equals(key)) {
                    counters.count("piece-rates-told");
                    v.box.rung(key, rung, ++v.rungChange);
                    host.raise(new Note(v.id, v.attempt, v.box.id(), NoteKind.RUNG, rung));
                }
            });
        }
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
        return Documents.MAPPER.createObjectNode().put("shown", t.shown).put("waited", t.waited).put("leftOut", t.leftOut)
                .put("cut", t.cut);
    }

    /** A rung that the playlist shows and whose source is not here; -1: none. */
    private int missing(Viewing v) {
        for (int rung : v.playlist.rungsShown()) {
            if (sources.get(v.title, rung) == null) {
                return rung;
            }
        }
        return -1;
    }

    private boolean giveFirst(Viewing v, Exchange x) {
        var k = settings.controller().classes().get(v.sessionClass);
        int top = Math.min(v.top, k.highestRung());
        long bits = Math.round(settings.controller().media().rungKb().get(top) * k.scale() * 8000);
        String text = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-STREAM-INF:BANDWIDTH=" + bits
                + "\n/s/" + v.token + "/media.m3u8\n";
        return x.respond(200, named(v.id).add("Content-Type", HLS).add("Cache-Control", "no-store"),
                text.getBytes(StandardCharsets.UTF_8));
    }

    private void status(Exchange x) {
        ObjectNode n = Documents.MAPPER.createObjectNode();
        n.put("sessions", byToken.size()).put("pending", pending);
        ObjectNode counts = n.putObject("counters");
        counters.all().forEach(counts::put);
        wireCounts.get().forEach(counts::put);
        x.respond(200, "application/json", n.toString());
    }

    // --- The controller's actions ---

    @Override
    public void attempt(String id, long server, double timeoutMs) {
        Viewing v = byId.get(id);
        BoxLink box = boxes.get(server);
        v.attempt++;
        v.box = box;
        v.attemptAtMs = nowMs();
        counters.count("attempts");
        int attempt = v.attempt;
        if (box == null) {
            loop.schedule(0, () -> ended(v, id, attempt, server, Outcome.CONNECT_FAILED, Map.of()));
            return;
        }
        double scale = settings.controller().classes().get(v.sessionClass).scale();
        ObjectNode body = Documents.MAPPER.createObjectNode().put("session", id).put("attempt", attempt)
                .put("class", settings.classNames().get(v.sessionClass)).put("title", v.title).put("rung", v.rung);
        ArrayNode ladder = body.putArray("ladderKb");
        settings.controller().media().rungKb().forEach(kb -> ladder.add(kb * scale));
        LOG.atInfo().addKeyValue("session", id).log("set-up {} at box {}, rung {}", attempt, server, v.rung);
        v.call = box.setUp(v.key(), body, timeoutMs, new BoxLink.SetUpListener() {
            @Override
            public void started(String base, HttpHead head) {
                onStarted(v, id, attempt, box, base);
            }

            @Override
            public void answered(int status, Map<String, Double> load) {
                ended(v, id, attempt, server, status == 429 ? Outcome.FULL : Outcome.ERROR, load);
            }

            @Override
            public void failed(Failure failure) {
                Outcome outcome = switch (failure) {
                    case CONNECT_REFUSED, CONNECT_TIMEOUT -> Outcome.CONNECT_FAILED;
                    case POOL_FULL -> Outcome.MOOT;
                    case RESET -> Outcome.RESET;
                    case TIMEOUT -> Outcome.TIMEOUT;
                    case MALFORMED -> Outcome.ERROR;
                    case CANCELLED -> Outcome.CANCELLED;
                };
                if (!outcome.provesUnrun()) {
                    // it may have been started: the box lets it go now, or at the end of its lease
                    box.release(id + "." + attempt);
                }
                ended(v, id, attempt, server, outcome, Map.of());
            }
        });
    }

    private void onStarted(Viewing v, String id, int attempt, BoxLink box, String base) {
        double elapsed = nowMs() - v.attemptAtMs;
        boolean wanted = !v.departed && v.state == Viewing.State.PLACING && v.id.equals(id);
        boolean background = wanted && v.waiting.isEmpty() && v.given;
        if (!wanted || !background && v.waiting.stream().allMatch(Exchange::gone)) {
            letGo(v, id, attempt, box, elapsed);
            return;
        }
        v.base = base;
        v.startedAtMs = nowMs();
        programme.takesAnew(v);
        host.raise(new Started(id, attempt, box.id(), elapsed));
        settle(v, Viewing.State.PLAYING);
        playingAt.computeIfAbsent(box, b -> new LinkedHashSet<>()).add(v);
        box.watch();
        String key = v.key();
        box.confirm(key, () -> {
            if (v.state == Viewing.State.PLAYING && v.key().equals(key)) {
                lose(v, "the box let it go before it was confirmed");
            }
        });
        if (v.given && v.source != null) {
            v.playlist.resume(v.source, v.lostAtMs, nowMs());
        }
        boolean first = !v.given;
        boolean any = background | answerAll(v, x -> {
            if (first) {
                return giveFirst(v, x);
            }
            serve(v, x, true);
            return true;
        });
        if (!any) {
            // the answer could not be written: nobody has it, so nobody plays
            leave(v, Outcome.OK, Map.of());
            box.release(key);
            forget(v);
            return;
        }
        v.given = true;
        counters.count("played");
        LOG.atInfo().addKeyValue("session", id).log("plays at box {}, rung {}, after {} ms", box.id(), v.rung,
                Math.round(elapsed));
    }

    /** A set-up came to play that nobody waits for. */
    private void letGo(Viewing v, String id, int attempt, BoxLink box, double elapsed) {
        counters.count("let-go");
        box.release(id + "." + attempt);
        host.raise(new AttemptEnded(id, attempt, box.id(), Outcome.OK, elapsed, true, Map.of()));
        if (v.state == Viewing.State.PLACING && v.id.equals(id)) {
            settle(v, Viewing.State.LOST);
        }
    }

    /** An attempt ended without playing. */
    private void ended(Viewing v, String id, int attempt, long server, Outcome outcome, Map<String, Double> load) {
        boolean present = v.state == Viewing.State.PLACING && v.id.equals(id);
        if (present) {
            v.call = null;
            v.timedOut = outcome == Outcome.TIMEOUT;
        }
        counters.count("attempts-" + outcome.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        LOG.atInfo().addKeyValue("session", id).log("set-up {} at box {} ended: {}", attempt, server, outcome);
        boolean closed = v.departed || !present;
        host.raise(new AttemptEnded(id, attempt, server, outcome, nowMs() - v.attemptAtMs, closed, load));
        if (present && v.departed && v.state == Viewing.State.PLACING) {
            settle(v, Viewing.State.LOST);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        Viewing v = byId.get(id);
        if (v != null && v.call != null && v.attempt == attempt) {
            v.call.cancel();
        }
    }

    @Override
    public void rung(String id, int rung) {
        Viewing v = byId.get(id);
        if (v == null) {
            return;
        }
        v.rung = rung;
        if (v.state == Viewing.State.PLAYING) {
            programme.takesAnew(v);
            counters.count("rung-changes");
            v.box.rung(v.key(), rung, ++v.rungChange);
            LOG.atInfo().addKeyValue("session", id).log("rung {}", rung);
        }
    }

    @Override
    public void move(String id) {
        Viewing v = byId.get(id);
        if (v == null || v.state != Viewing.State.PLAYING) {
            return;
        }
        counters.count("moves");
        v.box.release(v.key());
        boolean piece = v.ofPiece;
        leave(v, Outcome.OK, Map.of());
        if (!piece) {
            place(v, null, false, true, false);
        }
    }

    @Override
    public void refuse(String id, double retryAfterMs) {
        Viewing v = byId.get(id);
        if (v == null) {
            return;
        }
        LOG.atInfo().addKeyValue("session", id).log("refused");
        answerAll(v, x -> turnAway(x, id, retryAfterMs));
        settle(v, Viewing.State.LOST);
    }

    @Override
    public void fail(String id) {
        Viewing v = byId.get(id);
        if (v == null) {
            return;
        }
        counters.count("failed");
        LOG.atInfo().addKeyValue("session", id).log("failed");
        int status = v.timedOut ? 504 : 502;
        answerAll(v, x -> x.problem(status, named(id), status == 504 ? "Gateway Timeout" : "Bad Gateway",
                "the set-up failed", ""));
        settle(v, Viewing.State.LOST);
    }

    @Override
    public void log(String text) {
        LOG.info("controller: {}", text);
    }

    // --- News of playing sessions ---

    /** A playing session leaves its box. */
    private void leave(Viewing v, Outcome outcome, Map<String, Double> load) {
        BoxLink box = v.box;
        Set<Viewing> there = playingAt.get(box);
        if (there != null && there.remove(v) && there.isEmpty()) {
            playingAt.remove(box);
            box.unwatch();
        }
        v.lostAtMs = nowMs();
        v.rungChange = 0;
        settle(v, Viewing.State.LOST);
        host.raise(new AttemptEnded(v.id, v.attempt, box.id(), outcome, nowMs() - v.startedAtMs, true, load));
    }

    private void lose(Viewing v, String why) {
        counters.count("sessions-lost");
        LOG.atInfo().addKeyValue("session", v.id).log("lost at box {}: {}", v.box.id(), why);
        leave(v, Outcome.RESET, Map.of());
    }

    @Override
    public void onNote(BoxLink box, String session, String kind, double value) {
        NoteKind what = switch (kind) {
            case "share" -> NoteKind.DELIVERED_SHARE;
            case "link" -> NoteKind.LINK_USE;
            case "uplink" -> NoteKind.UPLINK_USE;
            default -> null;
        };
        if (what == null || !(value >= 0) || Double.isInfinite(value)) {
            counters.count("box-events-malformed");
            return;
        }
        Viewing v = byId.get(session);
        host.raise(new Note(session, v == null ? 0 : v.attempt, box.id(), what, value));
    }

    @Override
    public void onEnded(BoxLink box, String key, String reason, Map<String, Double> load) {
        int dot = key.lastIndexOf('.');
        Viewing v = dot < 0 ? null : byId.get(key.substring(0, dot));
        if (v == null || v.state != Viewing.State.PLAYING || !v.key().equals(key)) {
            return;
        }
        counters.count("sessions-ended");
        LOG.atInfo().addKeyValue("session", v.id).log("ended at box {}: {}", box.id(), reason);
        leave(v, Outcome.OK, load);
        if (!v.ofPiece) {
            v.state = Viewing.State.ENDED;
        }
    }

    @Override
    public void onServed(BoxLink box, String key, String path) {
        int dot = key.lastIndexOf('.');
        Viewing v = dot < 0 ? null : byId.get(key.substring(0, dot));
        if (v != null && v.state == Viewing.State.PLAYING && v.key().equals(key)) {
            (v.beside != null ? v.beside : v).playlist.served(v.base + path);
        }
    }

    @Override
    public void onHeld(BoxLink box, Set<String> keys, double askedAtMs) {
        for (Viewing v : new ArrayList<>(playingAt.getOrDefault(box, Set.of()))) {
            if (!keys.contains(v.key()) && v.startedAtMs < askedAtMs) {
                lose(v, "the box does not hold it any more");
            }
        }
    }

    @Override
    public void onLost(BoxLink box, String why) {
        programme.lost(box);
        for (Viewing v : new ArrayList<>(playingAt.getOrDefault(box, Set.of()))) {
            lose(v, why);
        }
    }

    /** Takes news of the list: the addresses first, so that a set-up decided on it finds its box. */
    public void onList(ServerList list, Map<Long, InetSocketAddress> addresses) {
        addresses.forEach((id, address) -> {
            BoxLink box = boxes.get(id);
            if (box == null) {
                boxes.put(id, new BoxLink(id, address, loop, client, settings.times(),
                        new Backoff(settings.times().backoff(), settings.times().backoffMost(), random),
                        settings.controller().self() + "." + incarnation, counters, this));
            } else {
                box.address(address);
            }
        });
        host.raise(list);
    }

    /** Takes no new requests; {@code done} runs once every answer owed has been given. */
    public void drain(Runnable done) {
        draining = true;
        if (pending == 0) {
            done.run();
        } else {
            drained = done;
        }
    }

    /** Lets all sessions go at their boxes: they end with their manager. */
    public void releaseAll() {
        playingAt.forEach((box, there) -> there.forEach(v -> box.release(v.key())));
    }
}
