package calicovale.rehearsal.judge;

import calicovale.protocols.hls.Attributes;
import calicovale.protocols.hls.HlsException;
import calicovale.protocols.hls.Playlist;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Owns what RFC 8216 demands of one media playlist from reload to reload, as a strict player takes it: numbers that never go
 * back, segments that are never altered, one target duration, dates that agree, and nothing after the end. What two reloads
 * further back showed is forgotten: a player that strict keeps no more.
 */
public final class PlaylistRules {
    /** Ms by which dates may differ: they are written in whole ms, durations in their own digits. */
    private static final double DATE_SLACK_MS = 3;

    /**
     * One segment as it is given.
     *
     * @param number its discontinuity sequence number
     * @param map the EXT-X-MAP in force, or null
     * @param keys the EXT-X-KEY lines in force
     * @param dateMs its date, told or reckoned from the segment before; NaN: none is known
     */
    public record Segment(
            long sequence,
            String uri,
            double seconds,
            boolean discontinuity,
            long number,
            String map,
            String keys,
            double dateMs) {}

    /** One EXT-X-DATERANGE; {@code seconds} as told, or as planned while it is not over. */
    public record Range(String id, String kind, double startMs, double seconds, Attributes told) {

        /** Attributes may come to a range that was given, but none may be altered (RFC 8216, 4.3.2.7). */
        boolean goesOn(Range later) {
            return told.names().stream().allMatch(name -> told.get(name).equals(later.told.get(name)));
        }
    }

    private final Map<Long, Segment> given = new LinkedHashMap<>();
    private final Map<String, Range> ranges = new LinkedHashMap<>();
    private List<Segment> segments = List.of();
    private long first = -1;
    private long next = -1;
    private long target = -1;
    private boolean ended;
    private boolean endedBefore;
    private List<String> faults = new ArrayList<>();

    /** Segments of the last playlist taken. */
    public List<Segment> segments() {
        return segments;
    }

    /** Ranges of the last playlist taken, by their ids. */
    public Map<String, Range> ranges() {
        return ranges;
    }

    /** Whether the last playlist has its end. */
    public boolean ended() {
        return ended;
    }

    /** EXT-X-TARGETDURATION; -1 before the first. */
    public long target() {
        return target;
    }

    private void fault(String what) {
        faults.add(what);
    }

    /** Takes a playlist; what is wrong with it by itself or after those before it: empty if nothing is. */
    public List<String> take(String text) {
        faults = new ArrayList<>();
        Playlist playlist;
        List<Segment> now;
        Map<String, Range> dated = new LinkedHashMap<>();
        try {
            playlist = Playlist.parse(text);
            now = read(playlist, dated);
        } catch (HlsException | DateTimeException | NumberFormatException e) {
            fault("malformed: " + e.getMessage());
            return faults;
        }
        long from = playlist.number("EXT-X-MEDIA-SEQUENCE", 0);
        long told = playlist.number("EXT-X-TARGETDURATION", -1);
        endedBefore = ended;
        ended = playlist.isEnded();
        if (told < 1) {
            fault("EXT-X-TARGETDURATION is due");
        }
        if (target >= 0 && told != target) {
            fault("the target duration was " + target + " and is " + told);
        }
        if (from < first) {
            fault("the media sequence went back from " + first + " to " + from);
        }
        if (from + now.size() < next) {
            fault("segments up to " + next + " were given, now up to " + (from + now.size()));
        }
        if (endedBefore && (!ended || from + now.size() != next)) {
            fault("the playlist goes on after its end");
        }
        double date = Double.NaN;
        for (Segment s : now) {
            if (Math.round(s.seconds()) > told) {
                fault("segment " + s.sequence() + " of " + s.seconds() + " s is longer than the target " + told);
            }
            if (s.dateMs() < date - DATE_SLACK_MS) {
                fault("the date of segment " + s.sequence() + " goes back");
            }
            date = s.dateMs();
            compare(given.get(s.sequence()), s);
        }
        for (Range r : dated.values()) {
            Range before = ranges.get(r.id());
            if (before != null && !before.goesOn(r)) {
                fault("EXT-X-DATERANGE " + r.id() + " was altered");
            }
        }
        ranges.clear();
        ranges.putAll(dated);
        given.clear();
        now.forEach(s -> given.put(s.sequence(), s));
        segments = now;
        first = from;
        next = from + now.size();
        target = told;
        return faults;
    }

    private void compare(Segment before, Segment now) {
        if (before == null) {
            return;
        }
        boolean same = before.uri().equals(now.uri())
                && before.seconds() == now.seconds()
                && before.discontinuity() == now.discontinuity()
                && Objects.equals(before.map(), now.map())
                && before.keys().equals(now.keys());
        if (!same) {
            fault("segment " + now.sequence() + " was " + before + " and is " + now);
        }
        if (before.number() != now.number()) {
            fault("the discontinuity number of segment " + now.sequence() + " was " + before.number() + " and is "
                    + now.number());
        }
        if (Math.abs(before.dateMs() - now.dateMs()) > DATE_SLACK_MS) {
            fault("the date of segment " + now.sequence() + " was " + before.dateMs() + " and is " + now.dateMs());
        }
    }

    private List<Segment> read(Playlist playlist, Map<String, Range> dated) throws HlsException {
        List<Segment> result = new ArrayList<>();
        long sequence = playlist.number("EXT-X-MEDIA-SEQUENCE", 0);
        long number = playlist.number("EXT-X-DISCONTINUITY-SEQUENCE", 0);
        String map = null;
        String keys = "";
        double date = Double.NaN;
        for (Playlist.Entry entry : playlist.entries()) {
            boolean broken = entry.has("EXT-X-DISCONTINUITY");
            number += broken ? 1 : 0;
            StringBuilder told = new StringBuilder();
            for (Playlist.Line line : entry.lines()) {
                switch (line.isTag() ? line.name() : "") {
                    case "EXT-X-MAP" -> map = line.value();
                    case "EXT-X-KEY" -> told.append(line).append('\n');
                    case "EXT-X-PROGRAM-DATE-TIME" -> {
                        double here = Instant.parse(line.value()).toEpochMilli();
                        if (!broken && Math.abs(here - date) > DATE_SLACK_MS) {
                            fault("the date of segment " + sequence + " is not where the segment before ends");
                        }
                        date = here;
                    }
                    case "EXT-X-DATERANGE" -> {
                        Attributes a = Attributes.parse(line.value(), 1);
                        if (a.get("ID") == null || a.get("START-DATE") == null) {
                            fault("EXT-X-DATERANGE needs ID and START-DATE");
                            continue;
                        }
                        String length = a.get("DURATION") == null ? a.get("PLANNED-DURATION") : a.get("DURATION");
                        double seconds = length == null ? 0 : Double.parseDouble(length);
                        dated.put(
                                a.get("ID"),
                                new Range(
                                        a.get("ID"),
                                        a.get("CLASS"),
                                        Instant.parse(a.get("START-DATE")).toEpochMilli(),
                                        seconds,
                                        a));
                    }
                    default -> {}
                }
            }
            keys = told.length() == 0 ? keys : told.toString().contains("METHOD=NONE") ? "" : told.toString();
            if (map == null && entry.uri().endsWith(".m4s")) {
                fault("segment " + sequence + " has no EXT-X-MAP");
            }
            result.add(new Segment(sequence, entry.uri(), entry.durationSeconds(), broken, number, map, keys, date));
            date += 1000 * entry.durationSeconds();
            sequence++;
        }
        if (!dated.isEmpty() && result.stream().anyMatch(s -> Double.isNaN(s.dateMs()))) {
            fault("EXT-X-DATERANGE needs EXT-X-PROGRAM-DATE-TIME");
        }
        return result;
    }
}
