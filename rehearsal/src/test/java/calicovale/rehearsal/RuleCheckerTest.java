package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.Effect;
import calicovale.rehearsal.judge.RuleChecker;
import calicovale.rehearsal.judge.RuleParameters;
import calicovale.rehearsal.judge.Verdict;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Breaks each rule of the rule checker once, in a recording that keeps all rules otherwise. */
class RuleCheckerTest {
    private static final RuleParameters PARAMETERS = new RuleParameters(
            List.of(
                    new RuleParameters.ClassParameters("course", 3, 5000, Effect.PURE, 1, 0),
                    new RuleParameters.ClassParameters("paid", 1, 5000, Effect.SIDE_EFFECT, 0, 0),
                    new RuleParameters.ClassParameters("seated", 1, 5000, Effect.PURE, 0, 2)),
            50,
            2000,
            0.5,
            10_000,
            2,
            1000,
            20,
            1,
            0.5,
            10_000);

    private final List<Entry> recording = new ArrayList<>();
    private long lastConnection = 100;

    private void addEntry(
            double atMs,
            String end,
            String peer,
            long conn,
            Kind kind,
            String method,
            String target,
            int status,
            String body) {
        recording.add(new Entry(
                atMs, end, peer, conn, kind == Kind.MALFORMED ? -1 : 0, kind, method, target, status, body, 0));
    }

    private void addMark(double atMs, String kind, String subject, String detail) {
        addEntry(atMs, "script", subject, 0, Kind.MARK, kind, null, 0, detail);
    }

    private void addExchange(
            String end,
            String peer,
            double requestedMs,
            double answeredMs,
            String method,
            String target,
            String body,
            int status,
            String answer,
            String session) {
        long conn = ++lastConnection;
        addEntry(requestedMs, end, peer, conn, Kind.REQUEST, method, target, 0, body);
        if (answeredMs >= 0) {
            addEntry(answeredMs, end, peer, conn, Kind.HEAD, method, target, status, session);
            addEntry(answeredMs, end, peer, conn, Kind.RESPONSE, method, target, status, answer);
        }
    }

    /** Adds a viewer's request as recorded at both ends; it has no answer when {@code answeredMs} is below 0. */
    private void addLectureRequest(
            double atMs,
            double answeredMs,
            String viewer,
            String sessionClass,
            String session,
            String token,
            int status) {
        String target = "/v1/lectures/t/index.m3u8?class=" + sessionClass + "&viewer=" + viewer + "&try=1";
        String playlist = "#EXTM3U\n/s/" + token + "/media.m3u8\n";
        addExchange(
                "viewers",
                "manager:0",
                atMs,
                answeredMs < 0 ? -1 : answeredMs + 1,
                "GET",
                target,
                "",
                status,
                playlist,
                session);
        addExchange("manager:0", "manager:0", atMs + 1, answeredMs, "GET", target, "", status, playlist, session);
    }

    private static String setUpBody(String session, int attempt, String sessionClass, int rung) {
        return "{\"session\":\"" + session + "\",\"attempt\":" + attempt + ",\"key\":\"" + session + "." + attempt
                + "\",\"class\":\"" + sessionClass + "\",\"title\":\"t\",\"manager\":\"0.x\",\"rung\":" + rung + "}";
    }

    private void addSetUp(
            double atMs,
            double answeredMs,
            int box,
            String session,
            int attempt,
            String sessionClass,
            int rung,
            int status) {
        String body = setUpBody(session, attempt, sessionClass, rung);
        String answer = "{\"base\":\"/s/token-" + session + "-" + attempt + "/\"}";
        addExchange("manager:0", "box:" + box, atMs, answeredMs, "POST", "/v1/sessions", body, status, answer, null);
        addExchange(
                "box:" + box,
                "box:" + box,
                atMs + 1,
                answeredMs - 1,
                "POST",
                "/v1/sessions",
                body,
                status,
                answer,
                null);
    }

    private void addSessionMessage(double atMs, int box, String method, String key, String body) {
        addExchange("box:" + box, "box:" + box, atMs, atMs + 1, method, "/v1/sessions/" + key, body, 204, null, null);
    }

    private void addSegment(double atMs, int box, String token, int rung) {
        addExchange(
                "box:" + box,
                "box:" + box,
                atMs,
                atMs + 5,
                "GET",
                "/s/" + token + "/" + rung + "/0.m4s",
                "",
                200,
                null,
                null);
    }

    private void addBoxList(double atMs, String type, String boxes) {
        addEntry(atMs, "manager:0", "directory", 7, Kind.EVENT, type, "/v1/boxes", 200, "{\"boxes\":[" + boxes + "]}");
    }

    private static String boxJson(int box, String state) {
        return "{\"id\":" + box + ",\"state\":\"" + state + "\"}";
    }

    /** Adds a box list and one played session that keep all rules. */
    private void addSessionsThatKeepAllRules() {
        addMark(0, "manager-start", "manager:0", null);
        addBoxList(1, "full", boxJson(1, "ready") + "," + boxJson(2, "ready"));
        addLectureRequest(100, 150, "v1", "course", "m0-x-1", "S1", 200);
        addSetUp(110, 140, 1, "m0-x-1", 0, "course", 2, 201);
        addSessionMessage(145, 1, "PUT", "m0-x-1.0", "{\"confirmed\":true}");
        addSegment(200, 1, "token-m0-x-1-0", 2);
        addExchange(
                "viewers",
                "manager",
                180,
                190,
                "GET",
                "/s/S1/media.m3u8",
                "",
                200,
                "#EXTM3U\nhttp://b/s/k/2/0.m4s\n",
                null);
    }

    private Verdict judge() {
        recording.sort(Comparator.comparingDouble(Entry::atMs));
        return RuleChecker.judge(PARAMETERS, recording);
    }

    private void assertOnlyViolated(String rule) {
        Verdict verdict = judge();
        for (String other : Verdict.RULES) {
            assertEquals(other.equals(rule), verdict.violationCount(other) > 0, other + ": " + verdict.violations());
        }
        assertTrue(verdict.checkCount(rule) > 0 || rule.equals("no-session-lost"));
    }

    @Test
    void recordingThatKeepsAllRulesHasNoViolations() {
        addSessionsThatKeepAllRules();
        Verdict verdict = judge();
        assertTrue(verdict.allRulesKept(), verdict.violations().toString());
        assertEquals(1, verdict.requestsByOutcome().get("taken"));
        assertEquals(1, verdict.requestsByOutcome().get("played"));
        assertEquals(3, verdict.worthInTime());
        assertEquals(1, verdict.checkCount("no-setup-twice"));
        assertEquals(2, verdict.checkCount("terms-kept"));
    }

    @Test
    void requestWithoutAnswerIsViolation() {
        addSessionsThatKeepAllRules();
        addLectureRequest(300, -1, "v2", "course", null, "S2", 0);
        assertOnlyViolated("no-session-lost");
    }

    @Test
    void answerAfterDeadlineIsViolation() {
        addSessionsThatKeepAllRules();
        addLectureRequest(300, 5400, "v2", "course", null, "S2", 503);
        assertOnlyViolated("no-session-lost");
    }

    @Test
    void missingAnswerIsExcusedByEarlyDepartureOrStalledManager() {
        addSessionsThatKeepAllRules();
        addLectureRequest(300, -1, "v2", "course", null, "S2", 0);
        addEntry(500, "manager:0", "manager:0", lastConnection, Kind.CLOSED, null, null, 0, null);
        addMark(9000, "manager-stall", "manager:0", "6000");
        addLectureRequest(9500, 14_900, "v3", "course", null, "S3", 503);
        assertTrue(judge().allRulesKept());
    }

    @Test
    void missingAnswerIsNotExcusedByViewerThatWaitedToDeadline() {
        addSessionsThatKeepAllRules();
        addLectureRequest(300, -1, "v2", "course", null, "S2", 0);
        addEntry(5300, "manager:0", "manager:0", lastConnection, Kind.CLOSED, null, null, 0, null);
        assertOnlyViolated("no-session-lost");
    }

    @Test
    void secondAnswerIsViolation() {
        addSessionsThatKeepAllRules();
        addEntry(400, "viewers", "manager:0", 101, Kind.MALFORMED, null, null, 200, "a response without a request");
        assertOnlyViolated("no-session-lost");
        assertEquals(1, judge().requestsByOutcome().get("answeredTwice"));
    }

    @Test
    void concurrentAttemptsOfOneSessionAreViolation() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1300, 1, "m0-x-2", 0, "course", 2, 500);
        addSetUp(1200, 1400, 2, "m0-x-2", 1, "course", 2, 201);
        assertOnlyViolated("no-setup-twice");
    }

    @Test
    void successiveAttemptsKeepTheRules() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1300, 1, "m0-x-2", 0, "course", 2, 500);
        addSetUp(1301, 1400, 2, "m0-x-2", 1, "course", 2, 201);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
    }

    @Test
    void attemptIsOverWhenManagerClosesItsConnection() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, -1, 1, "m0-x-2", 0, "course", 2, 0);
        addEntry(1250, "manager:0", "box:1", lastConnection - 1, Kind.CLOSED, null, null, 0, null);
        addSetUp(1251, 1400, 2, "m0-x-2", 1, "course", 2, 201);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
    }

    @Test
    void sameAttemptSentTwiceIsViolation() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1100, 1, "m0-x-2", 0, "course", 2, 500);
        addSetUp(1200, 1300, 1, "m0-x-2", 0, "course", 2, 500);
        assertOnlyViolated("no-setup-twice");
    }

    @Test
    void repeatedSetUpWithSideEffectIsViolation() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1100, 1, "m0-x-2", 0, "paid", 2, 500);
        addSetUp(1200, 1300, 2, "m0-x-2", 1, "paid", 2, 201);
        assertOnlyViolated("no-setup-twice");
    }

    @Test
    void refusalAfterSetUpWithSideEffectMayHaveRunIsViolation() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1100, 1, "m0-x-2", 0, "paid", 2, 429);
        addLectureRequest(990, 1200, "v2", "paid", "m0-x-2", "S2", 503);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        addSetUp(2000, 2100, 1, "m0-x-3", 0, "paid", 2, 500);
        addLectureRequest(1990, 2200, "v3", "paid", "m0-x-3", "S3", 503);
        assertOnlyViolated("no-setup-twice");
    }

    @Test
    void segmentOfUnconfirmedSetUpIsViolation() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1100, 1, "m0-x-2", 0, "course", 2, 201);
        addSegment(1500, 1, "token-m0-x-2-0", 2);
        assertOnlyViolated("no-setup-twice");
    }

    @Test
    void concurrentPlaybackOfOneSessionIsViolationAndSuccessivePlaybackIsNot() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1100, 1, "m0-x-2", 0, "course", 2, 201);
        addSessionMessage(1110, 1, "PUT", "m0-x-2.0", "{\"confirmed\":true}");
        addSetUp(1200, 1300, 2, "m0-x-2", 1, "course", 2, 201);
        addSessionMessage(1250, 1, "DELETE", "m0-x-2.0", "");
        addSessionMessage(1310, 2, "PUT", "m0-x-2.1", "{\"confirmed\":true}");
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        recording.removeIf(e -> "DELETE".equals(e.method()));
        assertOnlyViolated("no-setup-twice");
    }

    @Test
    void setUpAtDrainingBoxAfterGraceIsViolation() {
        addSessionsThatKeepAllRules();
        addBoxList(1000, "change", boxJson(1, "draining"));
        addSetUp(2900, 2950, 1, "m0-x-2", 0, "course", 2, 201);
        assertTrue(judge().allRulesKept());
        addSetUp(3100, 3150, 1, "m0-x-3", 0, "course", 2, 201);
        assertOnlyViolated("drains-kept");
    }

    @Test
    void boxMissingFromFullListIsDrainedUntilItIsListedAgain() {
        addSessionsThatKeepAllRules();
        addBoxList(1000, "full", boxJson(2, "ready"));
        addSetUp(3100, 3150, 1, "m0-x-2", 0, "course", 2, 201);
        assertOnlyViolated("drains-kept");
        addBoxList(3050, "change", boxJson(1, "ready"));
        assertTrue(judge().allRulesKept());
    }

    @Test
    void setUpsAboveColdPaceAreViolation() {
        addSessionsThatKeepAllRules();
        addMark(1000, "box-start", "box:2", null);
        // 20 streams over 10 s, half of that right after the start, times 2: two in a second, and one more as slack.
        for (int i = 0; i < 3; i++) {
            addSetUp(2000 + 100 * i, 2050 + 100 * i, 2, "m0-x-" + (10 + i), 0, "course", 2, 201);
        }
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        addSetUp(2400, 2450, 2, "m0-x-20", 0, "course", 2, 201);
        assertOnlyViolated("cold-paced");
    }

    @Test
    void setUpUnderRungFloorIsViolation() {
        addSessionsThatKeepAllRules();
        addSetUp(1000, 1100, 1, "m0-x-2", 0, "course", 0, 201);
        assertOnlyViolated("terms-kept");
    }

    @Test
    void playlistUnderRungFloorIsViolation() {
        addSessionsThatKeepAllRules();
        addExchange(
                "viewers",
                "manager",
                980,
                990,
                "GET",
                "/s/S1/media.m3u8",
                "",
                200,
                "#EXTM3U\nhttp://b/s/k/0/1.m4s\n",
                null);
        assertOnlyViolated("terms-kept");
    }

    @Test
    void rungChangeUnderFloorIsViolation() {
        addSessionsThatKeepAllRules();
        addSessionMessage(1000, 1, "PUT", "m0-x-1.0", "{\"rung\":0,\"change\":1}");
        assertOnlyViolated("terms-kept");
    }

    @Test
    void setUpBeyondSeatsIsViolation() {
        addSessionsThatKeepAllRules();
        for (int i = 0; i < 2; i++) {
            addSetUp(1000 + i, 1100 + i, 1, "m0-x-" + (10 + i), 0, "seated", 2, 201);
            addSessionMessage(1110 + i, 1, "PUT", "m0-x-" + (10 + i) + ".0", "{\"confirmed\":true}");
        }
        addSetUp(900, 950, 1, "m0-x-9", 0, "seated", 2, 429);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        addSetUp(1500, 1600, 2, "m0-x-30", 0, "seated", 2, 201);
        assertOnlyViolated("terms-kept");
    }

    @Test
    void furtherAttemptsBeyondBudgetAreViolation() {
        addSessionsThatKeepAllRules();
        // One further attempt is free, and half of one for each request taken within the window: m0-x-1 to m0-x-3.
        addSetUp(1000, 1010, 1, "m0-x-2", 0, "course", 2, 500);
        addSetUp(1020, 1030, 2, "m0-x-2", 1, "course", 2, 500);
        addSetUp(1100, 1110, 1, "m0-x-3", 0, "course", 2, 500);
        addSetUp(1120, 1130, 2, "m0-x-3", 1, "course", 2, 500);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        addSetUp(1140, 1150, 1, "m0-x-3", 2, "course", 2, 500);
        assertOnlyViolated("attempts-rationed");
    }
}
