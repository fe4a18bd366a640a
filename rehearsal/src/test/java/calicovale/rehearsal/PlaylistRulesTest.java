package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.rehearsal.judge.PlaylistRules;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each demand of RFC 8216 on a playlist is broken once, in one that is good otherwise. */
class PlaylistRulesTest {
    private static final String GOOD = """
            #EXTM3U
            #EXT-X-VERSION:7
            #EXT-X-TARGETDURATION:2
            #EXT-X-MEDIA-SEQUENCE:4
            #EXT-X-DISCONTINUITY-SEQUENCE:1
            #EXT-X-PROGRAM-DATE-TIME:2026-01-01T00:00:08.000Z
            #EXT-X-KEY:METHOD=AES-128,URI="k",IV=0x01
            #EXT-X-MAP:URI="init.mp4"
            #EXTINF:2,
            4.m4s
            #EXT-X-DISCONTINUITY
            #EXT-X-PROGRAM-DATE-TIME:2026-01-01T00:00:10.000Z
            #EXT-X-DATERANGE:ID="a-5",CLASS="org.calicovale.change",START-DATE="2026-01-01T00:00:10.000Z",PLANNED-DURATION=2.000
            #EXT-X-MAP:URI="other.mp4"
            #EXTINF:2,
            5.m4s
            """;

    private static String after(String text) {
        return text.replace("SEQUENCE:4", "SEQUENCE:5")
                        .replace("""
                #EXT-X-PROGRAM-DATE-TIME:2026-01-01T00:00:08.000Z
                #EXT-X-KEY:METHOD=AES-128,URI="k",IV=0x01
                #EXT-X-MAP:URI="init.mp4"
                #EXTINF:2,
                4.m4s
                #EXT-X-DISCONTINUITY
                """, "#EXT-X-DISCONTINUITY\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\",IV=0x01\n")
                        .replace("PLANNED-DURATION=2.000", "PLANNED-DURATION=2.000,DURATION=2.000")
                + "#EXTINF:2,\n6.m4s\n";
    }

    private static void broken(String what, String first, String second) {
        PlaylistRules rules = new PlaylistRules();
        List<String> faults = rules.take(first);
        if (second != null) {
            assertEquals(List.of(), faults);
            faults = rules.take(second);
        }
        assertTrue(faults.stream().anyMatch(f -> f.contains(what)), what + " in " + faults);
    }

    @Test
    void aWindowThatMovesOnAndATagThatGrowsAreGood() {
        PlaylistRules rules = new PlaylistRules();
        assertEquals(List.of(), rules.take(GOOD));
        assertEquals(List.of(), rules.take(GOOD));
        assertEquals(List.of(), rules.take(after(GOOD)));
        assertEquals(List.of(), rules.take(after(GOOD) + "#EXT-X-ENDLIST\n"));
        assertEquals(List.of(), rules.take(after(GOOD) + "#EXT-X-ENDLIST\n"));
        assertEquals(
                3,
                rules.segments().get(1).discontinuitySequence()
                        + rules.segments().get(0).discontinuitySequence()
                        - 1);
    }

    @Test
    void whatOnePlaylistMayNotHave() {
        broken("malformed", GOOD.replace("#EXTM3U\n", ""), null);
        broken("EXT-X-TARGETDURATION is due", GOOD.replace("#EXT-X-TARGETDURATION:2\n", ""), null);
        broken("longer than the target", GOOD.replace("#EXTINF:2,\n5", "#EXTINF:2.5,\n5"), null);
        broken("has no EXT-X-MAP", GOOD.replace("#EXT-X-MAP:URI=\"init.mp4\"\n", ""), null);
        broken("goes back", GOOD.replace("00:00:10.000Z\n", "00:00:07.000Z\n"), null);
        broken("needs ID and START-DATE", GOOD.replace("ID=\"a-5\",", ""), null);
        broken(
                "is not where the segment before ends",
                GOOD.replace("#EXT-X-DISCONTINUITY\n", "").replace("00:10.000Z\n", "00:11.000Z\n"),
                null);
        broken("needs EXT-X-PROGRAM-DATE-TIME", GOOD.replaceAll("#EXT-X-PROGRAM-DATE-TIME:.*\n", ""), null);
    }

    @Test
    void whatAReloadMayNotDo() {
        broken("the target duration was", GOOD, GOOD.replace("TARGETDURATION:2", "TARGETDURATION:3"));
        broken("the media sequence went back", GOOD, GOOD.replace("MEDIA-SEQUENCE:4", "MEDIA-SEQUENCE:3"));
        broken("segments up to 6 were given", GOOD, GOOD.substring(0, GOOD.indexOf("#EXT-X-DISCONTINUITY\n")));
        broken("goes on after its end", GOOD + "#EXT-X-ENDLIST\n", GOOD + "#EXTINF:2,\n6.m4s\n#EXT-X-ENDLIST\n");
        broken("goes on after its end", GOOD + "#EXT-X-ENDLIST\n", GOOD);
        broken("segment 5 was", GOOD, after(GOOD).replace("5.m4s", "other.m4s"));
        broken("segment 5 was", GOOD, after(GOOD).replace("IV=0x01", "IV=0x02"));
        broken("segment 5 was", GOOD, after(GOOD).replace("other.mp4", "third.mp4"));
        broken("segment 5 was", GOOD, after(GOOD).replace("#EXT-X-DISCONTINUITY\n", ""));
        broken(
                "the discontinuity number",
                GOOD,
                after(GOOD).replace("DISCONTINUITY-SEQUENCE:1", "DISCONTINUITY-SEQUENCE:2"));
        broken("the date of segment 5 was", GOOD, after(GOOD).replace("00:10.000Z\n", "00:10.500Z\n"));
        broken(
                "EXT-X-DATERANGE a-5 was altered",
                GOOD,
                after(GOOD).replace("PLANNED-DURATION=2.000", "PLANNED-DURATION=4.000"));
    }
}
