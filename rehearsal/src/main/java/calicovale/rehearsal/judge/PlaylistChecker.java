package calicovale.rehearsal.judge;

import calicovale.protocols.http.PercentEncoding;
import calicovale.protocols.json.Documents;
import calicovale.rehearsal.judge.PlaylistRules.DateRange;
import calicovale.rehearsal.judge.PlaylistRules.Segment;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges all sessions' playlists, and the programme changes in them, from the recording alone: what managers wrote to
 * players, what boxes delivered, and the script's marks of when a change was announced. Times are compared as dates of
 * the playlists, so that only the service's clock is needed.
 */
public final class PlaylistChecker {
    /** Largest number of faults that are described in words; further ones are only counted. */
    private static final int MAX_DESCRIBED_FAULTS = 20;
    /** Time by which two processes' readings of the common clock may differ, in ms. */
    private static final double CLOCK_SLACK_MS = 250;

    /** Result of the check: counts, and descriptions of the first faults. */
    public static final class Findings {
        private long playlistCount;
        private long sessionCount;
        private long changesDue;
        private long changesShown;
        private long changesMissed;
        private long faultCount;
        private final List<String> faults = new ArrayList<>();

        /** Returns the number of media playlists that were checked. */
        public long playlistCount() {
            return playlistCount;
        }

        /** Returns the number of sessions that were given a media playlist with a segment. */
        public long sessionCount() {
            return sessionCount;
        }

        /** Returns how often a session played past the point at which a change was due for it. */
        public long changesDue() {
            return changesDue;
        }

        /** Returns how often a change was shown to a session. */
        public long changesShown() {
            return changesShown;
        }

        /**
         * Returns how often a change was due and not shown. Sessions that lost their box or manager are not counted,
         * nor are those whose viewer was shown the change in another session.
         */
        public long changesMissed() {
            return changesMissed;
        }

        /** Returns the number of faults. */
        public long faultCount() {
            return faultCount;
        }

        /** Returns descriptions of the first faults, in the order in which they were found. */
        public List<String> faults() {
            return faults;
        }

        /** Counts a fault; {@code atMs} is the time of the recording at which it was found, in ms. */
        private void recordFault(double atMs, String description) {
            faultCount++;
            if (faults.size() < MAX_DESCRIBED_FAULTS) {
                faults.add("playlist at " + Math.round(atMs) + " ms: " + description);
            }
        }
    }

    /** All that one session was given, by its token in the playlists' URIs. */
    private static final class SessionHistory {
        final String token;
        final String sessionClass;
        final String tenant;
        final String title;
        final String viewer;
        final PlaylistRules rules = new PlaylistRules();
        /** Each segment that a playlist of the session listed, by its media sequence number. */
        final TreeMap<Long, Segment> segments = new TreeMap<>();
        /** Each EXT-X-DATERANGE that a playlist of the session had, in its latest version, by its id. */
        final Map<String, DateRange> ranges = new LinkedHashMap<>();
        /** Times of the first and the last playlist in the recording, in ms. */
        double firstPlaylistMs;

        double lastPlaylistMs;
        /** The end at which the last playlist was written, {@code manager:N}. */
        String manager;

        SessionHistory(String token, String target, String title) {
            this.token = token;
            this.title = title;
            sessionClass = queryParameter(target, "class");
            tenant = queryParameter(target, "tenant");
            viewer = queryParameter(target, "viewer");
        }
    }

    /**
     * One change as announced to one manager.
     *
     * @param manager the manager's end, {@code manager:N}
     * @param change the change document
     * @param announcedMs when it was announced, in ms of the wall clock
     * @param withdrawnMs one element: when it was withdrawn, in ms of the wall clock; infinite while it was not
     */
    private record AnnouncedChange(String manager, JsonNode change, double announcedMs, double[] withdrawnMs) {
        String id() {
            return change.path("id").asText();
        }
    }

    private final RuleParameters parameters;
    private final Findings findings = new Findings();
    private final Map<String, SessionHistory> sessionsByToken = new LinkedHashMap<>();
    private final List<AnnouncedChange> announcedChanges = new ArrayList<>();
    /** How often boxes delivered the segment at this path. */
    private final Map<String, Integer> deliveriesByPath = new HashMap<>();

    private PlaylistChecker(RuleParameters parameters) {
        this.parameters = parameters;
    }

    /** Judges a recording, whose entries must be in the order of their time. */
    public static Findings judge(RuleParameters parameters, List<Entry> entries) {
        PlaylistChecker checker = new PlaylistChecker(parameters);
        entries.forEach(checker::readEntry);
        checker.findings.sessionCount = checker.sessionsByToken.values().stream()
                .filter(s -> !s.segments.isEmpty())
                .count();
        checker.sessionsByToken.values().forEach(checker::checkChanges);
        checker.checkNotShownTwice();
        return checker.findings;
    }

    /** Returns the decoded value of a query parameter, or an empty string when the target has none of this name. */
    private static String queryParameter(String target, String name) {
        int queryStart = target.indexOf('?');
        for (String parameter : queryStart < 0
                ? new String[0]
                : target.substring(queryStart + 1).split("&")) {
            if (parameter.startsWith(name + "=")) {
                return PercentEncoding.decode(parameter.substring(name.length() + 1));
            }
        }
        return "";
    }

    private void readEntry(Entry entry) {
        if (entry.kind() == Kind.MARK) {
            readMark(entry);
            return;
        }
        if (entry.kind() != Kind.RESPONSE || entry.status() != 200 || entry.target() == null) {
            return;
        }
        if (entry.end().startsWith("box:") && entry.target().startsWith("/s/")) {
            deliveriesByPath.merge(entry.target(), 1, Integer::sum);
        }
        boolean toPlayer =
                entry.end().startsWith("manager:") && entry.end().equals(entry.peer()) && entry.body() != null;
        if (toPlayer && entry.target().startsWith("/v1/lectures/")) {
            String title = entry.target().substring(13, entry.target().indexOf('/', 13));
            for (String line : entry.body().split("\n")) {
                if (line.startsWith("/s/")) {
                    String token = line.substring(3, line.indexOf('/', 3));
                    sessionsByToken.put(token, new SessionHistory(token, entry.target(), title));
                }
            }
        } else if (toPlayer
                && entry.target().startsWith("/s/")
                && entry.target().endsWith("/media.m3u8")) {
            SessionHistory session = sessionsByToken.get(
                    entry.target().substring(3, entry.target().indexOf('/', 3)));
            if (session == null) {
                findings.recordFault(entry.atMs(), entry.target() + " was given to nobody");
            } else {
                checkPlaylist(session, entry);
            }
        }
    }

    private void readMark(Entry entry) {
        if (!entry.method().equals("change-told") && !entry.method().equals("change-withdrawn")) {
            return;
        }
        try {
            JsonNode mark = Documents.MAPPER.readTree(entry.body());
            if (entry.method().equals("change-told")) {
                announcedChanges.add(new AnnouncedChange(
                        entry.peer(), mark.get("change"), mark.get("wallMs").asDouble(), new double[] {
                            Double.POSITIVE_INFINITY
                        }));
            } else {
                announcedChanges.stream()
                        .filter(t -> t.manager().equals(entry.peer())
                                && t.id().equals(mark.get("id").asText()))
                        .forEach(t -> t.withdrawnMs()[0] = mark.get("wallMs").asDouble());
            }
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("mark of the script is not JSON: " + entry.body(), e);
        }
    }

    private void checkPlaylist(SessionHistory session, Entry entry) {
        findings.playlistCount++;
        for (String fault : session.rules.checkNext(entry.body())) {
            findings.recordFault(entry.atMs(), session.token + ": " + fault);
        }
        session.firstPlaylistMs = session.segments.isEmpty() ? entry.atMs() : session.firstPlaylistMs;
        session.lastPlaylistMs = entry.atMs();
        session.manager = entry.end();
        RuleParameters.ClassParameters sessionClass = parameters.classNamed(session.sessionClass);
        for (Segment segment : session.rules.segments()) {
            if (session.segments.put(segment.sequence(), segment) == null
                    && sessionClass != null
                    && rungOf(segment) >= 0
                    && rungOf(segment) < sessionClass.lowestRung()) {
                findings.recordFault(
                        entry.atMs(),
                        session.token + ": segment " + segment.uri() + " is under the floor "
                                + sessionClass.lowestRung());
            }
        }
        session.ranges.putAll(session.rules.ranges());
    }

    /** Returns the rung that a segment's URI names, or -1 when it names none. */
    private static int rungOf(Segment segment) {
        String[] parts = segment.uri().split("/");
        String rung = parts.length < 2 ? "" : parts[parts.length - 2];
        return rung.matches("\\d{1,2}") ? Integer.parseInt(rung) : -1;
    }

    /** Returns the box and set-up that a segment's URI names; another URI is returned whole. */
    private static String boxAndSetUpOf(Segment segment) {
        String[] parts = segment.uri().split("/");
        return parts.length > 4 ? parts[2] + "/" + parts[4] : segment.uri();
    }

    private static String pathOf(Segment segment) {
        return segment.uri().substring(segment.uri().indexOf('/', segment.uri().indexOf("//") + 2));
    }

    /** Returns the number in a segment's file name, or -1 when the name is not a number. */
    private static int segmentIndexOf(Segment segment) {
        String file = segment.uri().substring(segment.uri().lastIndexOf('/') + 1);
        return file.matches("\\d{1,6}\\.m4s") ? Integer.parseInt(file.substring(0, file.length() - 4)) : -1;
    }

    /** Returns the id of the change that a range shows: the range's id up to its last dash. */
    private static String changeIdOf(DateRange range) {
        return range.id().substring(0, range.id().lastIndexOf('-'));
    }

    /**
     * Returns whether a segment lies within a range; dates may be off by 3 ms, because they are written in whole ms.
     */
    private static boolean isWithin(DateRange range, Segment segment) {
        return segment.dateMs() >= range.startMs() - 3
                && segment.dateMs() + 1000 * segment.durationS() <= range.startMs() + 1000 * range.durationS() + 3;
    }

    // --- Changes ---

    /** Returns whether a change was announced to the session's manager and selects the session. */
    private boolean isMeantFor(AnnouncedChange change, SessionHistory session) {
        JsonNode audience = change.change().path("for");
        return change.manager().equals(session.manager)
                && selects(audience, "titles", session.title)
                && selects(audience, "classes", session.sessionClass)
                && selects(audience, "tenants", session.tenant)
                && selects(audience, "sessions", session.token);
    }

    /** Returns whether a change's selection has this name under the key, or does not restrict the key. */
    private static boolean selects(JsonNode audience, String key, String name) {
        if (!audience.has(key)) {
            return true;
        }
        for (JsonNode entry : audience.get(key)) {
            if (entry.asText().equals(name)) {
                return true;
            }
        }
        return false;
    }

    /** Checks the changes that a session was shown, and counts those that were due and not shown. */
    private void checkChanges(SessionHistory session) {
        if (session.segments.isEmpty()) {
            return;
        }
        Set<String> boxesAndSetUps = new HashSet<>();
        session.segments.values().stream()
                .filter(x -> session.ranges.values().stream().noneMatch(range -> isWithin(range, x)))
                .forEach(x -> boxesAndSetUps.add(boxAndSetUpOf(x)));
        // Lecture segments of several boxes or set-ups show that a box was lost. A gap in the sequence numbers shows
        // that the manager was lost, because its next process continues above all numbers that may have been given.
        boolean boxOrManagerLost = boxesAndSetUps.size() > 1
                || session.segments.firstKey() > 0
                || session.segments.lastKey() - session.segments.firstKey() >= session.segments.size();
        Set<String> shownChanges = new HashSet<>();
        for (DateRange range : session.ranges.values()) {
            shownChanges.add(changeIdOf(range));
            AnnouncedChange change = announcedChanges.stream()
                    .filter(x -> x.id().equals(changeIdOf(range)) && isMeantFor(x, session))
                    .findFirst()
                    .orElse(null);
            if (change == null) {
                findings.recordFault(
                        session.lastPlaylistMs,
                        session.token + ": change " + changeIdOf(range) + " was not told for it");
                continue;
            }
            checkStart(session, change, range, boxOrManagerLost);
            if (range.kind().equals("org.calicovale.change")) {
                checkPiecePlayedOut(session, range);
            }
        }
        findings.changesShown += shownChanges.size();
        for (AnnouncedChange change : announcedChanges) {
            if (!isMeantFor(change, session)) {
                continue;
            }
            double dueMs = Math.max(dueMs(session, change), change.announcedMs());
            // By then a boundary has passed that was not listed yet when the change was announced.
            double latestStartMs = dueMs + 1000.0 * (windowSegments(session) + 2) * session.rules.targetDurationS();
            boolean countsAsDue =
                    dueMs < change.change().path("validUntilMs").asDouble() && change.withdrawnMs()[0] > latestStartMs;
            if (countsAsDue && session.segments.lastEntry().getValue().dateMs() > latestStartMs) {
                findings.changesDue++;
                if (!shownChanges.contains(change.id()) && !boxOrManagerLost && !shownInOtherSession(session, change)) {
                    findings.changesMissed++;
                    findings.recordFault(
                            session.lastPlaylistMs,
                            session.token + " of " + session.sessionClass + ": change " + change.id()
                                    + " was due and not shown");
                }
            }
        }
    }

    /**
     * Returns whether the same viewer was shown the change in another session, because it is shown once to each viewer
     * or because that session continues in this one.
     */
    private boolean shownInOtherSession(SessionHistory session, AnnouncedChange change) {
        return sessionsByToken.values().stream()
                .anyMatch(other -> other != session
                        && !session.viewer.isEmpty()
                        && other.viewer.equals(session.viewer)
                        && other.ranges.values().stream()
                                .anyMatch(r -> changeIdOf(r).equals(change.id())));
    }

    /** Returns the number of segments in the session's last playlist. */
    private static int windowSegments(SessionHistory session) {
        return session.rules.segments().size();
    }

    /**
     * Returns the first date at which a change is due by its time or place, in ms since 1970, or infinity when its
     * place was not reached.
     */
    private static double dueMs(SessionHistory session, AnnouncedChange change) {
        JsonNode start = change.change().path("start");
        if (start.has("atMs")) {
            return Math.max(
                    start.get("atMs").asDouble(),
                    session.segments.firstEntry().getValue().dateMs());
        }
        for (Segment segment : session.segments.values()) {
            boolean isLecture = session.ranges.values().stream().noneMatch(r -> isWithin(r, segment));
            if (isLecture
                    && segmentIndexOf(segment) * segment.durationS()
                            >= start.get("lectureS").asDouble() - 1e-6) {
                return segment.dateMs();
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Checks that a change began neither before its time or place, nor late, nor after it was no longer valid. */
    private void checkStart(SessionHistory session, AnnouncedChange change, DateRange range, boolean boxOrManagerLost) {
        JsonNode start = change.change().path("start");
        if (start.has("atMs") && range.startMs() < start.get("atMs").asDouble() - CLOCK_SLACK_MS) {
            findings.recordFault(
                    session.lastPlaylistMs,
                    session.token + ": change " + change.id() + " began "
                            + (start.get("atMs").asDouble() - range.startMs()) + " ms before its time");
        }
        // After a piece the lecture continues at the place of the change, or later when the change replaces a part.
        Segment nextLectureSegment = session.segments.values().stream()
                .filter(x -> x.dateMs() > range.startMs() + 3
                        && session.ranges.values().stream().noneMatch(other -> isWithin(other, x)))
                .findFirst()
                .orElse(null);
        // After the loss of a box, segments that it may not have delivered are listed again after the discontinuity.
        if (start.has("lectureS")
                && !boxOrManagerLost
                && nextLectureSegment != null
                && segmentIndexOf(nextLectureSegment) * nextLectureSegment.durationS()
                        < start.get("lectureS").asDouble() - 0.01) {
            findings.recordFault(
                    session.lastPlaylistMs,
                    session.token + ": change " + change.id() + " began at "
                            + segmentIndexOf(nextLectureSegment) * nextLectureSegment.durationS()
                            + " s, before its place");
        }
        double dueMs = Math.max(
                start.path("atMs").asDouble(),
                Math.max(
                        change.announcedMs(),
                        session.segments.firstEntry().getValue().dateMs()));
        double latestStartMs =
                dueMs + 1000.0 * (windowSegments(session) + 2) * session.rules.targetDurationS() + CLOCK_SLACK_MS;
        if (start.has("atMs") && !boxOrManagerLost && range.startMs() > latestStartMs) {
            findings.recordFault(
                    session.lastPlaylistMs,
                    session.token + ": change " + change.id() + " began " + (range.startMs() - dueMs)
                            + " ms after it was due");
        }
        if (range.startMs() > change.change().path("validUntilMs").asDouble() + CLOCK_SLACK_MS) {
            findings.recordFault(
                    session.lastPlaylistMs,
                    session.token + ": change " + change.id() + " began after its time was over");
        }
    }

    /** Checks that a piece that began is listed whole and in order, unless its box or the lecture's was lost. */
    private void checkPiecePlayedOut(SessionHistory session, DateRange range) {
        List<Segment> pieceSegments = session.segments.values().stream()
                .filter(x -> isWithin(range, x))
                .toList();
        if (pieceSegments.isEmpty()) {
            findings.recordFault(session.lastPlaylistMs, session.token + ": " + range.id() + " marks no segments");
            return;
        }
        for (int i = 1; i < pieceSegments.size(); i++) {
            if (segmentIndexOf(pieceSegments.get(i)) >= 0
                    && segmentIndexOf(pieceSegments.get(i)) != segmentIndexOf(pieceSegments.get(i - 1)) + 1) {
                findings.recordFault(
                        session.lastPlaylistMs,
                        session.token + ": " + range.id() + " has "
                                + pieceSegments.get(i).uri() + " after "
                                + pieceSegments.get(i - 1).uri());
            }
        }
        Segment last = pieceSegments.get(pieceSegments.size() - 1);
        Segment next = session.segments.get(last.sequence() + 1);
        boolean wasCut = last.dateMs() + 1000 * last.durationS() < range.startMs() + 1000 * range.durationS() - 3
                && segmentIndexOf(pieceSegments.get(0)) == 0;
        if (wasCut && next != null && boxAndSetUpOf(next).equals(boxAndSetUpOf(last))) {
            findings.recordFault(
                    session.lastPlaylistMs, session.token + ": " + range.id() + " was cut before " + next.uri());
        }
    }

    /**
     * Checks that no viewer is shown a change twice. A change counts as shown twice when each of its delivered
     * segments was delivered more than once.
     */
    private void checkNotShownTwice() {
        Map<String, Map<Integer, Integer>> deliveriesByIndex = new LinkedHashMap<>();
        for (SessionHistory session : sessionsByToken.values()) {
            for (DateRange range : session.ranges.values()) {
                JsonNode change = announcedChanges.stream()
                        .filter(t -> t.id().equals(changeIdOf(range)))
                        .map(AnnouncedChange::change)
                        .findFirst()
                        .orElse(null);
                boolean oncePerViewer = !session.viewer.isEmpty()
                        && change != null
                        && change.path("once").asText().equals("viewer");
                String viewerOrSessionAndChange =
                        (oncePerViewer ? session.viewer : session.token) + " " + changeIdOf(range);
                for (Segment segment : session.segments.values()) {
                    int deliveries = isWithin(range, segment) ? deliveriesByPath.getOrDefault(pathOf(segment), 0) : 0;
                    if (deliveries > 0) {
                        deliveriesByIndex
                                .computeIfAbsent(viewerOrSessionAndChange, w -> new HashMap<>())
                                .merge(segmentIndexOf(segment), 1, Integer::sum);
                    }
                }
            }
        }
        deliveriesByIndex.forEach((viewerOrSessionAndChange, ofIndex) -> {
            if (ofIndex.values().stream().allMatch(count -> count > 1)) {
                findings.recordFault(0, viewerOrSessionAndChange + " was shown twice");
            }
        });
    }
}
