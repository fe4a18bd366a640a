package calicovale.protocols.hls;

import java.util.ArrayList;
import java.util.List;

/**
 * The lines of one playlist (RFC 8216): its head, its entries, each a URI with the lines before it, and its tail.
 * Unknown tags, attributes and comments keep their places. A playlist that was parsed is written with the same lines.
 */
public final class Playlist {
    /** Upper bound of a playlist's length, in characters: more than enough for a day of one-second segments. */
    public static final int MAX_CHARS = 16 << 20;

    /**
     * A line other than a URI.
     *
     * @param isTag whether the line is a tag; otherwise it is a comment or blank
     * @param name name of the tag, or the whole comment
     * @param value value of the tag, or null if it has none
     */
    public record Line(boolean isTag, String name, String value) {
        /** Creates a tag; {@code value} is null if it has none. */
        public static Line tag(String name, String value) {
            return new Line(true, name, value);
        }

        @Override
        public String toString() {
            return !isTag ? name : value == null ? "#" + name : "#" + name + ":" + value;
        }
    }

    /** A URI and the lines before it that belong to it. */
    public record Entry(List<Line> lines, String uri) {

        /** Returns the value of a tag of this entry: null if the tag is missing, "" if it has no value. */
        public String value(String tag) {
            for (Line line : lines) {
                if (line.isTag() && line.name().equals(tag)) {
                    return line.value() == null ? "" : line.value();
                }
            }
            return null;
        }

        /** Returns whether the entry has a tag. */
        public boolean has(String tag) {
            return value(tag) != null;
        }

        /** Returns the duration from EXTINF in seconds, or 0 if the tag is missing. */
        public double durationSeconds() {
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

    /** Returns the lines before the first line of an entry, without #EXTM3U; the list may be changed. */
    public List<Line> head() {
        return head;
    }

    /** Returns the entries; the list may be changed. */
    public List<Entry> entries() {
        return entries;
    }

    /** Returns the lines after the last URI; the list may be changed. */
    public List<Line> tail() {
        return tail;
    }

    /** Returns the value of a tag of the head or tail: null if the tag is missing, "" if it has no value. */
    public String value(String tag) {
        for (List<Line> part : List.of(head, tail)) {
            for (Line line : part) {
                if (line.isTag() && line.name().equals(tag)) {
                    return line.value() == null ? "" : line.value();
                }
            }
        }
        return null;
    }

    /** Returns a tag's whole number, such as EXT-X-MEDIA-SEQUENCE, or {@code defaultValue} if the tag is missing. */
    public long number(String tag, long defaultValue) {
        String value = value(tag);
        return value == null ? defaultValue : Long.parseLong(value);
    }

    /** Returns whether this is a multivariant playlist, whose entries are variants and not segments. */
    public boolean isMultivariant() {
        return entries.stream().anyMatch(e -> e.has("EXT-X-STREAM-INF"));
    }

    /** Returns whether the playlist has EXT-X-ENDLIST: no segment will be added. */
    public boolean isEnded() {
        return value("EXT-X-ENDLIST") != null;
    }

    /**
     * Parses a media or multivariant playlist; lines may end with LF or CR LF.
     *
     * @throws HlsException if the text is not a playlist or is longer than {@link #MAX_CHARS}
     */
    public static Playlist parse(String text) throws HlsException {
        if (text.length() > MAX_CHARS) {
            throw new HlsException(1, "the playlist has more than " + MAX_CHARS + " characters");
        }
        Playlist result = new Playlist();
        List<Line> pendingLines = new ArrayList<>();
        boolean inHead = true;
        int lineNumber = 0;
        int lineStart = 0;
        while (lineStart < text.length()) {
            int lineFeed = text.indexOf('\n', lineStart);
            int lineEnd = lineFeed < 0 ? text.length() : lineFeed;
            String line = text.substring(
                    lineStart, lineEnd > lineStart && text.charAt(lineEnd - 1) == '\r' ? lineEnd - 1 : lineEnd);
            lineStart = lineEnd + 1;
            lineNumber++;
            if (lineNumber == 1) {
                if (!line.equals("#EXTM3U")) {
                    throw new HlsException(1, "#EXTM3U is expected");
                }
                continue;
            }
            if (line.indexOf('\r') >= 0) {
                throw new HlsException(lineNumber, "a carriage return inside a line");
            }
            if (line.isEmpty() || line.charAt(0) == '#') {
                Line parsedLine = parseLine(line, lineNumber);
                inHead &= !endsHead(parsedLine);
                (inHead ? result.head : pendingLines).add(parsedLine);
                continue;
            }
            if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
                throw new HlsException(lineNumber, "white space before a URI");
            }
            inHead = false;
            Entry entry = new Entry(List.copyOf(pendingLines), line);
            pendingLines.clear();
            if (entry.has("EXT-X-STREAM-INF") == entry.has("EXTINF")) {
                throw new HlsException(lineNumber, "a URI needs either EXTINF or EXT-X-STREAM-INF");
            }
            if (!result.entries.isEmpty() && result.entries.get(0).has("EXTINF") != entry.has("EXTINF")) {
                throw new HlsException(lineNumber, "a playlist must not contain both segments and variants");
            }
            result.entries.add(entry);
        }
        if (lineNumber == 0) {
            throw new HlsException(1, "#EXTM3U is expected");
        }
        result.tail.addAll(pendingLines);
        return result;
    }

    private static Line parseLine(String text, int lineNumber) throws HlsException {
        if (!text.startsWith("#EXT")) {
            return new Line(false, text, null);
        }
        int colon = text.indexOf(':');
        Line line = Line.tag(
                text.substring(1, colon < 0 ? text.length() : colon), colon < 0 ? null : text.substring(colon + 1));
        String value = line.value();
        switch (line.name()) {
            case "EXTM3U" -> throw new HlsException(lineNumber, "a second #EXTM3U");
            case "EXTINF" -> {
                int comma = value == null ? -1 : value.indexOf(',');
                String seconds = value == null ? "" : comma < 0 ? value : value.substring(0, comma);
                if (!seconds.matches("\\d{1,9}(\\.\\d{1,12})?")) {
                    throw new HlsException(lineNumber, "EXTINF needs a duration in seconds, a number from 0");
                }
            }
            case "EXT-X-TARGETDURATION", "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE", "EXT-X-VERSION" -> {
                if (value == null || !value.matches("\\d{1,18}")) {
                    throw new HlsException(lineNumber, line.name() + " needs a whole number from 0");
                }
            }
            case "EXT-X-STREAM-INF", "EXT-X-MAP", "EXT-X-KEY", "EXT-X-MEDIA", "EXT-X-DATERANGE", "EXT-X-START" ->
                Attributes.parse(value == null ? "" : value, lineNumber);
            default -> {}
        }
        return line;
    }

    /** Returns whether a line can't be part of the head, because it belongs to an entry or ends the playlist. */
    private static boolean endsHead(Line line) {
        return line.isTag()
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

    /** Returns the playlist's text; each line ends with LF. */
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
