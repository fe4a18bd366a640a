package calicovale.front.playlist;

import calicovale.protocols.hls.Attributes;
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

    private static final long DAY_MS = 86_400_000;

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
                .setUnquoted("PLANNED-DURATION", seconds(source.lengthS() - fromS));
        return line(listedS < 0 ? range : range.setUnquoted("DURATION", seconds(listedS)));
    }

    /** The EXT-X-DATERANGE line by which a player plays it as an interstitial, in place of so many seconds. */
    String interstitial(double dateMs, long number, double replacedS) {
        return line(range("com.apple.hls.interstitial", dateMs, number)
                .setUnquoted("DURATION", seconds(source.lengthS()))
                .setQuoted("X-ASSET-URI", asset)
                .setUnquoted("X-RESUME-OFFSET", seconds(replacedS))
                .setQuoted("X-RESTRICT", "SKIP,JUMP"));
    }

    private Attributes range(String kind, double dateMs, long number) {
        return new Attributes()
                .setQuoted("ID", id + "-" + number)
                .setQuoted("CLASS", kind)
                .setQuoted("START-DATE", date(dateMs));
    }

    private static String line(Attributes range) {
        return "#EXT-X-DATERANGE:" + range + "\n";
    }

    /** The piece's own playlist, whole, for a player that plays it as an interstitial. */
    public String render() {
        StringBuilder out = new StringBuilder(
                        "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-TARGETDURATION:")
                .append(source.targetS())
                .append("\n#EXT-X-PLAYLIST-TYPE:VOD\n");
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

    private static String date(double ms) {
        StringBuilder out = new StringBuilder(24);
        date(out, ms);
        return out.toString();
    }

    /** Appends a date (RFC 3339, UTC, whole ms). Written here since every reload has one: Hinnant's civil_from_days. */
    static void date(StringBuilder out, double ms) {
        long all = Math.round(ms);
        long days = Math.floorDiv(all, DAY_MS) + 719_468;
        long rest = Math.floorMod(all, DAY_MS);
        long era = Math.floorDiv(days, 146_097L);
        long ofEra = days - era * 146_097;
        long yearOfEra = (ofEra - ofEra / 1460 + ofEra / 36_524 - ofEra / 146_096) / 365;
        long dayOfYear = ofEra - (365 * yearOfEra + yearOfEra / 4 - yearOfEra / 100);
        long shifted = (5 * dayOfYear + 2) / 153;
        long month = shifted < 10 ? shifted + 3 : shifted - 9;
        out.append(yearOfEra + era * 400 + (month <= 2 ? 1 : 0)).append('-');
        two(out, month).append('-');
        two(out, dayOfYear - (153 * shifted + 2) / 5 + 1).append('T');
        two(out, rest / 3_600_000).append(':');
        two(out, rest / 60_000 % 60).append(':');
        two(out, rest / 1000 % 60).append('.');
        out.append((char) ('0' + rest % 1000 / 100));
        two(out, rest % 100).append('Z');
    }

    private static StringBuilder two(StringBuilder out, long value) {
        return out.append((char) ('0' + value / 10)).append((char) ('0' + value % 10));
    }

    private static String seconds(double s) {
        return String.format(Locale.ROOT, "%.3f", s);
    }
}
