package calicovale.front.player;

import calicovale.front.playlist.SourcePlaylist;
import calicovale.front.playlist.StitchedPiece;
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
 * Answers players' requests for playlists. A reload is answered with the session's playlist extended to the current
 * time, after the lecture's playlist is fetched, the pieces due are resolved, and the ledger's record of the session is
 * on disk. A session without a box is placed again first.
 */
final class PlaylistRequests {
    private static final Logger LOG = LoggerFactory.getLogger(PlaylistRequests.class);
    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final SessionRegistry registry;
    private final PlayerResponses responses;
    private final SourcePlaylistCache sourceCache;
    private final SessionPersistence persistence;
    private final ProgrammeChanges programmeChanges;
    private final SessionPlacer placer;
    /** Buffer for all playlists; shared because they are written one at a time, on the loop's thread only. */
    private final StringBuilder buffer = new StringBuilder(4096);

    PlaylistRequests(
            EventLoop loop,
            FrontSettings settings,
            Counters counters,
            SessionRegistry registry,
            PlayerResponses responses,
            SourcePlaylistCache sourceCache,
            SessionPersistence persistence,
            ProgrammeChanges programmeChanges,
            SessionPlacer placer) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.registry = registry;
        this.responses = responses;
        this.sourceCache = sourceCache;
        this.persistence = persistence;
        this.programmeChanges = programmeChanges;
        this.placer = placer;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Handles a reload of a session's playlist; restores the session if the ledger recovered it. */
    void handleReload(Exchange exchange, String token) {
        Session session = registry.byToken.get(token);
        if (session == null && registry.byToken.size() < settings.bounds().sessions()) {
            session = persistence.restore(token);
            if (session != null) {
                registry.byToken.put(token, session);
            }
        }
        if (session == null || session.forPiece) {
            counters.increment("unknown-sessions");
            exchange.problem(404, "Not Found", "no such session here; ask for the lecture again");
            return;
        }
        counters.increment("reloads");
        if (Cmcd.of(exchange.head()).containsKey("bs")) {
            counters.increment("players-starved");
            LOG.atInfo().addKeyValue("session", session.requestId).log("player reports an empty buffer");
        }
        handleByState(session, exchange);
    }

    /** Answers a reload according to the session's state. */
    private void handleByState(Session session, Exchange exchange) {
        switch (session.state) {
            case PLAYING -> sendPlaylist(session, exchange, true);
            case PLACING -> placer.addWaitingExchange(session, exchange);
            case ENDED, LOST -> {
                if (session.playlist.isComplete()) {
                    sendPlaylist(session, exchange, false);
                } else if (registry.draining
                        || registry.pendingRequests >= settings.bounds().pending()) {
                    counters.increment(registry.draining ? "refused-draining" : "bound-pending-hit");
                    responses.refuse(
                            exchange, null, settings.controller().limits().retryAfterMs());
                } else {
                    counters.increment("returned");
                    placer.place(session, exchange, false, false, true);
                }
            }
        }
    }

    /**
     * Sends the session's playlist, once the lecture's playlist at the current rung is available.
     *
     * @param mayFetch whether a missing lecture playlist is fetched from the box
     */
    void sendPlaylist(Session session, Exchange exchange, boolean mayFetch) {
        if (session.state == Session.State.PLAYING) {
            SourcePlaylist lecture = sourceCache.get(session.title, session.rung);
            if (lecture == null && mayFetch) {
                // fetched once only for this exchange; after a failure the playlist is sent without new segments
                sourceCache.fetch(session.box, session.title, session.rung, () -> {
                    if (!exchange.clientClosed()) {
                        sendPlaylist(session, exchange, false);
                    }
                });
                return;
            }
            if (lecture != null && !extendPlaylist(session, exchange, lecture)) {
                return;
            }
        }
        if (session.playlist.runCount() == 0) {
            counters.increment("reloads-failed");
            exchange.problem(502, "Bad Gateway", "the lecture's playlist can't be had");
        } else if (persistence.isCovered(session)) {
            sendCurrentPlaylist(session, exchange);
        } else {
            persistence.whenDurable(() -> {
                if (!exchange.clientClosed()) {
                    sendCurrentPlaylist(session, exchange);
                }
            });
        }
    }

    /**
     * Adds the segments that are due; returns false if the exchange waits for a piece or the disk and is resumed later.
     */
    private boolean extendPlaylist(Session session, Exchange exchange, SourcePlaylist lecture) {
        session.lecture = lecture;
        SessionPersistence.resumeLecture(session, lecture);
        if (!session.playlist.extend(
                lecture,
                session.rung,
                session.baseUri + session.rung + "/",
                nowMs(),
                programmeChanges.stitcher(session))) {
            programmeChanges.whenReady(session, () -> {
                if (!exchange.clientClosed()) {
                    handleByState(session, exchange);
                }
            });
            return false;
        }
        programmeChanges.onExtended(session);
        return true;
    }

    /** Sends the session's playlist as it is. */
    private void sendCurrentPlaylist(Session session, Exchange exchange) {
        Headers headers = PlayerResponses.sessionHeaders(session.requestId)
                .add("Content-Type", PlayerResponses.HLS_CONTENT_TYPE)
                .add("Cache-Control", "no-store");
        String cookie = programmeChanges.cookieHeader(session);
        if (cookie != null) {
            headers.add("Set-Cookie", cookie);
        }
        buffer.setLength(0);
        session.playlist.render(buffer);
        exchange.respond(200, headers, buffer.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Sends the playlist of a piece that a session's player plays as an interstitial. */
    void handlePiecePlaylist(Exchange exchange, String token, String changeId) {
        Session session = registry.byToken.get(token);
        StitchedPiece piece = session == null ? null : session.playlist.stitchedPiece(changeId);
        if (piece == null) {
            counters.increment("not-found");
            exchange.problem(404, "Not Found", "no such piece in a session here");
            return;
        }
        counters.increment("pieces-given");
        exchange.respond(
                200,
                PlayerResponses.sessionHeaders(session.requestId)
                        .add("Content-Type", PlayerResponses.HLS_CONTENT_TYPE)
                        .add("Cache-Control", "no-store"),
                piece.render().getBytes(StandardCharsets.UTF_8));
    }
}
