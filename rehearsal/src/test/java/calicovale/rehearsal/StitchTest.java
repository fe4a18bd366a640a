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

/** Programme changes through real sockets: told by an operator, shown to a player. */
@Timeout(120)
class StitchTest {
    private static final String OPERATORS = "{\"host\": \"127.0.0.1\", \"port\": 0}";

    @TempDir
    private Path state;

    private static String change(String id, int lowestRung) {
        return "{\"schema\":\"calicovale/change/1\",\"id\":\"" + id
                + "\",\"piece\":{\"title\":\"storm\",\"renditions\":[{\"rung\":" + lowestRung
                + ",\"rateKb\":5,\"durationsS\":[0.5,0.5,0.5]}]},\"start\":{\"lectureS\":1},\"validUntilMs\":9e12}";
    }

    private static HttpResponse<String> tell(Stage stage, String method, String path, String body) throws Exception {
        InetSocketAddress at = stage.run.managers().get(0).operatorsAddress();
        return stage.client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at.getPort() + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void aChangeIsShownAtItsPlaceAndTheLectureGoesOn() throws Exception {
        try (Stage stage = stage()) {
            told(stage, 0, change("storm-1", 1));
            String media = Stage.media(stage.ask("contractor-course", "v1"));
            String[] shown = {""};
            Stage.await("the piece is shown and the lecture goes on", () -> {
                try {
                    shown[0] = stage.get(stage.at(media)).body();
                } catch (java.io.IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                List<String> all = Stage.segments(shown[0]);
                return all.stream().anyMatch(s -> s.contains("/p/storm/"))
                        && !all.get(all.size() - 1).contains("/p/storm/");
            });
            List<Playlist.Entry> entries = Playlist.parse(shown[0]).entries();
            int from = 0;
            while (!entries.get(from).uri().contains("/p/storm/")) {
                from++;
            }
            int to = from;
            while (entries.get(to).uri().contains("/p/storm/")) {
                assertEquals(200, stage.get(URI.create(entries.get(to).uri())).statusCode());
                to++;
            }
            assertEquals(3, to - from, shown[0]);
            assertTrue(entries.get(from).has("EXT-X-DISCONTINUITY")
                    && entries.get(from).has("EXT-X-MAP"));
            assertTrue(entries.get(to).has("EXT-X-DISCONTINUITY")
                    && entries.get(to).has("EXT-X-MAP"));
            assertEquals(1, stage.counter("changes-shown"));
            // while it played the box was told what it takes, and behind it the rung in force again
            List<Integer> told = stage.run.tape().entries().stream()
                    .filter(e -> e.end().startsWith("manager:")
                            && e.kind() == Entry.Kind.REQUEST
                            && "PUT".equals(e.method())
                            && e.body().contains("\"rung\""))
                    .map(e -> Integer.parseInt(e.body().replaceAll(".*\"rung\":(\\d+).*", "$1")))
                    .toList();
            assertEquals(2, stage.counter("piece-rates-told"), "told " + told);
            assertTrue(told.contains(1) && told.lastIndexOf(1) < told.size() - 1, "told " + told);
            stage.end();
        }
    }

    @Test
    void aCourseIsNotShownAPieceUnderItsFloor() throws Exception {
        try (Stage stage = stage()) {
            // only the bottom rendition fits its link, and that is under its floor
            told(
                    stage,
                    0,
                    change("storm-1", 0)
                            .replace(
                                    "\"durationsS\":[0.5,0.5,0.5]}]}",
                                    "\"durationsS\":[0.5,0.5,0.5]},{\"rung\":1,\"rateKb\":900,\"durationsS\":[0.5,0.5,0.5]}]}"));
            String media = Stage.media(stage.ask("contractor-course", "v1"));
            Stage.await("the change waits", () -> {
                try {
                    assertTrue(!stage.get(stage.at(media)).body().contains("/p/storm/"));
                } catch (java.io.IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                return stage.counter("changes-without-rendition") > 0;
            });
            stage.end();
        }
    }

    @Test
    void whatWasToldIsThereAfterAKillAndWhatWasWithdrawnIsNot() throws Exception {
        try (Stage stage = stage()) {
            for (String id : List.of("a", "b")) {
                assertEquals(
                        201, tell(stage, "POST", "/v1/changes", change(id, 1)).statusCode());
            }
            HttpResponse<String> bad =
                    tell(stage, "POST", "/v1/changes", change("c", 1).replace("lectureS", "lecture"));
            assertEquals(422, bad.statusCode());
            assertTrue(bad.body().contains("/start"), bad.body());
            assertEquals(204, tell(stage, "DELETE", "/v1/changes/a", "").statusCode());
            assertEquals(404, tell(stage, "DELETE", "/v1/changes/a", "").statusCode());
            var killed = stage.run.managers().get(0);
            stage.run.happen(
                    new calicovale.rehearsal.day.Day.Fault("manager-kill", 0, 0.05, List.of(), 0, 0, 0, false));
            Stage.await("a new process", () -> stage.run.managers().get(0) != killed);
            String listed = tell(stage, "GET", "/v1/changes", "").body();
            assertTrue(
                    listed.contains("\"id\":\"b\"")
                            && !listed.contains("\"id\":\"a\"")
                            && !listed.contains("\"id\":\"c\""),
                    listed);
            stage.end();
        }
    }

    // --- Hard cases ---

    private Stage stage(String... more) throws Exception {
        return stage(state, more);
    }

    private static Stage stage(Path state, String... more) throws Exception {
        List<String> all = new ArrayList<>(List.of(
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
        all.addAll(List.of(more));
        return new Stage(state, all.toArray(new String[0]));
    }

    /** A change that is due now, with the ladder's own rates. */
    private static String now(String id, String more) {
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
                + "]},\"start\":{\"atMs\":1},\"validUntilMs\":9000000000000" + more + "}";
    }

    private static void told(Stage stage, int manager, String document) throws Exception {
        stage.tell(new Day.Telling(
                0, List.of(manager), (ObjectNode) Documents.MAPPER.readTree(document), Double.NaN, null));
    }

    /** Reloads as a player would until a playlist fits; gives it. */
    private static String until(Stage stage, URI media, String what, Predicate<String> fits) {
        String[] shown = {""};
        Stage.await(what, () -> {
            HttpResponse<String> answer = stage.getQuietly(media);
            shown[0] = answer.statusCode() == 200 ? answer.body() : shown[0];
            return answer.statusCode() == 200 && fits.test(shown[0]);
        });
        return shown[0];
    }

    private static boolean storm(String playlist) {
        return playlist.contains("/p/storm/");
    }

    private static int segment(String uri) {
        return Integer.parseInt(uri.substring(uri.lastIndexOf('/') + 1, uri.lastIndexOf('.')));
    }

    /** The piece is listed whole and the lecture goes on behind it. */
    private static boolean behind(String playlist) {
        List<String> all = Stage.segments(playlist);
        return storm(playlist) && !all.get(all.size() - 1).contains("/p/storm/");
    }

    @Test
    void aManagerKilledWithTheChangeGivenGoesOnAboveItAndShowsItNoMore() throws Exception {
        try (Stage stage = stage("/service/times/aliveMs", "100", "/boxes/idleMs", "60000")) {
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            until(
                    stage,
                    media,
                    "the lecture is under way",
                    p -> segment(Stage.segments(p).get(0)) > 4);
            told(stage, 0, now("storm-1", ""));
            String last = until(stage, media, "the piece is listed", StitchTest::storm);
            long given = Playlist.parse(last).number("EXT-X-MEDIA-SEQUENCE", -1)
                    + Stage.segments(last).size();
            stage.kill(0);
            String[] first = {null};
            until(stage, media, "the lecture goes on", p -> {
                assertTrue(!storm(p), p);
                first[0] = first[0] == null ? p : first[0];
                return Stage.segments(p).size() > 6;
            });
            assertTrue(Playlist.parse(first[0]).number("EXT-X-MEDIA-SEQUENCE", -1) >= given, first[0]);
            int place = segment(Stage.segments(first[0]).get(0));
            assertTrue(
                    place >= segment(Stage.segments(last).get(0)),
                    "the lecture does not begin again: " + first[0] + " after " + last);
            assertEquals(1, stage.counter("sessions-back"));
            assertEquals(1, stage.end().playlists().changesShown());
        }
    }

    @Test
    void aManagerKilledWhileTheShowingGoesToTheDiskHasNotGivenIt() throws Exception {
        try (Stage stage = stage("/service/times/stitchWaitMs", "100")) {
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            until(stage, media, "the lecture plays", p -> Stage.segments(p).size() > 3);
            stage.run.happen(new Day.Fault("disk-stall", 0, 0, List.of(), 0, 0, 20_000, false));
            told(stage, 0, now("storm-1", ""));
            Stage.await("a boundary is passed without the disk", () -> {
                assertTrue(!storm(stage.getQuietly(media).body()));
                return stage.counter("changes-waits-over") > 0;
            });
            stage.kill(0);
            until(stage, media, "the piece is listed by the next process", StitchTest::storm);
            until(stage, media, "the lecture goes on", p -> behind(p));
            stage.end();
        }
    }

    @Test
    void aFullDiskIsToldOfAndTheChangeIsShownAllTheSame() throws Exception {
        try (Stage stage = stage()) {
            stage.run.happen(new Day.Fault("disk-full", 0, 0, List.of(), 0, 0, 0, false));
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            told(stage, 0, now("storm-1", ""));
            until(stage, media, "the piece is played out", p -> behind(p));
            assertTrue(stage.counter("sessions-log-failed") > 0);
            stage.end();
        }
    }

    @Test
    void aPieceThatTheBoxLacksIsSetUpAtAHolder() throws Exception {
        try (Stage stage = stage("/boxes/piecesOn", "[1]")) {
            List<URI> all = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                all.add(stage.at(Stage.media(stage.askUntilItPlays("contractor-course", "v" + i))));
            }
            told(stage, 0, now("storm-1", ""));
            Set<URI> whole = new HashSet<>();
            Stage.await("all are shown the whole piece", () -> {
                for (URI media : all) {
                    HttpResponse<String> answer = stage.getQuietly(media);
                    List<String> piece = answer.statusCode() == 200 ? stage.ofPiece(answer.body()) : List.of();
                    if (piece.size() == 3 && whole.add(media)) {
                        for (String segment : piece) {
                            assertEquals(1, stage.boxOf(segment), segment);
                            assertEquals(
                                    200, stage.getQuietly(URI.create(segment)).statusCode(), segment);
                        }
                    }
                }
                return whole.size() == all.size();
            });
            assertTrue(stage.counter("piece-set-ups") > 0, "no session was at another box");
            assertEquals(6, stage.end().playlists().changesShown());
        }
    }

    private void diesWhen(String what, Predicate<String> listed) throws Exception {
        try (Stage stage = stage(state.resolve(what.replace(' ', '-')))) {
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            until(stage, media, "the lecture plays", p -> Stage.segments(p).size() > 5);
            told(stage, 0, now("storm-1", ""));
            String shown = until(stage, media, what, listed);
            int box = stage.boxOf(Stage.segments(shown).get(0));
            stage.run.happen(Stage.fault("crash", 0, 0.0, box));
            // nothing of the piece was fetched: what the clock says was not played comes from the other box, in its
            // order
            Set<String> pieces = new HashSet<>();
            until(stage, media, "the lecture goes on at another box, behind the piece", p -> {
                List<String> there = Stage.segments(p).stream()
                        .filter(x -> stage.boxOf(x) != box)
                        .toList();
                there.stream()
                        .filter(x -> x.contains("/p/storm/"))
                        .forEach(x -> pieces.add(x.substring(x.lastIndexOf('/'))));
                return there.size() > 3 && !there.get(there.size() - 1).contains("/p/storm/");
            });
            assertTrue(pieces.contains("/2.m4s"), "its last segment was not played when the box died: " + pieces);
            stage.end();
        }
    }

    @Test
    void aBoxThatDiesWithinAPieceOrAtItsEdgesDoesNotTakeItAlong() throws Exception {
        diesWhen("its first segment is listed", StitchTest::storm);
        diesWhen("it is listed whole, and the lecture not yet", p -> pieces(p) == 3 && !behind(p));
        diesWhen("the lecture's next segment is listed", StitchTest::behind);
    }

    private static long pieces(String playlist) {
        return Stage.segments(playlist).stream()
                .filter(s -> s.contains("/p/storm/"))
                .count();
    }

    @Test
    void aRungThatFallsWithinAPieceAndRisesAtItsEndIsFollowed() throws Exception {
        try (Stage stage = stage()) {
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            String id = stage.getQuietly(media)
                    .headers()
                    .firstValue("Calicovale-Session")
                    .orElseThrow();
            var manager = stage.run.managers().get(0);
            rung(manager, id, 3);
            told(stage, 0, now("storm-1", ""));
            until(stage, media, "its first segment is listed", p -> p.contains("/p/storm/3/0.m4s"));
            rung(manager, id, 1);
            until(stage, media, "it goes on at another rendition", p -> p.contains("/p/storm/1/2.m4s"));
            rung(manager, id, 2);
            String after = until(stage, media, "the lecture goes on at the rung then in force", StitchTest::behind);
            assertTrue(
                    Stage.segments(after).get(Stage.segments(after).size() - 1).matches(".*/2/\\d+\\.m4s"), after);
            stage.end();
        }
    }

    private static void rung(calicovale.front.FrontProcess manager, String id, int rung) {
        manager.loop().call(() -> {
            manager.manager().setRung(id, rung);
            return true;
        });
    }

    @Test
    void aHolderThatDiesWithinAPieceLeavesTheLectureGoingOn() throws Exception {
        try (Stage stage = stage("/boxes/piecesOn", "[1]")) {
            Map<URI, String> all = new HashMap<>();
            for (int i = 0; i < 6; i++) {
                all.put(stage.at(Stage.media(stage.askUntilItPlays("talk", "v" + i))), "");
            }
            told(stage, 0, now("storm-1", ""));
            URI[] beside = new URI[1];
            Stage.await("a session of another box has the begin of its piece from the holder", () -> {
                all.replaceAll((media, before) -> stage.getQuietly(media).body());
                all.forEach((media, p) -> beside[0] = p.startsWith("#EXTM3U")
                                && stage.ofPiece(p).size() == 1
                                && stage.boxOf(Stage.segments(p).get(0)) != 1
                        ? media
                        : beside[0]);
                return beside[0] != null;
            });
            stage.run.happen(Stage.fault("crash", 0, 0.0, 1));
            Stage.await("its piece is lost", () -> stage.counter("pieces-lost") > 0);
            // its own box is well: the lecture goes on there, and the rest of the piece is not listed
            until(stage, beside[0], "the lecture goes on", p -> {
                assertTrue(stage.ofPiece(p).size() < 3, p);
                return stage.ofPiece(p).isEmpty()
                        && Stage.segments(p).size() == 7
                        && stage.boxOf(Stage.segments(p).get(6)) != 1;
            });
            stage.end();
        }
    }

    /** A lecture of six segments, the last a short one, and the piece, at every rung. */
    private Path content() throws Exception {
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
    void aChangeAtTimeZeroLeadsAndOneAfterTheEndOfALectureIsNotShown() throws Exception {
        try (Stage stage = stage("/boxes/content", "\"" + content() + "\"")) {
            told(stage, 0, now("first", "").replace("\"atMs\":1", "\"lectureS\":0"));
            // within the last segment, which is shorter: there is no boundary any more
            told(stage, 0, now("last", "").replace("\"atMs\":1", "\"lectureS\":2.6"));
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            List<String> seen = new ArrayList<>();
            String whole = until(stage, media, "the lecture ends", p -> {
                Stage.segments(p).stream()
                        .map(x -> x.replaceFirst(".*/s/[^/]+/(p/storm/)?\\d+/", "$1"))
                        .filter(x -> !seen.contains(x))
                        .forEach(seen::add);
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
                    seen);
            assertTrue(whole.contains("#EXTINF:0.2,"), whole);
            stage.end();
        }
    }

    @Test
    void aSessionThatMovesWithinAPieceHasItWhole() throws Exception {
        // With segments of 0.5 s a slow first reload lets the piece's first segments leave the window before the move.
        try (Stage stage = stage("/boxes/segmentS", "2")) {
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            told(stage, 0, now("storm-1", ""));
            until(stage, media, "the piece is listed", StitchTest::storm);
            String id = stage.getQuietly(media)
                    .headers()
                    .firstValue("Calicovale-Session")
                    .orElseThrow();
            var manager = stage.run.managers().get(0);
            manager.loop().call(() -> {
                manager.manager().moveSession(id);
                return true;
            });
            Set<String> seen = new HashSet<>();
            until(stage, media, "all of it was listed, and the lecture behind it", p -> {
                stage.ofPiece(p).forEach(uri -> seen.add(uri.substring(uri.lastIndexOf('/'))));
                return seen.size() == 3 && behind(p);
            });
            assertEquals(1, stage.counter("moves"));
            stage.end();
        }
    }

    @Test
    void twoManagersToldApartShowItOnceToAViewerThatComesAgain() throws Exception {
        try (Stage stage =
                stage("/managers", "{\"count\": 2}", "/service/viewerKey", "\"00112233445566778899aabbccddeeff\"")) {
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            String once = now("storm-1", ",\"once\":\"viewer\"");
            told(stage, 0, once);
            until(stage, media, "the piece is listed", StitchTest::storm);
            String cookie = stage.getQuietly(media)
                    .headers()
                    .firstValue("Set-Cookie")
                    .orElseThrow()
                    .split(";")[0];
            // the other manager hears of it only when the viewer is there
            URI again = stage.at(1, Stage.media(stage.askAt(1, "talk", "v1", "Cookie", cookie)));
            URI forged = stage.at(1, Stage.media(stage.askAt(1, "talk", "v2", "Cookie", cookie)));
            told(stage, 1, once);
            until(stage, forged, "another's cookie is none", StitchTest::storm);
            String shown = until(
                    stage, again, "the lecture plays on", p -> Stage.segments(p).size() > 6);
            assertTrue(!storm(shown), shown);
            assertEquals(1, stage.counter("cookies-refused"));
            stage.end();
        }
    }

    @Test
    void aPlayerThatAsksForInterstitialsGetsTheSecondPublishedWay() throws Exception {
        try (Stage stage = stage("/service/interstitials", "\"asked\"")) {
            URI media = stage.at(Stage.media(stage.askAt(0, "talk&interstitials=1", "v1", "Accept", "*/*")));
            URI plain = stage.at(Stage.media(stage.ask("talk", "v2")));
            told(stage, 0, now("storm-1", ""));
            String shown = until(stage, media, "the mark is listed", p -> p.contains("com.apple.hls.interstitial"));
            assertTrue(!storm(shown), shown);
            String asset = shown.substring(shown.indexOf("X-ASSET-URI=\"") + 13);
            Playlist piece = Playlist.parse(
                    stage.get(stage.at(asset.substring(0, asset.indexOf('"')))).body());
            assertEquals(3, piece.entries().size());
            assertTrue(piece.isEnded());
            assertEquals(
                    200, stage.get(URI.create(piece.entries().get(2).uri())).statusCode());
            until(stage, plain, "others have it stitched", StitchTest::storm);
            stage.end();
        }
    }

    @Test
    void onlyWhatAListedKeySignedIsTaken() throws Exception {
        Ed25519.TextKeyPair pair = Ed25519.TextKeyPair.generate();
        try (Stage stage = stage("/service/changeKeys", "{\"ops\": \"" + pair.publicKey() + "\"}")) {
            String document = now("storm-1", "");
            HttpResponse<String> unsigned = tell(stage, "POST", "/v1/changes", document);
            assertEquals(422, unsigned.statusCode());
            assertTrue(unsigned.body().contains("/signature: a signature by one of [ops]"), unsigned.body());
            String signed = ChangeKeys.sign(document, "ops", pair.privateKey());
            HttpResponse<String> altered = tell(stage, "POST", "/v1/changes", signed.replace("storm-1", "storm-2"));
            assertTrue(altered.body().contains("/signature/value"), altered.body());
            String foreign = ChangeKeys.sign(document, "other", pair.privateKey());
            assertTrue(tell(stage, "POST", "/v1/changes", foreign).body().contains("/signature/key"));
            assertEquals("[]", tell(stage, "GET", "/v1/changes", "").body());
            HttpResponse<String> taken = tell(stage, "POST", "/v1/changes", signed);
            assertEquals(201, taken.statusCode(), taken.body());
            assertTrue(taken.body().contains("\"validUntilMs\":9000000000000"), taken.body());
            stage.end();
        }
    }

    @Test
    void aWatchedFolderTellsWhatComesAndWithdrawsWhatGoes() throws Exception {
        Path watched = Files.createDirectories(state.resolve("watched"));
        Files.writeString(watched.resolve("a.json"), now("a", ""));
        try (Stage stage = stage("/service/changesWatch", "\"" + watched + "\"", "/service/times/watchMs", "20")) {
            Stage.await("it is told", () -> stage.counter("changes-told") == 1);
            Files.writeString(watched.resolve("b.json"), "{\"id\":");
            Stage.await("a bad one is refused", () -> stage.counter("changes-refused") > 0);
            Files.writeString(watched.resolve("b.json"), now("b", ""));
            Stage.await("when it is whole it is told", () -> stage.counter("changes-told") == 2);
            stage.kill(0);
            Files.delete(watched.resolve("a.json"));
            Stage.await("gone over a restart, it is withdrawn", () -> stage.counter("changes-withdrawn") == 1);
            String listed = tell(stage, "GET", "/v1/changes", "").body();
            assertTrue(listed.contains("\"id\":\"b\"") && !listed.contains("\"id\":\"a\""), listed);
            stage.end();
        }
    }

    @Test
    void withdrawnWhileItPlaysItIsPlayedOutAndBeginsForNobodyElse() throws Exception {
        try (Stage stage = stage()) {
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            told(stage, 0, now("storm-1", ""));
            until(stage, media, "the piece is listed", StitchTest::storm);
            stage.tell(new Day.Telling(0, List.of(0), null, Double.NaN, "storm-1"));
            String shown = until(stage, media, "it is played out", p -> behind(p));
            assertEquals(3, stage.ofPiece(shown).size(), shown);
            URI other = stage.at(Stage.media(stage.askUntilItPlays("talk", "v2")));
            assertTrue(!storm(
                    until(stage, other, "another plays", p -> Stage.segments(p).size() > 5)));
            stage.end();
        }
    }

    @Test
    void aReplacedStretchOfTheLectureIsLeftOut() throws Exception {
        try (Stage stage = stage()) {
            String document =
                    now("storm-1", ",\"mode\":\"replace\",\"replaceS\":1.5").replace("\"atMs\":1", "\"lectureS\":1");
            assertEquals(
                    422,
                    tell(stage, "POST", "/v1/changes", document.replace(",\"replaceS\":1.5", ""))
                            .statusCode());
            told(stage, 0, document);
            URI media = stage.at(Stage.media(stage.ask("talk", "v1")));
            List<String> all = Stage.segments(until(stage, media, "it is replaced", p -> behind(p)));
            int from = all.indexOf(all.stream()
                    .filter(s -> s.contains("/p/storm/"))
                    .findFirst()
                    .orElseThrow());
            assertTrue(all.get(from - 1).endsWith("/1.m4s") && all.get(from + 3).endsWith("/5.m4s"), all.toString());
            stage.end();
        }
    }
}
