package calicovale.front.playlist;

import calicovale.protocols.hls.Attributes;
import calicovale.protocols.hls.HlsException;
import calicovale.protocols.hls.Playlist;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Owns one lecture or piece at one rung as a media box publishes it: its segments, where each begins, and for each the state
 * (RFC 8216, 4.3.2) that the lines before it left in force: keys, initialization section and byte range, so that a window
 * may begin at any of them.
 */
public final class Source {
    /** Tags that a session's playlist writes itself, or that are made explicit for each segment. */
    private static final List<String> REWRITTEN = List.of(
            "EXT-X-MAP",
            "EXT-X-KEY",
            "EXT-X-BYTERANGE",
            "EXT-X-DISCONTINUITY",
            "EXT-X-PROGRAM-DATE-TIME",
            "EXT-X-DATERANGE",
            "EXTINF");

    /**
     * What is written of one segment: the lines that are its own, keys and map with URIs as the box wrote them; {@code below}:
     * its URI only needs the base before it.
     */
    private record Segment(
            String lines, String uri, boolean below, List<Attributes> keys, Attributes map, boolean broken) {}

    private final List<Segment> segments;
    private final double[] starts;
    private final long targetS;

    private Source(List<Segment> segments, double[] starts, long targetS) {
        this.segments = segments;
        this.starts = starts;
        this.targetS = targetS;
    }

    /** Reads a box's media playlist. */
    public static Source parse(String text) throws HlsException {
        Playlist playlist = Playlist.parse(text);
        if (playlist.isMultivariant() || playlist.entries().isEmpty()) {
            throw new HlsException(1, "a media playlist with segments is expected");
        }
        int count = playlist.entries().size();
        List<Segment> segments = new ArrayList<>(count);
        double[] starts = new double[count + 1];
        long first = playlist.number("EXT-X-MEDIA-SEQUENCE", 0);
        double longest = 0;
        List<Attributes> keys = List.of();
        Attributes map = null;
        String rangeOf = null;
        long rangeEnd = 0;
        for (int i = 0; i < count; i++) {
            Playlist.Entry entry = playlist.entries().get(i);
            List<Attributes> told = new ArrayList<>();
            StringBuilder lines = new StringBuilder();
            boolean broken = false;
            for (Playlist.Line line : entry.lines()) {
                switch (line.isTag() ? line.name() : "") {
                    case "EXT-X-KEY" -> told.add(Attributes.parse(line.value(), 1));
                    case "EXT-X-MAP" -> map = Attributes.parse(line.value(), 1);
                    case "EXT-X-DISCONTINUITY" -> broken = i > 0;
                    default -> {
                        if (!line.isTag() || !REWRITTEN.contains(line.name())) {
                            lines.append(line).append('\n');
                        }
                    }
                }
            }
            String range = entry.value("EXT-X-BYTERANGE");
            if (range != null) {
                long[] at = range(range, entry.uri().equals(rangeOf) ? rangeEnd : -1);
                lines.append("#EXT-X-BYTERANGE:")
                        .append(at[0])
                        .append('@')
                        .append(at[1])
                        .append('\n');
                rangeOf = entry.uri();
                rangeEnd = at[0] + at[1];
            } else {
                rangeOf = null;
            }
            lines.append("#EXTINF:").append(entry.value("EXTINF")).append('\n');
            keys = told.isEmpty() ? keys : "NONE".equals(told.get(0).get("METHOD")) ? List.of() : List.copyOf(told);
            segments.add(new Segment(
                    lines.toString(),
                    entry.uri(),
                    entry.uri().indexOf(':') < 0 && !entry.uri().startsWith("/"),
                    explicit(keys, first + i),
                    map,
                    broken));
            starts[i + 1] = starts[i] + entry.durationSeconds();
            longest = Math.max(longest, entry.durationSeconds());
        }
        return new Source(
                List.copyOf(segments),
                starts,
                Math.max(1, Math.max(Math.round(longest), playlist.number("EXT-X-TARGETDURATION", 1))));
    }

    /** A range with its offset stated: without one it goes on where the segment before ended, which a window may not show. */
    private static long[] range(String value, long goesOn) throws HlsException {
        String[] parts = value.split("@", -1);
        if (parts.length > 2
                || !parts[0].matches("\\d{1,15}")
                || parts.length == 2 && !parts[1].matches("\\d{1,15}")
                || parts.length == 1 && goesOn < 0) {
            throw new HlsException(1, "EXT-X-BYTERANGE needs a length, and an offset where it does not go on");
        }
        return new long[] {Long.parseLong(parts[0]), parts.length == 2 ? Long.parseLong(parts[1]) : goesOn};
    }

    /**
     * Keys with their initialization vector stated: where a box leaves it out it is the segment's media sequence number
     * (RFC 8216, 5.2), which in a session's playlist is another.
     */
    private static List<Attributes> explicit(List<Attributes> keys, long sequence) {
        List<Attributes> result = new ArrayList<>(keys.size());
        for (Attributes key : keys) {
            boolean implied = "AES-128".equals(key.get("METHOD")) && key.get("IV") == null;
            result.add(implied ? key.copy().setUnquoted("IV", String.format(Locale.ROOT, "0x%032X", sequence)) : key);
        }
        return result;
    }

    /** Number of segments. */
    public int count() {
        return segments.size();
    }

    /** The URI of segment {@code i} as the box wrote it. */
    String uri(int i) {
        return segments.get(i).uri();
    }

    /** Whether the box's own playlist has a discontinuity before segment {@code i}. */
    public boolean broken(int i) {
        return segments.get(i).broken();
    }

    /** Whether segments need an initialization section. */
    public boolean hasMap() {
        return segments.get(0).map() != null;
    }

    /** What of keys and map is in force in a text that is being written. */
    static final class State {
        private String keys = "";
        private String map;
        /** The map and base from which {@code map} was made: most segments share them. */
        private Attributes mapOf;

        private String base;

        /** A discontinuity: the initialization section is stated anew. */
        void discontinuity() {
            map = null;
            mapOf = null;
        }
    }

    /** Writes segment {@code i} with its URIs below {@code base}, and of keys and map what is not in force. */
    void write(StringBuilder out, int i, String base, State state) {
        Segment s = segments.get(i);
        if (!s.keys().isEmpty() || !state.keys.isEmpty()) {
            StringBuilder keys = new StringBuilder();
            for (Attributes key : s.keys()) {
                keys.append("#EXT-X-KEY:").append(below(key, base)).append('\n');
            }
            String now = keys.toString();
            if (!now.equals(state.keys)) {
                out.append(now.isEmpty() ? "#EXT-X-KEY:METHOD=NONE\n" : now);
                state.keys = now;
            }
        }
        if (s.map() != null && (s.map() != state.mapOf || !base.equals(state.base))) {
            String map = below(s.map(), base).toString();
            if (!map.equals(state.map)) {
                out.append("#EXT-X-MAP:").append(map).append('\n');
                state.map = map;
            }
            state.mapOf = s.map();
            state.base = base;
        }
        out.append(s.lines());
        if (s.below()) {
            out.append(base).append(s.uri()).append('\n');
        } else {
            out.append(resolve(base, s.uri())).append('\n');
        }
    }

    private static Attributes below(Attributes of, String base) {
        String uri = of.get("URI");
        return uri == null ? of : of.copy().setQuoted("URI", resolve(base, uri));
    }

    /** A URI reference (RFC 3986, 5.2) of the kinds that boxes write: absolute, from the root, or below the base. */
    static String resolve(String base, String uri) {
        int colon = uri.indexOf(':');
        if (colon > 0 && uri.substring(0, colon).matches("[A-Za-z][A-Za-z0-9+.-]*")) {
            return uri;
        }
        if (uri.startsWith("/")) {
            int root = base.indexOf('/', base.indexOf("//") + 2);
            return (root < 0 ? base : base.substring(0, root)) + uri;
        }
        return base + uri;
    }

    /** Seconds from the lecture's start to segment {@code i}; {@code i} may be {@link #count()}. */
    public double startS(int i) {
        return starts[i];
    }

    /** Length in seconds. */
    public double lengthS() {
        return starts[starts.length - 1];
    }

    /** The segment that plays at a place in the lecture. */
    public int at(double seconds) {
        int i = java.util.Arrays.binarySearch(starts, seconds);
        return Math.max(0, Math.min(count() - 1, i >= 0 ? i : -i - 2));
    }

    /** The boundary nearest to a place in the lecture: 0 to {@link #count()}. */
    public int boundaryAt(double seconds) {
        int before = at(seconds);
        boolean nearer = seconds - starts[before] <= starts[before + 1] - seconds;
        return nearer ? before : before + 1;
    }

    /** EXT-X-TARGETDURATION. */
    public long targetS() {
        return targetS;
    }
}
