package calicovale.rehearsal.judge;

import calicovale.protocols.http.PercentEncoding;
import calicovale.protocols.json.Documents;
import calicovale.rehearsal.judge.PlaylistRules.Range;
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
 * Owns the judging of all sessions' playlists, and of the programme changes in them, by the tape alone: what managers wrote
 * to players, what boxes delivered, and the script's marks of when a change was told. Times are compared as dates of the
 * playlists, so that no clock but the service's is needed.
 */
public final class PlaylistChecker {
    private static final int MOST_TOLD = 20;
    /** Ms by which two processes' readings of the common clock may differ. */
    private static final double CLOCK_SLACK_MS = 250;

    /** What was found. */
    public static final class Findings {
        private long playlists;
        private long sessions;
        private long due;
        private long shown;
        private long missed;
        private long broken;
        private final List<String> breaks = new ArrayList<>();

        /** Playlists checked. */
        public long playlists() {
            return playlists;
        }

        /** Sessions that had one. */
        public long sessions() {
            return sessions;
        }

        /** Times that a session played through the point at which a change was due for it. */
        public long due() {
            return due;
        }

        /** Times that a change was shown to a session. */
        public long shown() {
            return shown;
        }

        /** Times that it was due and not shown, at a session that lost no box meanwhile. */
        public long missed() {
            return missed;
        }

        /** Faults found. */
        public long broken() {
            return broken;
        }

        /** The first faults, in words. */
        public List<String> breaks() {
            return breaks;
        }

        private void broken(double atMs, String how) {
            broken++;
            if (breaks.size() < MOST_TOLD) {
                breaks.add("playlist at " + Math.round(atMs) + " ms: " + how);
            }
        }
    }

    private static final class Session {
        final String token;
        final String sessionClass;
        final String tenant;
        final String title;
        final String viewer;
        final PlaylistRules rules = new PlaylistRules();
        final TreeMap<Long, Segment> all = new TreeMap<>();
        final Map<String, Range> ranges = new LinkedHashMap<>();
        double firstMs;
        double lastMs;
        String manager;

        Session(String token, String target, String title) {
            this.token = token;
            this.title = title;
            sessionClass = query(target, "class");
            tenant = query(target, "tenant");
            viewer = query(target, "viewer");
        }
    }

    private record Told(String manager, JsonNode change, double wallMs, double[] withdrawnWallMs) {
        String id() {
            return change.path("id").asText();
        }
    }

    private final Figures figures;
    private final Findings findings = new Findings();
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final List<Told> told = new ArrayList<>();
    private final Map<String, Integer> delivered = new HashMap<>();

    private PlaylistChecker(Figures figures) {
        this.figures = figures;
    }

    /** Judges a tape, whose entries are in the order of their time. */
    public static Findings judge(Figures figures, List<Entry> entries) {
        PlaylistChecker checker = new PlaylistChecker(figures);
        entries.forEach(checker::take);
        checker.findings.sessions =
                checker.sessions.values().stream().filter(s -> !s.all.isEmpty()).count();
        checker.sessions.values().forEach(checker::changes);
        checker.twice();
        return checker.findings;
    }

    private static String query(String target, String name) {
        int at = target.indexOf('?');
        for (String part : at < 0 ? new String[0] : target.substring(at + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return PercentEncoding.decode(part.substring(name.length() + 1));
            }
        }
        return "";
    }

    private void take(Entry e) {
        if (e.kind() == Kind.MARK) {
            mark(e);
            return;
        }
        if (e.kind() != Kind.RESPONSE || e.status() != 200 || e.target() == null) {
            return;
        }
        if (e.end().startsWith("box:") && e.target().startsWith("/s/")) {
            delivered.merge(e.target(), 1, Integer::sum);
        }
        boolean toPlayer = e.end().startsWith("manager:") && e.end().equals(e.peer()) && e.body() != null;
        if (toPlayer && e.target().startsWith("/v1/lectures/")) {
            String title = e.target().substring(13, e.target().indexOf('/', 13));
            for (String line : e.body().split("\n")) {
                if (line.startsWith("/s/")) {
                    String token = line.substring(3, line.indexOf('/', 3));
                    sessions.put(token, new Session(token, e.target(), title));
                }
            }
        } else if (toPlayer && e.target().startsWith("/s/") && e.target().endsWith("/media.m3u8")) {
            Session s = sessions.get(e.target().substring(3, e.target().indexOf('/', 3)));
            if (s == null) {
                findings.broken(e.atMs(), e.target() + " was given to nobody");
            } else {
                playlist(s, e);
            }
        }
    }

    private void mark(Entry e) {
        if (!e.method().equals("change-told") && !e.method().equals("change-withdrawn")) {
            return;
        }
        try {
            JsonNode n = Documents.MAPPER.readTree(e.body());
            if (e.method().equals("change-told")) {
                told.add(new Told(
                        e.peer(), n.get("change"), n.get("wallMs").asDouble(), new double[] {Double.POSITIVE_INFINITY
                        }));
            } else {
                told.stream()
                        .filter(t -> t.manager().equals(e.peer())
                                && t.id().equals(n.get("id").asText()))
                        .forEach(t -> t.withdrawnWallMs()[0] = n.get("wallMs").asDouble());
            }
        } catch (JsonProcessingException x) {
            throw new IllegalArgumentException("a mark that is no JSON: " + e.body(), x);
        }
    }

    private void playlist(Session s, Entry e) {
        findings.playlists++;
        for (String fault : s.rules.take(e.body())) {
            findings.broken(e.atMs(), s.token + ": " + fault);
        }
        s.firstMs = s.all.isEmpty() ? e.atMs() : s.firstMs;
        s.lastMs = e.atMs();
        s.manager = e.end();
        Figures.OfClass k = figures.of(s.sessionClass);
        for (Segment x : s.rules.segments()) {
            if (s.all.put(x.sequence(), x) == null && k != null && rung(x) >= 0 && rung(x) < k.lowestRung()) {
                findings.broken(e.atMs(), s.token + ": segment " + x.uri() + " is under the floor " + k.lowestRung());
            }
        }
        s.ranges.putAll(s.rules.ranges());
    }

    /** The rung that a segment's URI names; -1: none. */
    private static int rung(Segment x) {
        String[] parts = x.uri().split("/");
        String rung = parts.length < 2 ? "" : parts[parts.length - 2];
        return rung.matches("\\d{1,2}") ? Integer.parseInt(rung) : -1;
    }

    /** The box and set-up of a segment. */
    private static String place(Segment x) {
        String[] parts = x.uri().split("/");
        return parts.length > 4 ? parts[2] + "/" + parts[4] : x.uri();
    }

    private static String path(Segment x) {
        return x.uri().substring(x.uri().indexOf('/', x.uri().indexOf("//") + 2));
    }

    private static int index(Segment x) {
        String file = x.uri().substring(x.uri().lastIndexOf('/') + 1);
        return file.matches("\\d{1,6}\\.m4s") ? Integer.parseInt(file.substring(0, file.length() - 4)) : -1;
    }

    private static String change(Range r) {
        return r.id().substring(0, r.id().lastIndexOf('-'));
    }

    private static boolean in(Range r, Segment x) {
        return x.dateMs() >= r.startMs() - 3 && x.dateMs() + 1000 * x.seconds() <= r.startMs() + 1000 * r.seconds() + 3;
    }

    // --- Changes ---

    private boolean forIt(Told t, Session s) {
        JsonNode whom = t.change().path("for");
        return t.manager().equals(s.manager)
                && has(whom, "titles", s.title)
                && has(whom, "classes", s.sessionClass)
                && has(whom, "tenants", s.tenant)
                && has(whom, "sessions", s.token);
    }

    private static boolean has(JsonNode whom, String key, String name) {
        if (!whom.has(key)) {
            return true;
        }
        for (JsonNode n : whom.get(key)) {
            if (n.asText().equals(name)) {
                return true;
            }
        }
        return false;
    }

    private void changes(Session s) {
        if (s.all.isEmpty()) {
            return;
        }
        Set<String> places = new HashSet<>();
        s.all.values().stream()
                .filter(x -> s.ranges.values().stream().noneMatch(r -> in(r, x)))
                .forEach(x -> places.add(place(x)));
        // or its manager was: then the numbers go on above those that may have been given
        boolean lost = places.size() > 1 || s.all.firstKey() > 0 || s.all.lastKey() - s.all.firstKey() >= s.all.size();
        Set<String> begun = new HashSet<>();
        for (Range r : s.ranges.values()) {
            begun.add(change(r));
            Told t = told.stream()
                    .filter(x -> x.id().equals(change(r)) && forIt(x, s))
                    .findFirst()
                    .orElse(null);
            if (t == null) {
                findings.broken(s.lastMs, s.token + ": change " + change(r) + " was not told for it");
                continue;
            }
            point(s, t, r, lost);
            if (r.kind().equals("org.calicovale.change")) {
                whole(s, r);
            }
        }
        findings.shown += begun.size();
        for (Told t : told) {
            if (!forIt(t, s)) {
                continue;
            }
            double from = Math.max(dueMs(s, t), t.wallMs());
            // by then every boundary that was not yet listed when it was told has come
            double latest = from + 1000.0 * (window(s) + 2) * s.rules.target();
            boolean counts = from < t.change().path("validUntilMs").asDouble() && t.withdrawnWallMs()[0] > latest;
            if (counts && s.all.lastEntry().getValue().dateMs() > latest) {
                findings.due++;
                if (!begun.contains(t.id()) && !lost && !elsewhere(s, t)) {
                    findings.missed++;
                    findings.broken(
                            s.lastMs,
                            s.token + " of " + s.sessionClass + ": change " + t.id() + " was due and not shown");
                }
            }
        }
    }

    /** Whether the same viewer was shown it in another session: once a viewer, or a session that goes on. */
    private boolean elsewhere(Session s, Told t) {
        return sessions.values().stream()
                .anyMatch(other -> other != s
                        && !s.viewer.isEmpty()
                        && other.viewer.equals(s.viewer)
                        && other.ranges.values().stream()
                                .anyMatch(r -> change(r).equals(t.id())));
    }

    private static int window(Session s) {
        return s.rules.segments().size();
    }

    /** The first date at which it is due by its time or place; infinite: the place was never reached. */
    private static double dueMs(Session s, Told t) {
        JsonNode start = t.change().path("start");
        if (start.has("atMs")) {
            return Math.max(
                    start.get("atMs").asDouble(), s.all.firstEntry().getValue().dateMs());
        }
        for (Segment x : s.all.values()) {
            boolean lecture = s.ranges.values().stream().noneMatch(r -> in(r, x));
            if (lecture && index(x) * x.seconds() >= start.get("lectureS").asDouble() - 1e-6) {
                return x.dateMs();
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private void point(Session s, Told t, Range r, boolean lost) {
        JsonNode start = t.change().path("start");
        if (start.has("atMs") && r.startMs() < start.get("atMs").asDouble() - CLOCK_SLACK_MS) {
            findings.broken(
                    s.lastMs,
                    s.token + ": change " + t.id() + " began "
                            + (start.get("atMs").asDouble() - r.startMs()) + " ms before its time");
        }
        // the lecture goes on behind a piece at its place, or later where a stretch is replaced
        Segment after = s.all.values().stream()
                .filter(x -> x.dateMs() > r.startMs() + 3
                        && s.ranges.values().stream().noneMatch(other -> in(other, x)))
                .findFirst()
                .orElse(null);
        // segments that a lost box may not have given are listed again behind what was cut
        if (start.has("lectureS")
                && !lost
                && after != null
                && index(after) * after.seconds() < start.get("lectureS").asDouble() - 0.01) {
            findings.broken(
                    s.lastMs,
                    s.token + ": change " + t.id() + " began at " + index(after) * after.seconds()
                            + " s, before its place");
        }
        double from = Math.max(
                start.path("atMs").asDouble(),
                Math.max(t.wallMs(), s.all.firstEntry().getValue().dateMs()));
        double latest = from + 1000.0 * (window(s) + 2) * s.rules.target() + CLOCK_SLACK_MS;
        if (start.has("atMs") && !lost && r.startMs() > latest) {
            findings.broken(
                    s.lastMs,
                    s.token + ": change " + t.id() + " began " + (r.startMs() - from) + " ms after it was due");
        }
        if (r.startMs() > t.change().path("validUntilMs").asDouble() + CLOCK_SLACK_MS) {
            findings.broken(s.lastMs, s.token + ": change " + t.id() + " began after its time was over");
        }
    }

    /** A piece that began is played out, in order, unless its box or the lecture's was lost. */
    private void whole(Session s, Range r) {
        List<Segment> of = s.all.values().stream().filter(x -> in(r, x)).toList();
        if (of.isEmpty()) {
            findings.broken(s.lastMs, s.token + ": " + r.id() + " marks no segments");
            return;
        }
        for (int i = 1; i < of.size(); i++) {
            if (index(of.get(i)) >= 0 && index(of.get(i)) != index(of.get(i - 1)) + 1) {
                findings.broken(
                        s.lastMs,
                        s.token + ": " + r.id() + " has " + of.get(i).uri() + " after "
                                + of.get(i - 1).uri());
            }
        }
        Segment last = of.get(of.size() - 1);
        Segment next = s.all.get(last.sequence() + 1);
        boolean cut =
                last.dateMs() + 1000 * last.seconds() < r.startMs() + 1000 * r.seconds() - 3 && index(of.get(0)) == 0;
        if (cut && next != null && place(next).equals(place(last))) {
            findings.broken(s.lastMs, s.token + ": " + r.id() + " was cut before " + next.uri());
        }
    }

    /** No viewer is shown a change twice: not all of its segments may have been delivered to it more than once. */
    private void twice() {
        Map<String, Map<Integer, Integer>> counts = new LinkedHashMap<>();
        for (Session s : sessions.values()) {
            for (Range r : s.ranges.values()) {
                JsonNode change = told.stream()
                        .filter(t -> t.id().equals(change(r)))
                        .map(Told::change)
                        .findFirst()
                        .orElse(null);
                boolean byViewer = !s.viewer.isEmpty()
                        && change != null
                        && change.path("once").asText().equals("viewer");
                String who = (byViewer ? s.viewer : s.token) + " " + change(r);
                for (Segment x : s.all.values()) {
                    int times = in(r, x) ? delivered.getOrDefault(path(x), 0) : 0;
                    if (times > 0) {
                        counts.computeIfAbsent(who, w -> new HashMap<>()).merge(index(x), 1, Integer::sum);
                    }
                }
            }
        }
        counts.forEach((who, ofIndex) -> {
            if (ofIndex.values().stream().allMatch(count -> count > 1)) {
                findings.broken(0, who + " was shown twice");
            }
        });
    }
}
