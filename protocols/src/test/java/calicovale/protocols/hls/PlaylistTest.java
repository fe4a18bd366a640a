package calicovale.protocols.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that parsed playlists are written unchanged and that malformed ones are refused. */
class PlaylistTest {
    private static final String MEDIA = """
            #EXTM3U
            #EXT-X-VERSION:7
            #EXT-X-UNKNOWN-HEAD:a="b,c",d=1
            #EXT-X-TARGETDURATION:4
            #EXT-X-MEDIA-SEQUENCE:7
            #EXT-X-MAP:URI="init.mp4"
            # a comment in its place
            #EXTINF:3.96,title
            #EXT-X-VENDOR-THING
            a.m4s
            #EXT-X-DISCONTINUITY
            #EXTINF:4,
            b.m4s
            #EXT-X-ENDLIST
            """;

    @Test
    void keepsUnknownTagsAndCommentsInPlace() throws HlsException {
        Playlist playlist = Playlist.parse(MEDIA);
        assertEquals(MEDIA, playlist.toString());
        assertEquals(7, playlist.number("EXT-X-MEDIA-SEQUENCE", 0));
        assertEquals(3.96, playlist.entries().get(0).durationSeconds());
        assertTrue(playlist.entries().get(0).has("EXT-X-VENDOR-THING"));
        assertTrue(playlist.entries().get(1).has("EXT-X-DISCONTINUITY"));
        assertTrue(playlist.isEnded());
    }

    @Test
    void readsVariants() throws HlsException {
        Playlist playlist = Playlist.parse("#EXTM3U\r\n#EXT-X-STREAM-INF:BANDWIDTH=1,CODECS=\"a,b\"\r\nx.m3u8\r\n");
        assertTrue(playlist.isMultivariant());
        assertEquals(
                "a,b",
                Attributes.parse(playlist.entries().get(0).value("EXT-X-STREAM-INF"), 1)
                        .get("CODECS"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "x",
                "#EXTM3U\n#EXTM3U\n",
                "#EXTM3U\na.m4s\n",
                "#EXTM3U\n#EXTINF:x,\na\n",
                "#EXTM3U\n#EXTINF:-1,\na\n",
                "#EXTM3U\n#EXT-X-MEDIA-SEQUENCE:x\n",
                "#EXTM3U\n#EXT-X-MAP:URI=\"a\n",
                "#EXTM3U\n#EXT-X-MAP:URI=\"a\"b\n",
                "#EXTM3U\n#EXT-X-MAP:URI=1,URI=2\n",
                "#EXTM3U\n#EXT-X-MAP:lower=1\n",
                "#EXTM3U\n#EXTINF:1,\n a\n",
                "#EXTM3U\n#EXTINF:1,\na\rb\n",
                "#EXTM3U\n#EXTINF:1,\na\n#EXT-X-STREAM-INF:BANDWIDTH=1\nb\n"
            })
    void refusesMalformedPlaylists(String text) {
        assertThrows(HlsException.class, () -> Playlist.parse(text));
    }

    @Property(tries = 300, seed = "1")
    void writesTheTextThatWasRead(@ForAll("playlists") String text) throws HlsException {
        assertEquals(text, Playlist.parse(text).toString());
    }

    @Property(tries = 500, seed = "1")
    void parsesOrRefusesAnyText(@ForAll("lines") List<String> lines) {
        try {
            String text = "#EXTM3U\n" + String.join("\n", lines);
            assertEquals(
                    Playlist.parse(text).toString(),
                    Playlist.parse(Playlist.parse(text).toString()).toString());
        } catch (HlsException e) {
            assertTrue(e.getMessage().startsWith("line "));
        }
    }

    @Provide
    Arbitrary<List<String>> lines() {
        return Arbitraries.oneOf(
                        Arbitraries.of("#EXTINF:1,", "a.m4s", "#EXT-X-KEY:METHOD=NONE", "#EXT-X-ENDLIST", "", "#c"),
                        Arbitraries.strings().ascii().ofMaxLength(12))
                .list()
                .ofMaxSize(12);
    }

    @Provide
    Arbitrary<String> playlists() {
        Arbitrary<String> extra =
                Arbitraries.of("#EXT-X-VENDOR:k=\"v\"\n", "# note\n", "\n", "#EXT-X-DISCONTINUITY\n", "");
        return extra.list().ofMinSize(1).ofMaxSize(20).map(extras -> {
            StringBuilder out = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:2\n");
            for (int i = 0; i < extras.size(); i++) {
                out.append(extras.get(i)).append("#EXTINF:2,\n").append(i).append(".m4s\n");
            }
            return out.append(extras.get(0)).toString();
        });
    }
}
