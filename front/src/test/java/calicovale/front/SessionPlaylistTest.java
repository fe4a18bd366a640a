package calicovale.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.front.playlist.Piece;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.Source;
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
    private static final SessionPlaylist.Shape SHAPE = new SessionPlaylist.Shape(2, 2, 0);

    /** The common time of the tests' begin. */
    private static final double T0 = 1_700_000_000_000.0;

    private static Source source(int segments) throws HlsException {
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segments; i++) {
            text.append("#EXT-X-VENDOR:")
                    .append(i)
                    .append("\n#EXTINF:2,\n")
                    .append(i)
                    .append(".m4s\n");
        }
        return Source.parse(text + "#EXT-X-ENDLIST\n");
    }

    private static List<String> uris(String text) throws HlsException {
        return Playlist.parse(text).entries().stream().map(Playlist.Entry::uri).toList();
    }

    @Test
    void segmentsAreAddedAsTheLecturePlaysAndTakenOffBehind() throws HlsException {
        Source source = source(10);
        SessionPlaylist p = new SessionPlaylist(SHAPE, 0, T0);
        p.extend(source, 3, "http://a/3/", 0);
        assertEquals(List.of("http://a/3/0.m4s", "http://a/3/1.m4s", "http://a/3/2.m4s"), uris(p.render()));
        p.extend(source, 3, "http://a/3/", 9000);
        Playlist later = Playlist.parse(p.render());
        assertEquals(2, later.number("EXT-X-MEDIA-SEQUENCE", -1));
        assertEquals(
                List.of(
                        "http://a/3/2.m4s",
                        "http://a/3/3.m4s",
                        "http://a/3/4.m4s",
                        "http://a/3/5.m4s",
                        "http://a/3/6.m4s"),
                later.entries().stream().map(Playlist.Entry::uri).toList());
        assertTrue(later.entries().get(0).has("EXT-X-MAP"), "the window's first segment needs its map");
        assertEquals("2", later.entries().get(0).value("EXT-X-VENDOR"));
        assertFalse(later.isEnded());
        p.extend(source, 3, "http://a/3/", 60_000);
        assertTrue(Playlist.parse(p.render()).isEnded());
    }

    @Test
    void aChangeOfRungIsADiscontinuityAtASegmentsBorder() throws HlsException {
        Source source = source(10);
        SessionPlaylist p = new SessionPlaylist(SHAPE, 0, T0);
        p.extend(source, 3, "http://a/3/", 0);
        p.extend(source, 1, "http://a/1/", 2500);
        Playlist shown = Playlist.parse(p.render());
        assertEquals("http://a/1/3.m4s", shown.entries().get(3).uri());
        assertTrue(shown.entries().get(3).has("EXT-X-DISCONTINUITY"));
        assertEquals("URI=\"http://a/1/init.mp4\"", shown.entries().get(3).value("EXT-X-MAP"));
        assertEquals(0, shown.number("EXT-X-DISCONTINUITY-SEQUENCE", 0));
        p.extend(source, 1, "http://a/1/", 13_000);
        assertEquals(1, Playlist.parse(p.render()).number("EXT-X-DISCONTINUITY-SEQUENCE", 0));
    }

    @Test
    void afterALossWhatMayNotHaveComeIsShownAgain() throws HlsException {
        Source source = source(10);
        SessionPlaylist p = new SessionPlaylist(SHAPE, 0, T0);
        p.extend(source, 3, "http://a/3/", 0);
        p.resume(source, 2500, 8000);
        p.extend(source, 2, "http://b/2/", 8000);
        Playlist shown = Playlist.parse(p.render());
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
    void aPieceIsPutBetweenTwoSegmentsAndTheLectureGoesOn() throws HlsException {
        Source source = source(10);
        Source storm = source(3);
        SessionPlaylist p = new SessionPlaylist(SHAPE, 0, T0);
        Piece.Stitcher before2 =
                (n, s, ms) -> n == 2 && ms == 4000 ? new Piece("storm", 1, "http://a/p/1/", storm, 2, 2, null) : null;
        List<String> all = new ArrayList<>();
        for (double now = 0; now < 12_000; now += 1000) {
            p.extend(source, 3, "http://a/3/", now, now < 1500 ? before2 : Piece.Stitcher.NONE);
            uris(p.render()).stream().filter(u -> !all.contains(u)).forEach(all::add);
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
                all);
        Playlist shown = Playlist.parse(p.render());
        Playlist.Entry back = shown.entries().stream()
                .filter(e -> e.uri().equals("http://a/3/2.m4s"))
                .findFirst()
                .orElseThrow();
        assertTrue(back.has("EXT-X-DISCONTINUITY") && back.has("EXT-X-MAP"));
        // lost within the piece: the lecture goes on where the piece had been put
        SessionPlaylist q = new SessionPlaylist(SHAPE, 0, T0);
        q.extend(source, 3, "http://a/3/", 0, before2);
        q.extend(source, 3, "http://a/3/", 3000, before2);
        q.resume(source, 5000, 9000);
        q.extend(source, 3, "http://b/3/", 9000);
        List<String> after = uris(q.render());
        assertEquals(
                "http://b/3/2.m4s",
                after.stream()
                        .filter(u -> u.startsWith("http://b/"))
                        .findFirst()
                        .orElseThrow());
    }

    @Test
    void datesAreThoseOfTheCalendar() throws HlsException {
        Source source = source(3);
        for (double ms = 0; ms < 2.5e14; ms += 86_399_777.0 * 997) {
            SessionPlaylist p = new SessionPlaylist(SHAPE, 0, ms);
            p.extend(source, 0, "http://a/", 0);
            String date = Playlist.parse(p.render()).entries().get(0).value("EXT-X-PROGRAM-DATE-TIME");
            assertEquals(java.time.Instant.ofEpochMilli(Math.round(ms)), java.time.Instant.parse(date));
        }
    }

    @Test
    void keysRangesAndInitializationSectionsHoldWhereverAWindowBegins() throws HlsException {
        Source source = Source.parse("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:9\n"
                + "#EXT-X-MAP:URI=\"/i.mp4\",BYTERANGE=\"9@0\"\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXTINF:2,\n#EXT-X-BYTERANGE:5@0\nf\n"
                + "#EXTINF:2,\n#EXT-X-BYTERANGE:6\nf\n#EXT-X-KEY:METHOD=NONE\n#EXTINF:2,\n#EXT-X-BYTERANGE:7\nf\n"
                + "#EXT-X-DISCONTINUITY\n#EXTINF:2,\nhttps://other/x\n");
        SessionPlaylist p = new SessionPlaylist(new SessionPlaylist.Shape(1, 0, 0), 0, T0);
        p.extend(source, 0, "http://a/b/", 2000);
        Playlist second = Playlist.parse(p.render());
        Playlist.Entry first = second.entries().get(0);
        assertEquals(
                "METHOD=AES-128,URI=\"http://a/b/k\",IV=0x0000000000000000000000000000000A", first.value("EXT-X-KEY"));
        assertEquals("URI=\"http://a/i.mp4\",BYTERANGE=\"9@0\"", first.value("EXT-X-MAP"));
        assertEquals("6@5", first.value("EXT-X-BYTERANGE"));
        assertEquals("METHOD=NONE", second.entries().get(1).value("EXT-X-KEY"));
        assertEquals("7@11", second.entries().get(1).value("EXT-X-BYTERANGE"));
        p.extend(source, 0, "http://a/b/", 60_000);
        Playlist.Entry last = Playlist.parse(p.render()).entries().get(1);
        assertTrue(last.uri().equals("https://other/x") && last.has("EXT-X-DISCONTINUITY") && last.has("EXT-X-MAP"));
        org.junit.jupiter.api.Assertions.assertThrows(
                HlsException.class,
                () -> Source.parse("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXTINF:2,\n#EXT-X-BYTERANGE:7\nf\n"));
    }

    /** What a player was given is never altered, over any course of rungs, moves and times. */
    @Test
    void whatWasGivenIsNeverAltered() throws HlsException {
        Source source = source(40);
        Source storm = source(3);
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SessionPlaylist p = new SessionPlaylist(SHAPE, 0, T0);
            Map<Long, String> given = new HashMap<>();
            Map<Long, Long> discontinuities = new HashMap<>();
            double now = 0;
            String box = "a";
            int rung = 2;
            Set<Integer> stitched = new HashSet<>();
            for (int step = 0; step < 60; step++) {
                int what = random.nextInt(5);
                rung = what == 0 ? random.nextInt(4) : rung;
                if (what == 1) {
                    box = "b" + step;
                    p.resume(source, now, now + 500);
                }
                now += random.nextInt(3000);
                int every = 3 + seed % 5;
                String at = box;
                // each boundary takes a piece once
                p.extend(
                        source,
                        rung,
                        "http://" + box + "/" + rung + "/",
                        now,
                        (n, s, ms) -> n % every == 0 && stitched.add(n)
                                ? new Piece("storm" + n, 0, "http://" + at + "/p/", storm, n, n + n % 2, null)
                                : null);
                Playlist shown = Playlist.parse(p.render());
                assertTrue(p.runs() <= SHAPE.ahead() + 1 + SHAPE.behind(), p.runs() + " runs are kept");
                long sequence = shown.number("EXT-X-MEDIA-SEQUENCE", -1);
                long number = shown.number("EXT-X-DISCONTINUITY-SEQUENCE", 0);
                for (Playlist.Entry entry : shown.entries()) {
                    number += entry.has("EXT-X-DISCONTINUITY") ? 1 : 0;
                    List<String> facts =
                            new ArrayList<>(List.of(entry.uri(), Boolean.toString(entry.has("EXT-X-DISCONTINUITY"))));
                    String before = given.putIfAbsent(sequence, facts.toString());
                    assertTrue(
                            before == null || before.equals(facts.toString()),
                            seed + ": " + before + " became " + facts);
                    Long numbered = discontinuities.putIfAbsent(sequence, number);
                    assertTrue(numbered == null || numbered == number, seed + ": discontinuity number of " + sequence);
                    sequence++;
                }
            }
        }
    }
}
