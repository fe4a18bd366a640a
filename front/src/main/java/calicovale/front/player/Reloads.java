package calicovale.front.player;

import calicovale.front.playlist.Piece;
import calicovale.front.playlist.Source;
import calicovale.front.settings.FrontSettings;
import calicovale.host.Counters;
import calicovale.protocols.http.Cmcd;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.net.EventLoop;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the answers to reloads: a session's playlist as it is due now, once its sources, its pieces and the ledger's word are
 * there; a session without a box is placed anew.
 */
final class Reloads {
    private static final Logger LOG = LoggerFactory.getLogger(Reloads.class);
    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final SessionTable table;
    private final PlayerAnswers answers;
    private final SourceCache sources;
    private final SessionKeeper keeper;
    private final Programme programme;
    private final SetUps setUps;
    /** Every playlist is written into it: the loop owns it, and one is written at a time. */
    private final StringBuilder text = new StringBuilder(4096);

    Reloads(
            EventLoop loop,
            FrontSettings settings,
            Counters counters,
            SessionTable table,
            PlayerAnswers answers,
            SourceCache sources,
            SessionKeeper keeper,
            Programme programme,
            SetUps setUps) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.table = table;
        this.answers = answers;
        this.sources = sources;
        this.keeper = keeper;
        this.programme = programme;
        this.setUps = setUps;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Takes a reload of a session's playlist. */
    void reload(Exchange x, String token) {
        Viewing v = table.byToken.get(token);
        if (v == null && table.byToken.size() < settings.bounds().sessions()) {
            v = keeper.back(token);
            if (v != null) {
                table.byToken.put(token, v);
            }
        }
        if (v == null || v.ofPiece) {
            counters.increment("unknown-sessions");
            x.problem(404, "Not Found", "no such session here; ask for the lecture again");
            return;
        }
        counters.increment("reloads");
        if (Cmcd.of(x.head()).containsKey("bs")) {
            counters.increment("players-starved");
            LOG.atInfo().addKeyValue("session", v.id).log("the player's buffer ran empty");
        }
        route(v, x);
    }

    private void route(Viewing v, Exchange x) {
        switch (v.state) {
            case PLAYING -> serve(v, x, true);
            case PLACING -> setUps.await(v, x);
            case ENDED, LOST -> {
                if (v.playlist.complete()) {
                    serve(v, x, false);
                } else if (table.draining || table.pending >= settings.bounds().pending()) {
                    counters.increment(table.draining ? "refused-draining" : "bound-pending-hit");
                    answers.turnAway(x, null, settings.controller().limits().retryAfterMs());
                } else {
                    counters.increment("returned");
                    setUps.place(v, x, false, false, true);
                }
            }
        }
    }

    /** Answers with the session's playlist, once the lecture at the rung in force is here. */
    void serve(Viewing v, Exchange x, boolean mayFetch) {
        if (v.state == Viewing.State.PLAYING) {
            Source now = sources.get(v.title, v.rung);
            if (now == null && mayFetch) {
                // what could not be had is not asked for again by this exchange
                sources.fetch(v.box, v.title, v.rung, () -> {
                    if (!x.peerClosed()) {
                        serve(v, x, false);
                    }
                });
                return;
            }
            if (now != null && !extend(v, x, now)) {
                return;
            }
        }
        if (v.playlist.runs() == 0) {
            counters.increment("reloads-failed");
            x.problem(502, "Bad Gateway", "the lecture's playlist can't be had");
        } else if (keeper.covers(v)) {
            give(v, x);
        } else {
            keeper.whenKept(() -> {
                if (!x.peerClosed()) {
                    give(v, x);
                }
            });
        }
    }

    /** Adds what is due; false: a piece or the disk is waited for, and the exchange is taken up again then. */
    private boolean extend(Viewing v, Exchange x, Source now) {
        v.source = now;
        SessionKeeper.goOn(v, now);
        if (!v.playlist.extend(now, v.rung, v.base + v.rung + "/", nowMs(), programme.stitcher(v))) {
            programme.whenReady(v, () -> {
                if (!x.peerClosed()) {
                    route(v, x);
                }
            });
            return false;
        }
        programme.extended(v);
        return true;
    }

    private void give(Viewing v, Exchange x) {
        Headers headers =
                PlayerAnswers.named(v.id).add("Content-Type", PlayerAnswers.HLS).add("Cache-Control", "no-store");
        String cookie = programme.cookie(v);
        if (cookie != null) {
            headers.add("Set-Cookie", cookie);
        }
        text.setLength(0);
        v.playlist.render(text);
        x.respond(200, headers, text.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with the playlist of a piece that a session's player plays as an interstitial. */
    void piece(Exchange x, String token, String change) {
        Viewing v = table.byToken.get(token);
        Piece piece = v == null ? null : v.playlist.planned(change);
        if (piece == null) {
            counters.increment("not-found");
            x.problem(404, "Not Found", "no such piece in a session here");
            return;
        }
        counters.increment("pieces-given");
        x.respond(
                200,
                PlayerAnswers.named(v.id).add("Content-Type", PlayerAnswers.HLS).add("Cache-Control", "no-store"),
                piece.render().getBytes(StandardCharsets.UTF_8));
    }
}
