package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.front.FrontProcess;
import calicovale.gossip.member.Update.State;
import calicovale.protocols.json.Documents;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.judge.FirstSetUps;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests managers that gossip claims about boxes, through real sockets: how claims change where sessions are set up. */
class GossipDayTest {
    private static final String THREE_MANAGERS =
            "{\"count\": 3, \"gossip\": {\"probeMs\": 300, \"timeoutMs\": 140, \"newsMs\": 50, "
                    + "\"exchangeMs\": 1000, \"claims\": {\"believedMs\": 50, \"quorumLeast\": 2}}}";

    @TempDir
    private Path state;

    private static boolean hasEvidenceAgainst(FrontProcess manager, int box) {
        return manager.loop().call(() -> manager.peers().view().path("evidence").has(Integer.toString(box)));
    }

    private static Day.Fault falseClaims(int manager, int box, double seconds) {
        return new Day.Fault("false-claims", 0, seconds, List.of(box), 0, manager, 0, false);
    }

    /** Returns the number of set-ups that manager 2 sent to a box before the box's first answer 201. */
    private static long setUpsBeforeFirstAnswer(List<Entry> entries, Predicate<Entry> isOfBox) {
        long sent = 0;
        for (Entry entry : entries) {
            if (!entry.end().equals("manager:2") || !isOfBox.test(entry)) {
                continue;
            }
            if (entry.kind() == Kind.RESPONSE && entry.status() == 201) {
                return sent;
            }
            sent += entry.kind() == Kind.REQUEST && "/v1/sessions".equals(entry.target()) ? 1 : 0;
        }
        return sent;
    }

    @Test
    void quorumClaimLimitsSetUpsAtBoxToOneAtATimeAndRefusesNoViewer() throws Exception {
        try (RehearsalHarness harness =
                new RehearsalHarness(state, "/managers", THREE_MANAGERS, "/boxes/setUpMs", "300")) {
            double startedMs = harness.rehearsal.recording().nowMs();
            RehearsalHarness.await(
                    "all three managers list each other as present",
                    () -> harness.rehearsal.managers().stream()
                            .allMatch(m -> m.loop()
                                            .call(() -> m.peers()
                                                    .node()
                                                    .membership()
                                                    .presentCount())
                                    == 3));
            FrontProcess thirdManager = harness.rehearsal.managers().get(2);
            harness.rehearsal.injectFault(falseClaims(0, 1, 30));
            RehearsalHarness.await(
                    "the third manager receives a claim",
                    () -> thirdManager
                                    .loop()
                                    .call(() -> thirdManager
                                            .peers()
                                            .view()
                                            .path("claims")
                                            .size())
                            > 0);
            assertTrue(!hasEvidenceAgainst(thirdManager, 1), "the claim of a single manager is believed");
            harness.rehearsal.injectFault(falseClaims(1, 1, 30));
            // Also waits for the end of the time after its start in which the third manager sends each box few set-ups.
            RehearsalHarness.await(
                    "the claim of a quorum is believed",
                    () -> hasEvidenceAgainst(thirdManager, 1)
                            && harness.rehearsal.recording().nowMs() - startedMs > 4500);
            List<CompletableFuture<HttpResponse<String>>> burst = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                burst.add(harness.client.sendAsync(
                        HttpRequest.newBuilder(harness.uri(2, "/v1/lectures/t1/index.m3u8?class=talk&viewer=b" + i))
                                .build(),
                        HttpResponse.BodyHandlers.ofString()));
            }
            for (CompletableFuture<HttpResponse<String>> answer : burst) {
                assertEquals(200, answer.join().statusCode());
            }
            List<Entry> entries = harness.rehearsal.recording().entries();
            long setUpsBeforeAnswer =
                    setUpsBeforeFirstAnswer(entries, e -> e.peer().equals("box:1"));
            long allSetUps = entries.stream()
                    .filter(e -> e.end().equals("manager:2")
                            && e.kind() == Kind.REQUEST
                            && "/v1/sessions".equals(e.target()))
                    .count();
            assertTrue(
                    setUpsBeforeAnswer <= 1 && allSetUps >= 12,
                    setUpsBeforeAnswer + " concurrent set-ups before the first answer, " + allSetUps + " set-ups");
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void ownObservationOverridesQuorumAndContradictedClaimsAreCounted() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state, "/managers", THREE_MANAGERS)) {
            FrontProcess thirdManager = harness.rehearsal.managers().get(2);
            RehearsalHarness.await(
                    "the third manager lists three present members",
                    () -> thirdManager
                                    .loop()
                                    .call(() -> thirdManager
                                            .peers()
                                            .node()
                                            .membership()
                                            .presentCount())
                            == 3);
            harness.rehearsal.injectFault(falseClaims(0, 1, 30));
            harness.rehearsal.injectFault(falseClaims(1, 1, 30));
            RehearsalHarness.await("the claim of a quorum is believed", () -> hasEvidenceAgainst(thirdManager, 1));
            RehearsalHarness.await("the manager's own observations contradict the claim", () -> {
                HttpResponse<String> answer = harness.getWithRetry(
                        harness.uri(2, "/v1/lectures/t1/index.m3u8?class=talk&viewer=" + System.nanoTime()));
                return answer.statusCode() >= 200
                        && !hasEvidenceAgainst(thirdManager, 1)
                        && thirdManager
                                        .loop()
                                        .call(() ->
                                                thirdManager.peers().counters().get("gossip-claims-contradicted"))
                                > 0;
            });
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void isolatedManagerServesAndRestartedManagerRejoinsGroup() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(
                state, "/managers", THREE_MANAGERS, "/service/operators", "{\"host\": \"127.0.0.1\", \"port\": 0}")) {
            FrontProcess firstManager = harness.rehearsal.managers().get(0);
            Predicate<State> secondMemberIs = s -> firstManager
                            .loop()
                            .call(() -> firstManager.peers().node().membership().state("m1"))
                    == s;
            RehearsalHarness.await("the second manager is listed as alive", () -> secondMemberIs.test(State.ALIVE));
            harness.rehearsal.injectFault(new Day.Fault("members-cut", 0, 0, List.of(), 0, 1, 0, false));
            RehearsalHarness.await(
                    "the isolated second manager is listed as dead", () -> secondMemberIs.test(State.DEAD));
            // Isolated from the group, it still serves players.
            assertEquals(
                    200,
                    harness.requestLectureAt(1, "talk", "v1", "Accept", "*/*").statusCode());
            harness.killManager(1);
            RehearsalHarness.await(
                    "the second manager's new process is listed as alive", () -> secondMemberIs.test(State.ALIVE));
            URI members = URI.create(
                    "http://127.0.0.1:" + firstManager.operatorsAddress().getPort() + "/v1/members");
            var memberList = Documents.MAPPER.readTree(harness.get(members).body());
            assertEquals("calicovale/members/1", memberList.path("schema").asText());
            assertEquals(3, memberList.path("members").size());
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void managersWithoutGossipSettingsSendNoDatagrams() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(
                state, "/managers", "{\"count\": 2}", "/service/operators", "{\"host\": \"127.0.0.1\", \"port\": 0}")) {
            for (FrontProcess manager : harness.rehearsal.managers()) {
                assertNull(manager.peers());
                assertNull(manager.gossipAddress());
                assertNotNull(manager.operatorsAddress());
                assertEquals(
                        404,
                        harness.get(URI.create("http://127.0.0.1:"
                                        + manager.operatorsAddress().getPort() + "/v1/members"))
                                .statusCode());
                assertEquals(0, manager.loop().call(() -> manager.loop().counters().datagramsSent));
            }
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void firstSetUpsFailUnlessAnsweredWith201Or429() throws Exception {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            entries.add(new Entry(
                    i,
                    "manager:0",
                    "box:" + i,
                    i,
                    1,
                    Kind.REQUEST,
                    "POST",
                    "/v1/sessions",
                    0,
                    "{\"attempt\":" + (i == 4 ? 1 : 0) + "}",
                    0));
        }
        entries.add(new Entry(9, "manager:0", "box:0", 0, 1, Kind.RESPONSE, null, null, 201, "", 0));
        entries.add(new Entry(9, "manager:0", "box:1", 1, 1, Kind.RESPONSE, null, null, 429, "", 0));
        entries.add(new Entry(9, "manager:0", "box:2", 2, 1, Kind.RESPONSE, null, null, 500, "", 0));
        FirstSetUps firstSetUps = FirstSetUps.countIn(entries);
        assertEquals(4, firstSetUps.sent());
        assertEquals(java.util.Map.of("box:2", 1L, "box:3", 1L), firstSetUps.failedByBox());
    }
}
