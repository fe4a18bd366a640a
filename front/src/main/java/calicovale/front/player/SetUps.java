package calicovale.front.player;

import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.Departed;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.Request;
import calicovale.ControllerApi.Started;
import calicovale.front.box.BoxLink;
import calicovale.front.settings.FrontSettings;
import calicovale.front.settings.FrontSettings.Holders;
import calicovale.host.ControllerHost;
import calicovale.host.Counters;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.HttpClient.Failure;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns each placing of a session, from the request that is raised to the controller over its attempts to the end at a box:
 * it carries out what the controller answers, and gives each exchange that waits one answer, the controller's or the
 * deadline's.
 */
final class SetUps implements ControllerHost.ActionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SetUps.class);
    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final SessionTable table;
    private final PlayerAnswers answers;
    private final LongFunction<BoxLink> boxes;
    private final String incarnation;
    private ControllerHost host;
    private Programme programme;
    private Reloads reloads;
    private long requests;

    /** {@code boxes} gives the link of a box by its number, null for one that is not listed. */
    SetUps(
            EventLoop loop,
            FrontSettings settings,
            Counters counters,
            SessionTable table,
            PlayerAnswers answers,
            LongFunction<BoxLink> boxes,
            String incarnation) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.table = table;
        this.answers = answers;
        this.boxes = boxes;
        this.incarnation = incarnation;
    }

    /** Those that it works with and that know it. */
    void with(ControllerHost ofController, Programme ofChanges, Reloads ofPlaylists) {
        host = ofController;
        programme = ofChanges;
        reloads = ofPlaylists;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Asks the controller for a place; {@code x} is answered by what comes of it, and may be null. */
    void place(Viewing v, Exchange x, boolean retry, boolean moved, boolean returning) {
        v.state = Viewing.State.PLACING;
        v.id = "m" + settings.controller().self() + "-" + incarnation + "-" + ++requests;
        v.attempt = -1;
        // the controller names a rung only where it is not the class's lowest
        v.rung = settings.controller().classes().get(v.sessionClass).lowestRung();
        v.departed = false;
        v.timedOut = false;
        v.placedAtMs = nowMs();
        table.byId.put(v.id, v);
        table.pending++;
        if (x != null) {
            await(v, x);
        }
        double left = v.waitMs - settings.times().answerMargin();
        String id = v.id;
        v.deadline = loop.schedule(left, () -> overdue(v, id));
        Holders holders = v.holders != null
                ? v.holders
                : settings.titles().getOrDefault(v.title, new Holders(0, Integer.MAX_VALUE));
        host.raise(new Request(
                v.id,
                v.sessionClass,
                v.tenant,
                v.viewer,
                v.title,
                host.nowMs() + left,
                0,
                holders.homeCell(),
                holders.span(),
                v.top,
                retry,
                moved,
                returning));
    }

    /** An exchange is answered by what comes of the present placing. */
    void await(Viewing v, Exchange x) {
        v.waiting.add(x);
        x.onPeerClosed(() -> {
            if (v.state == Viewing.State.PLACING && v.waiting.stream().allMatch(Exchange::peerClosed)) {
                depart(v);
            }
        });
    }

    /** Nobody waits for a placing any more. */
    void depart(Viewing v) {
        if (v.departed) {
            return;
        }
        v.departed = true;
        counters.increment("departed");
        LOG.atInfo().addKeyValue("session", v.id).log("the viewer left before the answer");
        // with an attempt out the controller calls it off, or it ends by itself: the request stays known until then
        host.raise(new Departed(v.id));
        if (v.call == null) {
            table.settle(v, Viewing.State.LOST);
        }
    }

    private void overdue(Viewing v, String id) {
        if (v.state != Viewing.State.PLACING || !v.id.equals(id) || v.departed) {
            return;
        }
        counters.increment("overdue");
        v.departed = true;
        answerAll(v, x -> x.problem(504, PlayerAnswers.named(id), "Gateway Timeout", "no box answered in time", ""));
        host.raise(new Departed(v.id));
        if (v.call == null) {
            table.settle(v, Viewing.State.LOST);
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
            if (!x.peerClosed()) {
                any |= answer.to(x);
            }
        }
        return any;
    }

    @Override
    public void attempt(String id, long server, double timeoutMs) {
        Viewing v = table.byId.get(id);
        BoxLink box = boxes.apply(server);
        v.attempt++;
        v.box = box;
        v.attemptAtMs = nowMs();
        counters.increment("attempts");
        int attempt = v.attempt;
        if (box == null) {
            loop.schedule(0, () -> ended(v, id, attempt, server, Outcome.CONNECT_FAILED, Map.of()));
            return;
        }
        double scale = settings.controller().classes().get(v.sessionClass).scale();
        ObjectNode body = Documents.MAPPER
                .createObjectNode()
                .put("session", id)
                .put("attempt", attempt)
                .put("class", settings.classNames().get(v.sessionClass))
                .put("title", v.title)
                .put("rung", v.rung);
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
                Outcome outcome =
                        switch (failure) {
                            case CONNECT_REFUSED, CONNECT_TIMEOUT -> Outcome.CONNECT_FAILED;
                            case POOL_FULL -> Outcome.MOOT;
                            case RESET -> Outcome.RESET;
                            case TIMEOUT -> Outcome.TIMEOUT;
                            case MALFORMED -> Outcome.ERROR;
                            case CANCELLED -> Outcome.CANCELLED;
                        };
                if (!outcome.provesNeverRan()) {
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
        if (!wanted || !background && v.waiting.stream().allMatch(Exchange::peerClosed)) {
            letGo(v, id, attempt, box, elapsed);
            return;
        }
        v.base = base;
        v.startedAtMs = nowMs();
        programme.takesAnew(v);
        host.raise(new Started(id, attempt, box.id(), elapsed));
        table.settle(v, Viewing.State.PLAYING);
        table.playingAt.computeIfAbsent(box, b -> new LinkedHashSet<>()).add(v);
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
        boolean any = background
                | answerAll(v, x -> {
                    if (first) {
                        return answers.giveFirst(v, x);
                    }
                    reloads.serve(v, x, true);
                    return true;
                });
        if (!any) {
            // the answer could not be written: nobody has it, so nobody plays
            leave(v, Outcome.OK, Map.of());
            box.release(key);
            table.forget(v);
            return;
        }
        v.given = true;
        counters.increment("played");
        LOG.atInfo()
                .addKeyValue("session", id)
                .log("plays at box {}, rung {}, after {} ms", box.id(), v.rung, Math.round(elapsed));
    }

    /** A set-up came to play that nobody waits for. */
    private void letGo(Viewing v, String id, int attempt, BoxLink box, double elapsed) {
        counters.increment("let-go");
        box.release(id + "." + attempt);
        host.raise(new AttemptEnded(id, attempt, box.id(), Outcome.OK, elapsed, true, Map.of()));
        if (v.state == Viewing.State.PLACING && v.id.equals(id)) {
            table.settle(v, Viewing.State.LOST);
        }
    }

    /** An attempt ended without playing. */
    private void ended(Viewing v, String id, int attempt, long server, Outcome outcome, Map<String, Double> load) {
        boolean present = v.state == Viewing.State.PLACING && v.id.equals(id);
        if (present) {
            v.call = null;
            v.timedOut = outcome == Outcome.TIMEOUT;
        }
        counters.increment(
                "attempts-" + outcome.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        LOG.atInfo().addKeyValue("session", id).log("set-up {} at box {} ended: {}", attempt, server, outcome);
        boolean closed = v.departed || !present;
        host.raise(new AttemptEnded(id, attempt, server, outcome, nowMs() - v.attemptAtMs, closed, load));
        if (present && v.departed && v.state == Viewing.State.PLACING) {
            table.settle(v, Viewing.State.LOST);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        Viewing v = table.byId.get(id);
        if (v != null && v.call != null && v.attempt == attempt) {
            v.call.cancel();
        }
    }

    @Override
    public void rung(String id, int rung) {
        Viewing v = table.byId.get(id);
        if (v == null) {
            return;
        }
        v.rung = rung;
        if (v.state == Viewing.State.PLAYING) {
            programme.takesAnew(v);
            counters.increment("rung-changes");
            v.box.rung(v.key(), rung, ++v.rungChange);
            LOG.atInfo().addKeyValue("session", id).log("rung {}", rung);
        }
    }

    @Override
    public void move(String id) {
        Viewing v = table.byId.get(id);
        if (v == null || v.state != Viewing.State.PLAYING) {
            return;
        }
        counters.increment("moves");
        v.box.release(v.key());
        boolean piece = v.ofPiece;
        leave(v, Outcome.OK, Map.of());
        if (!piece) {
            place(v, null, false, true, false);
        }
    }

    @Override
    public void refuse(String id, double retryAfterMs) {
        Viewing v = table.byId.get(id);
        if (v == null) {
            return;
        }
        LOG.atInfo().addKeyValue("session", id).log("refused");
        answerAll(v, x -> answers.turnAway(x, id, retryAfterMs));
        table.settle(v, Viewing.State.LOST);
    }

    @Override
    public void fail(String id) {
        Viewing v = table.byId.get(id);
        if (v == null) {
            return;
        }
        counters.increment("failed");
        LOG.atInfo().addKeyValue("session", id).log("failed");
        int status = v.timedOut ? 504 : 502;
        answerAll(
                v,
                x -> x.problem(
                        status,
                        PlayerAnswers.named(id),
                        status == 504 ? "Gateway Timeout" : "Bad Gateway",
                        "the set-up failed",
                        ""));
        table.settle(v, Viewing.State.LOST);
    }

    @Override
    public void log(String text) {
        LOG.info("controller: {}", text);
    }

    /** A playing session leaves its box. */
    void leave(Viewing v, Outcome outcome, Map<String, Double> load) {
        BoxLink box = v.box;
        Set<Viewing> there = table.playingAt.get(box);
        if (there != null && there.remove(v) && there.isEmpty()) {
            table.playingAt.remove(box);
            box.unwatch();
        }
        v.lostAtMs = nowMs();
        v.rungChange = 0;
        table.settle(v, Viewing.State.LOST);
        host.raise(new AttemptEnded(v.id, v.attempt, box.id(), outcome, nowMs() - v.startedAtMs, true, load));
    }

    /** Its box, or what it held there, is gone: the player's next reload is a new request. */
    void lose(Viewing v, String why) {
        counters.increment("sessions-lost");
        LOG.atInfo().addKeyValue("session", v.id).log("lost at box {}: {}", v.box.id(), why);
        leave(v, Outcome.RESET, Map.of());
    }
}
