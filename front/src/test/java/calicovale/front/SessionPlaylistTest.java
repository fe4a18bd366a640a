package calicovale.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.SourcePlaylist;
import calicovale.front.playlist.StitchedPiece;
import calicovale.protocols.hls.HlsException;
import calicovale.protocols.hls.Playlist;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SessionPlaylistTest {
    private static final SessionPlaylist.WindowShape SHAPE = new SessionPlaylist.WindowShape(2, 2, 0);

    /** Common time at which the tests' playlists begin, in ms. */
    private static final double START_DATE_MS = 1_700_000_000_000.0;

    /** Returns a lecture or piece with an EXT-X-MAP and segments of 2 s. */
    private static SourcePlaylist source(int segments) throws HlsException {
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segments; i++) {
            text.append("#EXT-X-VENDOR:")
                    .append(i)
                    .append("\n#EXTINF:2,\n")
                    .append(i)
                    .append(".m4s\n");
        }
        return SourcePlaylist.parse(text + "#EXT-X-ENDLIST\n");
    }

    /** Returns the URIs of a playlist's segments. */
    private static List<String> uris(String text) throws HlsException {
        return Playlist.parse(text).entries().stream().map(Playlist.Entry::uri).toList();
    }

    @Test
    void segmentsAreAddedAsTheLecturePlaysAndRemovedBehind() throws HlsException {
        SourcePlaylist source = source(10);
        SessionPlaylist playlist = new SessionPlaylist(SHAPE, 0, START_DATE_MS);
        playlist.extend(source, 3, "http://a/3/", 0);
        assertEquals(List.of("http://a/3/0.m4s", "http://a/3/1.m4s", "http://a/3/2.m4s"), uris(playlist.render()));
        playlist.extend(source, 3, "http://a/3/", 9000);
        Playlist later = Playlist.parse(playlist.render());
        assertEquals(2, later.number("EXT-X-MEDIA-SEQUENCE", -1));
        assertEquals(
                List.of(
                        "http://a/3/2.m4s",
                        "http://a/3/3.m4s",
                        "http://a/3/4.m4s",
                        "http://a/3/5.m4s",
                        "http://a/3/6.m4s"),
                later.entries().stream().map(Playlist.Entry::uri).toList());
        assertTrue(later.entries().get(0).has("EXT-X-MAP"), "the window's first segment needs its EXT-X-MAP");
        assertEquals("2", later.entries().get(0).value("EXT-X-VENDOR"));
        assertFalse(later.isEnded());
        playlist.extend(source, 3, "http://a/3/", 60_000);
        assertTrue(Playlist.parse(playlist.render()).isEnded());
    }

    @Test
    void aChangeOfRungIsADiscontinuityAtASegmentBoundary() throws HlsException {
        SourcePlaylist source = source(10);
        SessionPlaylist playlist = new SessionPlaylist(SHAPE, 0, START_DATE_MS);
        playlist.extend(source, 3, "http://a/3/", 0);
        playlist.extend(source, 1, "http://a/1/", 2500);
        Playlist shown = Playlist.parse(playlist.render());
        assertEquals("http://a/1/3.m4s", shown.entries().get(3).uri());
        assertTrue(shown.entries().get(3).has("EXT-X-DISCONTINUITY"));
        assertEquals("URI=\"http://a/1/init.mp4\"", shown.entries().get(3).value("EXT-X-MAP"));
        assertEquals(0, shown.number("EXT-X-DISCONTINUITY-SEQUENCE", 0));
        playlist.extend(source, 1, "http://a/1/", 13_000);
        assertEquals(1, Playlist.parse(playlist.render()).number("EXT-X-DISCONTINUITY-SEQUENCE", 0));
    }

    @Test
    void afterALossSegmentsThatMayNotHaveBeenDeliveredAreListedAgain() throws HlsException {
        SourcePlaylist source = source(10);
        SessionPlaylist playlist = new SessionPlaylist(SHAPE, 0, START_DATE_MS);
        playlist.extend(source, 3, "http://a/3/", 0);
        playlist.resume(source, 2500, 8000);
        playlist.extend(source, 2, "http://b/2/", 8000);
        Playlist shown = Playlist.parse(playlist.render());
        assertEquals(
                List.of(
                        "http://a/3/1.m4s",
                        "http://a/3/2.m4s",
                        "http://b/2/1.m4s",
                        "http://b/2/2.m4s",
                        "http://b/2/3.m4s"),
                shown.entries().stream().map(Playlist.Entry::uri).toList());
        assertEquals(1, shown.number("EXT-X-MEDIA-SEQUENCE", -1));
        assertTrue(shown.entries().get(2).has("EXT-X-DISCONTINUITY"));
    }

    @Test
    void aPieceIsPutBetweenTwoSegmentsAndTheLectureContinues() throws HlsException {
        SourcePlaylist source = source(10);
        SourcePlaylist pieceSource = source(3);
        SessionPlaylist playlist = new SessionPlaylist(SHAPE, 0, START_DATE_MS);
        StitchedPiece.Stitcher stormBeforeSegment2 = (n, s, ms) ->
                n == 2 && ms == 4000 ? new StitchedPiece("storm", 1, "http://a/p/1/", pieceSource, 2, 2, null) : null;
        List<String> listedUris = new ArrayList<>();
        for (double nowMs = 0; nowMs < 12_000; nowMs += 1000) {
            playlist.extend(
                    source, 3, "http://a/3/", nowMs, nowMs < 1500 ? stormBeforeSegment2 : StitchedPiece.Stitcher.NONE);
            uris(playlist.render()).stream()
                    .filter(u -> !listedUris.contains(u))
                    .forEach(listedUris::add);
        }
        assertEquals(
                List.of(
                        "http://a/3/0.m4s",
                        "http://a/3/1.m4s",
                        "http://a/p/1/0.m4s",
                        "http://a/p/1/1.m4s",
                        "http://a/p/1/2.m4s",
                        "http://a/3/2.m4s",
                        "http://a/3/3.m4s",
                        "http://a/3/4.m4s"),
                listedUris);
        Playlist shown = Playlist.parse(playlist.render());
        Playlist.Entry afterPiece = shown.entries().stream()
                .filter(e -> e.uri().equals("http://a/3/2.m4s"))
                .findFirst()
                .orElseThrow();
        assertTrue(afterPiece.has("EXT-X-DISCONTINUITY") && afterPiece.has("EXT-X-MAP"));
        // the box is lost during the piece: the lecture continues at the segment before which the piece was put
        SessionPlaylist interrupted = new SessionPlaylist(SHAPE, 0, START_DATE_MS);
        interrupted.extend(source, 3, "http://a/3/", 0, stormBeforeSegment2);
        interrupted.extend(source, 3, "http://a/3/", 3000, stormBeforeSegment2);
        interrupted.resume(source, 5000, 9000);
        interrupted.extend(source, 3, "http://b/3/", 9000);
        List<String> urisAfterLoss = uris(interrupted.render());
        assertEquals(
                "http://b/3/2.m4s",
                urisAfterLoss.stream()
                        .filter(u -> u.startsWith("http://b/"))
                        .findFirst()
                        .orElseThrow());
    }

    @Test
    void programDateTimesMatchTheCalendar() throws HlsException {
        SourcePlaylist source = source(3);
        for (double dateMs = 0; dateMs < 2.5e14; dateMs += 86_399_777.0 * 997) {
            SessionPlaylist playlist = new SessionPlaylist(SHAPE, 0, dateMs);
            playlist.extend(source, 0, "http://a/", 0);
            String date = Playlist.parse(playlist.render()).entries().get(0).value("EXT-X-PROGRAM-DATE-TIME");
            assertEquals(java.time.Instant.ofEpochMilli(Math.round(dateMs)), java.time.Instant.parse(date));
        }
    }

    @Test
    void keysRangesAndInitializationSectionsAreCompleteWhereverAWindowBegins() throws HlsException {
        SourcePlaylist source = SourcePlaylist.parse("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:9\n"
                + "#EXT-X-MAP:URI=\"/i.mp4\",BYTERANGE=\"9@0\"\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXTINF:2,\n#EXT-X-BYTERANGE:5@0\nf\n"
                + "#EXTINF:2,\n#EXT-X-BYTERANGE:6\nf\n#EXT-X-KEY:METHOD=NONE\n#EXTINF:2,\n#EXT-X-BYTERANGE:7\nf\n"
                + "#EXT-X-DISCONTINUITY\n#EXTINF:2,\nhttps://other/x\n");
        SessionPlaylist playlist = new SessionPlaylist(new SessionPlaylist.WindowShape(1, 0, 0), 0, START_DATE_MS);
        playlist.extend(source, 0, "http://a/b/", 2000);
        Playlist second = Playlist.parse(playlist.render());
        Playlist.Entry first = second.entries().get(0);
        assertEquals(
                "METHOD=AES-128,URI=\"http://a/b/k\",IV=0x0000000000000000000000000000000A", first.value("EXT-X-KEY"));
        assertEquals("URI=\"http://a/i.mp4\",BYTERANGE=\"9@0\"", first.value("EXT-X-MAP"));
        assertEquals("6@5", first.value("EXT-X-BYTERANGE"));
        assertEquals("METHOD=NONE", second.entries().get(1).value("EXT-X-KEY"));
        assertEquals("7@11", second.entries().get(1).value("EXT-X-BYTERANGE"));
        playlist.extend(source, 0, "http://a/b/", 60_000);
        Playlist.Entry last = Playlist.parse(playlist.render()).entries().get(1);
        assertTrue(last.uri().equals("https://other/x") && last.has("EXT-X-DISCONTINUITY") && last.has("EXT-X-MAP"));
        org.junit.jupiter.api.Assertions.assertThrows(
                HlsException.class,
                () -> SourcePlaylist.parse("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXTINF:2,\n#EXT-X-BYTERANGE:7\nf\n"));
    }

    /**
     * Guards against altering a listed segment or its discontinuity number, over random rungs, losses, pieces and
     * times.
     */
    @Test
    void listedSegmentsAreNeverAltered() throws HlsException {
        SourcePlaylist source = source(40);
        SourcePlaylist pieceSource = source(3);
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SessionPlaylist playlist = new SessionPlaylist(SHAPE, 0, START_DATE_MS);
            Map<Long, String> listedBySequence = new HashMap<>();
            Map<Long, Long> discontinuityBySequence = new HashMap<>();
            double nowMs = 0;
            String box = "a";
            int rung = 2;
            Set<Integer> stitchedBoundaries = new HashSet<>();
            for (int step = 0; step < 60; step++) {
                int action = random.nextInt(5);
                rung = action == 0 ? random.nextInt(4) : rung;
                if (action == 1) {
                    box = "b" + step;
                    playlist.resume(source, nowMs, nowMs + 500);
                }
                nowMs += random.nextInt(3000);
                int pieceInterval = 3 + seed % 5;
                String currentBox = box;
                // puts a piece at each boundary once
                playlist.extend(
                        source,
                        rung,
                        "http://" + box + "/" + rung + "/",
                        nowMs,
                        (n, s, ms) -> n % pieceInterval == 0 && stitchedBoundaries.add(n)
                                ? new StitchedPiece(
                                        "storm" + n, 0, "http://" + currentBox + "/p/", pieceSource, n, n + n % 2, null)
                                : null);
                Playlist shown = Playlist.parse(playlist.render());
                assertTrue(
                        playlist.runCount() <= SHAPE.segmentsAhead() + 1 + SHAPE.segmentsBehind(),
                        playlist.runCount() + " runs kept");
                long sequence = shown.number("EXT-X-MEDIA-SEQUENCE", -1);
                long discontinuitySequence = shown.number("EXT-X-DISCONTINUITY-SEQUENCE", 0);
                for (Playlist.Entry entry : shown.entries()) {
                    discontinuitySequence += entry.has("EXT-X-DISCONTINUITY") ? 1 : 0;
                    List<String> listed =
                            new ArrayList<>(List.of(entry.uri(), Boolean.toString(entry.has("EXT-X-DISCONTINUITY"))));
                    String before = listedBySequence.putIfAbsent(sequence, listed.toString());
                    assertTrue(
                            before == null || before.equals(listed.toString()),
                            seed + ": " + before + " became " + listed);
                    Long listedDiscontinuity = discontinuityBySequence.putIfAbsent(sequence, discontinuitySequence);
                    assertTrue(
                            listedDiscontinuity == null || listedDiscontinuity == discontinuitySequence,
                            seed + ": discontinuity number of " + sequence);
                    sequence++;
                }
            }
        }
    }
}
