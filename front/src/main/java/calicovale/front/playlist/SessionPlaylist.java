package calicovale.front.playlist;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Owns what one session's media playlist has shown and shows: runs of segments, each of one rung from one box, of the lecture
 * or of a piece put into it. It is a sliding window (RFC 8216, 6.2.2): segments are added at the end by the lecture's own time
 * and taken off at the front, and one that was given is never altered. A change of rung, box or programme begins a run, which
 * the players see as a discontinuity.
 *
 * <p>The pieces of a session are its plan: they map the lecture's time to the programme's and stay with their boundary, so
 * that one which was listed and then lost with its box is shown when the lecture comes to that boundary again.
 */
public final class SessionPlaylist {

    /**
     * The shape of the window.
     *
     * @param ahead segments shown beyond the one that plays
     * @param behind segments kept before it
     * @param targetS least EXT-X-TARGETDURATION: it may not change later, so it has to be that of the longest piece too
     */
    public record Shape(int ahead, int behind, int targetS) {}

    /**
     * A stretch of one rung from one box.
     *
     * @param source its segments
     * @param piece null in the lecture
     * @param placed in the lecture how many pieces of the plan lie behind it; else the piece's own place in the plan
     * @param number discontinuities of the playlist up to its first segment
     * @param startMs when its first segment plays
     * @param dateMs the programme's date then
     */
    private record Run(
            long firstSequence,
            int firstSegment,
            int rung,
            String base,
            Source source,
            Piece piece,
            int placed,
            int number,
            double startMs,
            double dateMs) {}

    /** An interstitial, and the segment with which it is told. */
    private record Mark(long sequence, String text) {}

    /**
     * What must be known to go on with a session's playlist after a restart without a step back.
     *
     * @param sequence media sequence numbers below it may have been given
     * @param number discontinuity sequence numbers up to it may have been given
     * @param segment the lecture's segment to go on with
     * @param targetS EXT-X-TARGETDURATION as it was given; 0: none was
     * @param dateMs no date after it was given
     */
    public record Progress(long sequence, int number, int segment, long targetS, double dateMs) {}

    private final Shape shape;
    /** The programme's date, less the monotonic time at which it plays. */
    private double dateOffsetMs;

    private final List<Run> runs = new ArrayList<>(2);
    private final List<Mark> marks = new ArrayList<>(0);
    private final List<Piece> plan = new ArrayList<>(0);
    private int nextPlaced;
    /** The lecture as it was extended last; null before that. */
    private Source lecture;

    private long nextSequence;
    private int number;
    private boolean restored;
    private int nextSegment;
    private Piece piece;
    private int pieceSegment;
    private int goesOnAt;
    /** The highest sequence number that a box told to have delivered since the last break; -1: none told. */
    private long served = -1;
    /** After a break the last run is over, whatever follows it: how long it was may have been told. */
    private boolean sealed;

    private double endMs;
    private long targetS;

    /** A playlist whose lecture begins to play at {@code startMs}, which is {@code dateMs} on the common clock. */
    public SessionPlaylist(Shape shape, double startMs, double dateMs) {
        this.shape = shape;
        this.endMs = startMs;
        this.dateOffsetMs = dateMs - startMs;
    }

    /** A playlist that goes on after a restart. */
    public SessionPlaylist(Shape shape, double startMs, double dateMs, Progress from) {
        this(shape, startMs, Math.max(dateMs, from.dateMs()));
        nextSequence = from.sequence();
        number = from.number();
        nextSegment = from.segment();
        targetS = from.targetS();
        restored = true;
    }

    /** Number of runs kept: those that the window shows, however long the session plays. */
    public int runs() {
        return runs.size();
    }

    /** The media sequence number that the next segment gets. */
    public long nextSequence() {
        return nextSequence;
    }

    /** The discontinuity sequence number of the newest segment. */
    public int number() {
        return number;
    }

    /** EXT-X-TARGETDURATION; 0 until the first segment is added. */
    public long targetS() {
        return targetS;
    }

    /** The programme's date at the end of what is shown. */
    public double endDateMs() {
        return endMs + dateOffsetMs;
    }

    /** The lecture's segment that is added next. */
    public int nextSegment() {
        return nextSegment;
    }

    /** Whether any piece was put in. */
    public boolean planned() {
        return !plan.isEmpty();
    }

    /** A change's piece as it was put in; null: it was not. */
    public Piece planned(String change) {
        for (Piece p : plan) {
            if (p.id().equals(change)) {
                return p;
            }
        }
        return null;
    }

    /** The piece of the newest segments; null: they are the lecture's. */
    public Piece last() {
        return runs.isEmpty() ? null : runs.get(runs.size() - 1).piece();
    }

    /** Whether segments of a change's piece are in the window, or due to be added. */
    public boolean shows(String change) {
        for (Run run : runs) {
            if (run.piece() != null && run.piece().id().equals(change)) {
                return true;
            }
        }
        return piece != null && piece.id().equals(change);
    }

    /** A playlist that goes on after a restart: the lecture went on for so long after the segment noted. */
    public void goOn(Source source, double elapsedMs) {
        int from = Math.min(nextSegment, source.count() - 1);
        nextSegment = source.at(source.startS(from) + elapsedMs / 1000);
    }

    /** Monotonic time at which what is shown ends. */
    public double endMs() {
        return endMs;
    }

    /** The piece whose segments were added last and is not at its end; null: the lecture's were. */
    public Piece playing() {
        return piece;
    }

    /** Whether the last segment has been shown. */
    public boolean complete() {
        return lecture != null && nextSegment >= lecture.count() && piece == null;
    }

    private static double length(Source source, int segment) {
        return 1000 * (source.startS(segment + 1) - source.startS(segment));
    }

    /** The segment of a run that plays at a time: its last, if that is over. */
    private int segmentOf(int index, Source source, double ms) {
        Run run = runs.get(index);
        int segment = run.firstSegment();
        int end = run.firstSegment() + (int) (endOf(index) - run.firstSequence());
        int held = run.placed();
        double at = run.startMs();
        while (segment < end && at + length(source, segment) <= ms) {
            at += length(source, segment++);
            // the player holds the lecture while it plays an interstitial
            while (run.piece() == null
                    && held < plan.size()
                    && plan.get(held).interstitial()
                    && plan.get(held).from() <= segment) {
                at += plan.get(held).from() == segment ? plan.get(held).heldMs(source) : 0;
                held++;
            }
        }
        return segment;
    }

    /** The lecture's segment that plays at a time; within a piece the one before which it stands. */
    public int segmentAt(Source source, double ms) {
        int index = runAt(ms);
        if (index < 0) {
            return nextSegment;
        }
        Run run = runs.get(index);
        return run.piece() != null ? run.piece().from() : Math.min(segmentOf(index, source, ms), nextSegment);
    }

    private int runAt(double ms) {
        int index = runs.size() - 1;
        while (index > 0 && runs.get(index).startMs() > ms) {
            index--;
        }
        return index;
    }

    /**
     * Goes on at another box after a break that began at {@code lostMs}. Where boxes told which segments were delivered the
     * next one is shown, else those from the place reached by the clock are shown again, since those shown last may never
     * have come from the box that is lost; so are pieces from there on.
     */
    public void resume(Source source, double lostMs, double nowMs) {
        if (!runs.isEmpty()) {
            goOnAt(source, served >= 0 ? served + 1 : sequenceAt(source, lostMs), nowMs);
        }
    }

    /** The segments of a change's piece can't be had any more: what was listed from there on is listed anew without it. */
    public void leaveOut(Source source, String change, double nowMs) {
        for (int i = 0; i < runs.size(); i++) {
            Run run = runs.get(i);
            if (run.piece() != null && run.piece().id().equals(change)) {
                goOnAt(source, Math.max(run.firstSequence(), served + 1), nowMs);
                return;
            }
        }
    }

    /** A box delivered a segment whole; {@code uri} as the playlist has it. */
    public void served(String uri) {
        for (int i = runs.size() - 1; i >= 0; i--) {
            Run run = runs.get(i);
            if (uri.startsWith(run.base())) {
                Source of = run.source();
                for (long sequence = run.firstSequence(); sequence < endOf(i); sequence++) {
                    if (uri.endsWith(of.uri(run.firstSegment() + (int) (sequence - run.firstSequence())))) {
                        served = Math.max(served, sequence);
                        return;
                    }
                }
            }
        }
    }

    private long sequenceAt(Source source, double ms) {
        int index = runAt(ms);
        Run run = runs.get(index);
        int segment = segmentOf(index, run.piece() != null ? run.piece().source() : source, ms);
        return run.firstSequence() + segment - run.firstSegment();
    }

    /** What was listed from a sequence number on is listed anew, with what comes from another box. */
    private void goOnAt(Source source, long sequence, double nowMs) {
        double at = nowMs;
        int index = runs.size() - 1;
        while (index > 0 && runs.get(index).firstSequence() > sequence) {
            index--;
        }
        Run run = runs.get(index);
        if (sequence >= nextSequence || sealed) {
            // all that was listed was delivered, or nothing was listed since the last break: it goes on where it is
            at = Math.max(nowMs, endMs);
            goesOnAt = piece == null ? goesOnAt : pieceSegment;
        } else if (run.piece() != null) {
            goesOnAt = run.firstSegment() + (int) Math.max(0, sequence - run.firstSequence());
            at = Math.max(
                    nowMs,
                    run.startMs()
                            + 1000
                                    * (run.piece().source().startS(goesOnAt)
                                            - run.piece().source().startS(run.firstSegment())));
            nextPlaced = run.placed();
            nextSegment = run.piece().from();
        } else {
            goesOnAt = 0;
            nextSegment = run.firstSegment() + (int) Math.max(0, sequence - run.firstSequence());
            at = Math.max(
                    nowMs, run.startMs() + 1000 * (source.startS(nextSegment) - source.startS(run.firstSegment())));
            nextPlaced = run.placed();
            while (nextPlaced < plan.size()
                    && plan.get(nextPlaced).interstitial()
                    && plan.get(nextPlaced).from() > run.firstSegment()
                    && plan.get(nextPlaced).from() <= nextSegment) {
                nextPlaced++;
            }
        }
        piece = null;
        sealed = true;
        // the date goes on where it was told to end: it may never run back
        double date = Math.max(endDateMs(), at + dateOffsetMs);
        endMs = at;
        dateOffsetMs = date - at;
        served = -1;
    }

    /** Adds the segments that are due, at the rung in force. */
    public void extend(Source source, int rung, String base, double nowMs) {
        extend(source, rung, base, nowMs, Piece.Stitcher.NONE);
    }

    /**
     * Adds the segments that are due, at the rung in force, with the pieces that are put between them.
     *
     * @return false if the stitcher's answer is waited for
     */
    public boolean extend(Source source, int rung, String base, double nowMs, Piece.Stitcher stitcher) {
        lecture = source;
        if (targetS == 0) {
            targetS = Math.max(shape.targetS(), source.targetS());
        }
        while (piece != null || nextSegment < source.count()) {
            double length = piece != null ? length(piece.source(), pieceSegment) : length(source, nextSegment);
            if (endMs > nowMs + shape.ahead() * length + 1e-6) {
                return true;
            }
            if (piece == null) {
                while (nextPlaced < plan.size() && plan.get(nextPlaced).from() < nextSegment) {
                    // a stretch that was replaced since took its boundary away
                    nextPlaced++;
                }
                boolean planned =
                        nextPlaced < plan.size() && plan.get(nextPlaced).from() == nextSegment;
                Piece next = planned
                        ? stitcher.again(plan.get(nextPlaced))
                        : stitcher.before(nextSegment, source.startS(nextSegment), endMs);
                if (next == Piece.WAIT) {
                    return false;
                }
                if (next != null || planned) {
                    begin(source, next, planned);
                    continue;
                }
                add(source, nextSegment, rung, base, null);
                nextSegment++;
            } else {
                piece = stitcher.onward(piece);
                plan.set(nextPlaced, piece);
                add(piece.source(), pieceSegment++, piece.rung(), piece.base(), piece);
                if (pieceSegment >= piece.source().count()) {
                    pass(piece.to());
                }
            }
        }
        return true;
    }

    private void begin(Source source, Piece next, boolean planned) {
        if (next == null) {
            // it was withdrawn, or is not to be had where the session plays now
            nextPlaced++;
            goesOnAt = 0;
            return;
        }
        if (planned) {
            plan.set(nextPlaced, next);
        } else {
            plan.add(nextPlaced, next);
        }
        if (next.interstitial()) {
            marks.add(new Mark(
                    nextSequence,
                    next.interstitial(
                            endDateMs(), nextSequence, source.startS(next.to()) - source.startS(next.from()))));
            // the player holds the lecture meanwhile: what follows plays later, at the same date
            endMs += next.heldMs(source);
            dateOffsetMs -= next.heldMs(source);
            nextPlaced++;
            return;
        }
        piece = next;
        pieceSegment = Math.min(goesOnAt, next.source().count() - 1);
        goesOnAt = 0;
    }

    private void pass(int to) {
        piece = null;
        nextPlaced++;
        nextSegment = to;
    }

    private void add(Source of, int segment, int rung, String base, Piece part) {
        Run last = runs.isEmpty() ? null : runs.get(runs.size() - 1);
        boolean joins = last != null
                && !sealed
                && last.rung() == rung
                && last.base().equals(base)
                && Objects.equals(last.piece(), part)
                && last.firstSegment() + (nextSequence - last.firstSequence()) == segment
                && !of.broken(segment);
        if (!joins) {
            number += last != null || restored ? 1 : 0;
            runs.add(new Run(nextSequence, segment, rung, base, of, part, nextPlaced, number, endMs, endDateMs()));
        }
        sealed = false;
        nextSequence++;
        endMs += length(of, segment);
        while (endOf(0) <= firstShown()) {
            runs.remove(0);
        }
        while (!marks.isEmpty() && marks.get(0).sequence() < firstShown()) {
            marks.remove(0);
        }
    }

    private long endOf(int run) {
        return run + 1 < runs.size() ? runs.get(run + 1).firstSequence() : nextSequence;
    }

    private long firstShown() {
        long first = Math.max(0, nextSequence - shape.ahead() - 1 - shape.behind());
        return runs.isEmpty() ? first : Math.max(first, runs.get(0).firstSequence());
    }

    /** The playlist's text. */
    public String render() {
        StringBuilder out = new StringBuilder(1024);
        render(out);
        return out.toString();
    }

    /** Appends the playlist's text. */
    public void render(StringBuilder out) {
        long first = firstShown();
        long sequence = first;
        int mark = 0;
        Source.State state = new Source.State();
        Run begins = runs.get(0);
        // the tag before the window's first segment counts it itself
        boolean marked = begins.number() > 0 && begins.firstSequence() == first;
        out.append("#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-TARGETDURATION:")
                .append(targetS)
                .append("\n#EXT-X-MEDIA-SEQUENCE:")
                .append(first);
        int discontinuities = begins.number() - (marked ? 1 : 0);
        if (discontinuities > 0) {
            out.append("\n#EXT-X-DISCONTINUITY-SEQUENCE:").append(discontinuities);
        }
        if (first == 0) {
            out.append("\n#EXT-X-START:TIME-OFFSET=0,PRECISE=YES");
        }
        out.append('\n');
        for (int i = 0; i < runs.size(); i++) {
            Run run = runs.get(i);
            Source source = run.source();
            long end = endOf(i);
            for (; sequence < end; sequence++) {
                int n = run.firstSegment() + (int) (sequence - run.firstSequence());
                if (run.number() > 0 && sequence == run.firstSequence()) {
                    out.append("#EXT-X-DISCONTINUITY\n");
                    state.discontinuity();
                }
                if (sequence == first || sequence == run.firstSequence()) {
                    double at = run.dateMs() + 1000 * (source.startS(n) - source.startS(run.firstSegment()));
                    out.append("#EXT-X-PROGRAM-DATE-TIME:");
                    Piece.date(out, at);
                    out.append('\n');
                    if (run.piece() != null) {
                        double from = source.startS(run.firstSegment());
                        double listed = source.startS(run.firstSegment() + (int) (end - run.firstSequence())) - from;
                        boolean over =
                                i + 1 < runs.size() || sealed || !run.piece().equals(piece);
                        out.append(run.piece().dateRange(run.dateMs(), run.firstSequence(), from, over ? listed : -1));
                    }
                }
                while (mark < marks.size() && marks.get(mark).sequence() <= sequence) {
                    out.append(marks.get(mark++).text());
                }
                source.write(out, n, run.base(), state);
            }
        }
        if (complete()) {
            out.append("#EXT-X-ENDLIST\n");
        }
    }
}
