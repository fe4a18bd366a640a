package calicovale.front.playlist;

import calicovale.protocols.hls.Attributes;
import calicovale.protocols.hls.HlsException;
import calicovale.protocols.hls.Playlist;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Media playlist of one lecture or piece at one rung, as a media box publishes it. Each segment has its start and the
 * state (RFC 8216, 4.3.2) that the lines before it leave in force (keys, initialization section and byte range), so
 * that a window may begin at any segment.
 */
public final class SourcePlaylist {
    /** Tags that a session's playlist writes itself, or that are written explicitly for each segment. */
    private static final List<String> REWRITTEN_TAGS = List.of(
            "EXT-X-MAP",
            "EXT-X-KEY",
            "EXT-X-BYTERANGE",
            "EXT-X-DISCONTINUITY",
            "EXT-X-PROGRAM-DATE-TIME",
            "EXT-X-DATERANGE",
            "EXTINF");

    /**
     * One segment; URIs of the segment, its keys and its map are as in the box's playlist.
     *
     * @param lines its other tags, each with a line feed
     * @param relative whether its URI is relative to the base URI, so that it only needs to be appended
     * @param map attributes of its EXT-X-MAP; null if it has none
     * @param discontinuity whether a discontinuity precedes it
     */
    private record Segment(
            String lines, String uri, boolean relative, List<Attributes> keys, Attributes map, boolean discontinuity) {}

    private final List<Segment> segments;
    private final double[] startsS;
    private final long targetS;

    private SourcePlaylist(List<Segment> segments, double[] startsS, long targetS) {
        this.segments = segments;
        this.startsS = startsS;
        this.targetS = targetS;
    }

    /**
     * Parses a box's media playlist.
     *
     * @throws HlsException if it is malformed, a multivariant playlist, or has no segments
     */
    public static SourcePlaylist parse(String text) throws HlsException {
        Playlist playlist = Playlist.parse(text);
        if (playlist.isMultivariant() || playlist.entries().isEmpty()) {
            throw new HlsException(1, "a media playlist with segments is expected");
        }
        int count = playlist.entries().size();
        List<Segment> segments = new ArrayList<>(count);
        double[] startsS = new double[count + 1];
        long firstSequence = playlist.number("EXT-X-MEDIA-SEQUENCE", 0);
        double longestS = 0;
        List<Attributes> keys = List.of();
        Attributes map = null;
        String rangeUri = null;
        long rangeEnd = 0;
        for (int i = 0; i < count; i++) {
            Playlist.Entry entry = playlist.entries().get(i);
            List<Attributes> newKeys = new ArrayList<>();
            StringBuilder lines = new StringBuilder();
            boolean discontinuity = false;
            for (Playlist.Line line : entry.lines()) {
                switch (line.isTag() ? line.name() : "") {
                    case "EXT-X-KEY" -> newKeys.add(Attributes.parse(line.value(), 1));
                    case "EXT-X-MAP" -> map = Attributes.parse(line.value(), 1);
                    case "EXT-X-DISCONTINUITY" -> discontinuity = i > 0;
                    default -> {
                        if (!line.isTag() || !REWRITTEN_TAGS.contains(line.name())) {
                            lines.append(line).append('\n');
                        }
                    }
                }
            }
            String range = entry.value("EXT-X-BYTERANGE");
            if (range != null) {
                long[] lengthAndOffset = parseByteRange(range, entry.uri().equals(rangeUri) ? rangeEnd : -1);
                lines.append("#EXT-X-BYTERANGE:")
                        .append(lengthAndOffset[0])
                        .append('@')
                        .append(lengthAndOffset[1])
                        .append('\n');
                rangeUri = entry.uri();
                rangeEnd = lengthAndOffset[0] + lengthAndOffset[1];
            } else {
                rangeUri = null;
            }
            lines.append("#EXTINF:").append(entry.value("EXTINF")).append('\n');
            keys = newKeys.isEmpty()
                    ? keys
                    : "NONE".equals(newKeys.get(0).get("METHOD")) ? List.of() : List.copyOf(newKeys);
            segments.add(new Segment(
                    lines.toString(),
                    entry.uri(),
                    entry.uri().indexOf(':') < 0 && !entry.uri().startsWith("/"),
                    withExplicitIv(keys, firstSequence + i),
                    map,
                    discontinuity));
            startsS[i + 1] = startsS[i] + entry.durationSeconds();
            longestS = Math.max(longestS, entry.durationSeconds());
        }
        return new SourcePlaylist(
                List.copyOf(segments),
                startsS,
                Math.max(1, Math.max(Math.round(longestS), playlist.number("EXT-X-TARGETDURATION", 1))));
    }

    /**
     * Returns the length and the offset of a byte range. Without an offset the range continues where the previous
     * segment's ends; the offset is made explicit because a window may not list that segment.
     *
     * @param impliedOffset end of the previous segment's range; negative if that is not a range of the same resource
     */
    private static long[] parseByteRange(String value, long impliedOffset) throws HlsException {
        String[] parts = value.split("@", -1);
        if (parts.length > 2
                || !parts[0].matches("\\d{1,15}")
                || parts.length == 2 && !parts[1].matches("\\d{1,15}")
                || parts.length == 1 && impliedOffset < 0) {
            throw new HlsException(
                    1, "EXT-X-BYTERANGE: a length is expected, and an offset unless it continues the previous range");
        }
        return new long[] {Long.parseLong(parts[0]), parts.length == 2 ? Long.parseLong(parts[1]) : impliedOffset};
    }

    /**
     * Returns keys with explicit initialization vectors. A missing IV means the segment's media sequence number (RFC
     * 8216, 5.2), which differs in a session's playlist.
     */
    private static List<Attributes> withExplicitIv(List<Attributes> keys, long sequence) {
        List<Attributes> result = new ArrayList<>(keys.size());
        for (Attributes key : keys) {
            boolean ivImplied = "AES-128".equals(key.get("METHOD")) && key.get("IV") == null;
            result.add(ivImplied ? key.copy().setUnquoted("IV", String.format(Locale.ROOT, "0x%032X", sequence)) : key);
        }
        return result;
    }

    /** Returns the number of segments. */
    public int segmentCount() {
        return segments.size();
    }

    /** Returns a segment's URI as in the box's playlist. */
    String uri(int index) {
        return segments.get(index).uri();
    }

    /** Returns whether the box's playlist has a discontinuity before a segment. */
    public boolean hasDiscontinuity(int index) {
        return segments.get(index).discontinuity();
    }

    /** Returns whether the first segment has an initialization section. */
    public boolean hasMap() {
        return segments.get(0).map() != null;
    }

    /** Keys and initialization section in force at the end of a playlist that is being written. */
    static final class TagState {
        /** EXT-X-KEY lines in force; empty without encryption. */
        private String keys = "";
        /** Value of the EXT-X-MAP in force; null if none. */
        private String map;
        /** Attributes from which {@code map} was made with {@code baseUri}; cached because most segments share them. */
        private Attributes mapAttributes;

        private String baseUri;

        /** Handles a discontinuity, after which the initialization section is written again. */
        void discontinuity() {
            map = null;
            mapAttributes = null;
        }
    }

    /**
     * Appends a segment with its URIs resolved against {@code baseUri}, and its keys and map if they are not in force.
     */
    void write(StringBuilder out, int index, String baseUri, TagState state) {
        Segment segment = segments.get(index);
        if (!segment.keys().isEmpty() || !state.keys.isEmpty()) {
            StringBuilder keys = new StringBuilder();
            for (Attributes key : segment.keys()) {
                keys.append("#EXT-X-KEY:").append(withAbsoluteUri(key, baseUri)).append('\n');
            }
            String keyTags = keys.toString();
            if (!keyTags.equals(state.keys)) {
                out.append(keyTags.isEmpty() ? "#EXT-X-KEY:METHOD=NONE\n" : keyTags);
                state.keys = keyTags;
            }
        }
        if (segment.map() != null && (segment.map() != state.mapAttributes || !baseUri.equals(state.baseUri))) {
            String map = withAbsoluteUri(segment.map(), baseUri).toString();
            if (!map.equals(state.map)) {
                out.append("#EXT-X-MAP:").append(map).append('\n');
                state.map = map;
            }
            state.mapAttributes = segment.map();
            state.baseUri = baseUri;
        }
        out.append(segment.lines());
        if (segment.relative()) {
            out.append(baseUri).append(segment.uri()).append('\n');
        } else {
            out.append(resolve(baseUri, segment.uri())).append('\n');
        }
    }

    /** Returns attributes with their URI resolved against the base URI. */
    private static Attributes withAbsoluteUri(Attributes attributes, String baseUri) {
        String uri = attributes.get("URI");
        return uri == null ? attributes : attributes.copy().setQuoted("URI", resolve(baseUri, uri));
    }

    /**
     * Resolves a URI reference (RFC 3986, 5.2) of the kinds that boxes use: an absolute URI, an absolute path, or a
     * path relative to the base URI, which ends in a slash.
     */
    static String resolve(String baseUri, String uri) {
        int colon = uri.indexOf(':');
        if (colon > 0 && uri.substring(0, colon).matches("[A-Za-z][A-Za-z0-9+.-]*")) {
            return uri;
        }
        if (uri.startsWith("/")) {
            int pathStart = baseUri.indexOf('/', baseUri.indexOf("//") + 2);
            return (pathStart < 0 ? baseUri : baseUri.substring(0, pathStart)) + uri;
        }
        return baseUri + uri;
    }

    /** Returns the start of a segment in seconds; for {@link #segmentCount()} the end of the last one. */
    public double startS(int index) {
        return startsS[index];
    }

    /** Returns the length in seconds. */
    public double lengthS() {
        return startsS[startsS.length - 1];
    }

    /** Returns the segment that contains a position in seconds; the first or last one if it is outside. */
    public int segmentAt(double seconds) {
        int index = java.util.Arrays.binarySearch(startsS, seconds);
        return Math.max(0, Math.min(segmentCount() - 1, index >= 0 ? index : -index - 2));
    }

    /** Returns the boundary nearest to a position in seconds, from 0 to {@link #segmentCount()}. */
    public int nearestBoundary(double seconds) {
        int before = segmentAt(seconds);
        boolean beforeIsNearer = seconds - startsS[before] <= startsS[before + 1] - seconds;
        return beforeIsNearer ? before : before + 1;
    }

    /** Returns the target duration in seconds: EXT-X-TARGETDURATION, or the longest segment if that is longer. */
    public long targetS() {
        return targetS;
    }
}
