package calicovale.rehearsal.viewers;

import calicovale.rehearsal.judge.PlaylistRules;
import calicovale.rehearsal.judge.PlaylistRules.Segment;
import java.util.List;

/**
 * Owns one player's state beside its sockets: what it was given, how far it has fetched, its buffer and its reload timer
 * (RFC 8216, 6.3.4). It is as strict as the standard lets a player be: a playlist that breaks a rule ends it.
 */
final class Follower {
    /** A playlist that brought nothing new is asked for again after this part of the target duration. */
    private static final double UNCHANGED = 0.5;

    private static final double LEAST_RELOAD_MS = 200;
    /** Segments in the buffer with which the play begins. */
    private static final int START_SEGMENTS = 2;

    private final double bufferTargets;
    private final PlaylistRules rules = new PlaylistRules();
    private long nextSequence = -1;
    private long newest = -1;
    private double reloadAtMs;
    private double bufferedUntilMs;
    private boolean atPiece;
    private int first;
    private double firstS;

    /** {@code bufferTargets}: so many target durations are kept in the buffer. */
    Follower(double bufferTargets) {
        this.bufferTargets = bufferTargets;
    }

    /** Takes a playlist; what is wrong with it. */
    List<String> playlist(String text, double nowMs) {
        List<String> faults = rules.take(text);
        if (!faults.isEmpty()) {
            return faults;
        }
        List<Segment> all = rules.segments();
        long last = all.isEmpty() ? newest : all.get(all.size() - 1).sequence();
        double targetMs = 1000.0 * rules.target();
        reloadAtMs = nowMs + Math.max(LEAST_RELOAD_MS, last > newest ? targetMs : UNCHANGED * targetMs);
        newest = last;
        return faults;
    }

    /** The next segment to fetch; null: none is listed. */
    Segment next() {
        for (Segment s : rules.segments()) {
            if (s.sequence() >= nextSequence) {
                return s;
            }
        }
        return null;
    }

    /** A fetch of a segment begins: it is not fetched again. */
    void fetching(Segment s) {
        nextSequence = s.sequence() + 1;
    }

    /** When the playlist is due to be loaded again; infinite: it is whole. */
    double reloadAtMs() {
        return rules.ended() ? Double.POSITIVE_INFINITY : reloadAtMs;
    }

    /** A segment did not come: the playlist is loaded again soon, it may name another box. */
    void missed(double nowMs) {
        reloadAtMs = Math.min(reloadAtMs, nowMs + LEAST_RELOAD_MS);
    }

    /** When the buffer has room for the next segment. */
    double roomAtMs() {
        return bufferedUntilMs - bufferTargets * 1000.0 * rules.target();
    }

    /** Whether all is fetched that will ever be listed. */
    boolean over() {
        return rules.ended() && next() == null;
    }

    /** Whether a segment is of a piece put into the lecture. */
    boolean ofPiece(Segment s) {
        return rules.ranges().values().stream()
                .anyMatch(r -> r.kind() != null
                        && r.kind().equals("org.calicovale.change")
                        && s.dateMs() >= r.startMs() - 3
                        && s.dateMs() < r.startMs() + 1000 * r.seconds() - 3);
    }

    /** Whether the stall that {@link #arrived} told of was at a piece, or right behind one. */
    boolean atPiece() {
        return atPiece;
    }

    /** A segment came whole; for how long the buffer had been empty, 0 if it was not. */
    double arrived(Segment s, double nowMs) {
        boolean piece = ofPiece(s);
        boolean now = atPiece || piece;
        atPiece = piece;
        if (first < START_SEGMENTS) {
            first++;
            firstS += s.seconds();
            bufferedUntilMs = nowMs + 1000 * firstS;
            return 0;
        }
        double empty = Math.max(0, nowMs - bufferedUntilMs);
        bufferedUntilMs = Math.max(bufferedUntilMs, nowMs) + 1000 * s.seconds();
        if (empty > 0) {
            atPiece = now;
        }
        return empty;
    }
}
