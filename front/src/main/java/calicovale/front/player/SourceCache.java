package calicovale.front.player;

import calicovale.front.box.BoxLink;
import calicovale.front.playlist.Source;
import calicovale.host.Counters;
import calicovale.protocols.hls.HlsException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns the lectures' own playlists as boxes gave them: a bounded number, the least used dropped, each fetched once. */
final class SourceCache {
    private static final Logger LOG = LoggerFactory.getLogger(SourceCache.class);
    private final int most;
    private final Counters counters;
    private final int rungs;
    /** By title, the least used first; each with a place for every rung. */
    private final LinkedHashMap<String, Source[]> kept = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<String, List<Runnable>> fetching = new HashMap<>();
    private int count;

    SourceCache(int most, int rungs, Counters counters) {
        this.most = most;
        this.rungs = rungs;
        this.counters = counters;
    }

    Source get(String title, int rung) {
        Source[] all = kept.get(title);
        return all == null ? null : all[rung];
    }

    private void keep(String title, int rung, Source source) {
        Source[] all = kept.computeIfAbsent(title, t -> new Source[rungs]);
        count += all[rung] == null ? 1 : 0;
        all[rung] = source;
        while (count > most && kept.size() > 1) {
            counters.increment("sources-dropped");
            var least = kept.entrySet().iterator();
            count -= (int) Arrays.stream(least.next().getValue())
                    .filter(Objects::nonNull)
                    .count();
            least.remove();
        }
    }

    /** Keeps a playlist as a box gave it. */
    void put(String title, int rung, byte[] body) throws HlsException {
        keep(title, rung, Source.parse(new String(body, StandardCharsets.UTF_8)));
    }

    /** Tells of a playlist that was no good. */
    void refused(BoxLink box, String title, int rung, HlsException e) {
        counters.increment("sources-malformed");
        LOG.warn("box {}: the playlist of {} at rung {} is refused: {}", box.id(), title, rung, e.getMessage());
    }

    /** Fetches from a box unless that is under way; {@code done} runs once it is there or could not be had. */
    void fetch(BoxLink box, String title, int rung, Runnable done) {
        String key = rung + " " + title;
        List<Runnable> waiting = fetching.get(key);
        if (waiting != null) {
            waiting.add(done);
            return;
        }
        fetching.put(key, new ArrayList<>(List.of(done)));
        counters.increment("sources-fetched");
        box.source(title, rung, (head, body, failure) -> {
            if (failure == null && head.status() == 200) {
                try {
                    put(title, rung, body);
                } catch (HlsException e) {
                    refused(box, title, rung, e);
                }
            } else {
                counters.increment("sources-missed");
            }
            fetching.remove(key).forEach(Runnable::run);
        });
    }
}
