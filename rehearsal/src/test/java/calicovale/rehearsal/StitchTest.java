package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.hls.Playlist;
import calicovale.protocols.json.Documents;
import calicovale.protocols.keys.Ed25519;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.tape.Entry;
import calicovale.stitch.ChangeKeys;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests programme changes through real sockets, from an operator's announcement to a player's playlist. */
@Timeout(120)
class StitchTest {
    private static final String OPERATORS = "{\"host\": \"127.0.0.1\", \"port\": 0}";

    @TempDir
    private Path state;

    private static String changeAtOneSecond(String id, int lowestRung) {
        return "{\"schema\":\"calicovale/change/1\",\"id\":\"" + id
                + "\",\"piece\":{\"title\":\"storm\",\"renditions\":[{\"rung\":" + lowestRung
                + ",\"rateKb\":5,\"durationsS\":[0.5,0.5,0.5]}]},\"start\":{\"lectureS\":1},\"validUntilMs\":9e12}";
    }

    private static HttpResponse<String> sendToOperatorsPort(
            RehearsalHarness harness, String method, String path, String body) throws Exception {
        InetSocketAddress address = harness.rehearsal.managers().get(0).operatorsAddress();
        return harness.client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void changeIsShownAtItsPlaceAndLectureContinues() throws Exception {
        try (RehearsalHarness harness = startHarness()) {
            announce(harness, 0, changeAtOneSecond("storm-1", 1));
            String media = RehearsalHarness.mediaPath(harness.requestLecture("contractor-course", "v1"));
            String[] playlist = {""};
            RehearsalHarness.await("the piece is listed and the lecture continues", () -> {
                try {
                    playlist[0] = harness.get(harness.uri(media)).body();
                } catch (java.io.IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                List<String> uris = RehearsalHarness.segmentUris(playlist[0]);
                return uris.stream().anyMatch(s -> s.contains("/p/storm/"))
                        && !uris.get(uris.size() - 1).contains("/p/storm/");
            });
            List<Playlist.Entry> entries = Playlist.parse(playlist[0]).entries();
            int firstPieceEntry = 0;
            while (!entries.get(firstPieceEntry).uri().contains("/p/storm/")) {
                firstPieceEntry++;
            }
            int afterPieceEntry = firstPieceEntry;
            while (entries.get(afterPieceEntry).uri().contains("/p/storm/")) {
                assertEquals(
                        200,
                        harness.get(URI.create(entries.get(afterPieceEntry).uri()))
                                .statusCode());
                afterPieceEntry++;
            }
            assertEquals(3, afterPieceEntry - firstPieceEntry, playlist[0]);
            assertTrue(entries.get(firstPieceEntry).has("EXT-X-DISCONTINUITY")
                    && entries.get(firstPieceEntry).has("EXT-X-MAP"));
            assertTrue(entries.get(afterPieceEntry).has("EXT-X-DISCONTINUITY")
                    && entries.get(afterPieceEntry).has("EXT-X-MAP"));
            assertEquals(1, harness.counter("changes-shown"));
            // The manager sent the box the piece's rate while the piece played, and the rung in force again after it.
            List<Integer> rungsSent = harness.rehearsal.recording().entries().stream()
                    .filter(e -> e.end().startsWith("manager:")
                            && e.kind() == Entry.Kind.REQUEST
                            && "PUT".equals(e.method())
                            && e.body().contains("\"rung\""))
                    .map(e -> Integer.parseInt(e.body().replaceAll(".*\"rung\":(\\d+).*", "$1")))
                    .toList();
            assertEquals(2, harness.counter("piece-rates-told"), "rungs sent: " + rungsSent);
            assertTrue(
                    rungsSent.contains(1) && rungsSent.lastIndexOf(1) < rungsSent.size() - 1,
                    "rungs sent: " + rungsSent);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void courseIsNotShownPieceUnderItsFloor() throws Exception {
        try (RehearsalHarness harness = startHarness()) {
            // Only the lowest rendition fits the link, and that is under the floor of the course.
            announce(
                    harness,
                    0,
                    changeAtOneSecond("storm-1", 0)
                            .replace(
                                    "\"durationsS\":[0.5,0.5,0.5]}]}",
                                    "\"durationsS\":[0.5,0.5,0.5]},{\"rung\":1,\"rateKb\":900,\"durationsS\":[0.5,0.5,0.5]}]}"));
            String media = RehearsalHarness.mediaPath(harness.requestLecture("contractor-course", "v1"));
            RehearsalHarness.await("the change is counted as without a rendition", () -> {
                try {
                    assertTrue(!harness.get(harness.uri(media)).body().contains("/p/storm/"));
                } catch (java.io.IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                return harness.counter("changes-without-rendition") > 0;
            });
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void announcedChangeSurvivesKillAndWithdrawnOneStaysWithdrawn() throws Exception {
        try (RehearsalHarness harness = startHarness()) {
            for (String id : List.of("a", "b")) {
                assertEquals(
                        201,
                        sendToOperatorsPort(harness, "POST", "/v1/changes", changeAtOneSecond(id, 1))
                                .statusCode());
            }
            HttpResponse<String> malformed = sendToOperatorsPort(
                    harness, "POST", "/v1/changes", changeAtOneSecond("c", 1).replace("lectureS", "lecture"));
            assertEquals(422, malformed.statusCode());
            assertTrue(malformed.body().contains("/start"), malformed.body());
            assertEquals(
                    204,
                    sendToOperatorsPort(harness, "DELETE", "/v1/changes/a", "").statusCode());
            assertEquals(
                    404,
                    sendToOperatorsPort(harness, "DELETE", "/v1/changes/a", "").statusCode());
            var killed = harness.rehearsal.managers().get(0);
            harness.rehearsal.injectFault(
                    new calicovale.rehearsal.day.Day.Fault("manager-kill", 0, 0.05, List.of(), 0, 0, 0, false));
            RehearsalHarness.await(
                    "the manager's new process",
                    () -> harness.rehearsal.managers().get(0) != killed);
            String listed =
                    sendToOperatorsPort(harness, "GET", "/v1/changes", "").body();
            assertTrue(
                    listed.contains("\"id\":\"b\"")
                            && !listed.contains("\"id\":\"a\"")
                            && !listed.contains("\"id\":\"c\""),
                    listed);
            harness.finishAndAssertRulesKept();
        }
    }

    // --- Failures and restarts ---

    private RehearsalHarness startHarness(String... furtherSettings) throws Exception {
        return startHarness(state, furtherSettings);
    }

    private static RehearsalHarness startHarness(Path state, String... furtherSettings) throws Exception {
        List<String> settings = new ArrayList<>(List.of(
                "/service/operators",
                OPERATORS,
                "/service/changesFolder",
                "\"changes\"",
                "/service/sessionsFolder",
                "\"sessions\"",
                "/boxes/pieces",
                "{\"storm\": 3}",
                "/boxes/segments",
                "200"));
        settings.addAll(List.of(furtherSettings));
        return new RehearsalHarness(state, settings.toArray(new String[0]));
    }

    /** Returns a change document that is due now, with the rates of the ladder. */
    private static String changeDueNow(String id, String furtherMembers) {
        StringBuilder renditions = new StringBuilder();
        for (int rung = 0; rung < 4; rung++) {
            renditions
                    .append(rung == 0 ? "" : ",")
                    .append("{\"rung\":")
                    .append(rung)
                    .append(",\"rateKb\":")
                    .append(5 << rung)
                    .append(",\"durationsS\":[0.5,0.5,0.5]}");
        }
        return "{\"schema\":\"calicovale/change/1\",\"id\":\"" + id
                + "\",\"piece\":{\"title\":\"storm\",\"renditions\":[" + renditions
                + "]},\"start\":{\"atMs\":1},\"validUntilMs\":9000000000000" + furtherMembers + "}";
    }

    private static void announce(RehearsalHarness harness, int manager, String document) throws Exception {
        harness.announce(new Day.ScriptedChange(
                0, List.of(manager), (ObjectNode) Documents.MAPPER.readTree(document), Double.NaN, null));
    }

    /** Reloads a media playlist as a player does until it matches, and returns it. */
    private static String reloadUntil(
            RehearsalHarness harness, URI media, String description, Predicate<String> matches) {
        String[] shown = {""};
        RehearsalHarness.await(description, () -> {
            HttpResponse<String> answer = harness.getWithRetry(media);
            shown[0] = answer.statusCode() == 200 ? answer.body() : shown[0];
            return answer.statusCode() == 200 && matches.test(shown[0]);
        });
        return shown[0];
    }

    private static boolean hasPiece(String playlist) {
        return playlist.contains("/p/storm/");
    }

    private static int segmentNumber(String uri) {
        return Integer.parseInt(uri.substring(uri.lastIndexOf('/') + 1, uri.lastIndexOf('.')));
    }

    /** Returns whether a playlist lists the piece and ends with a segment of the lecture. */
    private static boolean isLectureAfterPiece(String playlist) {
        List<String> uris = RehearsalHarness.segmentUris(playlist);
        return hasPiece(playlist) && !uris.get(uris.size() - 1).contains("/p/storm/");
    }

    @Test
    void killedManagerContinuesAboveGivenSegmentsAndDoesNotRepeatChange() throws Exception {
        try (RehearsalHarness harness = startHarness("/service/times/aliveMs", "100", "/boxes/idleMs", "60000")) {
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            reloadUntil(
                    harness,
                    media,
                    "the lecture's first segments have left the window",
                    p -> segmentNumber(RehearsalHarness.segmentUris(p).get(0)) > 4);
            announce(harness, 0, changeDueNow("storm-1", ""));
            String lastBeforeKill = reloadUntil(harness, media, "the piece is listed", StitchTest::hasPiece);
            long nextSequence = Playlist.parse(lastBeforeKill).number("EXT-X-MEDIA-SEQUENCE", -1)
                    + RehearsalHarness.segmentUris(lastBeforeKill).size();
            harness.killManager(0);
            String[] firstAfterKill = {null};
            reloadUntil(harness, media, "the lecture continues", p -> {
                assertTrue(!hasPiece(p), p);
                firstAfterKill[0] = firstAfterKill[0] == null ? p : firstAfterKill[0];
                return RehearsalHarness.segmentUris(p).size() > 6;
            });
            assertTrue(
                    Playlist.parse(firstAfterKill[0]).number("EXT-X-MEDIA-SEQUENCE", -1) >= nextSequence,
                    firstAfterKill[0]);
            int firstSegment = segmentNumber(
                    RehearsalHarness.segmentUris(firstAfterKill[0]).get(0));
            assertTrue(
                    firstSegment
                            >= segmentNumber(
                                    RehearsalHarness.segmentUris(lastBeforeKill).get(0)),
                    "the lecture began again: " + firstAfterKill[0] + " after " + lastBeforeKill);
            assertEquals(1, harness.counter("sessions-back"));
            assertEquals(1, harness.finishAndAssertRulesKept().playlists().changesShown());
        }
    }

    @Test
    void changeIsListedOnlyOnceItsShowingIsOnDisk() throws Exception {
        try (RehearsalHarness harness = startHarness("/service/times/stitchWaitMs", "100")) {
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            reloadUntil(
                    harness,
                    media,
                    "the lecture plays",
                    p -> RehearsalHarness.segmentUris(p).size() > 3);
            harness.rehearsal.injectFault(new Day.Fault("disk-stall", 0, 0, List.of(), 0, 0, 20_000, false));
            announce(harness, 0, changeDueNow("storm-1", ""));
            RehearsalHarness.await("a segment boundary passes while the disk stalls", () -> {
                assertTrue(!hasPiece(harness.getWithRetry(media).body()));
                return harness.counter("changes-waits-over") > 0;
            });
            harness.killManager(0);
            reloadUntil(harness, media, "the next process lists the piece", StitchTest::hasPiece);
            reloadUntil(harness, media, "the lecture continues", p -> isLectureAfterPiece(p));
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void fullDiskIsCountedAndChangeIsStillShown() throws Exception {
        try (RehearsalHarness harness = startHarness()) {
            harness.rehearsal.injectFault(new Day.Fault("disk-full", 0, 0, List.of(), 0, 0, 0, false));
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            announce(harness, 0, changeDueNow("storm-1", ""));
            reloadUntil(harness, media, "the piece is played out", p -> isLectureAfterPiece(p));
            assertTrue(harness.counter("sessions-log-failed") > 0);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void pieceMissingAtBoxIsSetUpAtHolder() throws Exception {
        try (RehearsalHarness harness = startHarness("/boxes/piecesOn", "[1]")) {
            List<URI> sessions = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                sessions.add(harness.uri(
                        RehearsalHarness.mediaPath(harness.requestLectureUntilAdmitted("contractor-course", "v" + i))));
            }
            announce(harness, 0, changeDueNow("storm-1", ""));
            Set<URI> sessionsWithWholePiece = new HashSet<>();
            RehearsalHarness.await("all sessions list the whole piece", () -> {
                for (URI media : sessions) {
                    HttpResponse<String> answer = harness.getWithRetry(media);
                    List<String> piece = answer.statusCode() == 200 ? harness.pieceSegments(answer.body()) : List.of();
                    if (piece.size() == 3 && sessionsWithWholePiece.add(media)) {
                        for (String segment : piece) {
                            assertEquals(1, harness.boxOf(segment), segment);
                            assertEquals(
                                    200,
                                    harness.getWithRetry(URI.create(segment)).statusCode(),
                                    segment);
                        }
                    }
                }
                return sessionsWithWholePiece.size() == sessions.size();
            });
            assertTrue(harness.counter("piece-set-ups") > 0, "no session plays at a box without the piece");
            assertEquals(6, harness.finishAndAssertRulesKept().playlists().changesShown());
        }
    }

    private void assertPieceSurvivesCrashWhen(String description, Predicate<String> matches) throws Exception {
        try (RehearsalHarness harness = startHarness(state.resolve(description.replace(' ', '-')))) {
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            reloadUntil(
                    harness,
                    media,
                    "the lecture plays",
                    p -> RehearsalHarness.segmentUris(p).size() > 5);
            announce(harness, 0, changeDueNow("storm-1", ""));
            String shown = reloadUntil(harness, media, description, matches);
            int box = harness.boxOf(RehearsalHarness.segmentUris(shown).get(0));
            harness.rehearsal.injectFault(RehearsalHarness.fault("crash", 0, 0.0, box));
            // No segment of the piece was fetched. Those that were not played yet by the clock come from the other
            // box, in order.
            Set<String> pieceFiles = new HashSet<>();
            reloadUntil(harness, media, "the lecture continues at another box after the piece", p -> {
                List<String> urisAtOtherBox = RehearsalHarness.segmentUris(p).stream()
                        .filter(x -> harness.boxOf(x) != box)
                        .toList();
                urisAtOtherBox.stream()
                        .filter(x -> x.contains("/p/storm/"))
                        .forEach(x -> pieceFiles.add(x.substring(x.lastIndexOf('/'))));
                return urisAtOtherBox.size() > 3
                        && !urisAtOtherBox.get(urisAtOtherBox.size() - 1).contains("/p/storm/");
            });
            assertTrue(
                    pieceFiles.contains("/2.m4s"),
                    "another box does not list the piece's last segment, which was not played at the crash: "
                            + pieceFiles);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void pieceSurvivesCrashOfBoxWithinItOrAtItsEdges() throws Exception {
        assertPieceSurvivesCrashWhen("the first segment of the piece is listed", StitchTest::hasPiece);
        assertPieceSurvivesCrashWhen(
                "the whole piece is listed, and no lecture after it",
                p -> countPieceSegments(p) == 3 && !isLectureAfterPiece(p));
        assertPieceSurvivesCrashWhen("the next lecture segment is listed", StitchTest::isLectureAfterPiece);
    }

    private static long countPieceSegments(String playlist) {
        return RehearsalHarness.segmentUris(playlist).stream()
                .filter(s -> s.contains("/p/storm/"))
                .count();
    }

    @Test
    void pieceAndLectureFollowRungChanges() throws Exception {
        try (RehearsalHarness harness = startHarness()) {
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            String id = harness.getWithRetry(media)
                    .headers()
                    .firstValue("Calicovale-Session")
                    .orElseThrow();
            var manager = harness.rehearsal.managers().get(0);
            setRung(manager, id, 3);
            announce(harness, 0, changeDueNow("storm-1", ""));
            reloadUntil(
                    harness, media, "the first segment of the piece is listed", p -> p.contains("/p/storm/3/0.m4s"));
            setRung(manager, id, 1);
            reloadUntil(
                    harness, media, "the piece continues at another rendition", p -> p.contains("/p/storm/1/2.m4s"));
            setRung(manager, id, 2);
            String after = reloadUntil(
                    harness, media, "the lecture continues at the rung in force", StitchTest::isLectureAfterPiece);
            assertTrue(
                    RehearsalHarness.segmentUris(after)
                            .get(RehearsalHarness.segmentUris(after).size() - 1)
                            .matches(".*/2/\\d+\\.m4s"),
                    after);
            harness.finishAndAssertRulesKept();
        }
    }

    private static void setRung(calicovale.front.FrontProcess manager, String id, int rung) {
        manager.loop().call(() -> {
            manager.manager().setRung(id, rung);
            return true;
        });
    }

    @Test
    void lectureContinuesWhenHolderCrashesWithinPiece() throws Exception {
        try (RehearsalHarness harness = startHarness("/boxes/piecesOn", "[1]")) {
            Map<URI, String> playlistByUri = new HashMap<>();
            for (int i = 0; i < 6; i++) {
                playlistByUri.put(
                        harness.uri(RehearsalHarness.mediaPath(harness.requestLectureUntilAdmitted("talk", "v" + i))),
                        "");
            }
            announce(harness, 0, changeDueNow("storm-1", ""));
            URI[] uriOfOtherBox = new URI[1];
            RehearsalHarness.await("a session at another box lists the first segment of the holder's piece", () -> {
                playlistByUri.replaceAll(
                        (media, before) -> harness.getWithRetry(media).body());
                playlistByUri.forEach((media, p) -> uriOfOtherBox[0] = p.startsWith("#EXTM3U")
                                && harness.pieceSegments(p).size() == 1
                                && harness.boxOf(RehearsalHarness.segmentUris(p).get(0)) != 1
                        ? media
                        : uriOfOtherBox[0]);
                return uriOfOtherBox[0] != null;
            });
            harness.rehearsal.injectFault(RehearsalHarness.fault("crash", 0, 0.0, 1));
            RehearsalHarness.await("the manager counts the lost piece", () -> harness.counter("pieces-lost") > 0);
            // The session's own box still runs: the lecture continues there, and the rest of the piece is not listed.
            reloadUntil(harness, uriOfOtherBox[0], "the lecture continues", p -> {
                assertTrue(harness.pieceSegments(p).size() < 3, p);
                return harness.pieceSegments(p).isEmpty()
                        && RehearsalHarness.segmentUris(p).size() == 7
                        && harness.boxOf(RehearsalHarness.segmentUris(p).get(6)) != 1;
            });
            harness.finishAndAssertRulesKept();
        }
    }

    /** Writes a lecture of six segments with a shorter last one, and the piece, at every rung; returns the folder. */
    private Path writeContent() throws Exception {
        Path content = state.resolve("content");
        for (String title : List.of("t1", "storm")) {
            int count = title.equals("t1") ? 6 : 3;
            for (int rung = 0; rung < 4; rung++) {
                Path folder = Files.createDirectories(content.resolve(title).resolve(Integer.toString(rung)));
                StringBuilder text =
                        new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-MAP:URI=\"init.mp4\"\n");
                for (int i = 0; i < count; i++) {
                    text.append("#EXTINF:")
                            .append(i == 5 ? "0.2" : "0.5")
                            .append(",\n")
                            .append(i)
                            .append(".m4s\n");
                    Files.write(folder.resolve(i + ".m4s"), new byte[100]);
                }
                Files.writeString(content.resolve(title).resolve(rung + ".m3u8"), text + "#EXT-X-ENDLIST\n");
            }
        }
        return content;
    }

    @Test
    void changeAtLectureStartLeadsAndOneAfterLastBoundaryIsNotShown() throws Exception {
        try (RehearsalHarness harness = startHarness("/boxes/content", "\"" + writeContent() + "\"")) {
            announce(harness, 0, changeDueNow("first", "").replace("\"atMs\":1", "\"lectureS\":0"));
            // Within the last segment, which is shorter, so that no segment boundary follows.
            announce(harness, 0, changeDueNow("last", "").replace("\"atMs\":1", "\"lectureS\":2.6"));
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            List<String> listedPaths = new ArrayList<>();
            String lastPlaylist = reloadUntil(harness, media, "the lecture ends", p -> {
                RehearsalHarness.segmentUris(p).stream()
                        .map(x -> x.replaceFirst(".*/s/[^/]+/(p/storm/)?\\d+/", "$1"))
                        .filter(x -> !listedPaths.contains(x))
                        .forEach(listedPaths::add);
                return p.contains("#EXT-X-ENDLIST");
            });
            assertEquals(
                    List.of(
                            "p/storm/0.m4s",
                            "p/storm/1.m4s",
                            "p/storm/2.m4s",
                            "0.m4s",
                            "1.m4s",
                            "2.m4s",
                            "3.m4s",
                            "4.m4s",
                            "5.m4s"),
                    listedPaths);
            assertTrue(lastPlaylist.contains("#EXTINF:0.2,"), lastPlaylist);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void sessionMovedWithinPieceListsItWhole() throws Exception {
        // The segments have 2 s, because with 0.5 s and a slow first reload the piece's first segments would leave the
        // window before the move.
        try (RehearsalHarness harness = startHarness("/boxes/segmentS", "2")) {
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            announce(harness, 0, changeDueNow("storm-1", ""));
            reloadUntil(harness, media, "the piece is listed", StitchTest::hasPiece);
            String id = harness.getWithRetry(media)
                    .headers()
                    .firstValue("Calicovale-Session")
                    .orElseThrow();
            var manager = harness.rehearsal.managers().get(0);
            manager.loop().call(() -> {
                manager.manager().moveSession(id);
                return true;
            });
            Set<String> listedFiles = new HashSet<>();
            reloadUntil(harness, media, "the whole piece was listed, and the lecture after it", p -> {
                harness.pieceSegments(p).forEach(uri -> listedFiles.add(uri.substring(uri.lastIndexOf('/'))));
                return listedFiles.size() == 3 && isLectureAfterPiece(p);
            });
            assertEquals(1, harness.counter("moves"));
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void returningViewerIsShownChangeOnceAcrossTwoManagers() throws Exception {
        try (RehearsalHarness harness = startHarness(
                "/managers", "{\"count\": 2}", "/service/viewerKey", "\"00112233445566778899aabbccddeeff\"")) {
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            String changeOncePerViewer = changeDueNow("storm-1", ",\"once\":\"viewer\"");
            announce(harness, 0, changeOncePerViewer);
            reloadUntil(harness, media, "the piece is listed", StitchTest::hasPiece);
            String cookie = harness.getWithRetry(media)
                    .headers()
                    .firstValue("Set-Cookie")
                    .orElseThrow()
                    .split(";")[0];
            // The change is announced at the other manager only after the viewer has a session there.
            URI returningViewer = harness.uri(
                    1, RehearsalHarness.mediaPath(harness.requestLectureAt(1, "talk", "v1", "Cookie", cookie)));
            URI otherViewerWithSameCookie = harness.uri(
                    1, RehearsalHarness.mediaPath(harness.requestLectureAt(1, "talk", "v2", "Cookie", cookie)));
            announce(harness, 1, changeOncePerViewer);
            reloadUntil(
                    harness,
                    otherViewerWithSameCookie,
                    "a viewer with the cookie of another is shown the change",
                    StitchTest::hasPiece);
            String shown = reloadUntil(
                    harness,
                    returningViewer,
                    "the lecture is played without the piece",
                    p -> RehearsalHarness.segmentUris(p).size() > 6);
            assertTrue(!hasPiece(shown), shown);
            assertEquals(1, harness.counter("cookies-refused"));
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void playerThatAsksForInterstitialsGetsInterstitialRange() throws Exception {
        try (RehearsalHarness harness = startHarness("/service/interstitials", "\"asked\"")) {
            URI media = harness.uri(RehearsalHarness.mediaPath(
                    harness.requestLectureAt(0, "talk&interstitials=1", "v1", "Accept", "*/*")));
            URI withoutInterstitials = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v2")));
            announce(harness, 0, changeDueNow("storm-1", ""));
            String shown = reloadUntil(
                    harness, media, "the interstitial range is listed", p -> p.contains("com.apple.hls.interstitial"));
            assertTrue(!hasPiece(shown), shown);
            String asset = shown.substring(shown.indexOf("X-ASSET-URI=\"") + 13);
            Playlist piece = Playlist.parse(harness.get(harness.uri(asset.substring(0, asset.indexOf('"'))))
                    .body());
            assertEquals(3, piece.entries().size());
            assertTrue(piece.isEnded());
            assertEquals(
                    200, harness.get(URI.create(piece.entries().get(2).uri())).statusCode());
            reloadUntil(
                    harness,
                    withoutInterstitials,
                    "a player that does not ask has the piece stitched",
                    StitchTest::hasPiece);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void onlyChangesSignedByListedKeyAreAccepted() throws Exception {
        Ed25519.TextKeyPair pair = Ed25519.TextKeyPair.generate();
        try (RehearsalHarness harness =
                startHarness("/service/changeKeys", "{\"ops\": \"" + pair.publicKey() + "\"}")) {
            String document = changeDueNow("storm-1", "");
            HttpResponse<String> unsigned = sendToOperatorsPort(harness, "POST", "/v1/changes", document);
            assertEquals(422, unsigned.statusCode());
            assertTrue(unsigned.body().contains("/signature: a signature by one of [ops]"), unsigned.body());
            String signed = ChangeKeys.sign(document, "ops", pair.privateKey());
            HttpResponse<String> altered =
                    sendToOperatorsPort(harness, "POST", "/v1/changes", signed.replace("storm-1", "storm-2"));
            assertTrue(altered.body().contains("/signature/value"), altered.body());
            String foreign = ChangeKeys.sign(document, "other", pair.privateKey());
            assertTrue(sendToOperatorsPort(harness, "POST", "/v1/changes", foreign)
                    .body()
                    .contains("/signature/key"));
            assertEquals(
                    "[]", sendToOperatorsPort(harness, "GET", "/v1/changes", "").body());
            HttpResponse<String> accepted = sendToOperatorsPort(harness, "POST", "/v1/changes", signed);
            assertEquals(201, accepted.statusCode(), accepted.body());
            assertTrue(accepted.body().contains("\"validUntilMs\":9000000000000"), accepted.body());
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void watchedFolderAnnouncesNewFilesAndWithdrawsDeletedOnes() throws Exception {
        Path watched = Files.createDirectories(state.resolve("watched"));
        Files.writeString(watched.resolve("a.json"), changeDueNow("a", ""));
        try (RehearsalHarness harness =
                startHarness("/service/changesWatch", "\"" + watched + "\"", "/service/times/watchMs", "20")) {
            RehearsalHarness.await("the file's change is announced", () -> harness.counter("changes-told") == 1);
            Files.writeString(watched.resolve("b.json"), "{\"id\":");
            RehearsalHarness.await("a malformed file is refused", () -> harness.counter("changes-refused") > 0);
            Files.writeString(watched.resolve("b.json"), changeDueNow("b", ""));
            RehearsalHarness.await(
                    "the completed file's change is announced", () -> harness.counter("changes-told") == 2);
            harness.killManager(0);
            Files.delete(watched.resolve("a.json"));
            RehearsalHarness.await(
                    "the change of a file that was deleted during a restart is withdrawn",
                    () -> harness.counter("changes-withdrawn") == 1);
            String listed =
                    sendToOperatorsPort(harness, "GET", "/v1/changes", "").body();
            assertTrue(listed.contains("\"id\":\"b\"") && !listed.contains("\"id\":\"a\""), listed);
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void withdrawnChangeIsPlayedOutAndStartsForNoOtherViewer() throws Exception {
        try (RehearsalHarness harness = startHarness()) {
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            announce(harness, 0, changeDueNow("storm-1", ""));
            reloadUntil(harness, media, "the piece is listed", StitchTest::hasPiece);
            harness.announce(new Day.ScriptedChange(0, List.of(0), null, Double.NaN, "storm-1"));
            String shown = reloadUntil(harness, media, "the piece is played out", p -> isLectureAfterPiece(p));
            assertEquals(3, harness.pieceSegments(shown).size(), shown);
            URI other = harness.uri(RehearsalHarness.mediaPath(harness.requestLectureUntilAdmitted("talk", "v2")));
            assertTrue(!hasPiece(reloadUntil(
                    harness,
                    other,
                    "another viewer's lecture plays",
                    p -> RehearsalHarness.segmentUris(p).size() > 5)));
            harness.finishAndAssertRulesKept();
        }
    }

    @Test
    void replacedPartOfLectureIsLeftOut() throws Exception {
        try (RehearsalHarness harness = startHarness()) {
            String document = changeDueNow("storm-1", ",\"mode\":\"replace\",\"replaceS\":1.5")
                    .replace("\"atMs\":1", "\"lectureS\":1");
            assertEquals(
                    422,
                    sendToOperatorsPort(harness, "POST", "/v1/changes", document.replace(",\"replaceS\":1.5", ""))
                            .statusCode());
            announce(harness, 0, document);
            URI media = harness.uri(RehearsalHarness.mediaPath(harness.requestLecture("talk", "v1")));
            List<String> uris = RehearsalHarness.segmentUris(
                    reloadUntil(harness, media, "the part is replaced", p -> isLectureAfterPiece(p)));
            int firstPieceIndex = uris.indexOf(uris.stream()
                    .filter(s -> s.contains("/p/storm/"))
                    .findFirst()
                    .orElseThrow());
            assertTrue(
                    uris.get(firstPieceIndex - 1).endsWith("/1.m4s")
                            && uris.get(firstPieceIndex + 3).endsWith("/5.m4s"),
                    uris.toString());
            harness.finishAndAssertRulesKept();
        }
    }
}
