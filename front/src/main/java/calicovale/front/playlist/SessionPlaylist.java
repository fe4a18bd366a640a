package calicovale.front.playlist;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Media playlist of one session: a sliding window (RFC 8216, 6.2.2) over runs of segments, where each run has one rung
 * and one box and belongs to the lecture or to a piece stitched into it. Segments are added at the end as the lecture
 * plays and removed at the front; a listed segment is never altered. A change of rung, box or programme begins a new
 * run, which players see as a discontinuity.
 *
 * <p>The pieces put into a session form its piece list, in the order of the lecture. It is used to find the position in
 * the lecture that plays at a given time. Each piece keeps its boundary, so that a piece that was listed and then lost
 * with its box is listed again when the lecture reaches that boundary again.
 */
public final class SessionPlaylist {

    /**
     * Dimensions of the window.
     *
     * @param segmentsAhead number of segments listed after the one that plays
     * @param segmentsBehind number of segments kept before it
     * @param minTargetS lower bound of EXT-X-TARGETDURATION, in seconds; has to cover the longest piece's target
     *     duration, because the tag must not change later
     */
    public record WindowShape(int segmentsAhead, int segmentsBehind, int minTargetS) {}

    /**
     * Consecutive segments of one rung from one box.
     *
     * @param firstSequence media sequence number of its first segment
     * @param firstSegment index of its first segment in the source
     * @param source the lecture or piece that its segments belong to
     * @param piece the piece; null for the lecture
     * @param pieceIndex for a piece its index in the piece list; for the lecture the number of pieces before it
     * @param discontinuitySequence number of discontinuities in the playlist up to and including its first segment
     * @param startMs monotonic time at which its first segment plays, in ms
     * @param dateMs program date-time of its first segment, in ms
     */
    private record Run(
            long firstSequence,
            int firstSegment,
            int rung,
            String baseUri,
            SourcePlaylist source,
            StitchedPiece piece,
            int pieceIndex,
            int discontinuitySequence,
            double startMs,
            double dateMs) {}

    /**
     * EXT-X-DATERANGE line of an interstitial, and the media sequence number of the segment before which it is written.
     */
    private record InterstitialTag(long sequence, String tag) {}

    /**
     * State from which a session's playlist continues after a restart, so that no number or date goes back.
     *
     * @param nextSequence exclusive upper bound of the media sequence numbers that may have been sent
     * @param discontinuitySequence inclusive upper bound of the discontinuity sequence numbers that may have been sent
     * @param lectureSegment the lecture's segment to continue with
     * @param targetS EXT-X-TARGETDURATION as it was sent, in seconds; 0 if none was
     * @param dateMs upper bound of the program date-times that may have been sent, in ms
     */
    public record RestartState(
            long nextSequence, int discontinuitySequence, int lectureSegment, long targetS, double dateMs) {}

    private final WindowShape shape;
    /** Difference between the program date-time and the monotonic time at which it plays, in ms. */
    private double dateOffsetMs;

    private final List<Run> runs = new ArrayList<>(2);
    private final List<InterstitialTag> interstitialTags = new ArrayList<>(0);
    private final List<StitchedPiece> stitchedPieces = new ArrayList<>(0);
    /** Index in the piece list of the current piece, or of the next one that the lecture reaches. */
    private int nextPieceIndex;
    /** The lecture's playlist at the last extension; null before the first. */
    private SourcePlaylist lecture;

    private long nextSequence;
    private int discontinuitySequence;
    /** Whether the playlist continues after a restart, so that its first run is a discontinuity too. */
    private boolean restored;
    /** The lecture's segment that is added next. */
    private int nextSegment;
    /** The piece whose segments are being added; null while the lecture's are. */
    private StitchedPiece currentPiece;
    /** The current piece's segment that is added next. */
    private int nextPieceSegment;
    /** Segment at which the next piece begins; above 0 if those before were listed when its box was lost. */
    private int resumePieceSegment;
    /** Highest media sequence number that a box reported as delivered since the last interruption; -1 if none. */
    private long lastServedSequence = -1;
    /** Whether an interruption closed the last run; it is not continued, because its duration may have been sent. */
    private boolean lastRunClosed;
    /** Monotonic time at which the last listed segment ends, in ms. */
    private double endMs;

    private long targetS;

    /**
     * Creates a playlist whose lecture begins at the monotonic time {@code startMs}, the common time {@code dateMs}.
     */
    public SessionPlaylist(WindowShape shape, double startMs, double dateMs) {
        this.shape = shape;
        this.endMs = startMs;
        this.dateOffsetMs = dateMs - startMs;
    }

    /** Creates a playlist that continues after a restart. */
    public SessionPlaylist(WindowShape shape, double startMs, double dateMs, RestartState restartState) {
        this(shape, startMs, Math.max(dateMs, restartState.dateMs()));
        nextSequence = restartState.nextSequence();
        discontinuitySequence = restartState.discontinuitySequence();
        nextSegment = restartState.lectureSegment();
        targetS = restartState.targetS();
        restored = true;
    }

    /** Returns the number of runs kept, which are those in the window. */
    public int runCount() {
        return runs.size();
    }

    /** Returns the media sequence number of the next segment. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Returns the discontinuity sequence number of the newest segment. */
    public int discontinuitySequence() {
        return discontinuitySequence;
    }

    /** Returns the EXT-X-TARGETDURATION in seconds; 0 until the first segment is added. */
    public long targetS() {
        return targetS;
    }

    /** Returns the program date-time at the end of the last listed segment, in ms. */
    public double endDateMs() {
        return endMs + dateOffsetMs;
    }

    /** Returns the lecture's segment that is added next. */
    public int nextSegment() {
        return nextSegment;
    }

    /** Returns whether any piece was put in. */
    public boolean hasStitchedPieces() {
        return !stitchedPieces.isEmpty();
    }

    /** Returns a change's piece as it was put in; null if it was not. */
    public StitchedPiece stitchedPiece(String changeId) {
        for (StitchedPiece piece : stitchedPieces) {
            if (piece.changeId().equals(changeId)) {
                return piece;
            }
        }
        return null;
    }

    /** Returns the piece of the newest segment; null if it is the lecture's. */
    public StitchedPiece lastPiece() {
        return runs.isEmpty() ? null : runs.get(runs.size() - 1).piece();
    }

    /** Returns whether segments of a change's piece are in the window or are being added. */
    public boolean listsPiece(String changeId) {
        for (Run run : runs) {
            if (run.piece() != null && run.piece().changeId().equals(changeId)) {
                return true;
            }
        }
        return currentPiece != null && currentPiece.changeId().equals(changeId);
    }

    /**
     * Moves a restored playlist forward by the time for which the lecture went on after the recorded segment, in ms.
     */
    public void skipElapsed(SourcePlaylist source, double elapsedMs) {
        int firstSegment = Math.min(nextSegment, source.segmentCount() - 1);
        nextSegment = source.segmentAt(source.startS(firstSegment) + elapsedMs / 1000);
    }

    /** Returns the monotonic time at which the last listed segment ends, in ms. */
    public double endMs() {
        return endMs;
    }

    /** Returns the piece whose segments are being added; null while the lecture's are. */
    public StitchedPiece unfinishedPiece() {
        return currentPiece;
    }

    /** Returns whether the lecture's last segment has been listed. */
    public boolean isComplete() {
        return lecture != null && nextSegment >= lecture.segmentCount() && currentPiece == null;
    }

    private static double segmentMs(SourcePlaylist source, int segment) {
        return 1000 * (source.startS(segment + 1) - source.startS(segment));
    }

    /** Returns the segment of a run that plays at a time; the index after its last one if the run has ended. */
    private int segmentInRunAt(int runIndex, SourcePlaylist source, double timeMs) {
        Run run = runs.get(runIndex);
        int segment = run.firstSegment();
        int end = run.firstSegment() + (int) (runEndSequence(runIndex) - run.firstSequence());
        int pieceIndex = run.pieceIndex();
        double startMs = run.startMs();
        while (segment < end && startMs + segmentMs(source, segment) <= timeMs) {
            startMs += segmentMs(source, segment++);
            // the player pauses the lecture during an interstitial
            while (run.piece() == null
                    && pieceIndex < stitchedPieces.size()
                    && stitchedPieces.get(pieceIndex).isInterstitial()
                    && stitchedPieces.get(pieceIndex).beforeSegment() <= segment) {
                startMs += stitchedPieces.get(pieceIndex).beforeSegment() == segment
                        ? stitchedPieces.get(pieceIndex).lectureDelayMs(source)
                        : 0;
                pieceIndex++;
            }
        }
        return segment;
    }

    /** Returns the lecture's segment that plays at a monotonic time; during a piece the one before which it is put. */
    public int lectureSegmentAt(SourcePlaylist source, double timeMs) {
        int runIndex = runIndexAt(timeMs);
        if (runIndex < 0) {
            return nextSegment;
        }
        Run run = runs.get(runIndex);
        return run.piece() != null
                ? run.piece().beforeSegment()
                : Math.min(segmentInRunAt(runIndex, source, timeMs), nextSegment);
    }

    /** Returns the index of the run that plays at a monotonic time; -1 if there is no run. */
    private int runIndexAt(double timeMs) {
        int index = runs.size() - 1;
        while (index > 0 && runs.get(index).startMs() > timeMs) {
            index--;
        }
        return index;
    }

    /**
     * Continues at another box after an interruption that began at {@code lostMs}. If boxes reported delivered
     * segments, the playlist continues after the last of them. Otherwise it lists again all segments and pieces from
     * the place that was playing at {@code lostMs}, because the lost box may not have delivered those listed last.
     */
    public void resume(SourcePlaylist source, double lostMs, double nowMs) {
        if (!runs.isEmpty()) {
            relistFrom(source, lastServedSequence >= 0 ? lastServedSequence + 1 : sequenceAt(source, lostMs), nowMs);
        }
    }

    /** Lists everything from a change's piece on again without it, because its segments are no longer available. */
    public void dropPiece(SourcePlaylist source, String changeId, double nowMs) {
        for (int i = 0; i < runs.size(); i++) {
            Run run = runs.get(i);
            if (run.piece() != null && run.piece().changeId().equals(changeId)) {
                relistFrom(source, Math.max(run.firstSequence(), lastServedSequence + 1), nowMs);
                return;
            }
        }
    }

    /** Handles a segment that a box has delivered completely; {@code uri} is its URI in the playlist. */
    public void onSegmentServed(String uri) {
        for (int i = runs.size() - 1; i >= 0; i--) {
            Run run = runs.get(i);
            if (uri.startsWith(run.baseUri())) {
                SourcePlaylist segments = run.source();
                for (long sequence = run.firstSequence(); sequence < runEndSequence(i); sequence++) {
                    if (uri.endsWith(segments.uri(run.firstSegment() + (int) (sequence - run.firstSequence())))) {
                        lastServedSequence = Math.max(lastServedSequence, sequence);
                        return;
                    }
                }
            }
        }
    }

    /** Returns the media sequence number of the segment that plays at a monotonic time. */
    private long sequenceAt(SourcePlaylist source, double timeMs) {
        int runIndex = runIndexAt(timeMs);
        Run run = runs.get(runIndex);
        int segment = segmentInRunAt(runIndex, run.piece() != null ? run.piece().source() : source, timeMs);
        return run.firstSequence() + segment - run.firstSegment();
    }

    /** Sets the position back so that what was listed from a media sequence number on is listed again. */
    private void relistFrom(SourcePlaylist source, long sequence, double nowMs) {
        double resumeMs = nowMs;
        int runIndex = runs.size() - 1;
        while (runIndex > 0 && runs.get(runIndex).firstSequence() > sequence) {
            runIndex--;
        }
        Run run = runs.get(runIndex);
        if (sequence >= nextSequence || lastRunClosed) {
            // all listed segments were delivered, or none was listed since the last interruption: the position stays
            resumeMs = Math.max(nowMs, endMs);
            resumePieceSegment = currentPiece == null ? resumePieceSegment : nextPieceSegment;
        } else if (run.piece() != null) {
            resumePieceSegment = run.firstSegment() + (int) Math.max(0, sequence - run.firstSequence());
            resumeMs = Math.max(
                    nowMs,
                    run.startMs()
                            + 1000
                                    * (run.piece().source().startS(resumePieceSegment)
                                            - run.piece().source().startS(run.firstSegment())));
            nextPieceIndex = run.pieceIndex();
            nextSegment = run.piece().beforeSegment();
        } else {
            resumePieceSegment = 0;
            nextSegment = run.firstSegment() + (int) Math.max(0, sequence - run.firstSequence());
            resumeMs = Math.max(
                    nowMs, run.startMs() + 1000 * (source.startS(nextSegment) - source.startS(run.firstSegment())));
            nextPieceIndex = run.pieceIndex();
            while (nextPieceIndex < stitchedPieces.size()
                    && stitchedPieces.get(nextPieceIndex).isInterstitial()
                    && stitchedPieces.get(nextPieceIndex).beforeSegment() > run.firstSegment()
                    && stitchedPieces.get(nextPieceIndex).beforeSegment() <= nextSegment) {
                nextPieceIndex++;
            }
        }
        currentPiece = null;
        lastRunClosed = true;
        // the program date-time continues from the date that was sent last, because it must not go back
        double dateMs = Math.max(endDateMs(), resumeMs + dateOffsetMs);
        endMs = resumeMs;
        dateOffsetMs = dateMs - resumeMs;
        lastServedSequence = -1;
    }

    /** Adds the segments that are due, at a rung, without pieces. */
    public void extend(SourcePlaylist source, int rung, String baseUri, double nowMs) {
        extend(source, rung, baseUri, nowMs, StitchedPiece.Stitcher.NONE);
    }

    /**
     * Adds the segments that are due, at a rung, and the pieces between them.
     *
     * @return false if the stitcher can't decide yet
     */
    public boolean extend(
            SourcePlaylist source, int rung, String baseUri, double nowMs, StitchedPiece.Stitcher stitcher) {
        lecture = source;
        if (targetS == 0) {
            targetS = Math.max(shape.minTargetS(), source.targetS());
        }
        while (currentPiece != null || nextSegment < source.segmentCount()) {
            double lengthMs = currentPiece != null
                    ? segmentMs(currentPiece.source(), nextPieceSegment)
                    : segmentMs(source, nextSegment);
            if (endMs > nowMs + shape.segmentsAhead() * lengthMs + 1e-6) {
                return true;
            }
            if (currentPiece == null) {
                while (nextPieceIndex < stitchedPieces.size()
                        && stitchedPieces.get(nextPieceIndex).beforeSegment() < nextSegment) {
                    // its boundary lies in a part of the lecture that another piece has replaced since
                    nextPieceIndex++;
                }
                boolean alreadyStitched = nextPieceIndex < stitchedPieces.size()
                        && stitchedPieces.get(nextPieceIndex).beforeSegment() == nextSegment;
                StitchedPiece next = alreadyStitched
                        ? stitcher.relistPiece(stitchedPieces.get(nextPieceIndex))
                        : stitcher.pieceBefore(nextSegment, source.startS(nextSegment), endMs);
                if (next == StitchedPiece.WAIT) {
                    return false;
                }
                if (next != null || alreadyStitched) {
                    beginPiece(source, next, alreadyStitched);
                    continue;
                }
                addSegment(source, nextSegment, rung, baseUri, null);
                nextSegment++;
            } else {
                currentPiece = stitcher.continuePiece(currentPiece);
                stitchedPieces.set(nextPieceIndex, currentPiece);
                addSegment(
                        currentPiece.source(),
                        nextPieceSegment++,
                        currentPiece.rung(),
                        currentPiece.baseUri(),
                        currentPiece);
                if (nextPieceSegment >= currentPiece.source().segmentCount()) {
                    finishPiece(currentPiece.resumeSegment());
                }
            }
        }
        return true;
    }

    /** Begins a piece at the current boundary; {@code piece} is null if one of the piece list is unavailable now. */
    private void beginPiece(SourcePlaylist source, StitchedPiece piece, boolean alreadyStitched) {
        if (piece == null) {
            // it was withdrawn, or no box that this session can use has it
            nextPieceIndex++;
            resumePieceSegment = 0;
            return;
        }
        if (alreadyStitched) {
            stitchedPieces.set(nextPieceIndex, piece);
        } else {
            stitchedPieces.add(nextPieceIndex, piece);
        }
        if (piece.isInterstitial()) {
            interstitialTags.add(new InterstitialTag(
                    nextSequence,
                    piece.interstitialTag(
                            endDateMs(),
                            nextSequence,
                            source.startS(piece.resumeSegment()) - source.startS(piece.beforeSegment()))));
            // the player pauses the lecture meanwhile, so what follows plays later at the same program date-time
            endMs += piece.lectureDelayMs(source);
            dateOffsetMs -= piece.lectureDelayMs(source);
            nextPieceIndex++;
            return;
        }
        currentPiece = piece;
        nextPieceSegment = Math.min(resumePieceSegment, piece.source().segmentCount() - 1);
        resumePieceSegment = 0;
    }

    private void finishPiece(int resumeSegment) {
        currentPiece = null;
        nextPieceIndex++;
        nextSegment = resumeSegment;
    }

    /** Adds one segment at the end and drops what has left the window. */
    private void addSegment(SourcePlaylist segmentSource, int segment, int rung, String baseUri, StitchedPiece piece) {
        Run lastRun = runs.isEmpty() ? null : runs.get(runs.size() - 1);
        boolean continuesRun = lastRun != null
                && !lastRunClosed
                && lastRun.rung() == rung
                && lastRun.baseUri().equals(baseUri)
                && Objects.equals(lastRun.piece(), piece)
                && lastRun.firstSegment() + (nextSequence - lastRun.firstSequence()) == segment
                && !segmentSource.hasDiscontinuity(segment);
        if (!continuesRun) {
            discontinuitySequence += lastRun != null || restored ? 1 : 0;
            runs.add(new Run(
                    nextSequence,
                    segment,
                    rung,
                    baseUri,
                    segmentSource,
                    piece,
                    nextPieceIndex,
                    discontinuitySequence,
                    endMs,
                    endDateMs()));
        }
        lastRunClosed = false;
        nextSequence++;
        endMs += segmentMs(segmentSource, segment);
        while (runEndSequence(0) <= firstListedSequence()) {
            runs.remove(0);
        }
        while (!interstitialTags.isEmpty() && interstitialTags.get(0).sequence() < firstListedSequence()) {
            interstitialTags.remove(0);
        }
    }

    /** Returns the media sequence number after the last segment of a run. */
    private long runEndSequence(int runIndex) {
        return runIndex + 1 < runs.size() ? runs.get(runIndex + 1).firstSequence() : nextSequence;
    }

    /** Returns the media sequence number of the window's first segment. */
    private long firstListedSequence() {
        long first = Math.max(0, nextSequence - shape.segmentsAhead() - 1 - shape.segmentsBehind());
        return runs.isEmpty() ? first : Math.max(first, runs.get(0).firstSequence());
    }

    /** Returns the playlist's text; at least one segment must have been added. */
    public String render() {
        StringBuilder out = new StringBuilder(1024);
        render(out);
        return out.toString();
    }

    /** Appends the playlist's text; at least one segment must have been added. */
    public void render(StringBuilder out) {
        long first = firstListedSequence();
        long sequence = first;
        int tagIndex = 0;
        SourcePlaylist.TagState state = new SourcePlaylist.TagState();
        Run firstRun = runs.get(0);
        // EXT-X-DISCONTINUITY before the first segment counts by itself, so the sequence number excludes it
        boolean startsWithDiscontinuity = firstRun.discontinuitySequence() > 0 && firstRun.firstSequence() == first;
        out.append("#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-TARGETDURATION:")
                .append(targetS)
                .append("\n#EXT-X-MEDIA-SEQUENCE:")
                .append(first);
        int discontinuities = firstRun.discontinuitySequence() - (startsWithDiscontinuity ? 1 : 0);
        if (discontinuities > 0) {
            out.append("\n#EXT-X-DISCONTINUITY-SEQUENCE:").append(discontinuities);
        }
        if (first == 0) {
            out.append("\n#EXT-X-START:TIME-OFFSET=0,PRECISE=YES");
        }
        out.append('\n');
        for (int runIndex = 0; runIndex < runs.size(); runIndex++) {
            Run run = runs.get(runIndex);
            SourcePlaylist source = run.source();
            long runEnd = runEndSequence(runIndex);
            for (; sequence < runEnd; sequence++) {
                int segment = run.firstSegment() + (int) (sequence - run.firstSequence());
                if (run.discontinuitySequence() > 0 && sequence == run.firstSequence()) {
                    out.append("#EXT-X-DISCONTINUITY\n");
                    state.discontinuity();
                }
                if (sequence == first || sequence == run.firstSequence()) {
                    double dateMs = run.dateMs() + 1000 * (source.startS(segment) - source.startS(run.firstSegment()));
                    out.append("#EXT-X-PROGRAM-DATE-TIME:");
                    StitchedPiece.appendDate(out, dateMs);
                    out.append('\n');
                    if (run.piece() != null) {
                        double startS = source.startS(run.firstSegment());
                        double listedS =
                                source.startS(run.firstSegment() + (int) (runEnd - run.firstSequence())) - startS;
                        boolean finished = runIndex + 1 < runs.size()
                                || lastRunClosed
                                || !run.piece().equals(currentPiece);
                        out.append(run.piece()
                                .dateRangeTag(run.dateMs(), run.firstSequence(), startS, finished ? listedS : -1));
                    }
                }
                while (tagIndex < interstitialTags.size()
                        && interstitialTags.get(tagIndex).sequence() <= sequence) {
                    out.append(interstitialTags.get(tagIndex++).tag());
                }
                source.write(out, segment, run.baseUri(), state);
            }
        }
        if (isComplete()) {
            out.append("#EXT-X-ENDLIST\n");
        }
    }
}
