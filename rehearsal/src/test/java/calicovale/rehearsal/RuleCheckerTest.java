package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.Effect;
import calicovale.rehearsal.judge.Figures;
import calicovale.rehearsal.judge.RuleChecker;
import calicovale.rehearsal.judge.Verdict;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each thing that the checker checks is broken once, in a tape that is good otherwise. */
class RuleCheckerTest {
    private static final Figures FIGURES = new Figures(
            List.of(
                    new Figures.OfClass("course", 3, 5000, Effect.PURE, 1, 0),
                    new Figures.OfClass("paid", 1, 5000, Effect.SIDE_EFFECT, 0, 0),
                    new Figures.OfClass("seated", 1, 5000, Effect.PURE, 0, 2)),
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

    private final List<Entry> tape = new ArrayList<>();
    private long conns = 100;

    private void add(
            double at,
            String end,
            String peer,
            long conn,
            Kind kind,
            String method,
            String target,
            int status,
            String body) {
        tape.add(
                new Entry(at, end, peer, conn, kind == Kind.MALFORMED ? -1 : 0, kind, method, target, status, body, 0));
    }

    private void mark(double at, String what, String concerned, String detail) {
        add(at, "script", concerned, 0, Kind.MARK, what, null, 0, detail);
    }

    private void exchange(
            String end,
            String peer,
            double asked,
            double answered,
            String method,
            String target,
            String body,
            int status,
            String answer,
            String session) {
        long conn = ++conns;
        add(asked, end, peer, conn, Kind.REQUEST, method, target, 0, body);
        if (answered >= 0) {
            add(answered, end, peer, conn, Kind.HEAD, method, target, status, session);
            add(answered, end, peer, conn, Kind.RESPONSE, method, target, status, answer);
        }
    }

    /** A viewer's request, seen at both ends; {@code answered} below 0: never. */
    private void ask(double at, double answered, String viewer, String k, String session, String token, int status) {
        String target = "/v1/lectures/t/index.m3u8?class=" + k + "&viewer=" + viewer + "&try=1";
        String playlist = "#EXTM3U\n/s/" + token + "/media.m3u8\n";
        exchange(
                "viewers",
                "manager:0",
                at,
                answered < 0 ? -1 : answered + 1,
                "GET",
                target,
                "",
                status,
                playlist,
                session);
        exchange("manager:0", "manager:0", at + 1, answered, "GET", target, "", status, playlist, session);
    }

    private static String setUpBody(String session, int attempt, String k, int rung) {
        return "{\"session\":\"" + session + "\",\"attempt\":" + attempt + ",\"key\":\"" + session + "." + attempt
                + "\",\"class\":\"" + k + "\",\"title\":\"t\",\"manager\":\"0.x\",\"rung\":" + rung + "}";
    }

    private void setUp(double at, double over, int box, String session, int attempt, String k, int rung, int status) {
        String body = setUpBody(session, attempt, k, rung);
        String answer = "{\"base\":\"/s/token-" + session + "-" + attempt + "/\"}";
        exchange("manager:0", "box:" + box, at, over, "POST", "/v1/sessions", body, status, answer, null);
        exchange("box:" + box, "box:" + box, at + 1, over - 1, "POST", "/v1/sessions", body, status, answer, null);
    }

    private void message(double at, int box, String method, String key, String body) {
        exchange("box:" + box, "box:" + box, at, at + 1, method, "/v1/sessions/" + key, body, 204, null, null);
    }

    private void segment(double at, int box, String token, int rung) {
        exchange(
                "box:" + box,
                "box:" + box,
                at,
                at + 5,
                "GET",
                "/s/" + token + "/" + rung + "/0.m4s",
                "",
                200,
                null,
                null);
    }

    private void list(double at, String type, String boxes) {
        add(at, "manager:0", "directory", 7, Kind.EVENT, type, "/v1/boxes", 200, "{\"boxes\":[" + boxes + "]}");
    }

    private static String listed(int box, String state) {
        return "{\"id\":" + box + ",\"state\":\"" + state + "\"}";
    }

    /** One session of each kind that keeps all rules. */
    private void good() {
        mark(0, "manager-start", "manager:0", null);
        list(1, "full", listed(1, "ready") + "," + listed(2, "ready"));
        ask(100, 150, "v1", "course", "m0-x-1", "S1", 200);
        setUp(110, 140, 1, "m0-x-1", 0, "course", 2, 201);
        message(145, 1, "PUT", "m0-x-1.0", "{\"confirmed\":true}");
        segment(200, 1, "token-m0-x-1-0", 2);
        exchange(
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
        tape.sort(Comparator.comparingDouble(Entry::atMs));
        return RuleChecker.judge(FIGURES, tape);
    }

    private void broken(String rule) {
        Verdict v = judge();
        for (String other : Verdict.RULES) {
            assertEquals(other.equals(rule), v.violationCount(other) > 0, other + ": " + v.violations());
        }
        assertTrue(v.checkCount(rule) > 0 || rule.equals("no-session-lost"));
    }

    @Test
    void aGoodTapeBreaksNothing() {
        good();
        Verdict v = judge();
        assertTrue(v.allRulesKept(), v.violations().toString());
        assertEquals(1, v.requestsByOutcome().get("taken"));
        assertEquals(1, v.requestsByOutcome().get("played"));
        assertEquals(3, v.worthInTime());
        assertEquals(1, v.checkCount("no-setup-twice"));
        assertEquals(2, v.checkCount("terms-kept"));
    }

    @Test
    void aRequestWithoutAnAnswerIsFound() {
        good();
        ask(300, -1, "v2", "course", null, "S2", 0);
        broken("no-session-lost");
    }

    @Test
    void anAnswerAfterTheViewersTimeIsFound() {
        good();
        ask(300, 5400, "v2", "course", null, "S2", 503);
        broken("no-session-lost");
    }

    @Test
    void aViewerThatLeavesEarlyOrAManagerThatStoodStillExcuses() {
        good();
        ask(300, -1, "v2", "course", null, "S2", 0);
        add(500, "manager:0", "manager:0", conns, Kind.CLOSED, null, null, 0, null);
        mark(9000, "manager-stall", "manager:0", "6000");
        ask(9500, 14_900, "v3", "course", null, "S3", 503);
        assertTrue(judge().allRulesKept());
    }

    @Test
    void aViewerThatWaitedToTheEndOfItsTimeDoesNotExcuse() {
        good();
        ask(300, -1, "v2", "course", null, "S2", 0);
        add(5300, "manager:0", "manager:0", conns, Kind.CLOSED, null, null, 0, null);
        broken("no-session-lost");
    }

    @Test
    void aSecondAnswerIsFound() {
        good();
        add(400, "viewers", "manager:0", 101, Kind.MALFORMED, null, null, 200, "a response without a request");
        broken("no-session-lost");
        assertEquals(1, judge().requestsByOutcome().get("answeredTwice"));
    }

    @Test
    void twoAttemptsOutAtOnceAreFound() {
        good();
        setUp(1000, 1300, 1, "m0-x-2", 0, "course", 2, 500);
        setUp(1200, 1400, 2, "m0-x-2", 1, "course", 2, 201);
        broken("no-setup-twice");
    }

    @Test
    void oneAttemptAfterAnotherIsWell() {
        good();
        setUp(1000, 1300, 1, "m0-x-2", 0, "course", 2, 500);
        setUp(1301, 1400, 2, "m0-x-2", 1, "course", 2, 201);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
    }

    @Test
    void anAttemptThatWasCalledOffAtTheManagersEndIsOver() {
        good();
        setUp(1000, -1, 1, "m0-x-2", 0, "course", 2, 0);
        add(1250, "manager:0", "box:1", conns - 1, Kind.CLOSED, null, null, 0, null);
        setUp(1251, 1400, 2, "m0-x-2", 1, "course", 2, 201);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
    }

    @Test
    void theSameAttemptSentTwiceIsFound() {
        good();
        setUp(1000, 1100, 1, "m0-x-2", 0, "course", 2, 500);
        setUp(1200, 1300, 1, "m0-x-2", 0, "course", 2, 500);
        broken("no-setup-twice");
    }

    @Test
    void aRepeatOfWhatMayHaveRunIsFoundWhereItIsPaidFor() {
        good();
        setUp(1000, 1100, 1, "m0-x-2", 0, "paid", 2, 500);
        setUp(1200, 1300, 2, "m0-x-2", 1, "paid", 2, 201);
        broken("no-setup-twice");
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsFoundWhereItIsPaidFor() {
        good();
        setUp(1000, 1100, 1, "m0-x-2", 0, "paid", 2, 429);
        ask(990, 1200, "v2", "paid", "m0-x-2", "S2", 503);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        setUp(2000, 2100, 1, "m0-x-3", 0, "paid", 2, 500);
        ask(1990, 2200, "v3", "paid", "m0-x-3", "S3", 503);
        broken("no-setup-twice");
    }

    @Test
    void aGhostThatPlaysIsFound() {
        good();
        setUp(1000, 1100, 1, "m0-x-2", 0, "course", 2, 201);
        segment(1500, 1, "token-m0-x-2-0", 2);
        broken("no-setup-twice");
    }

    @Test
    void twoThatPlayAtOnceAreFoundAndOneAfterTheOtherIsWell() {
        good();
        setUp(1000, 1100, 1, "m0-x-2", 0, "course", 2, 201);
        message(1110, 1, "PUT", "m0-x-2.0", "{\"confirmed\":true}");
        setUp(1200, 1300, 2, "m0-x-2", 1, "course", 2, 201);
        message(1250, 1, "DELETE", "m0-x-2.0", "");
        message(1310, 2, "PUT", "m0-x-2.1", "{\"confirmed\":true}");
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        tape.removeIf(e -> "DELETE".equals(e.method()));
        broken("no-setup-twice");
    }

    @Test
    void aSetUpAtADrainedBoxIsFound() {
        good();
        list(1000, "change", listed(1, "draining"));
        setUp(2900, 2950, 1, "m0-x-2", 0, "course", 2, 201);
        assertTrue(judge().allRulesKept());
        setUp(3100, 3150, 1, "m0-x-3", 0, "course", 2, 201);
        broken("drains-kept");
    }

    @Test
    void aBoxThatAFullListLacksIsGoneAndOneThatComesBackIsNot() {
        good();
        list(1000, "full", listed(2, "ready"));
        setUp(3100, 3150, 1, "m0-x-2", 0, "course", 2, 201);
        broken("drains-kept");
        list(3050, "change", listed(1, "ready"));
        assertTrue(judge().allRulesKept());
    }

    @Test
    void aColdBoxThatIsPushedIsFound() {
        good();
        mark(1000, "box-start", "box:2", null);
        // 20 streams over 10 s, half of it at first, times 2: two in a second, and one of slack
        for (int i = 0; i < 3; i++) {
            setUp(2000 + 100 * i, 2050 + 100 * i, 2, "m0-x-" + (10 + i), 0, "course", 2, 201);
        }
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        setUp(2400, 2450, 2, "m0-x-20", 0, "course", 2, 201);
        broken("cold-paced");
    }

    @Test
    void aSetUpUnderTheFloorIsFound() {
        good();
        setUp(1000, 1100, 1, "m0-x-2", 0, "course", 0, 201);
        broken("terms-kept");
    }

    @Test
    void aPlaylistUnderTheFloorIsFound() {
        good();
        exchange(
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
        broken("terms-kept");
    }

    @Test
    void aChangeUnderTheFloorIsFound() {
        good();
        message(1000, 1, "PUT", "m0-x-1.0", "{\"rung\":0,\"change\":1}");
        broken("terms-kept");
    }

    @Test
    void aSeatTooManyIsFound() {
        good();
        for (int i = 0; i < 2; i++) {
            setUp(1000 + i, 1100 + i, 1, "m0-x-" + (10 + i), 0, "seated", 2, 201);
            message(1110 + i, 1, "PUT", "m0-x-" + (10 + i) + ".0", "{\"confirmed\":true}");
        }
        setUp(900, 950, 1, "m0-x-9", 0, "seated", 2, 429);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        setUp(1500, 1600, 2, "m0-x-30", 0, "seated", 2, 201);
        broken("terms-kept");
    }

    @Test
    void furtherAttemptsBeyondTheBudgetAreFound() {
        good();
        // one is free, and a half for each request taken within the window: m0-x-1 to m0-x-3
        setUp(1000, 1010, 1, "m0-x-2", 0, "course", 2, 500);
        setUp(1020, 1030, 2, "m0-x-2", 1, "course", 2, 500);
        setUp(1100, 1110, 1, "m0-x-3", 0, "course", 2, 500);
        setUp(1120, 1130, 2, "m0-x-3", 1, "course", 2, 500);
        assertTrue(judge().allRulesKept(), judge().violations().toString());
        setUp(1140, 1150, 1, "m0-x-3", 2, "course", 2, 500);
        broken("attempts-rationed");
    }
}
