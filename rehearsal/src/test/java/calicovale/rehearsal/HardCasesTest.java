package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.hls.Playlist;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.judge.Report;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import calicovale.standin.MediaBox;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The hard cases, each caused through real sockets and judged by the tape. */
@Timeout(120)
class HardCasesTest {
    @TempDir
    private Path state;

    private static boolean setUp(Entry e) {
        return e.kind() == Kind.REQUEST && "POST".equals(e.method()) && "/v1/sessions".equals(e.target());
    }

    private static boolean atBox(Entry e) {
        return e.end().startsWith("box:");
    }

    private int[] all(Stage stage) {
        return java.util.stream.IntStream.range(0, stage.run.boxes().size()).toArray();
    }

    /** Sets a fault at all boxes but one. */
    private void onlyBox(Stage stage, int open, java.util.function.Consumer<MediaBox> fault) {
        for (int i : all(stage)) {
            if (i != open) {
                stage.run.atBox(i, box -> {
                    fault.accept(box);
                    return true;
                });
            }
        }
    }

    @Test
    void aSessionPlaysFromRequestToSegmentWithTheJdksOwnClient() throws Exception {
        try (Stage stage = new Stage(state)) {
            HttpResponse<String> first = stage.ask("contractor-course", "v1");
            assertEquals(200, first.statusCode());
            assertTrue(Playlist.parse(first.body()).isMultivariant());
            HttpResponse<String> media = stage.get(stage.at(Stage.media(first)));
            assertEquals(200, media.statusCode());
            Playlist playlist = Playlist.parse(media.body());
            assertTrue(playlist.entries().size() >= 2);
            for (String uri : Stage.segments(media.body())) {
                HttpResponse<String> segment = stage.get(URI.create(uri));
                assertEquals(200, segment.statusCode());
                assertFalse(segment.body().isEmpty());
            }
            HttpResponse<String> other = stage.get(stage.at("/s/00000000000000000000000000000000/media.m3u8"));
            assertEquals(404, other.statusCode());
            Report report = stage.end();
            assertTrue(report.verdict().checkCount("terms-kept") > 0);
        }
    }

    @Test
    void aBoxThatDiesMidPlaylistIsReplacedAtTheNextLoad() throws Exception {
        try (Stage stage = new Stage(state)) {
            String media = Stage.media(stage.ask("talk", "v1"));
            String before = stage.get(stage.at(media)).body();
            int box = stage.boxOf(Stage.segments(before).get(0));
            stage.run.happen(Stage.fault("crash", 0, 0, box));
            Stage.await("the loss is known", () -> stage.counter("sessions-lost") == 1);
            HttpResponse<String> next = stage.get(stage.at(media));
            assertEquals(200, next.statusCode());
            List<Playlist.Entry> entries = Playlist.parse(next.body()).entries();
            Playlist.Entry last = entries.get(entries.size() - 1);
            assertNotEquals(box, stage.boxOf(last.uri()));
            assertTrue(entries.stream().anyMatch(e -> e.has("EXT-X-DISCONTINUITY")));
            // what was given stays as it was, up to the front of the window
            assertTrue(Stage.segments(before).stream().anyMatch(Stage.segments(next.body())::contains));
            assertEquals(200, stage.get(URI.create(last.uri())).statusCode());
            assertEquals(0, stage.end().verdict().requestsByOutcome().get("answeredTwice"));
        }
    }

    @Test
    void aSessionThatIsMovedGoesOnAtAnotherPlaceInTheSamePlaylist() throws Exception {
        try (Stage stage = new Stage(state)) {
            HttpResponse<String> first = stage.ask("contractor-course", "v1");
            String media = Stage.media(first);
            String before = stage.get(stage.at(media)).body();
            String id = first.headers().firstValue("Calicovale-Session").orElseThrow();
            var manager = stage.run.managers().get(0);
            manager.loop().call(() -> {
                manager.manager().moveSession(id);
                return true;
            });
            HttpResponse<String> next = stage.get(stage.at(media));
            for (int i = 0; next.statusCode() == 503 && i < 100; i++) {
                next = stage.get(stage.at(media));
            }
            assertEquals(200, next.statusCode());
            assertNotEquals(id, next.headers().firstValue("Calicovale-Session").orElseThrow());
            List<String> now = Stage.segments(next.body());
            assertTrue(Stage.segments(before).stream().anyMatch(now::contains), "what was given stays");
            assertEquals(200, stage.get(URI.create(now.get(now.size() - 1))).statusCode());
            assertEquals(
                    410, stage.get(URI.create(Stage.segments(before).get(0))).statusCode());
            stage.end();
        }
    }

    @Test
    void aSetUpThatTimedOutAndIsStartedLateNeitherPlaysNorHoldsItsStream() throws Exception {
        // with a lease that outlives the test, only the manager's release lets the ghost go
        try (Stage stage = new Stage(state, "/service/times/leaseMs", "600000")) {
            for (int i : all(stage)) {
                stage.run.atBox(i, box -> box.faults().hang = box.faults().ignorePeerClosed = true);
            }
            CompletableFuture<HttpResponse<String>> answer = stage.askAsync("talk", "v1");
            Entry first = stage.awaitEntry("the first set-up", e -> atBox(e) && setUp(e));
            int hung = Integer.parseInt(first.end().substring(4));
            // the others wake, the first box stays deaf: the second attempt plays elsewhere
            onlyBox(stage, hung, MediaBox::endHang);
            assertEquals(200, answer.join().statusCode());
            String media = Stage.media(answer.join());
            assertNotEquals(
                    hung,
                    stage.boxOf(
                            Stage.segments(stage.get(stage.at(media)).body()).get(0)));
            // now the ghost comes to play, and nobody hears of it
            stage.run.atBox(hung, box -> {
                box.endHang();
                return box.sessionCount();
            });
            Stage.await(
                    "the ghost lets its stream go when it is released",
                    () -> stage.run.atBox(hung, MediaBox::sessionCount) == 0);
            Report report = stage.end();
            assertTrue(report.verdict().checkCount("no-setup-twice") > 0);
            long played = stage.run.tape().entries().stream()
                    .filter(e -> atBox(e)
                            && e.kind() == Kind.REQUEST
                            && "PUT".equals(e.method())
                            && e.body().contains("confirmed"))
                    .count();
            assertEquals(1, played, "one attempt alone is confirmed");
        }
    }

    @Test
    void aGhostWhoseManagerIsDeadLetsItsStreamGoAtTheEndOfItsLease() throws Exception {
        try (Stage stage = new Stage(state)) {
            for (int i : all(stage)) {
                stage.run.atBox(i, box -> box.faults().hang = box.faults().ignorePeerClosed = true);
            }
            CompletableFuture<HttpResponse<String>> answer = stage.askAsync("talk", "v1");
            Entry first = stage.awaitEntry("the set-up", e -> atBox(e) && setUp(e));
            stage.run.happen(new Day.Fault("manager-kill", 0, 0, List.of(), 0, 0, 0, false));
            assertTrue(answer.handle((a, e) -> e != null).join(), "its manager is dead");
            int box = Integer.parseInt(first.end().substring(4));
            assertEquals(1, (int) stage.run.atBox(box, b -> {
                b.endHang();
                return b.sessionCount();
            }));
            Stage.await(
                    "nobody releases it: the lease ends it", () -> stage.run.atBox(box, MediaBox::sessionCount) == 0);
            stage.end();
        }
    }

    @Test
    void aManagerWithAWrongClockGoesByTheDirectorysWhateverItsOwnDoes() throws Exception {
        try (Stage stage = new Stage(state, "/managers", "{\"count\": 1, \"skewMs\": [60000]}")) {
            var manager = stage.run.managers().get(0);
            assertTrue(Math.abs(offCommonMs(manager)) < 10_000, "off by " + offCommonMs(manager));
            stage.run.happen(new Day.Fault("clock-step", 0, 0, List.of(), 0, 0, 90_000, false));
            assertTrue(Math.abs(offCommonMs(manager)) < 10_000, "off by " + offCommonMs(manager));
            stage.end();
        }
    }

    private static double offCommonMs(calicovale.front.FrontProcess manager) {
        return manager.loop().call(() -> manager.manager().host().nowMs()) - System.currentTimeMillis();
    }

    @Test
    void aViewerThatClosesBetweenSetUpAndAnswerLeavesNoStreamBehind() throws Exception {
        try (Stage stage = new Stage(state)) {
            for (int i : all(stage)) {
                stage.run.atBox(i, box -> box.faults().setUpTimeFactor = 40);
            }
            try (Socket s = new Socket("127.0.0.1", stage.run.addresses().get(0).getPort())) {
                s.getOutputStream()
                        .write("GET /v1/lectures/t1/index.m3u8?class=talk&viewer=v1&try=1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                stage.awaitEntry("the set-up", e -> atBox(e) && setUp(e));
            }
            Stage.await("the departure is told", () -> stage.counter("departed") == 1);
            Stage.await(
                    "the boxes hold nothing",
                    () -> java.util.Arrays.stream(all(stage))
                            .allMatch(i -> stage.run.atBox(i, MediaBox::sessionCount) == 0));
            assertEquals(0, stage.counter("played"));
            stage.end();
        }
    }

    @Test
    void aBoxThatAnswersAfterTheDeadlineIsNotHeard() throws Exception {
        try (Stage stage = new Stage(
                state,
                "/service/classes/0/deadlineMs",
                "1200",
                "/service/limits/attempts",
                "1",
                "/service/classes/0/aimMs",
                "2400")) {
            for (int i : all(stage)) {
                // every answer takes longer than the viewer waits
                stage.run.atBox(i, box -> box.faults().setUpTimeFactor = 300);
            }
            HttpResponse<String> answer = stage.ask("talk", "v1");
            assertTrue(answer.statusCode() == 503 || answer.statusCode() == 504, "" + answer.statusCode());
            assertTrue(answer.statusCode() != 503
                    || answer.headers().firstValue("Retry-After").isPresent());
            Stage.await(
                    "the boxes hold nothing",
                    () -> java.util.Arrays.stream(all(stage))
                            .allMatch(i -> stage.run.atBox(i, MediaBox::sessionCount) == 0));
            stage.end();
        }
    }

    @Test
    void aStalledManagerWakesToABurstAndPushesNoColdBox() throws Exception {
        try (Stage stage = new Stage(state, "/service/rules/warmAfterMs", "20000")) {
            // the two other boxes drain, so that all would go to the one that just started
            stage.run.happen(Stage.fault("crash", 0.1, 0, 0));
            stage.awaitEntry(
                    "the cold start is told",
                    e -> e.end().startsWith("manager")
                            && e.kind() == Kind.EVENT
                            && e.body() != null
                            && e.body().contains("\"id\":0,\"state\":\"ready\"")
                            && !e.body().contains("\"startedMs\":0.0"));
            for (int i : new int[] {1, 2}) {
                stage.run.atBox(i, box -> box.faults().setUpErrorShare = 1);
            }
            stage.run.happen(new Day.Fault("manager-stall", 0, 1.0, List.of(), 0, 0, 0, false));
            List<CompletableFuture<HttpResponse<String>>> burst = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                burst.add(stage.askAsync(i % 2 == 0 ? "talk" : "contractor-course", "v" + i));
            }
            for (CompletableFuture<HttpResponse<String>> answer : burst) {
                int status = answer.join().statusCode();
                assertTrue(status == 200 || status >= 502 && status <= 504, "" + status);
            }
            assertFalse(stage.run.atBox(0, MediaBox::crashedByOverload));
            Report report = stage.end();
            assertEquals(40, report.verdict().requestsByOutcome().get("taken"));
        }
    }

    @Test
    void aBoxThatRestartsOnItsPortKnowsNothingOfBefore() throws Exception {
        try (Stage stage = new Stage(state)) {
            String media = Stage.media(stage.ask("talk", "v1"));
            String segment = Stage.segments(stage.get(stage.at(media)).body()).get(0);
            int box = stage.boxOf(segment);
            stage.run.happen(Stage.fault("crash", 0.05, 0, box));
            stage.awaitEntry(
                    "the new process", e -> e.kind() == Kind.MARK && e.method().equals("box-start"));
            assertEquals(URI.create(segment).getPort(), (int)
                    stage.run.atBox(box, b -> b.address().getPort()));
            assertEquals(410, stage.get(URI.create(segment)).statusCode());
            Stage.await("the loss is known", () -> stage.counter("sessions-lost") == 1);
            HttpResponse<String> next = stage.get(stage.at(media));
            assertEquals(200, next.statusCode());
            List<String> now = Stage.segments(next.body());
            assertEquals(200, stage.get(URI.create(now.get(now.size() - 1))).statusCode());
            stage.end();
        }
    }

    @Test
    void aManagerStartsWithoutTheDirectoryFromTheListItKept() throws Exception {
        try (Stage stage = new Stage(state)) {
            assertEquals(200, stage.ask("talk", "v1").statusCode());
            Stage.await(
                    "the list is kept",
                    () -> state.resolve("list-0.json").toFile().exists());
            stage.run.happen(Stage.fault("directory-down", 0, 0));
            stage.awaitEntry("the outage", e -> e.end().equals("directory") && e.kind() == Kind.CLOSED);
            // later: sessions are placed by the list as it was
            assertEquals(200, stage.ask("talk", "v2").statusCode());
            var killed = stage.run.managers().get(0);
            stage.run.happen(new Day.Fault("manager-kill", 0, 0.05, List.of(), 0, 0, 0, false));
            Stage.await("a new process", () -> stage.run.managers().get(0) != killed);
            stage.run.managers().get(0).address();
            Stage.await("the kept list is used", () -> stage.counter("saved-lists-used") == 1);
            assertEquals(200, stage.ask("talk", "v3").statusCode());
            stage.end();
        }
    }

    @Test
    void withoutAnyListRequestsAreRefusedAtOnceAndServedWhenItComes() throws Exception {
        try (Stage stage = new Stage(state, "/directory/startsAtS", "1.5")) {
            HttpResponse<String> early = stage.ask("talk", "v1");
            assertEquals(503, early.statusCode());
            assertTrue(early.headers().firstValue("Retry-After").isPresent());
            stage.awaitEntry(
                    "the list",
                    e -> e.end().startsWith("manager") && e.kind() == Kind.EVENT && "full".equals(e.method()));
            Stage.await(
                    "a session plays",
                    () -> stage.ask("talk", "v" + System.nanoTime()).statusCode() == 200);
            stage.end();
        }
    }

    @Test
    void aFullListThatLacksABoxEndsNoSessionThere() throws Exception {
        try (Stage stage = new Stage(state)) {
            String media = Stage.media(stage.ask("talk", "v1"));
            String segment = Stage.segments(stage.get(stage.at(media)).body()).get(0);
            int box = stage.boxOf(segment);
            stage.run.happen(Stage.fault("list-forgets", 0, 0, box));
            stage.awaitEntry(
                    "the list without it",
                    e -> e.end().startsWith("manager")
                            && e.kind() == Kind.EVENT
                            && "full".equals(e.method())
                            && !e.body().contains("\"id\":" + box + ","));
            for (int i = 0; i < 6; i++) {
                String next = Stage.media(stage.askUntilItPlays("talk", "w" + i));
                assertNotEquals(
                        box,
                        stage.boxOf(
                                Stage.segments(stage.get(stage.at(next)).body()).get(0)));
            }
            HttpResponse<String> again = stage.get(stage.at(media));
            assertEquals(200, again.statusCode());
            assertEquals(200, stage.get(URI.create(segment)).statusCode());
            assertEquals(0, stage.counter("sessions-lost"));
            assertTrue(stage.end().verdict().checkCount("drains-kept") > 0);
        }
    }

    @Test
    void withEveryLinkShortNoCourseIsAtTheBottomRung() throws Exception {
        try (Stage stage = new Stage(
                state,
                "/boxes/linkKb",
                "150",
                "/service/media/linkKbPerWeight",
                "150",
                "/service/media/fullFrom",
                "0")) {
            List<String> playing = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                playing.add(Stage.media(stage.askUntilItPlays(i % 3 == 0 ? "talk" : "contractor-course", "v" + i)));
            }
            for (int i : all(stage)) {
                stage.run.atBox(i, box -> {
                    box.setLinkDivisor(4);
                    return true;
                });
            }
            stage.awaitEntry(
                    "a session is lowered",
                    e -> atBox(e)
                            && e.kind() == Kind.REQUEST
                            && "PUT".equals(e.method())
                            && e.body().contains("\"rung\""));
            for (int round = 0; round < 3; round++) {
                for (String media : playing) {
                    stage.get(stage.at(media));
                }
            }
            Report report = stage.end();
            assertTrue(report.verdict().checkCount("terms-kept") > 10);
        }
    }

    @Test
    void aStreamThatFallsSilentIsOpenedAnewAndItsSessionsStay() throws Exception {
        try (Stage stage = new Stage(state, "/boxes/graceMs", "20000")) {
            String media = Stage.media(stage.ask("talk", "v1"));
            String segment = Stage.segments(stage.get(stage.at(media)).body()).get(0);
            int box = stage.boxOf(segment);
            Stage.await(
                    "its news are heard",
                    () -> stage.run.tape().entries().stream()
                            .anyMatch(e -> e.end().equals("manager:0")
                                    && e.peer().equals("box:" + box)
                                    && e.kind() == Kind.EVENT));
            stage.run.atBox(box, b -> b.faults().silentEventStreams = true);
            Stage.await("the silence is noticed", () -> stage.counter("box-streams-silent") >= 1);
            stage.run.atBox(box, b -> b.faults().silentEventStreams = false);
            assertEquals(200, stage.get(URI.create(segment)).statusCode());
            assertEquals(0, stage.counter("sessions-lost"));
            stage.end();
        }
    }

    @Test
    void aPageOfAnotherOriginMayReadRefusalsAndSegments() throws Exception {
        try (Stage stage = new Stage(
                state,
                "/service/crossOrigin",
                "{\"origins\": [\"https://page\"]}",
                "/boxes/origins",
                "[\"https://page\"]",
                "/service/bounds",
                "{\"sessions\": 1}")) {
            HttpResponse<String> first = stage.askAt(0, "talk", "v1", "Origin", "https://page");
            HttpResponse<String> refused = stage.askAt(0, "talk", "v2", "Origin", "https://page");
            HttpResponse<String> wrong = stage.askAt(0, "none", "v3", "Origin", "https://page");
            assertEquals(List.of(200, 503, 400), List.of(first.statusCode(), refused.statusCode(), wrong.statusCode()));
            String segment = Stage.segments(
                            stage.get(stage.at(Stage.media(first))).body())
                    .get(0);
            HttpResponse<String> played = stage.client.send(
                    HttpRequest.newBuilder(URI.create(segment))
                            .header("Origin", "https://page")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertEquals(200, played.statusCode());
            for (HttpResponse<String> answer : List.of(first, refused, wrong, played)) {
                assertEquals(
                        "https://page",
                        answer.headers()
                                .firstValue("Access-Control-Allow-Origin")
                                .orElse(""));
            }
            assertTrue(refused.headers()
                    .firstValue("Access-Control-Expose-Headers")
                    .orElse("")
                    .contains("Retry-After"));
            assertEquals(
                    "",
                    stage.askAt(0, "talk", "v4", "Origin", "https://other")
                            .headers()
                            .firstValue("Access-Control-Allow-Origin")
                            .orElse(""));
            var status = calicovale.protocols.json.Documents.MAPPER.readTree(
                    stage.get(stage.at("/v1/status")).body());
            assertEquals(
                    List.of(1, 0),
                    List.of(
                            status.path("sessions").asInt(-1),
                            status.path("pending").asInt(-1)));
            HttpResponse<String> nothing = stage.get(stage.at("/v1/lectures/t1/index.m3u8"));
            assertEquals(400, nothing.statusCode());
            assertTrue(nothing.body().contains("class: one of [talk, contractor-course]"), nothing.body());
            stage.end();
        }
    }
}
