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

/** Tests failures that are hard to handle, each caused through real sockets and judged by the recording. */
@Timeout(120)
class HardCasesTest {
    @TempDir
    private Path state;

    private static boolean isSetUp(Entry entry) {
        return entry.kind() == Kind.REQUEST && "POST".equals(entry.method()) && "/v1/sessions".equals(entry.target());
    }

    private static boolean isAtBox(Entry entry) {
        return entry.end().startsWith("box:");
    }

    private int[] boxIndexes(RehearsalHarness harness) {
        return java.util.stream.IntStream.range(0, harness.rehearsal.boxes().size())
                .toArray();
    }

    /** Applies an action to all boxes but one. */
    private void applyToAllBoxesBut(
            RehearsalHarness harness, int exceptBox, java.util.function.Consumer<MediaBox> action) {
        for (int i : boxIndexes(harness)) {
            if (i != exceptBox) {
                harness.rehearsal.callOnBox(i, box -> {
                    action.accept(box);
                    return true;
                });
            }
        }
    }

    @Test
    void sessionPlaysFromRequestToSegmentWithJdkHttpClient() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            HttpResponse<String> first = harness.requestLecture("contractor-course", "v1");
            assertEquals(200, first.statusCode());
            assertTrue(Playlist.parse(first.body()).isMultivariant());
            HttpResponse<String> media = harness.get(harness.uri(RehearsalHarness.mediaPath(first)));
            assertEquals(200, media.statusCode());
            Playlist playlist = Playlist.parse(media.body());
            assertTrue(playlist.entries().size() >= 2);
            for (String uri : RehearsalHarness.segmentUris(media.body())) {
                HttpResponse<String> segment = harness.get(URI.create(uri));
                assertEquals(200, segment.statusCode());
                assertFalse(segment.body().isEmpty());
            }
            HttpResponse<String> other = harness.get(harness.uri("/s/00000000000000000000000000000000/media.m3u8"));
            assertEquals(404, other.statusCode());
            Report report = harness.finishAndAssertRulesKept();
            assertTrue(report.verdict().checkCount("terms-kept") > 0);
        }
    }

    /** The counter's name is put together from the outcome's name, so renaming the outcome would change it. */
    @Test
    void failedSetUpIsCountedUnderItsOutcome() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            applyToAllBoxesBut(harness, -1, box -> box.faults().setUpErrorShare = 1);
            assertNotEquals(200, harness.requestLecture("talk", "v1").statusCode());
            RehearsalHarness.await("the failed attempt is counted", () -> harness.counter("attempts-error") > 0);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void crashedBoxIsReplacedAtNextPlaylistReload() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            String media = RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1"));
            String before = harness.get(harness.uri(media)).body();
            int box = harness.boxOf(RehearsalHarness.segmentUris(before).get(0));
            harness.rehearsal.injectFault(RehearsalHarness.fault("crash", 0, 0, box));
            RehearsalHarness.await("the manager counts the lost session", () -> harness.counter("sessions-lost") == 1);
            HttpResponse<String> next = harness.get(harness.uri(media));
            assertEquals(200, next.statusCode());
            List<Playlist.Entry> entries = Playlist.parse(next.body()).entries();
            Playlist.Entry last = entries.get(entries.size() - 1);
            assertNotEquals(box, harness.boxOf(last.uri()));
            assertTrue(entries.stream().anyMatch(e -> e.has("EXT-X-DISCONTINUITY")));
            // Segments that were given stay listed unchanged, as far as the window still covers them.
            assertTrue(RehearsalHarness.segmentUris(before).stream()
                    .anyMatch(RehearsalHarness.segmentUris(next.body())::contains));
            assertEquals(200, harness.get(URI.create(last.uri())).statusCode());
            assertEquals(
                    0,
                    harness.finishAndAssertRulesKept()
                            .verdict()
                            .requestsByOutcome()
                            .get("answeredTwice"));
        }
    }

    @Test
    void movedSessionContinuesElsewhereInSamePlaylist() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            HttpResponse<String> first = harness.requestLecture("contractor-course", "v1");
            String media = RehearsalHarness.mediaPath(first);
            String before = harness.get(harness.uri(media)).body();
            String id = first.headers().firstValue("Calicovale-Session").orElseThrow();
            var manager = harness.rehearsal.managers().get(0);
            manager.loop().call(() -> {
                manager.manager().moveSession(id);
                return true;
            });
            HttpResponse<String> next = harness.get(harness.uri(media));
            for (int i = 0; next.statusCode() == 503 && i < 100; i++) {
                next = harness.get(harness.uri(media));
            }
            assertEquals(200, next.statusCode());
            assertNotEquals(id, next.headers().firstValue("Calicovale-Session").orElseThrow());
            List<String> urisAfterMove = RehearsalHarness.segmentUris(next.body());
            assertTrue(
                    RehearsalHarness.segmentUris(before).stream().anyMatch(urisAfterMove::contains),
                    "no segment that was given is still listed");
            assertEquals(
                    200,
                    harness.get(URI.create(urisAfterMove.get(urisAfterMove.size() - 1)))
                            .statusCode());
            assertEquals(
                    410,
                    harness.get(URI.create(RehearsalHarness.segmentUris(before).get(0)))
                            .statusCode());
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void setUpThatTimedOutAndStartsLateNeitherPlaysNorHoldsItsStream() throws Exception {
        // The lease is longer than the test, so only the manager's release can end the late set-up.
        try (RehearsalHarness harness = new RehearsalHarness(state, "/service/times/leaseMs", "600000")) {
            for (int i : boxIndexes(harness)) {
                harness.rehearsal.callOnBox(i, box -> box.faults().hang = box.faults().ignorePeerClosed = true);
            }
            CompletableFuture<HttpResponse<String>> answer = harness.requestLectureAsync("talk", "v1");
            Entry first = harness.awaitEntry("the first set-up", e -> isAtBox(e) && isSetUp(e));
            int hungBox = Integer.parseInt(first.end().substring(4));
            // The other boxes answer again while the first one still hangs, so the second attempt plays elsewhere.
            applyToAllBoxesBut(harness, hungBox, MediaBox::endHang);
            assertEquals(200, answer.join().statusCode());
            String media = RehearsalHarness.mediaPath(answer.join());
            assertNotEquals(
                    hungBox,
                    harness.boxOf(RehearsalHarness.segmentUris(
                                    harness.get(harness.uri(media)).body())
                            .get(0)));
            // Now the hung box starts the first attempt, which must not play.
            harness.rehearsal.callOnBox(hungBox, box -> {
                box.endHang();
                return box.sessionCount();
            });
            RehearsalHarness.await(
                    "the late set-up is released and frees its stream",
                    () -> harness.rehearsal.callOnBox(hungBox, MediaBox::sessionCount) == 0);
            Report report = harness.finishAndAssertRulesKept();
            assertTrue(report.verdict().checkCount("no-setup-twice") > 0);
            long played = harness.rehearsal.recording().entries().stream()
                    .filter(e -> isAtBox(e)
                            && e.kind() == Kind.REQUEST
                            && "PUT".equals(e.method())
                            && e.body().contains("confirmed"))
                    .count();
            assertEquals(1, played, "confirmed attempts");
        }
    }

    @Test
    void lateSetUpOfKilledManagerReleasesItsStreamWhenItsLeaseExpires() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            for (int i : boxIndexes(harness)) {
                harness.rehearsal.callOnBox(i, box -> box.faults().hang = box.faults().ignorePeerClosed = true);
            }
            CompletableFuture<HttpResponse<String>> answer = harness.requestLectureAsync("talk", "v1");
            Entry first = harness.awaitEntry("the set-up", e -> isAtBox(e) && isSetUp(e));
            harness.rehearsal.injectFault(new Day.Fault("manager-kill", 0, 0, List.of(), 0, 0, 0, false));
            assertTrue(answer.handle((a, e) -> e != null).join(), "the request of a killed manager was answered");
            int box = Integer.parseInt(first.end().substring(4));
            assertEquals(1, (int) harness.rehearsal.callOnBox(box, b -> {
                b.endHang();
                return b.sessionCount();
            }));
            RehearsalHarness.await(
                    "the lease ends the late set-up that nobody releases",
                    () -> harness.rehearsal.callOnBox(box, MediaBox::sessionCount) == 0);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void managerWithWrongClockFollowsDirectoryClock() throws Exception {
        try (RehearsalHarness harness =
                new RehearsalHarness(state, "/managers", "{\"count\": 1, \"skewMs\": [60000]}")) {
            var manager = harness.rehearsal.managers().get(0);
            assertTrue(Math.abs(clockOffsetMs(manager)) < 10_000, "clock offset in ms: " + clockOffsetMs(manager));
            harness.rehearsal.injectFault(new Day.Fault("clock-step", 0, 0, List.of(), 0, 0, 90_000, false));
            assertTrue(Math.abs(clockOffsetMs(manager)) < 10_000, "clock offset in ms: " + clockOffsetMs(manager));
            harness.finishAndAssertRulesKept();
        }
    }

    private static double clockOffsetMs(calicovale.front.FrontProcess manager) {
        return manager.loop().call(() -> manager.manager().host().nowMs()) - System.currentTimeMillis();
    }

    @Test
    void viewerThatClosesBeforeAnswerLeavesNoStreamBehind() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            for (int i : boxIndexes(harness)) {
                harness.rehearsal.callOnBox(i, box -> box.faults().setUpTimeFactor = 40);
            }
            try (Socket socket = new Socket(
                    "127.0.0.1", harness.rehearsal.managerAddresses().get(0).getPort())) {
                socket.getOutputStream()
                        .write("GET /v1/lectures/t1/index.m3u8?class=talk&viewer=v1&try=1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                harness.awaitEntry("the set-up", e -> isAtBox(e) && isSetUp(e));
            }
            RehearsalHarness.await("the manager counts the viewer's departure", () -> harness.counter("departed") == 1);
            RehearsalHarness.await(
                    "no box holds a session",
                    () -> java.util.Arrays.stream(boxIndexes(harness))
                            .allMatch(i -> harness.rehearsal.callOnBox(i, MediaBox::sessionCount) == 0));
            assertEquals(0, harness.counter("played"));
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void boxAnswerAfterDeadlineIsIgnored() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(
                state,
                "/service/classes/0/deadlineMs",
                "1200",
                "/service/limits/attempts",
                "1",
                "/service/classes/0/aimMs",
                "2400")) {
            for (int i : boxIndexes(harness)) {
                // Every answer of a box takes longer than the viewer waits.
                harness.rehearsal.callOnBox(i, box -> box.faults().setUpTimeFactor = 300);
            }
            HttpResponse<String> answer = harness.requestLecture("talk", "v1");
            assertTrue(answer.statusCode() == 503 || answer.statusCode() == 504, "" + answer.statusCode());
            assertTrue(answer.statusCode() != 503
                    || answer.headers().firstValue("Retry-After").isPresent());
            RehearsalHarness.await(
                    "no box holds a session",
                    () -> java.util.Arrays.stream(boxIndexes(harness))
                            .allMatch(i -> harness.rehearsal.callOnBox(i, MediaBox::sessionCount) == 0));
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void resumedManagerKeepsColdPaceInBurstOfRequests() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state, "/service/rules/warmAfterMs", "20000")) {
            // The two other boxes refuse set-ups, so without a pace all would go to the box that just started.
            harness.rehearsal.injectFault(RehearsalHarness.fault("crash", 0.1, 0, 0));
            harness.awaitEntry(
                    "the manager receives the restart of the box",
                    e -> e.end().startsWith("manager")
                            && e.kind() == Kind.EVENT
                            && e.body() != null
                            && e.body().contains("\"id\":0,\"state\":\"ready\"")
                            && !e.body().contains("\"startedMs\":0.0"));
            for (int i : new int[] {1, 2}) {
                harness.rehearsal.callOnBox(i, box -> box.faults().setUpErrorShare = 1);
            }
            harness.rehearsal.injectFault(new Day.Fault("manager-stall", 0, 1.0, List.of(), 0, 0, 0, false));
            List<CompletableFuture<HttpResponse<String>>> burst = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                burst.add(harness.requestLectureAsync(i % 2 == 0 ? "talk" : "contractor-course", "v" + i));
            }
            for (CompletableFuture<HttpResponse<String>> answer : burst) {
                int status = answer.join().statusCode();
                assertTrue(status == 200 || status >= 502 && status <= 504, "" + status);
            }
            assertFalse(harness.rehearsal.callOnBox(0, MediaBox::crashedByOverload));
            Report report = harness.finishAndAssertRulesKept();
            assertEquals(40, report.verdict().requestsByOutcome().get("taken"));
        }
    }

    @Test
    void restartedBoxOnSamePortHasNoEarlierSessions() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            String media = RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1"));
            String segment = RehearsalHarness.segmentUris(
                            harness.get(harness.uri(media)).body())
                    .get(0);
            int box = harness.boxOf(segment);
            harness.rehearsal.injectFault(RehearsalHarness.fault("crash", 0.05, 0, box));
            harness.awaitEntry(
                    "the box's new process",
                    e -> e.kind() == Kind.MARK && e.method().equals("box-start"));
            assertEquals(URI.create(segment).getPort(), (int)
                    harness.rehearsal.callOnBox(box, b -> b.address().getPort()));
            assertEquals(410, harness.get(URI.create(segment)).statusCode());
            RehearsalHarness.await("the manager counts the lost session", () -> harness.counter("sessions-lost") == 1);
            HttpResponse<String> next = harness.get(harness.uri(media));
            assertEquals(200, next.statusCode());
            List<String> urisAfterRestart = RehearsalHarness.segmentUris(next.body());
            assertEquals(
                    200,
                    harness.get(URI.create(urisAfterRestart.get(urisAfterRestart.size() - 1)))
                            .statusCode());
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void managerStartsFromSavedListWithoutDirectory() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            assertEquals(200, harness.requestLecture("talk", "v1").statusCode());
            RehearsalHarness.await(
                    "the box list is saved",
                    () -> state.resolve("list-0.json").toFile().exists());
            harness.rehearsal.injectFault(RehearsalHarness.fault("directory-down", 0, 0));
            harness.awaitEntry(
                    "the directory's connection is closed",
                    e -> e.end().equals("directory") && e.kind() == Kind.CLOSED);
            // Without the directory, sessions are placed by the last list.
            assertEquals(200, harness.requestLecture("talk", "v2").statusCode());
            var killed = harness.rehearsal.managers().get(0);
            harness.rehearsal.injectFault(new Day.Fault("manager-kill", 0, 0.05, List.of(), 0, 0, 0, false));
            RehearsalHarness.await(
                    "the manager's new process",
                    () -> harness.rehearsal.managers().get(0) != killed);
            harness.rehearsal.managers().get(0).address();
            RehearsalHarness.await("the saved list is used", () -> harness.counter("saved-lists-used") == 1);
            assertEquals(200, harness.requestLecture("talk", "v3").statusCode());
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void requestsAreRefusedAtOnceUntilFirstBoxListArrives() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state, "/directory/startsAtS", "1.5")) {
            HttpResponse<String> early = harness.requestLecture("talk", "v1");
            assertEquals(503, early.statusCode());
            assertTrue(early.headers().firstValue("Retry-After").isPresent());
            harness.awaitEntry(
                    "the first full list",
                    e -> e.end().startsWith("manager") && e.kind() == Kind.EVENT && "full".equals(e.method()));
            RehearsalHarness.await(
                    "a session plays",
                    () -> harness.requestLecture("talk", "v" + System.nanoTime())
                                    .statusCode()
                            == 200);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void boxMissingFromFullListKeepsItsSessions() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state)) {
            String media = RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1"));
            String segment = RehearsalHarness.segmentUris(
                            harness.get(harness.uri(media)).body())
                    .get(0);
            int box = harness.boxOf(segment);
            harness.rehearsal.injectFault(RehearsalHarness.fault("list-forgets", 0, 0, box));
            harness.awaitEntry(
                    "the full list without the box",
                    e -> e.end().startsWith("manager")
                            && e.kind() == Kind.EVENT
                            && "full".equals(e.method())
                            && !e.body().contains("\"id\":" + box + ","));
            for (int i = 0; i < 6; i++) {
                String next = RehearsalHarness.mediaPath(harness.requestLectureUntilAdmitted("talk", "w" + i));
                assertNotEquals(
                        box,
                        harness.boxOf(RehearsalHarness.segmentUris(
                                        harness.get(harness.uri(next)).body())
                                .get(0)));
            }
            HttpResponse<String> reloaded = harness.get(harness.uri(media));
            assertEquals(200, reloaded.statusCode());
            assertEquals(200, harness.get(URI.create(segment)).statusCode());
            assertEquals(0, harness.counter("sessions-lost"));
            assertTrue(harness.finishAndAssertRulesKept().verdict().checkCount("drains-kept") > 0);
        }
    }

    @Test
    void noCourseFallsUnderItsFloorWhenAllLinksAreShort() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(
                state,
                "/boxes/linkKb",
                "150",
                "/service/media/linkKbPerWeight",
                "150",
                "/service/media/fullFrom",
                "0")) {
            List<String> playing = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                playing.add(RehearsalHarness.mediaPath(
                        harness.requestLectureUntilAdmitted(i % 3 == 0 ? "talk" : "contractor-course", "v" + i)));
            }
            for (int i : boxIndexes(harness)) {
                harness.rehearsal.callOnBox(i, box -> {
                    box.setLinkDivisor(4);
                    return true;
                });
            }
            harness.awaitEntry(
                    "a session's rung is lowered",
                    e -> isAtBox(e)
                            && e.kind() == Kind.REQUEST
                            && "PUT".equals(e.method())
                            && e.body().contains("\"rung\""));
            for (int round = 0; round < 3; round++) {
                for (String media : playing) {
                    harness.get(harness.uri(media));
                }
            }
            Report report = harness.finishAndAssertRulesKept();
            assertTrue(report.verdict().checkCount("terms-kept") > 10);
        }
    }

    @Test
    void silentEventStreamIsReopenedAndItsSessionsStay() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(state, "/boxes/graceMs", "20000")) {
            String media = RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1"));
            String segment = RehearsalHarness.segmentUris(
                            harness.get(harness.uri(media)).body())
                    .get(0);
            int box = harness.boxOf(segment);
            RehearsalHarness.await(
                    "the manager receives an event of the box",
                    () -> harness.rehearsal.recording().entries().stream()
                            .anyMatch(e -> e.end().equals("manager:0")
                                    && e.peer().equals("box:" + box)
                                    && e.kind() == Kind.EVENT));
            harness.rehearsal.callOnBox(box, b -> b.faults().silentEventStreams = true);
            RehearsalHarness.await(
                    "the manager counts the silent event stream", () -> harness.counter("box-streams-silent") >= 1);
            harness.rehearsal.callOnBox(box, b -> b.faults().silentEventStreams = false);
            assertEquals(200, harness.get(URI.create(segment)).statusCode());
            assertEquals(0, harness.counter("sessions-lost"));
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void listedOriginMayReadRefusalsAndSegments() throws Exception {
        try (RehearsalHarness harness = new RehearsalHarness(
                state,
                "/service/crossOrigin",
                "{\"origins\": [\"https://page\"]}",
                "/boxes/origins",
                "[\"https://page\"]",
                "/service/bounds",
                "{\"sessions\": 1}")) {
            HttpResponse<String> first = harness.requestLectureAt(0, "talk", "v1", "Origin", "https://page");
            HttpResponse<String> refused = harness.requestLectureAt(0, "talk", "v2", "Origin", "https://page");
            HttpResponse<String> unknownClass = harness.requestLectureAt(0, "none", "v3", "Origin", "https://page");
            assertEquals(
                    List.of(200, 503, 400),
                    List.of(first.statusCode(), refused.statusCode(), unknownClass.statusCode()));
            String segment = RehearsalHarness.segmentUris(harness.get(harness.uri(RehearsalHarness.mediaPath(first)))
                            .body())
                    .get(0);
            HttpResponse<String> played = harness.client.send(
                    HttpRequest.newBuilder(URI.create(segment))
                            .header("Origin", "https://page")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertEquals(200, played.statusCode());
            for (HttpResponse<String> answer : List.of(first, refused, unknownClass, played)) {
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
                    harness.requestLectureAt(0, "talk", "v4", "Origin", "https://other")
                            .headers()
                            .firstValue("Access-Control-Allow-Origin")
                            .orElse(""));
            var status = calicovale.protocols.json.Documents.MAPPER.readTree(
                    harness.get(harness.uri("/v1/status")).body());
            assertEquals(
                    List.of(1, 0),
                    List.of(
                            status.path("sessions").asInt(-1),
                            status.path("pending").asInt(-1)));
            HttpResponse<String> missingClass = harness.get(harness.uri("/v1/lectures/t1/index.m3u8"));
            assertEquals(400, missingClass.statusCode());
            assertTrue(missingClass.body().contains("class: one of [talk, contractor-course]"), missingClass.body());
            harness.finishAndAssertRulesKept();
        }
    }
}
