package calicovale.rehearsal.viewers;

import calicovale.rehearsal.judge.PlaylistRules;
import calicovale.rehearsal.judge.PlaylistRules.Segment;
import java.util.List;

/**
 * State of one player apart from its connections: its playlist, the next segment to fetch, its buffer and its reload
 * time (RFC 8216, section 6.3.4). It is as strict as the standard permits: a playlist that breaks a rule is rejected,
 * and its viewer leaves.
 */
final class PlayerState {
    /** Reload interval after a playlist without a new segment, as a fraction of the target duration. */
    private static final double UNCHANGED_RELOAD_SHARE = 0.5;

    /** Minimum interval between reloads, in ms. */
    private static final double MIN_RELOAD_MS = 200;
    /** Number of segments that are buffered before playback starts. */
    private static final int START_SEGMENTS = 2;

    private final double bufferTargetDurations;
    private final PlaylistRules rules = new PlaylistRules();
    private long nextFetchSequence = -1;
    private long lastListedSequence = -1;
    private double reloadAtMs;
    private double bufferedUntilMs;
    private boolean atPiece;
    private int startupSegments;
    private double startupS;

    /**
     * Creates the state of a player that has no playlist yet.
     *
     * @param bufferTargetDurations length up to which the buffer is filled, in target durations
     */
    PlayerState(double bufferTargetDurations) {
        this.bufferTargetDurations = bufferTargetDurations;
    }

    /** Replaces the playlist by a newer one; returns its violations of the standard, empty if there are none. */
    List<String> acceptPlaylist(String text, double nowMs) {
        List<String> faults = rules.checkNext(text);
        if (!faults.isEmpty()) {
            return faults;
        }
        List<Segment> segments = rules.segments();
        long lastSequence = segments.isEmpty()
                ? lastListedSequence
                : segments.get(segments.size() - 1).sequence();
        double targetMs = 1000.0 * rules.targetDurationS();
        reloadAtMs = nowMs
                + Math.max(
                        MIN_RELOAD_MS,
                        lastSequence > lastListedSequence ? targetMs : UNCHANGED_RELOAD_SHARE * targetMs);
        lastListedSequence = lastSequence;
        return faults;
    }

    /** Returns the next segment to fetch, or null if none is listed. */
    Segment nextSegment() {
        for (Segment segment : rules.segments()) {
            if (segment.sequence() >= nextFetchSequence) {
                return segment;
            }
        }
        return null;
    }

    /** Records that the fetch of a segment begins; it is not returned by {@link #nextSegment} again. */
    void fetchStarted(Segment segment) {
        nextFetchSequence = segment.sequence() + 1;
    }

    /** Returns the time of the next playlist reload in ms, or infinity if the playlist has ended. */
    double reloadAtMs() {
        return rules.isEnded() ? Double.POSITIVE_INFINITY : reloadAtMs;
    }

    /** Records a failed fetch; the playlist is reloaded soon, because it may name another box by then. */
    void segmentMissed(double nowMs) {
        reloadAtMs = Math.min(reloadAtMs, nowMs + MIN_RELOAD_MS);
    }

    /** Returns the time from which the buffer has room for another segment, in ms. */
    double bufferRoomAtMs() {
        return bufferedUntilMs - bufferTargetDurations * 1000.0 * rules.targetDurationS();
    }

    /** Returns whether the playlist has ended and all its segments were fetched. */
    boolean isFinished() {
        return rules.isEnded() && nextSegment() == null;
    }

    /**
     * Returns whether a segment belongs to a piece stitched into the lecture, by the date ranges of the playlist;
     * dates are compared with a tolerance of 3 ms.
     */
    boolean isOfPiece(Segment segment) {
        return rules.ranges().values().stream()
                .anyMatch(r -> r.kind() != null
                        && r.kind().equals("org.calicovale.change")
                        && segment.dateMs() >= r.startMs() - 3
                        && segment.dateMs() < r.startMs() + 1000 * r.durationS() - 3);
    }

    /**
     * Returns whether the stall that the last call of {@link #segmentReceived} reported was at a segment of a piece
     * or at the first segment after one.
     */
    boolean stalledAtPiece() {
        return atPiece;
    }

    /** Adds a complete segment to the buffer; returns how long the buffer had been empty, in ms, 0 if it was not. */
    double segmentReceived(Segment segment, double nowMs) {
        boolean segmentOfPiece = isOfPiece(segment);
        boolean atOrAfterPiece = atPiece || segmentOfPiece;
        atPiece = segmentOfPiece;
        if (startupSegments < START_SEGMENTS) {
            startupSegments++;
            startupS += segment.durationS();
            bufferedUntilMs = nowMs + 1000 * startupS;
            return 0;
        }
        double emptyMs = Math.max(0, nowMs - bufferedUntilMs);
        bufferedUntilMs = Math.max(bufferedUntilMs, nowMs) + 1000 * segment.durationS();
        if (emptyMs > 0) {
            atPiece = atOrAfterPiece;
        }
        return emptyMs;
    }
}
