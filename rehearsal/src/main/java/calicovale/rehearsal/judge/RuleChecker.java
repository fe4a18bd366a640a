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
 * Judges a run by the six rules. The only input is the recording: what was sent and received at each end of the
 * connections, and the script's marks of processes that were started, stalled and killed.
 */
public final class RuleChecker {
    // Names of the rules in the report.
    private static final String NO_SESSION_LOST = "no-session-lost";
    private static final String NO_SETUP_TWICE = "no-setup-twice";
    private static final String DRAINS_KEPT = "drains-kept";
    private static final String COLD_PACED = "cold-paced";
    private static final String TERMS_KEPT = "terms-kept";
    private static final String ATTEMPTS_RATIONED = "attempts-rationed";

    private final RuleParameters parameters;
    private final List<Entry> entries;
    private final Verdict verdict = new Verdict();
    /** Requests with their answers, by connection and number of the exchange. */
    private final Map<String, Exchange> exchanges = new HashMap<>();
    /** The entries that end a connection, by {@link #connectionKey}. */
    private final Map<String, List<Entry>> connectionEnds = new HashMap<>();

    private final List<Entry> marks = new ArrayList<>();
    /** Set-up attempts in the order in which they were first recorded, by the key that the manager gave them. */
    private final Map<String, Attempt> attemptsByKey = new LinkedHashMap<>();

    private RuleChecker(RuleParameters parameters, List<Entry> entries) {
        this.parameters = parameters;
        this.entries = entries;
    }

    /** Judges a recording, whose entries must be in the order of their time. */
    public static Verdict judge(RuleParameters parameters, List<Entry> entries) {
        RuleChecker checker = new RuleChecker(parameters, entries);
        checker.indexEntries();
        checker.checkAnswers();
        checker.checkSetUps();
        checker.checkDrains();
        checker.checkColdBoxes();
        checker.checkRungFloors();
        checker.checkSeats();
        checker.checkAttemptBudget();
        checker.sumWorth();
        return checker.verdict;
    }

    /** One request and its answer, as recorded at one end; what was not recorded is null. */
    private static final class Exchange {
        Entry request;
        Entry head;
        Entry response;

        Exchange(Entry request) {
            this.request = request;
        }
    }

    /** One set-up attempt, as recorded at the manager's and the box's end. Times are in ms of the recording. */
    private static final class Attempt {
        final String key;
        final String session;
        final JsonNode body;
        Entry requestAtManager;
        Entry requestAtBox;
        /** When the set-up was answered or its connection ended, whichever was first at either end. */
        double setUpEndMs = Double.POSITIVE_INFINITY;
        /** When the box accepted the confirmation; negative: not confirmed. */
        double confirmedMs = -1;
        /** When the session at the box was ended, infinite while it was not. */
        double playbackEndMs = Double.POSITIVE_INFINITY;
        /** The token in the URIs of the box's segments; null unless the box accepted the set-up. */
        String token;
        /** HTTP status of the box's answer, 0 without one. */
        int status;

        Attempt(String key, JsonNode body) {
            this.key = key;
            this.body = body;
            this.session = body.path("session").asText();
        }
    }

    private static String connectionKey(Entry entry) {
        return entry.end() + " " + entry.conn();
    }

    /** Parses a body; returns an empty object when it is missing or malformed. */
    private static JsonNode parseJson(String text) {
        try {
            return text == null || text.isEmpty()
                    ? Documents.MAPPER.createObjectNode()
                    : Documents.MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return Documents.MAPPER.createObjectNode();
        }
    }

    private static boolean isAtManager(Entry entry) {
        return entry.end().startsWith("manager:");
    }

    private static boolean isAtBox(Entry entry) {
        return entry.end().startsWith("box:");
    }

    /** Returns whether an entry was recorded at a manager's end of a connection with a player. */
    private static boolean isPlayerAtManager(Entry entry) {
        return isAtManager(entry) && entry.peer().equals(entry.end());
    }

    private static boolean isLectureRequest(Entry entry) {
        return entry.target() != null && entry.target().startsWith("/v1/lectures/");
    }

    /** Returns the decoded value of a query parameter, or null when the target has none of this name. */
    private static String queryParameter(String target, String name) {
        int queryStart = target.indexOf('?');
        for (String parameter : queryStart < 0
                ? new String[0]
                : target.substring(queryStart + 1).split("&")) {
            if (parameter.startsWith(name + "=")) {
                return PercentEncoding.decode(parameter.substring(name.length() + 1));
            }
        }
        return null;
    }

    private void indexEntries() {
        for (Entry entry : entries) {
            String exchangeKey = connectionKey(entry) + " " + entry.exchange();
            switch (entry.kind()) {
                case REQUEST -> exchanges.put(exchangeKey, new Exchange(entry));
                case HEAD -> {
                    if (exchanges.containsKey(exchangeKey)) {
                        exchanges.get(exchangeKey).head = entry;
                    }
                }
                case RESPONSE -> {
                    if (exchanges.containsKey(exchangeKey)) {
                        exchanges.get(exchangeKey).response = entry;
                    }
                }
                case CLOSED, ENDED ->
                    connectionEnds
                            .computeIfAbsent(connectionKey(entry), c -> new ArrayList<>())
                            .add(entry);
                case MARK -> marks.add(entry);
                default -> {}
            }
        }
    }

    /** Returns the first time at or after an entry at which its connection ended, or infinity. */
    private double connectionEndMs(Entry entry) {
        double firstEndMs = Double.POSITIVE_INFINITY;
        for (Entry end : connectionEnds.getOrDefault(connectionKey(entry), List.of())) {
            if (end.atMs() >= entry.atMs()) {
                firstEndMs = Math.min(firstEndMs, end.atMs());
            }
        }
        return firstEndMs;
    }

    /** Returns whether a manager was stalled or killed, or the day was over, at some time in this span. */
    private boolean managerWasAway(String manager, double fromMs, double toMs) {
        for (Entry mark : marks) {
            boolean ofManager = mark.peer().equals(manager);
            if (ofManager && mark.method().equals("manager-stall")) {
                double stallEndMs = mark.atMs() + Double.parseDouble(mark.body());
                if (mark.atMs() <= toMs && stallEndMs >= fromMs) {
                    return true;
                }
            }
            if (ofManager && mark.method().equals("manager-kill") && mark.atMs() >= fromMs && mark.atMs() <= toMs
                    || mark.method().equals("day-end") && mark.atMs() <= toMs) {
                return true;
            }
        }
        return false;
    }

    // --- Rule 1: no-session-lost ---

    /** Checks that each request of a player was answered once, and within the deadline of its class. */
    private void checkAnswers() {
        double longestDeadlineMs = parameters.classes().stream()
                .mapToDouble(RuleParameters.ClassParameters::deadlineMs)
                .max()
                .orElse(0);
        Map<String, Double> sentAtMsByTarget = new HashMap<>();
        for (Entry entry : entries) {
            if (entry.kind() == Kind.REQUEST && entry.end().equals("viewers") && isLectureRequest(entry)) {
                sentAtMsByTarget.put(entry.target(), entry.atMs());
            }
            boolean managerToPlayer =
                    entry.end().equals("viewers") && entry.peer().startsWith("manager")
                            || isAtManager(entry) && entry.peer().equals(entry.end());
            if (entry.kind() == Kind.MALFORMED && managerToPlayer && entry.status() >= 200 && entry.exchange() == -1) {
                verdict.countRequest("answeredTwice");
                verdict.recordViolation(
                        NO_SESSION_LOST, entry.atMs(), "second answer to one request at " + entry.end());
            }
        }
        for (Exchange exchange : exchanges.values()) {
            Entry request = exchange.request;
            boolean isJudged = isPlayerAtManager(request)
                    && (isLectureRequest(request) || request.target().startsWith("/s/"));
            if (!isJudged) {
                continue;
            }
            verdict.recordCheck(NO_SESSION_LOST);
            boolean isLecture = isLectureRequest(request);
            if (isLecture) {
                verdict.countRequest("taken");
                if (exchange.response != null) {
                    int status = exchange.response.status();
                    verdict.countRequest(status == 200 ? "played" : status == 503 ? "refused" : "failed");
                }
            }
            RuleParameters.ClassParameters sessionClass =
                    isLecture ? parameters.classNamed(queryParameter(request.target(), "class")) : null;
            double sentMs =
                    isLecture ? sentAtMsByTarget.getOrDefault(request.target(), request.atMs()) : request.atMs();
            double dueMs = sentMs
                    + (sessionClass == null ? longestDeadlineMs : sessionClass.deadlineMs())
                    + parameters.answerSlackMs();
            double answeredMs = exchange.response == null ? Double.POSITIVE_INFINITY : exchange.response.atMs();
            if (answeredMs <= dueMs || managerWasAway(request.end(), sentMs, dueMs)) {
                continue;
            }
            // A viewer that closes early needs no answer. One that waits until close to the deadline does.
            boolean viewerLeftEarly = connectionEndMs(request) < dueMs - 2 * parameters.answerSlackMs();
            if (!viewerLeftEarly) {
                verdict.countRequest("unanswered");
                verdict.recordViolation(
                        NO_SESSION_LOST,
                        request.atMs(),
                        request.target() + " had no answer at " + request.end() + " by its deadline");
            }
        }
    }

    // --- Rule 2: no-setup-twice ---

    /** Returns the attempt that a set-up request belongs to; creates it at the first request with its key. */
    private Attempt attemptFor(Entry entry) {
        JsonNode body = parseJson(entry.body());
        String key = body.path("key").asText();
        return attemptsByKey.computeIfAbsent(key, k -> new Attempt(k, body));
    }

    /**
     * Checks that a session has one set-up at a time and one confirmed playback at a time, and that a set-up with a
     * side effect is neither repeated nor refused to the viewer unless the box answered 429, which says that it did
     * not run.
     */
    private void checkSetUps() {
        Map<String, Attempt> byToken = new HashMap<>();
        for (Entry entry : entries) {
            if (entry.kind() != Kind.REQUEST
                    || !"POST".equals(entry.method())
                    || !"/v1/sessions".equals(entry.target())) {
                continue;
            }
            Attempt attempt = attemptFor(entry);
            if (isAtBox(entry)) {
                if (attempt.requestAtBox != null) {
                    verdict.recordViolation(NO_SETUP_TWICE, entry.atMs(), "set-up " + attempt.key + " was sent twice");
                }
                attempt.requestAtBox = entry;
            } else {
                attempt.requestAtManager = entry;
            }
            Exchange exchange = exchanges.get(connectionKey(entry) + " " + entry.exchange());
            double answeredMs = exchange.response == null ? Double.POSITIVE_INFINITY : exchange.response.atMs();
            attempt.setUpEndMs = Math.min(attempt.setUpEndMs, Math.min(answeredMs, connectionEndMs(entry)));
            if (isAtBox(entry) && exchange.response != null) {
                attempt.status = exchange.response.status();
                String base = parseJson(exchange.response.body()).path("base").asText("");
                if (attempt.status == 201 && base.length() > 4) {
                    attempt.token = base.substring(3, base.length() - 1);
                    byToken.put(attempt.token, attempt);
                }
            }
        }
        recordPlayback(byToken);
        Map<String, List<Attempt>> bySession = new LinkedHashMap<>();
        attemptsByKey.values().stream()
                .filter(attempt -> attempt.requestAtBox != null)
                .sorted((first, second) -> Double.compare(first.requestAtBox.atMs(), second.requestAtBox.atMs()))
                .forEach(attempt -> bySession
                        .computeIfAbsent(attempt.session, s -> new ArrayList<>())
                        .add(attempt));
        for (Entry entry : entries) {
            boolean refused = entry.kind() == Kind.HEAD
                    && isPlayerAtManager(entry)
                    && entry.status() == 503
                    && entry.body() != null;
            for (Attempt attempt : refused ? bySession.getOrDefault(entry.body(), List.of()) : List.<Attempt>of()) {
                RuleParameters.ClassParameters sessionClass =
                        parameters.classNamed(attempt.body.path("class").asText());
                if (sessionClass != null && sessionClass.effect() == Effect.SIDE_EFFECT && attempt.status != 429) {
                    verdict.recordViolation(
                            NO_SETUP_TWICE,
                            entry.atMs(),
                            entry.body() + " was refused though " + attempt.key + " may have run");
                }
            }
        }
        for (List<Attempt> sessionAttempts : bySession.values()) {
            verdict.recordCheck(NO_SETUP_TWICE);
            for (int i = 1; i < sessionAttempts.size(); i++) {
                Attempt previous = sessionAttempts.get(i - 1);
                Attempt next = sessionAttempts.get(i);
                if (next.requestAtBox.atMs() < previous.setUpEndMs) {
                    verdict.recordViolation(
                            NO_SETUP_TWICE,
                            next.requestAtBox.atMs(),
                            next.key + " was outstanding at the same time as " + previous.key);
                }
                RuleParameters.ClassParameters sessionClass =
                        parameters.classNamed(next.body.path("class").asText());
                if (sessionClass != null && sessionClass.effect() == Effect.SIDE_EFFECT && previous.status != 429) {
                    verdict.recordViolation(
                            NO_SETUP_TWICE,
                            next.requestAtBox.atMs(),
                            next.key + " repeats a set-up with a side effect that may have run");
                }
                for (Attempt other : sessionAttempts.subList(0, i)) {
                    boolean bothConfirmed = other.confirmedMs >= 0 && next.confirmedMs >= 0;
                    if (bothConfirmed
                            && Math.max(other.confirmedMs, next.confirmedMs)
                                    < Math.min(other.playbackEndMs, next.playbackEndMs)) {
                        verdict.recordViolation(
                                NO_SETUP_TWICE, next.confirmedMs, next.key + " plays at the same time as " + other.key);
                    }
                }
            }
        }
    }

    /**
     * Records when attempts were confirmed and ended at the boxes' sockets, and checks that segments are only served
     * for confirmed attempts.
     */
    private void recordPlayback(Map<String, Attempt> byToken) {
        for (Entry entry : entries) {
            boolean isSessionMessage = isAtBox(entry)
                    && entry.kind() == Kind.REQUEST
                    && entry.target() != null
                    && entry.target().startsWith("/v1/sessions/");
            if (isSessionMessage) {
                Attempt attempt = attemptsByKey.get(entry.target().substring(13));
                if (attempt != null
                        && "PUT".equals(entry.method())
                        && parseJson(entry.body()).path("confirmed").asBoolean()) {
                    Exchange exchange = exchanges.get(connectionKey(entry) + " " + entry.exchange());
                    boolean accepted = exchange.response != null && exchange.response.status() == 204;
                    attempt.confirmedMs = accepted && attempt.confirmedMs < 0 ? entry.atMs() : attempt.confirmedMs;
                }
                if (attempt != null && "DELETE".equals(entry.method())) {
                    attempt.playbackEndMs = Math.min(attempt.playbackEndMs, entry.atMs());
                }
            }
            if (isAtBox(entry) && entry.kind() == Kind.EVENT && "ended".equals(entry.method())) {
                Attempt attempt =
                        attemptsByKey.get(parseJson(entry.body()).path("key").asText());
                if (attempt != null) {
                    attempt.playbackEndMs = Math.min(attempt.playbackEndMs, entry.atMs());
                }
            }
            if (entry.kind() == Kind.MARK && entry.method().equals("box-down")) {
                for (Attempt attempt : attemptsByKey.values()) {
                    if (attempt.requestAtBox != null
                            && attempt.requestAtBox.end().equals(entry.peer())
                            && attempt.requestAtBox.atMs() < entry.atMs()) {
                        attempt.playbackEndMs = Math.min(attempt.playbackEndMs, entry.atMs());
                    }
                }
            }
            if (isAtBox(entry)
                    && entry.kind() == Kind.HEAD
                    && entry.status() == 200
                    && entry.target() != null
                    && entry.target().startsWith("/s/")) {
                Attempt attempt = byToken.get(entry.target().split("/")[2]);
                if (attempt == null || attempt.confirmedMs < 0 || entry.atMs() < attempt.confirmedMs) {
                    verdict.recordViolation(
                            NO_SETUP_TWICE,
                            entry.atMs(),
                            "segment of a set-up that was not confirmed: " + entry.target());
                }
            }
        }
    }

    // --- Rule 3: drains-kept ---

    /** Checks that no manager sends a set-up to a box for longer than the grace after it learnt of the box's drain. */
    private void checkDrains() {
        Map<String, Map<String, Double>> drainAtMsByManager = new HashMap<>();
        Map<String, Set<String>> knownBoxesByManager = new HashMap<>();
        for (Entry entry : entries) {
            if (entry.kind() == Kind.MARK && entry.method().equals("manager-start")) {
                drainAtMsByManager.remove(entry.peer());
                knownBoxesByManager.remove(entry.peer());
            }
            if (!isAtManager(entry)) {
                continue;
            }
            Map<String, Double> drainAtMsByBox = drainAtMsByManager.computeIfAbsent(entry.end(), m -> new HashMap<>());
            if (entry.kind() == Kind.EVENT && "/v1/boxes".equals(entry.target())) {
                Set<String> knownBoxes = knownBoxesByManager.computeIfAbsent(entry.end(), m -> new HashSet<>());
                Set<String> listedBoxes = new HashSet<>();
                for (JsonNode box : parseJson(entry.body()).path("boxes")) {
                    String name = "box:" + box.path("id").asLong();
                    listedBoxes.add(name);
                    if (box.path("state").asText().equals("ready")) {
                        drainAtMsByBox.remove(name);
                    } else if (!drainAtMsByBox.containsKey(name)) {
                        drainAtMsByBox.put(name, entry.atMs());
                        verdict.recordCheck(DRAINS_KEPT);
                    }
                }
                knownBoxes.addAll(listedBoxes);
                if ("full".equals(entry.method())) {
                    for (String name : knownBoxes) {
                        if (!listedBoxes.contains(name) && drainAtMsByBox.putIfAbsent(name, entry.atMs()) == null) {
                            verdict.recordCheck(DRAINS_KEPT);
                        }
                    }
                }
            }
            boolean isSetUp = entry.kind() == Kind.REQUEST
                    && "POST".equals(entry.method())
                    && "/v1/sessions".equals(entry.target());
            if (isSetUp
                    && drainAtMsByBox.containsKey(entry.peer())
                    && entry.atMs() > drainAtMsByBox.get(entry.peer()) + parameters.drainGraceMs()) {
                verdict.recordViolation(
                        DRAINS_KEPT,
                        entry.atMs(),
                        entry.end() + " sent a set-up to " + entry.peer() + " "
                                + Math.round(entry.atMs() - drainAtMsByBox.get(entry.peer()))
                                + " ms after its drain was announced");
            }
        }
    }

    // --- Rule 4: cold-paced ---

    /** Checks that a box that is still cold is not sent set-ups above the pace that makes it crash. */
    private void checkColdBoxes() {
        Map<String, Double> startedAtMsByBox = new HashMap<>();
        Map<String, ArrayDeque<Double>> setUpTimesByBox = new HashMap<>();
        for (Entry entry : entries) {
            if (entry.kind() == Kind.MARK && entry.method().equals("box-start")) {
                startedAtMsByBox.put(entry.peer(), entry.atMs());
                setUpTimesByBox.put(entry.peer(), new ArrayDeque<>());
            }
            boolean isSetUp = isAtBox(entry)
                    && entry.kind() == Kind.REQUEST
                    && "POST".equals(entry.method())
                    && "/v1/sessions".equals(entry.target());
            Double startedAtMs = startedAtMsByBox.get(entry.end());
            if (!isSetUp || startedAtMs == null || entry.atMs() - startedAtMs >= parameters.warmAfterMs()) {
                continue;
            }
            verdict.recordCheck(COLD_PACED);
            ArrayDeque<Double> recentSetUpsMs = setUpTimesByBox.get(entry.end());
            recentSetUpsMs.addLast(entry.atMs());
            while (recentSetUpsMs.peekFirst() <= entry.atMs() - parameters.tipMs()) {
                recentSetUpsMs.removeFirst();
            }
            double paceShare = parameters.coldFrom()
                    + (1 - parameters.coldFrom()) * (entry.atMs() - startedAtMs) / parameters.warmAfterMs();
            double permittedSetUps = parameters.tipMultiple()
                    * parameters.streams()
                    / parameters.warmAfterMs()
                    * paceShare
                    * parameters.tipMs();
            if (recentSetUpsMs.size() > permittedSetUps + 1) {
                verdict.recordViolation(
                        COLD_PACED,
                        entry.atMs(),
                        entry.end() + " was sent " + recentSetUpsMs.size() + " set-ups in "
                                + Math.round(parameters.tipMs()) + " ms, " + Math.round(permittedSetUps)
                                + " are permitted");
            }
        }
    }

    // --- Rule 5: terms-kept ---

    /** Checks that no session is set up, changed to or shown a rung under the floor of its class. */
    private void checkRungFloors() {
        Map<String, String> classByPlaylist = new HashMap<>();
        for (Entry entry : entries) {
            // Both what a manager wrote and what a viewer read are checked.
            boolean givenToPlayer = entry.kind() == Kind.RESPONSE
                    && entry.status() == 200
                    && entry.body() != null
                    && (entry.end().equals("viewers") || isPlayerAtManager(entry));
            if (givenToPlayer && isLectureRequest(entry)) {
                for (String line : entry.body().split("\n")) {
                    if (line.startsWith("/s/")) {
                        classByPlaylist.put(line, queryParameter(entry.target(), "class"));
                    }
                }
            }
            if (givenToPlayer && classByPlaylist.containsKey(entry.target())) {
                RuleParameters.ClassParameters sessionClass =
                        parameters.classNamed(classByPlaylist.get(entry.target()));
                if (sessionClass == null || sessionClass.lowestRung() == 0) {
                    continue;
                }
                verdict.recordCheck(TERMS_KEPT);
                for (String line : entry.body().split("\n")) {
                    int pathStart = line.startsWith("http://") ? line.indexOf("/s/") : -1;
                    String[] pathParts = pathStart < 0
                            ? new String[0]
                            : line.substring(pathStart).split("/");
                    if (pathParts.length == 5 && Integer.parseInt(pathParts[3]) < sessionClass.lowestRung()) {
                        verdict.recordViolation(
                                TERMS_KEPT,
                                entry.atMs(),
                                "a playlist of " + sessionClass.name() + " shows rung " + pathParts[3]);
                        break;
                    }
                }
            }
        }
        for (Attempt attempt : attemptsByKey.values()) {
            RuleParameters.ClassParameters sessionClass =
                    parameters.classNamed(attempt.body.path("class").asText());
            if (sessionClass != null && sessionClass.lowestRung() > 0) {
                verdict.recordCheck(TERMS_KEPT);
                if (attempt.body.path("rung").asInt() < sessionClass.lowestRung()) {
                    verdict.recordViolation(
                            TERMS_KEPT,
                            (attempt.requestAtBox == null ? attempt.requestAtManager : attempt.requestAtBox).atMs(),
                            attempt.key + " was set up at rung "
                                    + attempt.body.path("rung").asInt());
                }
            }
        }
        for (Entry entry : entries) {
            boolean isRungChange = isAtBox(entry)
                    && entry.kind() == Kind.REQUEST
                    && "PUT".equals(entry.method())
                    && entry.target().startsWith("/v1/sessions/");
            Attempt attempt = isRungChange ? attemptsByKey.get(entry.target().substring(13)) : null;
            RuleParameters.ClassParameters sessionClass = attempt == null
                    ? null
                    : parameters.classNamed(attempt.body.path("class").asText());
            JsonNode rung = attempt == null ? null : parseJson(entry.body()).get("rung");
            if (sessionClass != null && rung != null && rung.asInt() < sessionClass.lowestRung()) {
                verdict.recordViolation(TERMS_KEPT, entry.atMs(), attempt.key + " was changed to rung " + rung.asInt());
            }
        }
    }

    /** Checks that no more sessions of a class than it has seats are set up or play one title at one manager. */
    private void checkSeats() {
        record SeatChange(double atMs, int seatDelta, String key) {}
        Map<String, List<SeatChange>> changesBySeatKey = new HashMap<>();
        Map<String, Integer> seatLimits = new HashMap<>();
        for (Attempt attempt : attemptsByKey.values()) {
            RuleParameters.ClassParameters sessionClass =
                    parameters.classNamed(attempt.body.path("class").asText());
            if (sessionClass == null || sessionClass.seats() <= 0 || attempt.requestAtBox == null) {
                continue;
            }
            boolean played = attempt.status == 201 && attempt.confirmedMs >= 0;
            double releasedMs = played ? attempt.playbackEndMs : attempt.setUpEndMs;
            String seatKey = attempt.body.path("manager").asText() + " " + sessionClass.name() + " "
                    + attempt.body.path("title").asText();
            seatLimits.put(seatKey, sessionClass.seats());
            List<SeatChange> seatChanges = changesBySeatKey.computeIfAbsent(seatKey, s -> new ArrayList<>());
            seatChanges.add(new SeatChange(attempt.requestAtBox.atMs(), 1, attempt.key));
            seatChanges.add(new SeatChange(releasedMs, -1, attempt.key));
        }
        changesBySeatKey.forEach((seatKey, seatChanges) -> {
            // Of changes at the same time, releases come first.
            seatChanges.sort((first, second) -> first.atMs() != second.atMs()
                    ? Double.compare(first.atMs(), second.atMs())
                    : Integer.compare(first.seatDelta(), second.seatDelta()));
            int held = 0;
            for (SeatChange change : seatChanges) {
                held += change.seatDelta();
                if (change.seatDelta() > 0) {
                    verdict.recordCheck(TERMS_KEPT);
                    if (held > seatLimits.get(seatKey)) {
                        verdict.recordViolation(
                                TERMS_KEPT,
                                change.atMs(),
                                change.key() + " holds seat number " + held + " of " + seatLimits.get(seatKey)
                                        + " seats");
                    }
                }
            }
        });
    }

    // --- Rule 6: attempts-rationed ---

    /** Checks that each manager's further attempts stay within the budget that its requests earn. */
    private void checkAttemptBudget() {
        if (parameters.extraFree() < 0) {
            return;
        }
        Map<String, Map<String, Double>> requestTimesByManager = new HashMap<>();
        Map<String, List<Double>> furtherAttemptsMsByManager = new HashMap<>();
        for (Entry entry : entries) {
            if (isAtManager(entry)
                    && entry.kind() == Kind.HEAD
                    && entry.body() != null
                    && entry.peer().equals(entry.end())) {
                Exchange exchange = exchanges.get(connectionKey(entry) + " " + entry.exchange());
                int lastDash = entry.body().lastIndexOf('-');
                if (exchange != null && lastDash > 0) {
                    requestTimesByManager
                            .computeIfAbsent(entry.body().substring(0, lastDash), m -> new HashMap<>())
                            .merge(entry.body(), exchange.request.atMs(), Math::min);
                }
            }
            boolean isSetUp = isAtManager(entry)
                    && entry.kind() == Kind.REQUEST
                    && "POST".equals(entry.method())
                    && "/v1/sessions".equals(entry.target());
            if (isSetUp) {
                JsonNode body = parseJson(entry.body());
                String session = body.path("session").asText();
                String manager = session.substring(0, Math.max(0, session.lastIndexOf('-')));
                requestTimesByManager
                        .computeIfAbsent(manager, m -> new HashMap<>())
                        .merge(session, entry.atMs(), Math::min);
                if (body.path("attempt").asInt() > 0) {
                    furtherAttemptsMsByManager
                            .computeIfAbsent(manager, m -> new ArrayList<>())
                            .add(entry.atMs());
                }
            }
        }
        furtherAttemptsMsByManager.forEach((manager, attemptsMs) -> {
            for (int i = 0; i < attemptsMs.size(); i++) {
                double atMs = attemptsMs.get(i);
                double fromMs = atMs - parameters.extraWindowMs();
                long furtherAttempts = attemptsMs.subList(0, i + 1).stream()
                        .filter(t -> t > fromMs)
                        .count();
                long requestsTaken = requestTimesByManager.get(manager).values().stream()
                        .filter(t -> t > fromMs && t <= atMs)
                        .count();
                verdict.recordCheck(ATTEMPTS_RATIONED);
                if (furtherAttempts > parameters.extraFree() + parameters.extraRatio() * requestsTaken) {
                    verdict.recordViolation(
                            ATTEMPTS_RATIONED,
                            atMs,
                            manager + " made " + furtherAttempts + " further attempts on " + requestsTaken
                                    + " requests");
                }
            }
        });
    }

    // --- Worth ---

    /** Sums the worth of all viewers' requests and of those that played; a viewer counts once. */
    private void sumWorth() {
        Map<String, String> classByViewer = new LinkedHashMap<>();
        Set<String> viewersPlayed = new HashSet<>();
        for (Entry entry : entries) {
            if (!entry.end().equals("viewers") || !isLectureRequest(entry)) {
                continue;
            }
            String viewer = queryParameter(entry.target(), "viewer");
            if (entry.kind() == Kind.REQUEST) {
                classByViewer.putIfAbsent(viewer, queryParameter(entry.target(), "class"));
            } else if (entry.kind() == Kind.RESPONSE && entry.status() == 200) {
                viewersPlayed.add(viewer);
            }
        }
        classByViewer.forEach((viewer, name) -> {
            RuleParameters.ClassParameters sessionClass = parameters.classNamed(name);
            double worth = sessionClass == null ? 0 : sessionClass.worth();
            verdict.addWorth(worth, viewersPlayed.contains(viewer) ? worth : 0);
        });
    }
}
