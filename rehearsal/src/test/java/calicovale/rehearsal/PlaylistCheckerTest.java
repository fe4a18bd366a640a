package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.Effect;
import calicovale.rehearsal.judge.PlaylistChecker;
import calicovale.rehearsal.judge.RuleParameters;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Breaks each rule of the playlist checker once, in a recording that is valid otherwise. */
class PlaylistCheckerTest {
    private static final RuleParameters PARAMETERS = new RuleParameters(
            List.of(new RuleParameters.ClassParameters("course", 3, 5000, Effect.PURE, 1, 0)),
            50,
            2000,
            0.5,
            10_000,
            2,
            1000,
            20,
            -1,
            0,
            0);
    /** Date of the first segment, in ms since 1970. */
    private static final long FIRST_SEGMENT_DATE_MS = 1_700_000_000_000L;

    private final List<Entry> recording = new ArrayList<>();
    private double lastEntryMs;

    private void addResponse(String end, String target, String body) {
        recording.add(new Entry(lastEntryMs += 10, end, end, 1, 0, Kind.RESPONSE, "GET", target, 200, body, 0));
    }

    private void announceChange(long startsInMs, String furtherMembers) {
        String change = "{\"id\":\"storm\",\"start\":{\"atMs\":" + (FIRST_SEGMENT_DATE_MS + startsInMs)
                + "},\"validUntilMs\":" + (FIRST_SEGMENT_DATE_MS + 60_000) + furtherMembers + "}";
        recording.add(new Entry(
                lastEntryMs += 10,
                "script",
                "manager:0",
                0,
                0,
                Kind.MARK,
                "change-told",
                null,
                0,
                "{\"wallMs\":" + FIRST_SEGMENT_DATE_MS + ",\"change\":" + change + "}",
                0));
    }

    private static String uri(String box, String path) {
        return "http://127.0.0.1:1/s/" + box + "/" + path;
    }

    /**
     * Adds a session that is given segments of 1 s. A path is {@code rung/n} for the lecture or {@code p/storm/rung/n}
     * for the piece; {@code alteration} is applied to the text of the playlist.
     */
    private void addSession(
            String token, String viewer, String box, UnaryOperator<String> alteration, String... paths) {
        addResponse(
                "manager:0",
                "/v1/lectures/t/index.m3u8?class=course&viewer=" + viewer,
                "#EXTM3U\n/s/" + token + "/media.m3u8\n");
        StringBuilder playlist = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:0\n");
        long pieceSegments =
                List.of(paths).stream().filter(p -> p.startsWith("p/")).count();
        boolean previousIsPiece = false;
        for (int i = 0; i < paths.length; i++) {
            boolean isPiece = paths[i].startsWith("p/");
            String date =
                    Instant.ofEpochMilli(FIRST_SEGMENT_DATE_MS + 1000L * i).toString();
            if (isPiece != previousIsPiece || i == 0) {
                playlist.append(i == 0 ? "" : "#EXT-X-DISCONTINUITY\n")
                        .append("#EXT-X-PROGRAM-DATE-TIME:")
                        .append(date)
                        .append('\n');
                if (isPiece) {
                    playlist.append("#EXT-X-DATERANGE:ID=\"storm-")
                            .append(i)
                            .append("\",CLASS=\"org.calicovale.change\",START-DATE=\"")
                            .append(date)
                            .append("\",DURATION=")
                            .append(Math.max(3, pieceSegments))
                            .append('\n');
                }
                playlist.append("#EXT-X-MAP:URI=\"").append(isPiece).append("\"\n");
            }
            previousIsPiece = isPiece;
            playlist.append("#EXTINF:1,\n").append(uri(box, paths[i])).append(".m4s\n");
            addResponse("box:0", "/s/" + box + "/" + paths[i] + ".m4s", null);
        }
        addResponse("manager:0", "/s/" + token + "/media.m3u8", alteration.apply(playlist.toString()));
    }

    private static final String[] PATHS_WITH_PIECE = {
        "2/0", "2/1", "p/storm/2/0", "p/storm/2/1", "p/storm/2/2", "2/2", "2/3"
    };
    private static final String[] PATHS_WITHOUT_PIECE = {
        "2/0", "2/1", "2/2", "2/3", "2/4", "2/5", "2/6", "2/7", "2/8", "2/9", "2/10", "2/11", "2/12", "2/13", "2/14",
        "2/15"
    };

    private void assertFault(String expectedFault) {
        PlaylistChecker.Findings findings = PlaylistChecker.judge(PARAMETERS, recording);
        assertTrue(
                findings.faults().stream().anyMatch(b -> b.contains(expectedFault)),
                expectedFault + " in " + findings.faults());
    }

    @BeforeEach
    void clearRecording() {
        recording.clear();
    }

    @Test
    void validRecordingHasNoFaults() {
        announceChange(1500, "");
        addSession("a1", "v1", "b1", x -> x, PATHS_WITH_PIECE);
        addSession("a2", "v2", "b2", x -> x, PATHS_WITH_PIECE);
        PlaylistChecker.Findings findings = PlaylistChecker.judge(PARAMETERS, recording);
        assertEquals(List.of(), findings.faults());
        assertEquals(2, findings.changesShown());
        assertEquals(2, findings.sessionCount());
    }

    @Test
    void playlistThatBreaksRfc8216IsFound() {
        addSession("a1", "v1", "b1", x -> x.replace("TARGETDURATION:1", "TARGETDURATION:0"), PATHS_WITHOUT_PIECE);
        assertFault("EXT-X-TARGETDURATION is due");
    }

    @Test
    void playlistOfUnknownSessionIsFound() {
        addResponse("manager:0", "/s/ff/media.m3u8", "#EXTM3U\n");
        assertFault("given to nobody");
    }

    @Test
    void segmentUnderRungFloorIsFound() {
        announceChange(1500, "");
        addSession("a1", "v1", "b1", x -> x, "2/0", "2/1", "p/storm/0/0", "p/storm/0/1", "p/storm/0/2", "2/2");
        assertFault("under the floor");
    }

    @Test
    void changeBeforeItsTimeIsFound() {
        announceChange(2500, "");
        addSession("a1", "v1", "b1", x -> x, PATHS_WITH_PIECE);
        assertFault("before its time");
    }

    @Test
    void changeBeforeItsPlaceIsFound() {
        announceChange(0, "");
        recording.set(
                0,
                new Entry(
                        1,
                        "script",
                        "manager:0",
                        0,
                        0,
                        Kind.MARK,
                        "change-told",
                        null,
                        0,
                        "{\"wallMs\":" + FIRST_SEGMENT_DATE_MS
                                + ",\"change\":{\"id\":\"storm\",\"start\":{\"lectureS\":3},\"validUntilMs\":"
                                + (FIRST_SEGMENT_DATE_MS + 60_000) + "}}",
                        0));
        addSession("a1", "v1", "b1", x -> x, PATHS_WITH_PIECE);
        assertFault("before its place");
    }

    @Test
    void changeLongAfterItWasDueIsFound() {
        announceChange(0, "");
        String[] pathsWithLatePiece = new String[30];
        for (int i = 0; i < 30; i++) {
            pathsWithLatePiece[i] = i < 25 ? "2/" + i : i < 28 ? "p/storm/2/" + (i - 25) : "2/" + (i - 3);
        }
        addSession("a1", "v1", "b1", x -> x, pathsWithLatePiece);
        // The last playlist has a short window with only the last segments.
        String wholePlaylist = recording.get(recording.size() - 1).body();
        addResponse(
                "manager:0",
                "/s/a1/media.m3u8",
                "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:28\n" + "#EXT-X-DISCONTINUITY-SEQUENCE:1\n"
                        + wholePlaylist.substring(wholePlaylist.lastIndexOf("#EXT-X-DISCONTINUITY\n")));
        assertFault("ms after it was due");
    }

    @Test
    void changeAfterItsValidityIsFound() {
        announceChange(1500, ",\"x\":1");
        recording.set(
                0,
                new Entry(
                        1,
                        "script",
                        "manager:0",
                        0,
                        0,
                        Kind.MARK,
                        "change-told",
                        null,
                        0,
                        "{\"wallMs\":" + FIRST_SEGMENT_DATE_MS + ",\"change\":{\"id\":\"storm\",\"start\":{\"atMs\":"
                                + FIRST_SEGMENT_DATE_MS + "},\"validUntilMs\":" + (FIRST_SEGMENT_DATE_MS + 1000) + "}}",
                        0));
        addSession("a1", "v1", "b1", x -> x, PATHS_WITH_PIECE);
        assertFault("began after its time was over");
    }

    @Test
    void changeThatWasDueAndNotShownIsFound() {
        announceChange(1500, "");
        addSession("a1", "v1", "b1", x -> x, PATHS_WITHOUT_PIECE);
        addResponse(
                "manager:0",
                "/s/a1/media.m3u8",
                "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:15\n"
                        + "#EXT-X-PROGRAM-DATE-TIME:" + Instant.ofEpochMilli(FIRST_SEGMENT_DATE_MS + 15_000)
                        + "\n#EXT-X-MAP:URI=\"false\"\n#EXTINF:1,\n"
                        + uri("b1", "2/15") + ".m4s\n");
        assertFault("was due and not shown");
        assertEquals(1, PlaylistChecker.judge(PARAMETERS, recording).changesMissed());
    }

    @Test
    void changeForOtherClassesIsFound() {
        announceChange(1500, ",\"for\":{\"classes\":[\"talk\"]}");
        addSession("a1", "v1", "b1", x -> x, PATHS_WITH_PIECE);
        assertFault("was not told for it");
    }

    @Test
    void incompletePieceIsFound() {
        announceChange(1500, "");
        addSession("a1", "v1", "b1", x -> x, "2/5", "2/6", "p/storm/2/0", "p/storm/2/1", "2/7", "2/8");
        assertFault("/2/7.m4s after");
        recording.clear();
        announceChange(1500, "");
        addSession(
                "a1",
                "v1",
                "b1",
                x -> x.replace("DURATION=3", "DURATION=2"),
                "2/0",
                "2/1",
                "p/storm/2/0",
                "p/storm/2/2",
                "2/2");
        assertFault("p/storm/2/2.m4s after");
    }

    @Test
    void changeShownTwiceToOneViewerIsFound() {
        announceChange(1500, ",\"once\":\"viewer\"");
        addSession("a1", "v1", "b1", x -> x, PATHS_WITH_PIECE);
        addSession("a2", "v1", "b2", x -> x, PATHS_WITH_PIECE);
        assertFault("v1 storm was shown twice");
    }
}
