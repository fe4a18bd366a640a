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

/** Managers that share their suspicions, through real sockets: from a claim to the place of a session. */
class GossipDayTest {
    private static final String GROUP =
            "{\"count\": 3, \"gossip\": {\"probeMs\": 300, \"timeoutMs\": 140, \"newsMs\": 50, "
                    + "\"exchangeMs\": 1000, \"claims\": {\"believedMs\": 50, \"quorumLeast\": 2}}}";

    @TempDir
    private Path state;

    private static boolean believes(FrontProcess manager, int box) {
        return manager.loop().call(() -> manager.peers().view().path("evidence").has(Integer.toString(box)));
    }

    private static Day.Fault lies(int manager, int box, double seconds) {
        return new Day.Fault("false-claims", 0, seconds, List.of(box), 0, manager, 0, false);
    }

    /** Set-ups that a manager sent to a box before the first answer of that box to it. */
    private static long untilAnswered(List<Entry> entries, Predicate<Entry> box) {
        long sent = 0;
        for (Entry e : entries) {
            if (!e.end().equals("manager:2") || !box.test(e)) {
                continue;
            }
            if (e.kind() == Kind.RESPONSE && e.status() == 201) {
                return sent;
            }
            sent += e.kind() == Kind.REQUEST && "/v1/sessions".equals(e.target()) ? 1 : 0;
        }
        return sent;
    }

    @Test
    void whatAQuorumClaimsIsTriedOnceAtATimeAndCostsNobodyAPlace() throws Exception {
        try (Stage stage = new Stage(state, "/managers", GROUP, "/boxes/setUpMs", "300")) {
            double from = stage.run.tape().nowMs();
            Stage.await(
                    "all three know each other",
                    () -> stage.run.managers().stream()
                            .allMatch(m -> m.loop()
                                            .call(() -> m.peers()
                                                    .node()
                                                    .membership()
                                                    .presentCount())
                                    == 3));
            FrontProcess third = stage.run.managers().get(2);
            stage.run.happen(lies(0, 1, 30));
            Stage.await(
                    "a claim is heard",
                    () -> third.loop()
                                    .call(() ->
                                            third.peers().view().path("claims").size())
                            > 0);
            assertTrue(!believes(third, 1), "one manager's word");
            stage.run.happen(lies(1, 1, 30));
            // past the time after its start in which a manager sends every box little
            Stage.await(
                    "a quorum is believed",
                    () -> believes(third, 1) && stage.run.tape().nowMs() - from > 4500);
            List<CompletableFuture<HttpResponse<String>>> burst = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                burst.add(stage.client.sendAsync(
                        HttpRequest.newBuilder(stage.at(2, "/v1/lectures/t1/index.m3u8?class=talk&viewer=b" + i))
                                .build(),
                        HttpResponse.BodyHandlers.ofString()));
            }
            for (CompletableFuture<HttpResponse<String>> each : burst) {
                assertEquals(200, each.join().statusCode());
            }
            List<Entry> entries = stage.run.tape().entries();
            long there = untilAnswered(entries, e -> e.peer().equals("box:1"));
            long all = entries.stream()
                    .filter(e -> e.end().equals("manager:2")
                            && e.kind() == Kind.REQUEST
                            && "/v1/sessions".equals(e.target()))
                    .count();
            assertTrue(there <= 1 && all >= 12, there + " trials at once, " + all + " set-ups");
            stage.end();
        }
    }

    @Test
    void whatWorksHereOutranksTheGroupAndLiarsLoseTheirVoice() throws Exception {
        try (Stage stage = new Stage(state, "/managers", GROUP)) {
            FrontProcess third = stage.run.managers().get(2);
            Stage.await(
                    "they know each other",
                    () -> third.loop()
                                    .call(() ->
                                            third.peers().node().membership().presentCount())
                            == 3);
            stage.run.happen(lies(0, 1, 30));
            stage.run.happen(lies(1, 1, 30));
            Stage.await("a quorum is believed", () -> believes(third, 1));
            Stage.await("what is seen here ends it", () -> {
                HttpResponse<String> answer = stage.getQuietly(
                        stage.at(2, "/v1/lectures/t1/index.m3u8?class=talk&viewer=" + System.nanoTime()));
                return answer.statusCode() >= 200
                        && !believes(third, 1)
                        && third.loop().call(() -> third.peers().counters().get("gossip-claims-contradicted")) > 0;
            });
            stage.end();
        }
    }

    @Test
    void aManagerCutOffAndOneKilledComeBackToTheGroup() throws Exception {
        try (Stage stage =
                new Stage(state, "/managers", GROUP, "/service/operators", "{\"host\": \"127.0.0.1\", \"port\": 0}")) {
            FrontProcess first = stage.run.managers().get(0);
            Predicate<State> second = s ->
                    first.loop().call(() -> first.peers().node().membership().state("m1")) == s;
            Stage.await("it is there", () -> second.test(State.ALIVE));
            stage.run.happen(new Day.Fault("members-cut", 0, 0, List.of(), 0, 1, 0, false));
            Stage.await("it is not heard of", () -> second.test(State.DEAD));
            // cut off from the others it serves as before
            assertEquals(200, stage.askAt(1, "talk", "v1", "Accept", "*/*").statusCode());
            stage.kill(1);
            Stage.await("its new process is", () -> second.test(State.ALIVE));
            URI members =
                    URI.create("http://127.0.0.1:" + first.operatorsAddress().getPort() + "/v1/members");
            var view = Documents.MAPPER.readTree(stage.get(members).body());
            assertEquals("calicovale/members/1", view.path("schema").asText());
            assertEquals(3, view.path("members").size());
            stage.end();
        }
    }

    @Test
    void withoutSettingsForItNoManagerTalksToAnother() throws Exception {
        try (Stage stage = new Stage(
                state, "/managers", "{\"count\": 2}", "/service/operators", "{\"host\": \"127.0.0.1\", \"port\": 0}")) {
            for (FrontProcess manager : stage.run.managers()) {
                assertNull(manager.peers());
                assertNull(manager.gossipAddress());
                assertNotNull(manager.operatorsAddress());
                assertEquals(
                        404,
                        stage.get(URI.create("http://127.0.0.1:"
                                        + manager.operatorsAddress().getPort() + "/v1/members"))
                                .statusCode());
                assertEquals(0, manager.loop().call(() -> manager.loop().counters().datagramsSent));
            }
            stage.end();
        }
    }

    @Test
    void firstSetUpsThatFailedAreCountedByWhatWasAnswered() throws Exception {
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
        FirstSetUps firsts = FirstSetUps.of(entries);
        assertEquals(4, firsts.sent());
        assertEquals(java.util.Map.of("box:2", 1L, "box:3", 1L), firsts.failedByBox());
    }
}
