package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.Effect;
import calicovale.rehearsal.judge.Figures;
import calicovale.rehearsal.judge.PlaylistChecker;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each thing that the checker of playlists checks is broken once, in a tape that is good otherwise. */
class PlaylistCheckerTest {
    private static final Figures FIGURES = new Figures(
            List.of(new Figures.OfClass("course", 3, 5000, Effect.PURE, 1, 0)),
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
    /** The date of the first segment. */
    private static final long T0 = 1_700_000_000_000L;

    private final List<Entry> tape = new ArrayList<>();
    private double at;

    private void add(String end, String target, String body) {
        tape.add(new Entry(at += 10, end, end, 1, 0, Kind.RESPONSE, "GET", target, 200, body, 0));
    }

    private void told(long inMs, String more) {
        String change = "{\"id\":\"storm\",\"start\":{\"atMs\":" + (T0 + inMs) + "},\"validUntilMs\":" + (T0 + 60_000)
                + more + "}";
        tape.add(new Entry(
                at += 10,
                "script",
                "manager:0",
                0,
                0,
                Kind.MARK,
                "change-told",
                null,
                0,
                "{\"wallMs\":" + T0 + ",\"change\":" + change + "}",
                0));
    }

    private static String uri(String box, String path) {
        return "http://127.0.0.1:1/s/" + box + "/" + path;
    }

    /** A session that shows segments, each {@code rung/n} of the lecture or {@code p/storm/rung/n} of the piece, a second each. */
    private void session(String token, String viewer, String box, UnaryOperator<String> wrong, String... paths) {
        add(
                "manager:0",
                "/v1/lectures/t/index.m3u8?class=course&viewer=" + viewer,
                "#EXTM3U\n/s/" + token + "/media.m3u8\n");
        StringBuilder out = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:0\n");
        long pieces = List.of(paths).stream().filter(p -> p.startsWith("p/")).count();
        boolean before = false;
        for (int i = 0; i < paths.length; i++) {
            boolean piece = paths[i].startsWith("p/");
            String date = Instant.ofEpochMilli(T0 + 1000L * i).toString();
            if (piece != before || i == 0) {
                out.append(i == 0 ? "" : "#EXT-X-DISCONTINUITY\n")
                        .append("#EXT-X-PROGRAM-DATE-TIME:")
                        .append(date)
                        .append('\n');
                if (piece) {
                    out.append("#EXT-X-DATERANGE:ID=\"storm-")
                            .append(i)
                            .append("\",CLASS=\"org.calicovale.change\",START-DATE=\"")
                            .append(date)
                            .append("\",DURATION=")
                            .append(Math.max(3, pieces))
                            .append('\n');
                }
                out.append("#EXT-X-MAP:URI=\"").append(piece).append("\"\n");
            }
            before = piece;
            out.append("#EXTINF:1,\n").append(uri(box, paths[i])).append(".m4s\n");
            add("box:0", "/s/" + box + "/" + paths[i] + ".m4s", null);
        }
        add("manager:0", "/s/" + token + "/media.m3u8", wrong.apply(out.toString()));
    }

    private static final String[] SHOWN = {"2/0", "2/1", "p/storm/2/0", "p/storm/2/1", "p/storm/2/2", "2/2", "2/3"};
    private static final String[] PLAIN = {
        "2/0", "2/1", "2/2", "2/3", "2/4", "2/5", "2/6", "2/7", "2/8", "2/9", "2/10", "2/11", "2/12", "2/13", "2/14",
        "2/15"
    };

    private void broken(String what) {
        PlaylistChecker.Findings found = PlaylistChecker.judge(FIGURES, tape);
        assertTrue(found.faults().stream().anyMatch(b -> b.contains(what)), what + " in " + found.faults());
    }

    @BeforeEach
    void clear() {
        tape.clear();
    }

    @Test
    void aGoodTapeIsGood() {
        told(1500, "");
        session("a1", "v1", "b1", x -> x, SHOWN);
        session("a2", "v2", "b2", x -> x, SHOWN);
        PlaylistChecker.Findings found = PlaylistChecker.judge(FIGURES, tape);
        assertEquals(List.of(), found.faults());
        assertEquals(2, found.changesShown());
        assertEquals(2, found.sessionCount());
    }

    @Test
    void aPlaylistThatBreaksTheStandard() {
        session("a1", "v1", "b1", x -> x.replace("TARGETDURATION:1", "TARGETDURATION:0"), PLAIN);
        broken("EXT-X-TARGETDURATION is due");
    }

    @Test
    void aPlaylistThatNobodyWasGiven() {
        add("manager:0", "/s/ff/media.m3u8", "#EXTM3U\n");
        broken("given to nobody");
    }

    @Test
    void aSegmentUnderTheFloor() {
        told(1500, "");
        session("a1", "v1", "b1", x -> x, "2/0", "2/1", "p/storm/0/0", "p/storm/0/1", "p/storm/0/2", "2/2");
        broken("under the floor");
    }

    @Test
    void aChangeBeforeItsTime() {
        told(2500, "");
        session("a1", "v1", "b1", x -> x, SHOWN);
        broken("before its time");
    }

    @Test
    void aChangeBeforeItsPlace() {
        told(0, "");
        tape.set(
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
                        "{\"wallMs\":" + T0
                                + ",\"change\":{\"id\":\"storm\",\"start\":{\"lectureS\":3},\"validUntilMs\":"
                                + (T0 + 60_000) + "}}",
                        0));
        session("a1", "v1", "b1", x -> x, SHOWN);
        broken("before its place");
    }

    @Test
    void aChangeLongAfterItWasDue() {
        told(0, "");
        String[] late = new String[30];
        for (int i = 0; i < 30; i++) {
            late[i] = i < 25 ? "2/" + i : i < 28 ? "p/storm/2/" + (i - 25) : "2/" + (i - 3);
        }
        session("a1", "v1", "b1", x -> x, late);
        // the window is short: only the last segments are in the last playlist
        String whole = tape.get(tape.size() - 1).body();
        add(
                "manager:0",
                "/s/a1/media.m3u8",
                "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:28\n" + "#EXT-X-DISCONTINUITY-SEQUENCE:1\n"
                        + whole.substring(whole.lastIndexOf("#EXT-X-DISCONTINUITY\n")));
        broken("ms after it was due");
    }

    @Test
    void aChangeAfterItsTimeWasOver() {
        told(1500, ",\"x\":1");
        tape.set(
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
                        "{\"wallMs\":" + T0 + ",\"change\":{\"id\":\"storm\",\"start\":{\"atMs\":" + T0
                                + "},\"validUntilMs\":" + (T0 + 1000) + "}}",
                        0));
        session("a1", "v1", "b1", x -> x, SHOWN);
        broken("began after its time was over");
    }

    @Test
    void aChangeThatWasDueAndNotShown() {
        told(1500, "");
        session("a1", "v1", "b1", x -> x, PLAIN);
        add(
                "manager:0",
                "/s/a1/media.m3u8",
                "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:15\n"
                        + "#EXT-X-PROGRAM-DATE-TIME:" + Instant.ofEpochMilli(T0 + 15_000)
                        + "\n#EXT-X-MAP:URI=\"false\"\n#EXTINF:1,\n"
                        + uri("b1", "2/15") + ".m4s\n");
        broken("was due and not shown");
        assertEquals(1, PlaylistChecker.judge(FIGURES, tape).changesMissed());
    }

    @Test
    void aChangeForOthers() {
        told(1500, ",\"for\":{\"classes\":[\"talk\"]}");
        session("a1", "v1", "b1", x -> x, SHOWN);
        broken("was not told for it");
    }

    @Test
    void aPieceThatIsCut() {
        told(1500, "");
        session("a1", "v1", "b1", x -> x, "2/5", "2/6", "p/storm/2/0", "p/storm/2/1", "2/7", "2/8");
        broken("/2/7.m4s after");
        tape.clear();
        told(1500, "");
        session(
                "a1",
                "v1",
                "b1",
                x -> x.replace("DURATION=3", "DURATION=2"),
                "2/0",
                "2/1",
                "p/storm/2/0",
                "p/storm/2/2",
                "2/2");
        broken("p/storm/2/2.m4s after");
    }

    @Test
    void aViewerThatIsShownAChangeTwice() {
        told(1500, ",\"once\":\"viewer\"");
        session("a1", "v1", "b1", x -> x, SHOWN);
        session("a2", "v1", "b2", x -> x, SHOWN);
        broken("v1 storm was shown twice");
    }
}
