package calicovale.front.player;

import calicovale.front.box.BoxLink;
import calicovale.host.Counters;
import calicovale.protocols.hls.HlsException;
import calicovale.protocols.net.EventLoop;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns what is known of which boxes hold which renditions of pieces, by asking each box once: an answer holds for a time, a
 * failure for a short one, and a box that was lost is asked anew.
 */
final class PieceHolders {
    /** What is known of a box and a rendition. */
    enum State {
        ASKING,
        HOLDS,
        LACKS,
        FAILED
    }

    /** After this a box that gave no answer is asked again, in ms. */
    private static final double FAILED_MS = 2000;

    private static final class Known {
        State state = State.ASKING;
        double atMs;
        List<Runnable> waiting = new ArrayList<>(1);
    }

    private record Key(long box, String title, int rung) {}

    private final EventLoop loop;
    private final SourceCache sources;
    private final int most;
    private final double holdMs;
    private final Counters counters;
    private final LinkedHashMap<Key, Known> known = new LinkedHashMap<>(16, 0.75f, true);

    /** {@code most} answers are kept, each for {@code holdMs}. */
    PieceHolders(EventLoop loop, SourceCache sources, int most, double holdMs, Counters counters) {
        this.loop = loop;
        this.sources = sources;
        this.most = most;
        this.holdMs = holdMs;
        this.counters = counters;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** What is known; a box that was not asked is asked. */
    State state(BoxLink box, String title, int rung) {
        Key key = new Key(box.id(), title, rung);
        Known is = known.get(key);
        if (is != null
                && is.state != State.ASKING
                && nowMs() - is.atMs > (is.state == State.FAILED ? FAILED_MS : holdMs)) {
            known.remove(key);
            is = null;
        }
        if (is == null) {
            is = new Known();
            known.put(key, is);
            bound();
            ask(box, key, is);
        }
        boolean here = is.state != State.HOLDS || sources.get(title, rung) != null;
        if (!here) {
            // the playlist was dropped from the cache: it is fetched again
            known.remove(key);
            return state(box, title, rung);
        }
        return is.state;
    }

    /** Calls {@code body} once a box that is being asked has answered or failed. */
    void whenKnown(BoxLink box, String title, int rung, Runnable body) {
        Known is = known.get(new Key(box.id(), title, rung));
        if (is == null || is.state != State.ASKING) {
            body.run();
        } else {
            is.waiting.add(body);
        }
    }

    private void bound() {
        Iterator<Known> oldest = known.values().iterator();
        while (known.size() > most && oldest.hasNext()) {
            if (oldest.next().state != State.ASKING) {
                oldest.remove();
                counters.increment("piece-holders-dropped");
            }
        }
    }

    private void ask(BoxLink box, Key key, Known is) {
        counters.increment("piece-holders-asked");
        box.source(key.title(), key.rung(), (head, body, failure) -> {
            is.atMs = nowMs();
            if (failure != null || head.status() != 200 && head.status() != 404) {
                is.state = State.FAILED;
            } else if (head.status() == 404) {
                is.state = State.LACKS;
            } else {
                try {
                    sources.put(key.title(), key.rung(), body);
                    is.state = State.HOLDS;
                } catch (HlsException e) {
                    sources.refused(box, key.title(), key.rung(), e);
                    is.state = State.LACKS;
                }
            }
            List<Runnable> all = is.waiting;
            is.waiting = new ArrayList<>(0);
            all.forEach(Runnable::run);
        });
    }

    /** Forgets what a box held: it may come back with other content. */
    void lost(BoxLink box) {
        for (Iterator<Map.Entry<Key, Known>> i = known.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Key, Known> e = i.next();
            if (e.getKey().box() == box.id() && e.getValue().state != State.ASKING) {
                i.remove();
            }
        }
    }
}
