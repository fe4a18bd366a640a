package calicovale.front.player;

import calicovale.front.ledger.SessionLedgerWriter;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.SourcePlaylist;
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
 * Records sessions in the ledger and restores them after a restart. Media and discontinuity sequence numbers are
 * reserved on disk before a playlist may use them, some in advance so that few reloads wait for the disk. A restored
 * session continues above all numbers that may have been sent.
 */
final class SessionPersistence {
    /**
     * Number of segments for which sequence numbers are reserved at once. A new reservation starts when less than half
     * is left, so a session takes about one ledger record per half of this.
     */
    private static final int RESERVED_SEGMENTS = 32;
    /** Number of unused discontinuity sequence numbers below which a new reservation starts. */
    private static final int DISCONTINUITY_MARGIN = 2;
    /** Number of target durations that are added to those ahead in the window for the latest program date-time. */
    private static final int EXTRA_WINDOW_SEGMENTS = 2;

    private final EventLoop loop;
    private final FrontSettings settings;
    private final SessionLedgerWriter ledger;
    private final DoubleSupplier commonTimeMs;
    private final Counters counters;
    /** Recovered sessions that no player has reloaded yet, by token. */
    private final Map<String, Entry> unclaimedEntries = new HashMap<>();
    /** Last common time at which the previous process is known to have run, in ms. */
    private final double previousAliveMs;

    /** Takes over the sessions that the ledger recovered; those that are not reloaded in time are dropped. */
    SessionPersistence(
            EventLoop loop,
            FrontSettings settings,
            SessionLedgerWriter ledger,
            DoubleSupplier commonTimeMs,
            Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.ledger = ledger;
        this.commonTimeMs = commonTimeMs;
        this.counters = counters;
        previousAliveMs = ledger.recoveredAliveMs();
        ledger.recoveredEntries().forEach(e -> unclaimedEntries.put(e.token(), e));
        if (!unclaimedEntries.isEmpty()) {
            loop.execute(() -> loop.schedule(settings.times().foundKeptMs(), this::dropUnclaimedEntries));
        }
    }

    /** Records recovered sessions that no player has reloaded as ended. */
    private void dropUnclaimedEntries() {
        List<String> tokens = new ArrayList<>(unclaimedEntries.keySet());
        tokens.forEach(ledger::recordEnd);
        unclaimedEntries.clear();
        if (!tokens.isEmpty()) {
            counters.increment("sessions-not-back");
        }
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /**
     * Returns whether a session's playlist may be sent as it is; if not, a reservation that covers it is being written.
     */
    boolean isCovered(Session session) {
        if (!ledger.isEnabled() || session.lecture == null) {
            return true;
        }
        SessionPlaylist playlist = session.playlist;
        boolean covered = playlist.nextSequence() <= session.reservation.mediaSequenceLimit
                && playlist.discontinuitySequence() <= session.reservation.discontinuitySequenceLimit
                && playlist.endDateMs()
                        <= latestDateMs(
                                session.reservation.dateMs, session.reservation.recordedAtMs, playlist.targetS());
        boolean sufficient = covered
                && playlist.nextSequence() + RESERVED_SEGMENTS / 2 <= session.reservation.mediaSequenceLimit
                && playlist.discontinuitySequence() + DISCONTINUITY_MARGIN
                        <= session.reservation.discontinuitySequenceLimit;
        if (!sufficient && !session.reservation.writePending) {
            reserve(session);
        }
        return covered;
    }

    /** Writes a new reservation, which takes effect once it is on disk. */
    private void reserve(Session session) {
        SessionPlaylist playlist = session.playlist;
        Session.Reservation next = new Session.Reservation();
        next.mediaSequenceLimit = playlist.nextSequence() + RESERVED_SEGMENTS;
        next.discontinuitySequenceLimit = playlist.discontinuitySequence() + RESERVED_SEGMENTS / 4;
        next.dateMs = playlist.endDateMs();
        next.recordedAtMs = commonTimeMs.getAsDouble();
        session.reservation.writePending = true;
        ledger.recordEntry(ledgerEntry(session, next));
        ledger.whenWritten(() -> {
            next.writePending = false;
            session.reservation = next;
        });
    }

    private Entry ledgerEntry(Session session, Session.Reservation reservation) {
        String tenant =
                settings.tenantNames().isEmpty() ? "" : settings.tenantNames().get(session.tenant);
        return new Entry(
                session.token,
                settings.classNames().get(session.sessionClass),
                tenant,
                session.viewer,
                session.title,
                session.topRung,
                session.waitMs,
                reservation.mediaSequenceLimit,
                reservation.discontinuitySequenceLimit,
                session.playlist.lectureSegmentAt(session.lecture, nowMs()),
                session.playlist.targetS(),
                reservation.dateMs,
                reservation.recordedAtMs);
    }

    /**
     * Returns the latest program date-time that a playlist may have reached by now, in ms: the recorded date moved on
     * by the time since, plus one window.
     */
    private double latestDateMs(double dateMs, double recordedAtMs, long targetS) {
        return dateMs
                + Math.max(0, commonTimeMs.getAsDouble() - recordedAtMs)
                + 1000.0 * (settings.playlist().segmentsAhead() + EXTRA_WINDOW_SEGMENTS) * targetS;
    }

    /** Calls {@code body} once all records passed to the ledger so far are on disk, or after a timeout without them. */
    void whenDurable(Runnable body) {
        boolean[] done = new boolean[1];
        Runnable once = () -> {
            if (!done[0]) {
                done[0] = true;
                body.run();
            }
        };
        ledger.whenWritten(once);
        loop.schedule(settings.times().stitchWaitMs(), () -> {
            if (!done[0]) {
                counters.increment("sessions-log-behind");
                once.run();
            }
        });
    }

    /** Records that a session has ended and must not be restored. */
    void remove(Session session) {
        ledger.recordEnd(session.token);
    }

    /** Restores a session of the previous process; null if it is unknown or its class or tenant no longer exists. */
    Session restore(String token) {
        Entry entry = unclaimedEntries.remove(token);
        int classIndex = entry == null ? -1 : settings.classNames().indexOf(entry.sessionClass());
        int tenantIndex = entry == null || entry.tenant().isEmpty()
                ? 0
                : settings.tenantNames().indexOf(entry.tenant());
        if (classIndex < 0 || tenantIndex < 0) {
            return null;
        }
        SessionPlaylist playlist = new SessionPlaylist(
                settings.playlist(),
                nowMs(),
                commonTimeMs.getAsDouble(),
                new SessionPlaylist.RestartState(
                        entry.mediaSequence(),
                        entry.discontinuitySequence(),
                        entry.segment(),
                        entry.targetS(),
                        latestDateMs(entry.dateMs(), entry.atMs(), entry.targetS())));
        Session session = new Session(
                token,
                classIndex,
                tenantIndex,
                entry.viewer(),
                entry.title(),
                entry.topRung(),
                entry.waitMs(),
                playlist);
        session.playlistDelivered = true;
        session.returning = true;
        session.state = Session.State.LOST;
        session.elapsedSinceRecordMs = Math.max(0, previousAliveMs - entry.atMs());
        counters.increment("sessions-back");
        return session;
    }

    /** Moves a restored session's playlist, once, to where the lecture was when the previous process ended. */
    static void resumeLecture(Session session, SourcePlaylist lecture) {
        if (session.elapsedSinceRecordMs >= 0) {
            session.playlist.skipElapsed(lecture, session.elapsedSinceRecordMs);
            session.elapsedSinceRecordMs = -1;
        }
    }
}
