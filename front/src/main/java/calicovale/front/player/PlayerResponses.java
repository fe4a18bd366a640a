package calicovale.front.player;

import calicovale.front.settings.FrontSettings;
import calicovale.host.Counters;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import java.nio.charset.StandardCharsets;

/** Writes the headers and bodies of responses to players. */
final class PlayerResponses {
    /** Media type of HLS playlists (RFC 8216, 10). */
    static final String HLS_CONTENT_TYPE = "application/vnd.apple.mpegurl";

    private final FrontSettings settings;
    private final Counters counters;

    PlayerResponses(FrontSettings settings, Counters counters) {
        this.settings = settings;
        this.counters = counters;
    }

    /** Returns headers with the request id, so that responses can be matched with logs; none if the id is null. */
    static Headers sessionHeaders(String requestId) {
        return requestId == null ? new Headers() : new Headers().add("Calicovale-Session", requestId);
    }

    /** Answers 503 with a Retry-After to a request that is refused; returns whether the response could be written. */
    boolean refuse(Exchange exchange, String requestId, double retryAfterMs) {
        counters.increment("refused");
        long seconds = Math.max(1, (long) Math.ceil(retryAfterMs / 1000));
        return exchange.problem(
                503,
                sessionHeaders(requestId).add("Retry-After", Long.toString(seconds)),
                "Service Unavailable",
                "no room now",
                ",\"retryAfterMs\":" + Math.round(retryAfterMs));
    }

    /** Sends the multivariant playlist, the first response of a session; returns whether it could be written. */
    boolean sendMultivariantPlaylist(Session session, Exchange exchange) {
        var sessionClass = settings.controller().classes().get(session.sessionClass);
        int topRung = Math.min(session.topRung, sessionClass.highestRung());
        long bandwidthBits =
                Math.round(settings.controller().media().rungKb().get(topRung) * sessionClass.scale() * 8000);
        String text = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-STREAM-INF:BANDWIDTH="
                + bandwidthBits + "\n/s/" + session.token + "/media.m3u8\n";
        return exchange.respond(
                200,
                sessionHeaders(session.requestId)
                        .add("Content-Type", HLS_CONTENT_TYPE)
                        .add("Cache-Control", "no-store"),
                text.getBytes(StandardCharsets.UTF_8));
    }
}
