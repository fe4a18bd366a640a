package calicovale.front.player;

import calicovale.front.settings.FrontSettings;
import calicovale.host.Counters;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import java.nio.charset.StandardCharsets;

/** Owns the texts and headers of what players are answered. */
final class PlayerAnswers {
    static final String HLS = "application/vnd.apple.mpegurl";
    private final FrontSettings settings;
    private final Counters counters;

    PlayerAnswers(FrontSettings settings, Counters counters) {
        this.settings = settings;
        this.counters = counters;
    }

    /** Every answer to a placing names it, so that logs and answers can be joined. */
    static Headers named(String id) {
        return id == null ? new Headers() : new Headers().add("Calicovale-Session", id);
    }

    /** The final answer to a request that is given up on: at once, with a retry-after. */
    boolean turnAway(Exchange x, String id, double afterMs) {
        counters.increment("refused");
        long seconds = Math.max(1, (long) Math.ceil(afterMs / 1000));
        return x.problem(
                503,
                named(id).add("Retry-After", Long.toString(seconds)),
                "Service Unavailable",
                "no room now",
                ",\"retryAfterMs\":" + Math.round(afterMs));
    }

    /** The first answer of a session that plays: its multivariant playlist. */
    boolean giveFirst(Viewing v, Exchange x) {
        var k = settings.controller().classes().get(v.sessionClass);
        int top = Math.min(v.top, k.highestRung());
        long bits = Math.round(settings.controller().media().rungKb().get(top) * k.scale() * 8000);
        String text = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-STREAM-INF:BANDWIDTH=" + bits
                + "\n/s/" + v.token + "/media.m3u8\n";
        return x.respond(
                200,
                named(v.id).add("Content-Type", HLS).add("Cache-Control", "no-store"),
                text.getBytes(StandardCharsets.UTF_8));
    }
}
