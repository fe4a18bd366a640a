package calicovale.front.playlist;

import calicovale.protocols.hls.Attributes;
import java.time.Instant;
import java.util.Locale;

/**
 * A piece that a session's playlist puts at a boundary of its lecture.
 *
 * @param id of the change that it belongs to
 * @param rung of its rendition
 * @param base where its segments are
 * @param source its segments
 * @param from the lecture's segment before which it stands
 * @param to the lecture's segment that follows it: {@code from} where it is inserted, a later one where it replaces a stretch
 * @param asset null: its segments are put into the playlist; else the URI of its own playlist, which the player plays as an
 *        interstitial
 */
public record Piece(String id, int rung, String base, Source source, int from, int to, String asset) {
    /** The answer of a {@link Stitcher} that can't be given yet. */
    public static final Piece WAIT = new Piece("", 0, "", null, 0, 0, null);

    /** Says what is put before a segment of the lecture. */
    public interface Stitcher {
        /** Nothing is put in. */
        Stitcher NONE = (segment, boundaryS, boundaryMs) -> null;

        /**
         * The piece to put before a segment that begins at a place and will play at a time; null: none; {@link Piece#WAIT}:
         * ask again, nothing is added until then.
         */
        Piece before(int segment, double boundaryS, double boundaryMs);

        /** A piece that was put in and not played to its end, from where it is to be had now; null: it is left out. */
        default Piece again(Piece piece) {
            return null;
        }

        /** The rendition with which a piece goes on: itself, or one with the same segments at another rung. */
        default Piece onward(Piece piece) {
            return piece;
        }
    }

    /** Whether the player plays it beside the playlist. */
    public boolean interstitial() {
        return asset != null;
    }

    /** Its length in ms. */
    public double lengthMs() {
        return 1000 * source.lengthS();
    }

    /** How much later the lecture goes on because of an interstitial. */
    double heldMs(Source lecture) {
        return lengthMs() - 1000 * (lecture.startS(to) - lecture.startS(from));
    }

    /**
     * The EXT-X-DATERANGE line that marks it.
     *
     * @param number tells apart two times that it is begun
     * @param fromS seconds of the piece that were shown before, at a box that was lost
     * @param listedS its length as it was listed, told once it is over: a loss may cut it; negative: it is not over
     */
    String dateRange(double dateMs, long number, double fromS, double listedS) {
        Attributes range = range("org.calicovale.change", dateMs, number)
                .set("PLANNED-DURATION", seconds(source.lengthS() - fromS));
        return line(listedS < 0 ? range : range.set("DURATION", seconds(listedS)));
    }

    /** The EXT-X-DATERANGE line by which a player plays it as an interstitial, in place of so many seconds. */
    String interstitial(double dateMs, long number, double replacedS) {
        return line(range("com.apple.hls.interstitial", dateMs, number).set("DURATION", seconds(source.lengthS()))
                .quoted("X-ASSET-URI", asset).set("X-RESUME-OFFSET", seconds(replacedS)).quoted("X-RESTRICT", "SKIP,JUMP"));
    }

    private Attributes range(String kind, double dateMs, long number) {
        return new Attributes().quoted("ID", id + "-" + number).quoted("CLASS", kind).quoted("START-DATE", date(dateMs));
    }

    private static String line(Attributes range) {
        return "#EXT-X-DATERANGE:" + range + "\n";
    }

    /** The piece's own playlist, whole, for a player that plays it as an interstitial. */
    public String render() {
        StringBuilder out = new StringBuilder("#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-TARGETDURATION:")
                .append(source.targetS()).append("\n#EXT-X-PLAYLIST-TYPE:VOD\n");
        Source.State state = new Source.State();
        for (int i = 0; i < source.count(); i++) {
            if (source.broken(i)) {
                out.append("#EXT-X-DISCONTINUITY\n");
                state.discontinuity();
            }
            source.write(out, i, base, state);
        }
        return out.append("#EXT-X-ENDLIST\n").toString();
    }

    static String date(double ms) {
        return Instant.ofEpochMilli(Math.round(ms)).toString();
    }

    private static String seconds(double s) {
        return String.format(Locale.ROOT, "%.3f", s);
    }
}
