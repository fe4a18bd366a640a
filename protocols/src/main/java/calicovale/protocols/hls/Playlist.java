package calicovale.protocols.hls;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns one playlist's lines (RFC 8216): its head, its entries (each a URI with the lines before it) and its tail. Unknown
 * tags, attributes and comments stay where they stood; writing what was read gives the same lines.
 */
public final class Playlist {
    /** Bytes of the largest playlist read: a day of one-second segments with room to spare. */
    public static final int MOST_CHARS = 16 << 20;

    /**
     * One line: a tag with its value (null: none), or a comment or blank, kept as {@code name} with {@code tag} false.
     */
    public record Line(boolean tag, String name, String value) {
        /** A tag. */
        public static Line tag(String name, String value) {
            return new Line(true, name, value);
        }

        @Override
        public String toString() {
            return !tag ? name : value == null ? "#" + name : "#" + name + ":" + value;
        }
    }

    /** A URI and the lines that belong to it. */
    public record Entry(List<Line> lines, String uri) {

        /** The value of a tag of this entry: null if it is absent, "" if it has none. */
        public String value(String tag) {
            for (Line line : lines) {
                if (line.tag() && line.name().equals(tag)) {
                    return line.value() == null ? "" : line.value();
                }
            }
            return null;
        }

        /** Whether a tag is among the lines. */
        public boolean has(String tag) {
            return value(tag) != null;
        }

        /** EXTINF's duration in seconds, or 0 where there is none. */
        public double duration() {
            String value = value("EXTINF");
            if (value == null) {
                return 0;
            }
            int comma = value.indexOf(',');
            return Double.parseDouble(comma < 0 ? value : value.substring(0, comma));
        }
    }

    private final List<Line> head = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Line> tail = new ArrayList<>();

    /** Lines before the first that belongs to an entry. */
    public List<Line> head() {
        return head;
    }

    /** The entries. */
    public List<Entry> entries() {
        return entries;
    }

    /** Lines after the last URI. */
    public List<Line> tail() {
        return tail;
    }

    /** The value of a tag of the head or tail: null if absent, "" if it has none. */
    public String value(String tag) {
        for (List<Line> part : List.of(head, tail)) {
            for (Line line : part) {
                if (line.tag() && line.name().equals(tag)) {
                    return line.value() == null ? "" : line.value();
                }
            }
        }
        return null;
    }

    /** A number of the head, such as EXT-X-MEDIA-SEQUENCE; {@code absent} where the tag is not there. */
    public long number(String tag, long absent) {
        String value = value(tag);
        return value == null ? absent : Long.parseLong(value);
    }

    /** Whether it names variants and not segments. */
    public boolean multivariant() {
        return entries.stream().anyMatch(e -> e.has("EXT-X-STREAM-INF"));
    }

    /** Whether no segment will be added. */
    public boolean ended() {
        return value("EXT-X-ENDLIST") != null;
    }

    /** Reads a playlist of either kind; lines may end with LF or CR LF. */
    public static Playlist parse(String text) throws HlsException {
        if (text.length() > MOST_CHARS) {
            throw new HlsException(1, "more than " + MOST_CHARS + " characters");
        }
        Playlist result = new Playlist();
        List<Line> own = new ArrayList<>();
        boolean inHead = true;
        int number = 0;
        int at = 0;
        while (at < text.length()) {
            int lf = text.indexOf('\n', at);
            int end = lf < 0 ? text.length() : lf;
            String line = text.substring(at, end > at && text.charAt(end - 1) == '\r' ? end - 1 : end);
            at = end + 1;
            number++;
            if (number == 1) {
                if (!line.equals("#EXTM3U")) {
                    throw new HlsException(1, "#EXTM3U is due");
                }
                continue;
            }
            if (line.indexOf('\r') >= 0) {
                throw new HlsException(number, "a CR inside a line");
            }
            if (line.isEmpty() || line.charAt(0) == '#') {
                Line read = line(line, number);
                inHead &= !ofSegment(read);
                (inHead ? result.head : own).add(read);
                continue;
            }
            if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
                throw new HlsException(number, "a URI with white space before it");
            }
            inHead = false;
            Entry entry = new Entry(List.copyOf(own), line);
            own.clear();
            if (entry.has("EXT-X-STREAM-INF") == entry.has("EXTINF")) {
                throw new HlsException(number, "a URI needs EXTINF or EXT-X-STREAM-INF, and not both");
            }
            if (!result.entries.isEmpty() && result.entries.get(0).has("EXTINF") != entry.has("EXTINF")) {
                throw new HlsException(number, "segments and variants in one playlist");
            }
            result.entries.add(entry);
        }
        if (number == 0) {
            throw new HlsException(1, "#EXTM3U is due");
        }
        result.tail.addAll(own);
        return result;
    }

    private static Line line(String text, int number) throws HlsException {
        if (!text.startsWith("#EXT")) {
            return new Line(false, text, null);
        }
        int colon = text.indexOf(':');
        Line line = Line.tag(
                text.substring(1, colon < 0 ? text.length() : colon), colon < 0 ? null : text.substring(colon + 1));
        String value = line.value();
        switch (line.name()) {
            case "EXTM3U" -> throw new HlsException(number, "a second #EXTM3U");
            case "EXTINF" -> {
                int comma = value == null ? -1 : value.indexOf(',');
                String seconds = value == null ? "" : comma < 0 ? value : value.substring(0, comma);
                if (!seconds.matches("\\d{1,9}(\\.\\d{1,12})?")) {
                    throw new HlsException(number, "EXTINF needs a duration in seconds");
                }
            }
            case "EXT-X-TARGETDURATION", "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE", "EXT-X-VERSION" -> {
                if (value == null || !value.matches("\\d{1,18}")) {
                    throw new HlsException(number, line.name() + " needs a whole number");
                }
            }
            case "EXT-X-STREAM-INF", "EXT-X-MAP", "EXT-X-KEY", "EXT-X-MEDIA", "EXT-X-DATERANGE", "EXT-X-START" ->
                Attributes.parse(value == null ? "" : value, number);
            default -> {}
        }
        return line;
    }

    private static boolean ofSegment(Line line) {
        return line.tag()
                && switch (line.name()) {
                    case "EXTINF",
                            "EXT-X-BYTERANGE",
                            "EXT-X-DISCONTINUITY",
                            "EXT-X-KEY",
                            "EXT-X-MAP",
                            "EXT-X-PROGRAM-DATE-TIME",
                            "EXT-X-DATERANGE",
                            "EXT-X-GAP",
                            "EXT-X-BITRATE",
                            "EXT-X-PART",
                            "EXT-X-STREAM-INF",
                            "EXT-X-ENDLIST" -> true;
                    default -> false;
                };
    }

    /** The playlist's text, lines ended by LF. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder("#EXTM3U\n");
        head.forEach(line -> out.append(line).append('\n'));
        for (Entry entry : entries) {
            entry.lines().forEach(line -> out.append(line).append('\n'));
            out.append(entry.uri()).append('\n');
        }
        tail.forEach(line -> out.append(line).append('\n'));
        return out.toString();
    }
}
