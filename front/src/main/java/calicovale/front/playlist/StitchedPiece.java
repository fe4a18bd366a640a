package calicovale.front.playlist;

import calicovale.protocols.hls.Attributes;
import java.util.Locale;

/**
 * A piece that is stitched into a session's playlist at a boundary of its lecture.
 *
 * @param changeId id of its programme change
 * @param rung rung of its rendition
 * @param baseUri URI below which its segments are
 * @param source its segments
 * @param beforeSegment the lecture's segment before which it is put
 * @param resumeSegment the lecture's segment that follows it; equal to {@code beforeSegment} if the piece is inserted,
 *     later if it replaces segments of the lecture
 * @param assetUri URI of its own playlist, which the player plays as an HLS interstitial; null if its segments are put
 *     into the session's playlist
 */
public record StitchedPiece(
        String changeId,
        int rung,
        String baseUri,
        SourcePlaylist source,
        int beforeSegment,
        int resumeSegment,
        String assetUri) {
    /** Returned by a {@link Stitcher} that can't decide yet; compared by identity. */
    public static final StitchedPiece WAIT = new StitchedPiece("", 0, "", null, 0, 0, null);

    private static final long MS_PER_DAY = 86_400_000;

    /** Selects the pieces that are put between the segments of a lecture. */
    public interface Stitcher {
        /** Puts in no piece. */
        Stitcher NONE = (segment, boundaryS, boundaryMs) -> null;

        /**
         * Returns the piece to put before a segment; null if there is none. After {@link StitchedPiece#WAIT} nothing is
         * added, and the caller has to extend the playlist again later.
         *
         * @param boundaryS start of the segment in the lecture, in seconds
         * @param boundaryMs monotonic time at which the boundary will play, in ms
         */
        StitchedPiece pieceBefore(int segment, double boundaryS, double boundaryMs);

        /**
         * Returns a piece that was put in but not played to its end, at the box that has it now; null to leave it out,
         * or {@link StitchedPiece#WAIT}.
         */
        default StitchedPiece relistPiece(StitchedPiece piece) {
            return null;
        }

        /**
         * Returns the rendition with which a piece continues: the same, or one at another rung with as many segments.
         */
        default StitchedPiece continuePiece(StitchedPiece piece) {
            return piece;
        }
    }

    /** Returns whether the player plays it as an interstitial, from a playlist of its own. */
    public boolean isInterstitial() {
        return assetUri != null;
    }

    /** Returns its length in ms. */
    public double lengthMs() {
        return 1000 * source.lengthS();
    }

    /** Returns by how much an interstitial delays the lecture, in ms; negative if it replaces a longer part. */
    double lectureDelayMs(SourcePlaylist lecture) {
        return lengthMs() - 1000 * (lecture.startS(resumeSegment) - lecture.startS(beforeSegment));
    }

    /**
     * Returns the EXT-X-DATERANGE line that marks its segments in the session's playlist.
     *
     * @param dateMs program date-time of its start, in ms
     * @param sequence media sequence number of its first segment; makes the range's ID unique if the piece begins again
     * @param skippedS length of its part that was listed before, at a box that was lost, in seconds
     * @param listedS length that was listed, in seconds, which a loss may have cut short; negative while it is not
     *     complete
     */
    String dateRangeTag(double dateMs, long sequence, double skippedS, double listedS) {
        Attributes attributes = dateRangeAttributes("org.calicovale.change", dateMs, sequence)
                .setUnquoted("PLANNED-DURATION", seconds(source.lengthS() - skippedS));
        return dateRangeLine(listedS < 0 ? attributes : attributes.setUnquoted("DURATION", seconds(listedS)));
    }

    /**
     * Returns the EXT-X-DATERANGE line that has a player play it as an interstitial.
     *
     * @param replacedS length of the lecture that it replaces, in seconds
     */
    String interstitialTag(double dateMs, long sequence, double replacedS) {
        return dateRangeLine(dateRangeAttributes("com.apple.hls.interstitial", dateMs, sequence)
                .setUnquoted("DURATION", seconds(source.lengthS()))
                .setQuoted("X-ASSET-URI", assetUri)
                .setUnquoted("X-RESUME-OFFSET", seconds(replacedS))
                .setQuoted("X-RESTRICT", "SKIP,JUMP"));
    }

    private Attributes dateRangeAttributes(String rangeClass, double dateMs, long sequence) {
        return new Attributes()
                .setQuoted("ID", changeId + "-" + sequence)
                .setQuoted("CLASS", rangeClass)
                .setQuoted("START-DATE", formatDate(dateMs));
    }

    private static String dateRangeLine(Attributes attributes) {
        return "#EXT-X-DATERANGE:" + attributes + "\n";
    }

    /** Returns the piece's own playlist, for a player that plays it as an interstitial. */
    public String render() {
        StringBuilder out = new StringBuilder(
                        "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-TARGETDURATION:")
                .append(source.targetS())
                .append("\n#EXT-X-PLAYLIST-TYPE:VOD\n");
        SourcePlaylist.TagState state = new SourcePlaylist.TagState();
        for (int i = 0; i < source.segmentCount(); i++) {
            if (source.hasDiscontinuity(i)) {
                out.append("#EXT-X-DISCONTINUITY\n");
                state.discontinuity();
            }
            source.write(out, i, baseUri, state);
        }
        return out.append("#EXT-X-ENDLIST\n").toString();
    }

    private static String formatDate(double dateMs) {
        StringBuilder out = new StringBuilder(24);
        appendDate(out, dateMs);
        return out.toString();
    }

    /**
     * Appends a date (RFC 3339, UTC, whole ms). Implemented here (Hinnant's civil_from_days) because every reload
     * formats at least one.
     */
    static void appendDate(StringBuilder out, double dateMs) {
        long wholeMs = Math.round(dateMs);
        long days = Math.floorDiv(wholeMs, MS_PER_DAY) + 719_468;
        long msOfDay = Math.floorMod(wholeMs, MS_PER_DAY);
        long era = Math.floorDiv(days, 146_097L);
        long dayOfEra = days - era * 146_097;
        long yearOfEra = (dayOfEra - dayOfEra / 1460 + dayOfEra / 36_524 - dayOfEra / 146_096) / 365;
        long dayOfYear = dayOfEra - (365 * yearOfEra + yearOfEra / 4 - yearOfEra / 100);
        long monthFromMarch = (5 * dayOfYear + 2) / 153;
        long month = monthFromMarch < 10 ? monthFromMarch + 3 : monthFromMarch - 9;
        out.append(yearOfEra + era * 400 + (month <= 2 ? 1 : 0)).append('-');
        appendTwoDigits(out, month).append('-');
        appendTwoDigits(out, dayOfYear - (153 * monthFromMarch + 2) / 5 + 1).append('T');
        appendTwoDigits(out, msOfDay / 3_600_000).append(':');
        appendTwoDigits(out, msOfDay / 60_000 % 60).append(':');
        appendTwoDigits(out, msOfDay / 1000 % 60).append('.');
        out.append((char) ('0' + msOfDay % 1000 / 100));
        appendTwoDigits(out, msOfDay % 100).append('Z');
    }

    private static StringBuilder appendTwoDigits(StringBuilder out, long value) {
        return out.append((char) ('0' + value / 10)).append((char) ('0' + value % 10));
    }

    private static String seconds(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
