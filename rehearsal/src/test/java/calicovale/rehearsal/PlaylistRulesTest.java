package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.rehearsal.judge.PlaylistRules;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Breaks each checked demand of RFC 8216 once, in a playlist that is valid otherwise. */
class PlaylistRulesTest {
    private static final String VALID_PLAYLIST = """
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

    private static String nextReload(String text) {
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

    private static void assertFault(String expectedFault, String first, String second) {
        PlaylistRules rules = new PlaylistRules();
        List<String> faults = rules.checkNext(first);
        if (second != null) {
            assertEquals(List.of(), faults);
            faults = rules.checkNext(second);
        }
        assertTrue(faults.stream().anyMatch(f -> f.contains(expectedFault)), expectedFault + " in " + faults);
    }

    @Test
    void movingWindowAndAddedAttributesAreValid() {
        PlaylistRules rules = new PlaylistRules();
        assertEquals(List.of(), rules.checkNext(VALID_PLAYLIST));
        assertEquals(List.of(), rules.checkNext(VALID_PLAYLIST));
        assertEquals(List.of(), rules.checkNext(nextReload(VALID_PLAYLIST)));
        assertEquals(List.of(), rules.checkNext(nextReload(VALID_PLAYLIST) + "#EXT-X-ENDLIST\n"));
        assertEquals(List.of(), rules.checkNext(nextReload(VALID_PLAYLIST) + "#EXT-X-ENDLIST\n"));
        assertEquals(
                3,
                rules.segments().get(1).discontinuitySequence()
                        + rules.segments().get(0).discontinuitySequence()
                        - 1);
    }

    @Test
    void faultsOfSinglePlaylistAreFound() {
        assertFault("malformed", VALID_PLAYLIST.replace("#EXTM3U\n", ""), null);
        assertFault("EXT-X-TARGETDURATION is due", VALID_PLAYLIST.replace("#EXT-X-TARGETDURATION:2\n", ""), null);
        assertFault("longer than the target", VALID_PLAYLIST.replace("#EXTINF:2,\n5", "#EXTINF:2.5,\n5"), null);
        assertFault("has no EXT-X-MAP", VALID_PLAYLIST.replace("#EXT-X-MAP:URI=\"init.mp4\"\n", ""), null);
        assertFault("goes back", VALID_PLAYLIST.replace("00:00:10.000Z\n", "00:00:07.000Z\n"), null);
        assertFault("needs ID and START-DATE", VALID_PLAYLIST.replace("ID=\"a-5\",", ""), null);
        assertFault(
                "is not where the segment before ends",
                VALID_PLAYLIST.replace("#EXT-X-DISCONTINUITY\n", "").replace("00:10.000Z\n", "00:11.000Z\n"),
                null);
        assertFault(
                "needs EXT-X-PROGRAM-DATE-TIME", VALID_PLAYLIST.replaceAll("#EXT-X-PROGRAM-DATE-TIME:.*\n", ""), null);
    }

    @Test
    void faultsBetweenReloadsAreFound() {
        assertFault(
                "the target duration was",
                VALID_PLAYLIST,
                VALID_PLAYLIST.replace("TARGETDURATION:2", "TARGETDURATION:3"));
        assertFault(
                "the media sequence went back",
                VALID_PLAYLIST,
                VALID_PLAYLIST.replace("MEDIA-SEQUENCE:4", "MEDIA-SEQUENCE:3"));
        assertFault(
                "segments up to 6 were given",
                VALID_PLAYLIST,
                VALID_PLAYLIST.substring(0, VALID_PLAYLIST.indexOf("#EXT-X-DISCONTINUITY\n")));
        assertFault(
                "goes on after its end",
                VALID_PLAYLIST + "#EXT-X-ENDLIST\n",
                VALID_PLAYLIST + "#EXTINF:2,\n6.m4s\n#EXT-X-ENDLIST\n");
        assertFault("goes on after its end", VALID_PLAYLIST + "#EXT-X-ENDLIST\n", VALID_PLAYLIST);
        assertFault("segment 5 was", VALID_PLAYLIST, nextReload(VALID_PLAYLIST).replace("5.m4s", "other.m4s"));
        assertFault("segment 5 was", VALID_PLAYLIST, nextReload(VALID_PLAYLIST).replace("IV=0x01", "IV=0x02"));
        assertFault("segment 5 was", VALID_PLAYLIST, nextReload(VALID_PLAYLIST).replace("other.mp4", "third.mp4"));
        assertFault("segment 5 was", VALID_PLAYLIST, nextReload(VALID_PLAYLIST).replace("#EXT-X-DISCONTINUITY\n", ""));
        assertFault(
                "the discontinuity number",
                VALID_PLAYLIST,
                nextReload(VALID_PLAYLIST).replace("DISCONTINUITY-SEQUENCE:1", "DISCONTINUITY-SEQUENCE:2"));
        assertFault(
                "the date of segment 5 was",
                VALID_PLAYLIST,
                nextReload(VALID_PLAYLIST).replace("00:10.000Z\n", "00:10.500Z\n"));
        assertFault(
                "EXT-X-DATERANGE a-5 was altered",
                VALID_PLAYLIST,
                nextReload(VALID_PLAYLIST).replace("PLANNED-DURATION=2.000", "PLANNED-DURATION=4.000"));
    }
}
