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
 * Checks one media playlist by RFC 8216 from reload to reload, as a strict player does: sequence numbers never go
 * back, segments are never altered, the target duration stays, dates agree, and nothing follows the end. Each playlist
 * is compared with the one before it only, because a player keeps no older ones.
 */
public final class PlaylistRules {
    /** Time by which dates may differ, in ms, because dates are written in whole ms and durations with other digits. */
    private static final double DATE_SLACK_MS = 3;

    /**
     * One segment as the playlist lists it.
     *
     * @param sequence its media sequence number
     * @param uri its URI as written
     * @param durationS its EXTINF duration, in s
     * @param discontinuity whether EXT-X-DISCONTINUITY stands before it
     * @param discontinuitySequence its discontinuity sequence number
     * @param initializationMap the EXT-X-MAP in force, or null
     * @param keys the EXT-X-KEY lines in force
     * @param dateMs its date in ms since 1970, as written or computed from the segment before; NaN when there is none
     */
    public record Segment(
            long sequence,
            String uri,
            double durationS,
            boolean discontinuity,
            long discontinuitySequence,
            String initializationMap,
            String keys,
            double dateMs) {}

    /**
     * One EXT-X-DATERANGE.
     *
     * @param id its ID
     * @param kind its CLASS
     * @param startMs its START-DATE in ms since 1970
     * @param durationS its DURATION, or its PLANNED-DURATION while that is not written, in s; 0 without either
     * @param attributes all attributes as written
     */
    public record DateRange(String id, String kind, double startMs, double durationS, Attributes attributes) {

        /**
         * Returns whether a later version has all attributes of this one unaltered, as RFC 8216, 4.3.2.7, requires; it
         * may add some.
         */
        boolean isKeptBy(DateRange later) {
            return attributes.names().stream()
                    .allMatch(name -> attributes.get(name).equals(later.attributes.get(name)));
        }
    }

    /** Segments of the playlist before, by their media sequence numbers. */
    private final Map<Long, Segment> previousSegments = new LinkedHashMap<>();

    private final Map<String, DateRange> ranges = new LinkedHashMap<>();
    private List<Segment> segments = List.of();
    private long firstSequence = -1;
    private long nextSequence = -1;
    private long targetDurationS = -1;
    private boolean ended;
    private boolean endedBefore;
    private List<String> faults = new ArrayList<>();

    /** Returns the segments of the last well-formed playlist. */
    public List<Segment> segments() {
        return segments;
    }

    /** Returns the date ranges of the last well-formed playlist, by their ids. */
    public Map<String, DateRange> ranges() {
        return ranges;
    }

    /** Returns whether the last well-formed playlist has EXT-X-ENDLIST. */
    public boolean isEnded() {
        return ended;
    }

    /** Returns EXT-X-TARGETDURATION of the last well-formed playlist, in s; -1 before the first. */
    public long targetDurationS() {
        return targetDurationS;
    }

    private void addFault(String description) {
        faults.add(description);
    }

    /**
     * Checks the next playlist by itself and against the one before it, and returns its faults; empty when there are
     * none. A malformed playlist is not kept.
     */
    public List<String> checkNext(String text) {
        faults = new ArrayList<>();
        Playlist playlist;
        List<Segment> current;
        Map<String, DateRange> currentRanges = new LinkedHashMap<>();
        try {
            playlist = Playlist.parse(text);
            current = readSegments(playlist, currentRanges);
        } catch (HlsException | DateTimeException | NumberFormatException e) {
            addFault("malformed: " + e.getMessage());
            return faults;
        }
        long mediaSequence = playlist.number("EXT-X-MEDIA-SEQUENCE", 0);
        long targetS = playlist.number("EXT-X-TARGETDURATION", -1);
        endedBefore = ended;
        ended = playlist.isEnded();
        if (targetS < 1) {
            addFault("EXT-X-TARGETDURATION is due");
        }
        if (targetDurationS >= 0 && targetS != targetDurationS) {
            addFault("the target duration was " + targetDurationS + " and is " + targetS);
        }
        if (mediaSequence < firstSequence) {
            addFault("the media sequence went back from " + firstSequence + " to " + mediaSequence);
        }
        if (mediaSequence + current.size() < nextSequence) {
            addFault("segments up to " + nextSequence + " were given, now up to " + (mediaSequence + current.size()));
        }
        if (endedBefore && (!ended || mediaSequence + current.size() != nextSequence)) {
            addFault("the playlist goes on after its end");
        }
        double previousDateMs = Double.NaN;
        for (Segment segment : current) {
            if (Math.round(segment.durationS()) > targetS) {
                addFault("segment " + segment.sequence() + " of " + segment.durationS()
                        + " s is longer than the target " + targetS);
            }
            if (segment.dateMs() < previousDateMs - DATE_SLACK_MS) {
                addFault("the date of segment " + segment.sequence() + " goes back");
            }
            previousDateMs = segment.dateMs();
            compareWithPrevious(previousSegments.get(segment.sequence()), segment);
        }
        for (DateRange range : currentRanges.values()) {
            DateRange before = ranges.get(range.id());
            if (before != null && !before.isKeptBy(range)) {
                addFault("EXT-X-DATERANGE " + range.id() + " was altered");
            }
        }
        ranges.clear();
        ranges.putAll(currentRanges);
        previousSegments.clear();
        current.forEach(segment -> previousSegments.put(segment.sequence(), segment));
        segments = current;
        firstSequence = mediaSequence;
        nextSequence = mediaSequence + current.size();
        targetDurationS = targetS;
        return faults;
    }

    /** Adds a fault for each difference to the same segment in the playlist before, if it was there. */
    private void compareWithPrevious(Segment previous, Segment current) {
        if (previous == null) {
            return;
        }
        boolean same = previous.uri().equals(current.uri())
                && previous.durationS() == current.durationS()
                && previous.discontinuity() == current.discontinuity()
                && Objects.equals(previous.initializationMap(), current.initializationMap())
                && previous.keys().equals(current.keys());
        if (!same) {
            addFault("segment " + current.sequence() + " was " + previous + " and is " + current);
        }
        if (previous.discontinuitySequence() != current.discontinuitySequence()) {
            addFault("the discontinuity number of segment " + current.sequence() + " was "
                    + previous.discontinuitySequence() + " and is " + current.discontinuitySequence());
        }
        if (Math.abs(previous.dateMs() - current.dateMs()) > DATE_SLACK_MS) {
            addFault("the date of segment " + current.sequence() + " was " + previous.dateMs() + " and is "
                    + current.dateMs());
        }
    }

    /** Reads the segments with the map and keys in force at each, and adds the date ranges to {@code currentRanges}. */
    private List<Segment> readSegments(Playlist playlist, Map<String, DateRange> currentRanges) throws HlsException {
        List<Segment> result = new ArrayList<>();
        long sequence = playlist.number("EXT-X-MEDIA-SEQUENCE", 0);
        long discontinuitySequence = playlist.number("EXT-X-DISCONTINUITY-SEQUENCE", 0);
        String map = null;
        String keys = "";
        double dateMs = Double.NaN;
        for (Playlist.Entry entry : playlist.entries()) {
            boolean isDiscontinuity = entry.has("EXT-X-DISCONTINUITY");
            discontinuitySequence += isDiscontinuity ? 1 : 0;
            StringBuilder keyLines = new StringBuilder();
            for (Playlist.Line line : entry.lines()) {
                switch (line.isTag() ? line.name() : "") {
                    case "EXT-X-MAP" -> map = line.value();
                    case "EXT-X-KEY" -> keyLines.append(line).append('\n');
                    case "EXT-X-PROGRAM-DATE-TIME" -> {
                        double writtenDateMs = Instant.parse(line.value()).toEpochMilli();
                        if (!isDiscontinuity && Math.abs(writtenDateMs - dateMs) > DATE_SLACK_MS) {
                            addFault("the date of segment " + sequence + " is not where the segment before ends");
                        }
                        dateMs = writtenDateMs;
                    }
                    case "EXT-X-DATERANGE" -> {
                        Attributes attributes = Attributes.parse(line.value(), 1);
                        if (attributes.get("ID") == null || attributes.get("START-DATE") == null) {
                            addFault("EXT-X-DATERANGE needs ID and START-DATE");
                            continue;
                        }
                        String durationS = attributes.get("DURATION") == null
                                ? attributes.get("PLANNED-DURATION")
                                : attributes.get("DURATION");
                        double seconds = durationS == null ? 0 : Double.parseDouble(durationS);
                        currentRanges.put(
                                attributes.get("ID"),
                                new DateRange(
                                        attributes.get("ID"),
                                        attributes.get("CLASS"),
                                        Instant.parse(attributes.get("START-DATE"))
                                                .toEpochMilli(),
                                        seconds,
                                        attributes));
                    }
                    default -> {}
                }
            }
            keys = keyLines.length() == 0
                    ? keys
                    : keyLines.toString().contains("METHOD=NONE") ? "" : keyLines.toString();
            if (map == null && entry.uri().endsWith(".m4s")) {
                addFault("segment " + sequence + " has no EXT-X-MAP");
            }
            result.add(new Segment(
                    sequence,
                    entry.uri(),
                    entry.durationSeconds(),
                    isDiscontinuity,
                    discontinuitySequence,
                    map,
                    keys,
                    dateMs));
            dateMs += 1000 * entry.durationSeconds();
            sequence++;
        }
        if (!currentRanges.isEmpty() && result.stream().anyMatch(s -> Double.isNaN(s.dateMs()))) {
            addFault("EXT-X-DATERANGE needs EXT-X-PROGRAM-DATE-TIME");
        }
        return result;
    }
}
