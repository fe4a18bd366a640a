package calicovale.front.player;

import calicovale.front.ledger.LedgerDesk;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.Source;
import calicovale.front.settings.FrontSettings;
import calicovale.host.Counters;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.SessionLedger.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Owns what the ledger says of sessions: it reserves numbers on disk before a playlist may use them, some ahead, so that few
 * reloads wait for the disk, and brings sessions back after a restart at numbers above all that may have been given.
 */
final class SessionKeeper {
    /** Segments for which numbers are reserved at once: a step a session every so many segments, half of it ahead. */
    private static final int RESERVE = 32;

    private final EventLoop loop;
    private final FrontSettings settings;
    private final LedgerDesk ledger;
    private final DoubleSupplier commonMs;
    private final Counters counters;
    private final Map<String, Entry> found = new HashMap<>();
    private final double foundAliveMs;

    /** Takes what the ledger found. */
    SessionKeeper(
            EventLoop loop, FrontSettings settings, LedgerDesk ledger, DoubleSupplier commonMs, Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.ledger = ledger;
        this.commonMs = commonMs;
        this.counters = counters;
        foundAliveMs = ledger.foundAliveMs();
        ledger.foundEntries().forEach(e -> found.put(e.token(), e));
        if (!found.isEmpty()) {
            loop.execute(() -> loop.schedule(settings.times().foundKept(), this::forgetFound));
        }
    }

    private void forgetFound() {
        List<String> rest = new ArrayList<>(found.keySet());
        rest.forEach(ledger::over);
        found.clear();
        if (!rest.isEmpty()) {
            counters.increment("sessions-not-back");
        }
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Whether a session's playlist may be given as it is; if not, a step was told that will permit it. */
    boolean covers(Viewing v) {
        if (!ledger.on() || v.source == null) {
            return true;
        }
        SessionPlaylist p = v.playlist;
        boolean covered = p.nextSequence() <= v.kept.sequence
                && p.number() <= v.kept.number
                && p.endDateMs() <= dateAt(v.kept.dateMs, v.kept.atMs, p.targetS());
        boolean soon = covered && p.nextSequence() + RESERVE / 2 <= v.kept.sequence && p.number() + 2 <= v.kept.number;
        if (!soon && !v.kept.underWay) {
            reserve(v);
        }
        return covered;
    }

    private void reserve(Viewing v) {
        SessionPlaylist p = v.playlist;
        Viewing.Kept next = new Viewing.Kept();
        next.sequence = p.nextSequence() + RESERVE;
        next.number = p.number() + RESERVE / 4;
        next.dateMs = p.endDateMs();
        next.atMs = commonMs.getAsDouble();
        v.kept.underWay = true;
        ledger.keep(entry(v, next));
        ledger.whenKept(() -> {
            next.underWay = false;
            v.kept = next;
        });
    }

    private Entry entry(Viewing v, Viewing.Kept k) {
        String tenant =
                settings.tenantNames().isEmpty() ? "" : settings.tenantNames().get(v.tenant);
        return new Entry(
                v.token,
                settings.classNames().get(v.sessionClass),
                tenant,
                v.viewer,
                v.title,
                v.top,
                v.waitMs,
                k.sequence,
                k.number,
                v.playlist.segmentAt(v.source, nowMs()),
                v.playlist.targetS(),
                k.dateMs,
                k.atMs);
    }

    /** The date up to which a playlist may have been given by now: it goes on with the time, and one window ahead of it. */
    private double dateAt(double dateMs, double atMs, long targetS) {
        return dateMs
                + Math.max(0, commonMs.getAsDouble() - atMs)
                + 1000.0 * (settings.playlist().ahead() + 2) * targetS;
    }

    /** Calls {@code body} once the steps told until now are on disk, or after a bound without them. */
    void whenKept(Runnable body) {
        boolean[] ran = new boolean[1];
        Runnable once = () -> {
            if (!ran[0]) {
                ran[0] = true;
                body.run();
            }
        };
        ledger.whenKept(once);
        loop.schedule(settings.times().stitchWait(), () -> {
            if (!ran[0]) {
                counters.increment("sessions-log-behind");
                once.run();
            }
        });
    }

    /** A session is over: it is not to come back. */
    void over(Viewing v) {
        ledger.over(v.token);
    }

    /** A session of the process before, if its class and tenant are still there; null: it is not known. */
    Viewing back(String token) {
        Entry e = found.remove(token);
        int c = e == null ? -1 : settings.classNames().indexOf(e.sessionClass());
        int t = e == null || e.tenant().isEmpty() ? 0 : settings.tenantNames().indexOf(e.tenant());
        if (c < 0 || t < 0) {
            return null;
        }
        SessionPlaylist playlist = new SessionPlaylist(
                settings.playlist(),
                nowMs(),
                commonMs.getAsDouble(),
                new SessionPlaylist.Progress(
                        e.sequence(), e.number(), e.segment(), e.targetS(), dateAt(e.dateMs(), e.atMs(), e.targetS())));
        Viewing v = new Viewing(token, c, t, e.viewer(), e.title(), e.top(), e.waitMs(), playlist);
        v.given = true;
        v.returning = true;
        v.state = Viewing.State.LOST;
        v.backAfterMs = Math.max(0, foundAliveMs - e.atMs());
        counters.increment("sessions-back");
        return v;
    }

    /** The lecture of a session that came back is here: it goes on where it was when the process before ended. */
    static void goOn(Viewing v, Source source) {
        if (v.backAfterMs >= 0) {
            v.playlist.goOn(source, v.backAfterMs);
            v.backAfterMs = -1;
        }
    }
}
