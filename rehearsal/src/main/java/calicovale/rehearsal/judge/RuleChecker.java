package calicovale.rehearsal.judge;

import calicovale.ControllerApi.Effect;
import calicovale.protocols.http.PercentEncoding;
import calicovale.protocols.json.Documents;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns the judging of a run by the six rules. It reads the tape alone: what was sent and received at each end, and the marks
 * of processes that were started, stalled and killed.
 */
public final class RuleChecker {
    private static final String LOST = "no-session-lost";
    private static final String TWICE = "no-setup-twice";
    private static final String DRAINS = "drains-kept";
    private static final String COLD = "cold-paced";
    private static final String TERMS = "terms-kept";
    private static final String RATION = "attempts-rationed";

    private final Figures figures;
    private final List<Entry> entries;
    private final Verdict verdict = new Verdict();
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final Map<String, List<Entry>> ends = new HashMap<>();
    private final List<Entry> marks = new ArrayList<>();
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();

    private RuleChecker(Figures figures, List<Entry> entries) {
        this.figures = figures;
        this.entries = entries;
    }

    /** Judges a tape, whose entries are in the order of their time. */
    public static Verdict judge(Figures figures, List<Entry> entries) {
        RuleChecker checker = new RuleChecker(figures, entries);
        checker.index();
        checker.answers();
        checker.setUps();
        checker.drains();
        checker.coldBoxes();
        checker.terms();
        checker.seats();
        checker.ration();
        checker.worth();
        return checker.verdict;
    }

    /** One exchange at one end. */
    private static final class Exchange {
        Entry request;
        Entry head;
        Entry response;

        Exchange(Entry request) {
            this.request = request;
        }
    }

    /** One set-up, at both ends. */
    private static final class Attempt {
        final String key;
        final String session;
        final JsonNode body;
        Entry sent;
        Entry read;
        double over = Double.POSITIVE_INFINITY;
        double confirmed = -1;
        double playedUntil = Double.POSITIVE_INFINITY;
        String token;
        int status;

        Attempt(String key, JsonNode body) {
            this.key = key;
            this.body = body;
            this.session = body.path("session").asText();
        }
    }

    private static String conn(Entry e) {
        return e.end() + " " + e.conn();
    }

    private static JsonNode json(String text) {
        try {
            return text == null || text.isEmpty()
                    ? Documents.MAPPER.createObjectNode()
                    : Documents.MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return Documents.MAPPER.createObjectNode();
        }
    }

    private static boolean atManager(Entry e) {
        return e.end().startsWith("manager:");
    }

    private static boolean atBox(Entry e) {
        return e.end().startsWith("box:");
    }

    /** A request of a player as a manager read it. */
    private static boolean ofPlayer(Entry e) {
        return atManager(e) && e.peer().equals(e.end());
    }

    private static boolean forLecture(Entry e) {
        return e.target() != null && e.target().startsWith("/v1/lectures/");
    }

    private static String query(String target, String name) {
        int at = target.indexOf('?');
        for (String part : at < 0 ? new String[0] : target.substring(at + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return PercentEncoding.decode(part.substring(name.length() + 1));
            }
        }
        return null;
    }

    private void index() {
        for (Entry e : entries) {
            String id = conn(e) + " " + e.exchange();
            switch (e.kind()) {
                case REQUEST -> exchanges.put(id, new Exchange(e));
                case HEAD -> {
                    if (exchanges.containsKey(id)) {
                        exchanges.get(id).head = e;
                    }
                }
                case RESPONSE -> {
                    if (exchanges.containsKey(id)) {
                        exchanges.get(id).response = e;
                    }
                }
                case CLOSED, ENDED ->
                    ends.computeIfAbsent(conn(e), c -> new ArrayList<>()).add(e);
                case MARK -> marks.add(e);
                default -> {}
            }
        }
    }

    private double firstEnd(Entry of) {
        double result = Double.POSITIVE_INFINITY;
        for (Entry e : ends.getOrDefault(conn(of), List.of())) {
            if (e.atMs() >= of.atMs()) {
                result = Math.min(result, e.atMs());
            }
        }
        return result;
    }

    /** Whether a manager did not run all the time between: stalled, killed, or the run was over. */
    private boolean away(String manager, double from, double to) {
        for (Entry m : marks) {
            boolean here = m.peer().equals(manager);
            if (here && m.method().equals("manager-stall")) {
                double until = m.atMs() + Double.parseDouble(m.body());
                if (m.atMs() <= to && until >= from) {
                    return true;
                }
            }
            if (here && m.method().equals("manager-kill") && m.atMs() >= from && m.atMs() <= to
                    || m.method().equals("day-end") && m.atMs() <= to) {
                return true;
            }
        }
        return false;
    }

    // --- Rule 1 ---

    private void answers() {
        double longest = figures.classes().stream()
                .mapToDouble(Figures.OfClass::deadlineMs)
                .max()
                .orElse(0);
        Map<String, Double> sentAt = new HashMap<>();
        for (Entry e : entries) {
            if (e.kind() == Kind.REQUEST && e.end().equals("viewers") && forLecture(e)) {
                sentAt.put(e.target(), e.atMs());
            }
            boolean served = e.end().equals("viewers") && e.peer().startsWith("manager")
                    || atManager(e) && e.peer().equals(e.end());
            if (e.kind() == Kind.MALFORMED && served && e.status() >= 200 && e.exchange() == -1) {
                verdict.request("answeredTwice");
                verdict.broken(LOST, e.atMs(), "a second answer at " + e.end());
            }
        }
        for (Exchange x : exchanges.values()) {
            Entry asked = x.request;
            boolean counts =
                    ofPlayer(asked) && (forLecture(asked) || asked.target().startsWith("/s/"));
            if (!counts) {
                continue;
            }
            verdict.checked(LOST);
            boolean lecture = forLecture(asked);
            if (lecture) {
                verdict.request("taken");
                if (x.response != null) {
                    int status = x.response.status();
                    verdict.request(status == 200 ? "played" : status == 503 ? "refused" : "failed");
                }
            }
            Figures.OfClass k = lecture ? figures.of(query(asked.target(), "class")) : null;
            double from = lecture ? sentAt.getOrDefault(asked.target(), asked.atMs()) : asked.atMs();
            double due = from + (k == null ? longest : k.deadlineMs()) + figures.answerSlackMs();
            double answered = x.response == null ? Double.POSITIVE_INFINITY : x.response.atMs();
            if (answered <= due || away(asked.end(), from, due)) {
                continue;
            }
            // who leaves before the time is up is owed nothing more; a viewer that waited to the end was
            boolean left = firstEnd(asked) < due - 2 * figures.answerSlackMs();
            if (!left) {
                verdict.request("unanswered");
                verdict.broken(
                        LOST, asked.atMs(), asked.target() + " had no answer at " + asked.end() + " by its time");
            }
        }
    }

    // --- Rule 2 ---

    private Attempt attempt(Entry e) {
        JsonNode body = json(e.body());
        String key = body.path("key").asText();
        return attempts.computeIfAbsent(key, k -> new Attempt(k, body));
    }

    private void setUps() {
        Map<String, Attempt> byToken = new HashMap<>();
        for (Entry e : entries) {
            if (e.kind() != Kind.REQUEST || !"POST".equals(e.method()) || !"/v1/sessions".equals(e.target())) {
                continue;
            }
            Attempt a = attempt(e);
            if (atBox(e)) {
                if (a.read != null) {
                    verdict.broken(TWICE, e.atMs(), "set-up " + a.key + " was sent twice");
                }
                a.read = e;
            } else {
                a.sent = e;
            }
            Exchange x = exchanges.get(conn(e) + " " + e.exchange());
            double answered = x.response == null ? Double.POSITIVE_INFINITY : x.response.atMs();
            a.over = Math.min(a.over, Math.min(answered, firstEnd(e)));
            if (atBox(e) && x.response != null) {
                a.status = x.response.status();
                String base = json(x.response.body()).path("base").asText("");
                if (a.status == 201 && base.length() > 4) {
                    a.token = base.substring(3, base.length() - 1);
                    byToken.put(a.token, a);
                }
            }
        }
        plays(byToken);
        Map<String, List<Attempt>> bySession = new LinkedHashMap<>();
        attempts.values().stream()
                .filter(a -> a.read != null)
                .sorted((a, b) -> Double.compare(a.read.atMs(), b.read.atMs()))
                .forEach(a -> bySession
                        .computeIfAbsent(a.session, s -> new ArrayList<>())
                        .add(a));
        for (Entry e : entries) {
            boolean refused = e.kind() == Kind.HEAD && ofPlayer(e) && e.status() == 503 && e.body() != null;
            for (Attempt a : refused ? bySession.getOrDefault(e.body(), List.of()) : List.<Attempt>of()) {
                Figures.OfClass k = figures.of(a.body.path("class").asText());
                if (k != null && k.effect() == Effect.SIDE_EFFECT && a.status != 429) {
                    verdict.broken(TWICE, e.atMs(), e.body() + " was refused though " + a.key + " may have run");
                }
            }
        }
        for (List<Attempt> all : bySession.values()) {
            verdict.checked(TWICE);
            for (int i = 1; i < all.size(); i++) {
                Attempt before = all.get(i - 1);
                Attempt next = all.get(i);
                if (next.read.atMs() < before.over) {
                    verdict.broken(TWICE, next.read.atMs(), next.key + " was out beside " + before.key);
                }
                Figures.OfClass k = figures.of(next.body.path("class").asText());
                if (k != null && k.effect() == Effect.SIDE_EFFECT && before.status != 429) {
                    verdict.broken(TWICE, next.read.atMs(), next.key + " repeats what may have run");
                }
                for (Attempt other : all.subList(0, i)) {
                    boolean both = other.confirmed >= 0 && next.confirmed >= 0;
                    if (both
                            && Math.max(other.confirmed, next.confirmed)
                                    < Math.min(other.playedUntil, next.playedUntil)) {
                        verdict.broken(TWICE, next.confirmed, next.key + " plays beside " + other.key);
                    }
                }
            }
        }
    }

    /** Confirmations, ends and segments at the boxes' sockets. */
    private void plays(Map<String, Attempt> byToken) {
        for (Entry e : entries) {
            boolean message = atBox(e)
                    && e.kind() == Kind.REQUEST
                    && e.target() != null
                    && e.target().startsWith("/v1/sessions/");
            if (message) {
                Attempt a = attempts.get(e.target().substring(13));
                if (a != null
                        && "PUT".equals(e.method())
                        && json(e.body()).path("confirmed").asBoolean()) {
                    Exchange x = exchanges.get(conn(e) + " " + e.exchange());
                    boolean taken = x.response != null && x.response.status() == 204;
                    a.confirmed = taken && a.confirmed < 0 ? e.atMs() : a.confirmed;
                }
                if (a != null && "DELETE".equals(e.method())) {
                    a.playedUntil = Math.min(a.playedUntil, e.atMs());
                }
            }
            if (atBox(e) && e.kind() == Kind.EVENT && "ended".equals(e.method())) {
                Attempt a = attempts.get(json(e.body()).path("key").asText());
                if (a != null) {
                    a.playedUntil = Math.min(a.playedUntil, e.atMs());
                }
            }
            if (e.kind() == Kind.MARK && e.method().equals("box-down")) {
                for (Attempt a : attempts.values()) {
                    if (a.read != null && a.read.end().equals(e.peer()) && a.read.atMs() < e.atMs()) {
                        a.playedUntil = Math.min(a.playedUntil, e.atMs());
                    }
                }
            }
            if (atBox(e)
                    && e.kind() == Kind.HEAD
                    && e.status() == 200
                    && e.target() != null
                    && e.target().startsWith("/s/")) {
                Attempt a = byToken.get(e.target().split("/")[2]);
                if (a == null || a.confirmed < 0 || e.atMs() < a.confirmed) {
                    verdict.broken(TWICE, e.atMs(), "a segment of a set-up that nobody confirmed: " + e.target());
                }
            }
        }
    }

    // --- Rule 3 ---

    private void drains() {
        Map<String, Map<String, Double>> told = new HashMap<>();
        Map<String, Set<String>> known = new HashMap<>();
        for (Entry e : entries) {
            if (e.kind() == Kind.MARK && e.method().equals("manager-start")) {
                told.remove(e.peer());
                known.remove(e.peer());
            }
            if (!atManager(e)) {
                continue;
            }
            Map<String, Double> here = told.computeIfAbsent(e.end(), m -> new HashMap<>());
            if (e.kind() == Kind.EVENT && "/v1/boxes".equals(e.target())) {
                Set<String> all = known.computeIfAbsent(e.end(), m -> new HashSet<>());
                Set<String> named = new HashSet<>();
                for (JsonNode box : json(e.body()).path("boxes")) {
                    String name = "box:" + box.path("id").asLong();
                    named.add(name);
                    if (box.path("state").asText().equals("ready")) {
                        here.remove(name);
                    } else if (!here.containsKey(name)) {
                        here.put(name, e.atMs());
                        verdict.checked(DRAINS);
                    }
                }
                all.addAll(named);
                if ("full".equals(e.method())) {
                    for (String name : all) {
                        if (!named.contains(name) && here.putIfAbsent(name, e.atMs()) == null) {
                            verdict.checked(DRAINS);
                        }
                    }
                }
            }
            boolean setUp = e.kind() == Kind.REQUEST && "POST".equals(e.method()) && "/v1/sessions".equals(e.target());
            if (setUp && here.containsKey(e.peer()) && e.atMs() > here.get(e.peer()) + figures.drainGraceMs()) {
                verdict.broken(
                        DRAINS,
                        e.atMs(),
                        e.end() + " sent a set-up to " + e.peer() + " " + Math.round(e.atMs() - here.get(e.peer()))
                                + " ms after it was told");
            }
        }
    }

    // --- Rule 4 ---

    private void coldBoxes() {
        Map<String, Double> started = new HashMap<>();
        Map<String, ArrayDeque<Double>> window = new HashMap<>();
        for (Entry e : entries) {
            if (e.kind() == Kind.MARK && e.method().equals("box-start")) {
                started.put(e.peer(), e.atMs());
                window.put(e.peer(), new ArrayDeque<>());
            }
            boolean setUp = atBox(e)
                    && e.kind() == Kind.REQUEST
                    && "POST".equals(e.method())
                    && "/v1/sessions".equals(e.target());
            Double start = started.get(e.end());
            if (!setUp || start == null || e.atMs() - start >= figures.warmAfterMs()) {
                continue;
            }
            verdict.checked(COLD);
            ArrayDeque<Double> last = window.get(e.end());
            last.addLast(e.atMs());
            while (last.peekFirst() <= e.atMs() - figures.tipMs()) {
                last.removeFirst();
            }
            double warmed = figures.coldFrom() + (1 - figures.coldFrom()) * (e.atMs() - start) / figures.warmAfterMs();
            double budget =
                    figures.tipMultiple() * figures.streams() / figures.warmAfterMs() * warmed * figures.tipMs();
            if (last.size() > budget + 1) {
                verdict.broken(
                        COLD,
                        e.atMs(),
                        e.end() + " was sent " + last.size() + " set-ups in " + Math.round(figures.tipMs()) + " ms, "
                                + Math.round(budget) + " are permitted");
            }
        }
    }

    // --- Rule 5 ---

    private void terms() {
        Map<String, String> classOf = new HashMap<>();
        for (Entry e : entries) {
            // what a manager wrote and what a viewer read are both judged
            boolean given = e.kind() == Kind.RESPONSE
                    && e.status() == 200
                    && e.body() != null
                    && (e.end().equals("viewers") || ofPlayer(e));
            if (given && forLecture(e)) {
                for (String line : e.body().split("\n")) {
                    if (line.startsWith("/s/")) {
                        classOf.put(line, query(e.target(), "class"));
                    }
                }
            }
            if (given && classOf.containsKey(e.target())) {
                Figures.OfClass k = figures.of(classOf.get(e.target()));
                if (k == null || k.lowestRung() == 0) {
                    continue;
                }
                verdict.checked(TERMS);
                for (String line : e.body().split("\n")) {
                    int at = line.startsWith("http://") ? line.indexOf("/s/") : -1;
                    String[] parts = at < 0 ? new String[0] : line.substring(at).split("/");
                    if (parts.length == 5 && Integer.parseInt(parts[3]) < k.lowestRung()) {
                        verdict.broken(TERMS, e.atMs(), "a playlist of " + k.name() + " shows rung " + parts[3]);
                        break;
                    }
                }
            }
        }
        for (Attempt a : attempts.values()) {
            Figures.OfClass k = figures.of(a.body.path("class").asText());
            if (k != null && k.lowestRung() > 0) {
                verdict.checked(TERMS);
                if (a.body.path("rung").asInt() < k.lowestRung()) {
                    verdict.broken(
                            TERMS,
                            (a.read == null ? a.sent : a.read).atMs(),
                            a.key + " was set up at rung " + a.body.path("rung").asInt());
                }
            }
        }
        for (Entry e : entries) {
            boolean change = atBox(e)
                    && e.kind() == Kind.REQUEST
                    && "PUT".equals(e.method())
                    && e.target().startsWith("/v1/sessions/");
            Attempt a = change ? attempts.get(e.target().substring(13)) : null;
            Figures.OfClass k =
                    a == null ? null : figures.of(a.body.path("class").asText());
            JsonNode rung = a == null ? null : json(e.body()).get("rung");
            if (k != null && rung != null && rung.asInt() < k.lowestRung()) {
                verdict.broken(TERMS, e.atMs(), a.key + " was put at rung " + rung.asInt());
            }
        }
    }

    private void seats() {
        record Change(double at, int by, String key) {}
        Map<String, List<Change>> changes = new HashMap<>();
        Map<String, Integer> most = new HashMap<>();
        for (Attempt a : attempts.values()) {
            Figures.OfClass k = figures.of(a.body.path("class").asText());
            if (k == null || k.seats() <= 0 || a.read == null) {
                continue;
            }
            boolean played = a.status == 201 && a.confirmed >= 0;
            double until = played ? a.playedUntil : a.over;
            String seat = a.body.path("manager").asText() + " " + k.name() + " "
                    + a.body.path("title").asText();
            most.put(seat, k.seats());
            List<Change> all = changes.computeIfAbsent(seat, s -> new ArrayList<>());
            all.add(new Change(a.read.atMs(), 1, a.key));
            all.add(new Change(until, -1, a.key));
        }
        changes.forEach((seat, all) -> {
            // of one moment's changes the ends come first
            all.sort((a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Integer.compare(a.by(), b.by()));
            int held = 0;
            for (Change c : all) {
                held += c.by();
                if (c.by() > 0) {
                    verdict.checked(TERMS);
                    if (held > most.get(seat)) {
                        verdict.broken(
                                TERMS, c.at(), c.key() + " is number " + held + " of " + most.get(seat) + " seats");
                    }
                }
            }
        });
    }

    // --- Rule 6 ---

    private void ration() {
        if (figures.extraFree() < 0) {
            return;
        }
        Map<String, Map<String, Double>> taken = new HashMap<>();
        Map<String, List<Double>> extras = new HashMap<>();
        for (Entry e : entries) {
            if (atManager(e)
                    && e.kind() == Kind.HEAD
                    && e.body() != null
                    && e.peer().equals(e.end())) {
                Exchange x = exchanges.get(conn(e) + " " + e.exchange());
                int dash = e.body().lastIndexOf('-');
                if (x != null && dash > 0) {
                    taken.computeIfAbsent(e.body().substring(0, dash), m -> new HashMap<>())
                            .merge(e.body(), x.request.atMs(), Math::min);
                }
            }
            boolean setUp = atManager(e)
                    && e.kind() == Kind.REQUEST
                    && "POST".equals(e.method())
                    && "/v1/sessions".equals(e.target());
            if (setUp) {
                JsonNode body = json(e.body());
                String id = body.path("session").asText();
                String manager = id.substring(0, Math.max(0, id.lastIndexOf('-')));
                taken.computeIfAbsent(manager, m -> new HashMap<>()).merge(id, e.atMs(), Math::min);
                if (body.path("attempt").asInt() > 0) {
                    extras.computeIfAbsent(manager, m -> new ArrayList<>()).add(e.atMs());
                }
            }
        }
        extras.forEach((manager, all) -> {
            for (int i = 0; i < all.size(); i++) {
                double at = all.get(i);
                double from = at - figures.extraWindowMs();
                long made = all.subList(0, i + 1).stream().filter(t -> t > from).count();
                long in = taken.get(manager).values().stream()
                        .filter(t -> t > from && t <= at)
                        .count();
                verdict.checked(RATION);
                if (made > figures.extraFree() + figures.extraRatio() * in) {
                    verdict.broken(RATION, at, manager + " made " + made + " further attempts on " + in + " requests");
                }
            }
        });
    }

    // --- Worth ---

    private void worth() {
        Map<String, String> wishes = new LinkedHashMap<>();
        Set<String> played = new HashSet<>();
        for (Entry e : entries) {
            if (!e.end().equals("viewers") || !forLecture(e)) {
                continue;
            }
            String viewer = query(e.target(), "viewer");
            if (e.kind() == Kind.REQUEST) {
                wishes.putIfAbsent(viewer, query(e.target(), "class"));
            } else if (e.kind() == Kind.RESPONSE && e.status() == 200) {
                played.add(viewer);
            }
        }
        wishes.forEach((viewer, name) -> {
            Figures.OfClass k = figures.of(name);
            double worth = k == null ? 0 : k.worth();
            verdict.worth(worth, played.contains(viewer) ? worth : 0);
        });
    }
}
