package calicovale.front.player;

import calicovale.front.box.BoxClient;
import calicovale.host.Counters;
import calicovale.protocols.hls.HlsException;
import calicovale.protocols.net.EventLoop;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds out which boxes hold which renditions of pieces, by fetching their playlists. Each box is queried once per
 * rendition; an answer is valid for a time, a failure for a shorter one, and a box that was lost is queried again.
 */
final class PieceAvailability {
    /** Whether a box holds a rendition. */
    enum State {
        /** The box has been queried and has not answered yet. */
        PENDING,
        AVAILABLE,
        /** The box does not hold it, or its playlist is malformed. */
        MISSING,
        /** The box gave no usable answer. */
        FAILED
    }

    /** Time after which a box that gave no usable answer is queried again, in ms. */
    private static final double FAILURE_RETRY_MS = 2000;

    /** Query of one box for one rendition, and its result. */
    private static final class Lookup {
        State state = State.PENDING;
        double answeredAtMs;
        List<Runnable> listeners = new ArrayList<>(1);
    }

    private record RenditionKey(long box, String title, int rung) {}

    private final EventLoop loop;
    private final SourcePlaylistCache sourceCache;
    private final int maxLookups;
    private final double answerValidMs;
    private final Counters counters;
    private final LinkedHashMap<RenditionKey, Lookup> lookups = new LinkedHashMap<>(16, 0.75f, true);

    /** Keeps up to {@code maxLookups} answers, each for {@code answerValidMs}. */
    PieceAvailability(
            EventLoop loop, SourcePlaylistCache sourceCache, int maxLookups, double answerValidMs, Counters counters) {
        this.loop = loop;
        this.sourceCache = sourceCache;
        this.maxLookups = maxLookups;
        this.answerValidMs = answerValidMs;
        this.counters = counters;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Returns whether a box holds a rendition; queries the box if there is no valid answer. */
    State lookUp(BoxClient box, String title, int rung) {
        RenditionKey key = new RenditionKey(box.id(), title, rung);
        Lookup lookup = lookups.get(key);
        if (lookup != null
                && lookup.state != State.PENDING
                && nowMs() - lookup.answeredAtMs > (lookup.state == State.FAILED ? FAILURE_RETRY_MS : answerValidMs)) {
            lookups.remove(key);
            lookup = null;
        }
        if (lookup == null) {
            lookup = new Lookup();
            lookups.put(key, lookup);
            evictLeastRecentlyUsed();
            queryBox(box, key, lookup);
        }
        boolean cached = lookup.state != State.AVAILABLE || sourceCache.get(title, rung) != null;
        if (!cached) {
            // the playlist was evicted from the cache, so it is fetched again
            lookups.remove(key);
            return lookUp(box, title, rung);
        }
        return lookup.state;
    }

    /** Calls {@code body} once a pending query has been answered or failed; at once if none is pending. */
    void whenAnswered(BoxClient box, String title, int rung, Runnable body) {
        Lookup lookup = lookups.get(new RenditionKey(box.id(), title, rung));
        if (lookup == null || lookup.state != State.PENDING) {
            body.run();
        } else {
            lookup.listeners.add(body);
        }
    }

    /** Removes the answers used least recently above the limit; pending queries stay. */
    private void evictLeastRecentlyUsed() {
        Iterator<Lookup> leastRecentlyUsed = lookups.values().iterator();
        while (lookups.size() > maxLookups && leastRecentlyUsed.hasNext()) {
            if (leastRecentlyUsed.next().state != State.PENDING) {
                leastRecentlyUsed.remove();
                counters.increment("piece-holders-dropped");
            }
        }
    }

    private void queryBox(BoxClient box, RenditionKey key, Lookup lookup) {
        counters.increment("piece-holders-asked");
        box.fetchSource(key.title(), key.rung(), (head, body, failure) -> {
            lookup.answeredAtMs = nowMs();
            if (failure != null || head.status() != 200 && head.status() != 404) {
                lookup.state = State.FAILED;
            } else if (head.status() == 404) {
                lookup.state = State.MISSING;
            } else {
                try {
                    sourceCache.put(key.title(), key.rung(), body);
                    lookup.state = State.AVAILABLE;
                } catch (HlsException e) {
                    sourceCache.reportMalformed(box, key.title(), key.rung(), e);
                    lookup.state = State.MISSING;
                }
            }
            List<Runnable> listeners = lookup.listeners;
            lookup.listeners = new ArrayList<>(0);
            listeners.forEach(Runnable::run);
        });
    }

    /** Drops all answers of a box that was lost, because it may come back with other content. */
    void onBoxLost(BoxClient box) {
        for (Iterator<Map.Entry<RenditionKey, Lookup>> entries =
                        lookups.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<RenditionKey, Lookup> entry = entries.next();
            if (entry.getKey().box() == box.id() && entry.getValue().state != State.PENDING) {
                entries.remove();
            }
        }
    }
}
