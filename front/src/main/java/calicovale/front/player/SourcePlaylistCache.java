package calicovale.front.player;

import calicovale.front.box.BoxClient;
import calicovale.front.playlist.SourcePlaylist;
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

/**
 * Bounded cache of the playlists of lectures and pieces as boxes publish them. The titles used least recently are
 * evicted; concurrent requests for the same playlist share one fetch.
 */
final class SourcePlaylistCache {
    private static final Logger LOG = LoggerFactory.getLogger(SourcePlaylistCache.class);
    private final int maxSources;
    private final Counters counters;
    private final int rungCount;
    /** By title, least recently used first; each array has one element per rung, null where nothing is cached. */
    private final LinkedHashMap<String, SourcePlaylist[]> sourcesByTitle = new LinkedHashMap<>(16, 0.75f, true);

    /** Callbacks of running fetches, by rung and title. */
    private final Map<String, List<Runnable>> waitingByFetch = new HashMap<>();

    private int sourceCount;

    SourcePlaylistCache(int maxSources, int rungCount, Counters counters) {
        this.maxSources = maxSources;
        this.rungCount = rungCount;
        this.counters = counters;
    }

    /** Returns the playlist of a title at a rung; null if it is not cached. */
    SourcePlaylist get(String title, int rung) {
        SourcePlaylist[] sourcesByRung = sourcesByTitle.get(title);
        return sourcesByRung == null ? null : sourcesByRung[rung];
    }

    private void store(String title, int rung, SourcePlaylist source) {
        SourcePlaylist[] sourcesByRung = sourcesByTitle.computeIfAbsent(title, t -> new SourcePlaylist[rungCount]);
        sourceCount += sourcesByRung[rung] == null ? 1 : 0;
        sourcesByRung[rung] = source;
        while (sourceCount > maxSources && sourcesByTitle.size() > 1) {
            counters.increment("sources-dropped");
            var leastRecentlyUsed = sourcesByTitle.entrySet().iterator();
            sourceCount -= (int) Arrays.stream(leastRecentlyUsed.next().getValue())
                    .filter(Objects::nonNull)
                    .count();
            leastRecentlyUsed.remove();
        }
    }

    /** Parses and stores a playlist as received from a box. */
    void put(String title, int rung, byte[] body) throws HlsException {
        store(title, rung, SourcePlaylist.parse(new String(body, StandardCharsets.UTF_8)));
    }

    /** Logs and counts a playlist from a box that could not be parsed. */
    void reportMalformed(BoxClient box, String title, int rung, HlsException error) {
        counters.increment("sources-malformed");
        LOG.warn("box {}: playlist of {} at rung {} rejected: {}", box.id(), title, rung, error.getMessage());
    }

    /** Fetches a playlist from a box unless a fetch of it is running; {@code done} runs after success or failure. */
    void fetch(BoxClient box, String title, int rung, Runnable done) {
        String key = rung + " " + title;
        List<Runnable> waiting = waitingByFetch.get(key);
        if (waiting != null) {
            waiting.add(done);
            return;
        }
        waitingByFetch.put(key, new ArrayList<>(List.of(done)));
        counters.increment("sources-fetched");
        box.fetchSource(title, rung, (head, body, failure) -> {
            if (failure == null && head.status() == 200) {
                try {
                    put(title, rung, body);
                } catch (HlsException e) {
                    reportMalformed(box, title, rung, e);
                }
            } else {
                counters.increment("sources-missed");
            }
            waitingByFetch.remove(key).forEach(Runnable::run);
        });
    }
}
