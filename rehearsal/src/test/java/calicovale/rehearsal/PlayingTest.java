package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.SourcePlaylist;
import calicovale.front.playlist.StitchedPiece;
import calicovale.protocols.hls.HlsException;
import calicovale.rehearsal.judge.PlaylistRules;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** A strict player against session playlists, in virtual time: any course of changes, rungs, moves and restarts. */
class PlayingTest {
    private static final double T0 = 1_700_000_000_000.0;
    private static final SessionPlaylist.WindowShape SHAPE = new SessionPlaylist.WindowShape(3, 3, 3);

    /** Segments of 2 s, the last shorter; with keys and byte ranges where {@code rich}. */
    private static SourcePlaylist source(int segments, boolean rich) throws HlsException {
        StringBuilder text = new StringBuilder(
                "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:7\n" + "#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segments; i++) {
            if (rich && i % 5 == 2) {
                text.append("#EXT-X-KEY:METHOD=AES-128,URI=\"key").append(i).append("\"\n");
            }
            text.append(rich && i % 5 == 4 ? "#EXT-X-KEY:METHOD=NONE\n" : "")
                    .append("#EXTINF:")
                    .append(i == segments - 1 ? "0.7" : "2")
                    .append(",\n");
            text.append(
                    rich && i % 3 > 0
                            ? "#EXT-X-BYTERANGE:100" + (i % 3 == 1 ? "@0" : "") + "\nfile" + i / 3 + ".m4s\n"
                            : i + ".m4s\n");
        }
        return SourcePlaylist.parse(text + "#EXT-X-ENDLIST\n");
    }

    @Property(tries = 300, seed = "7")
    void noCourseBreaksTheStandard(
            @ForAll @Size(max = 60) List<@IntRange(max = 99) Integer> course, @ForAll @IntRange(max = 3) int kind)
            throws HlsException {
        SourcePlaylist lecture = source(60, kind % 2 == 1);
        SourcePlaylist piece = source(2 + kind, kind > 1);
        SessionPlaylist p = new SessionPlaylist(SHAPE, 0, T0);
        PlaylistRules rules = new PlaylistRules();
        Map<Integer, Integer> put = new HashMap<>();
        double now = 0;
        int rung = 2;
        String box = "a";
        for (int what : course) {
            now += 100 * (what % 37);
            if (what % 5 == 0) {
                rung = what / 5 % 4;
            }
            if (what % 11 == 3) {
                box = "b" + what + "x" + Math.round(now);
                p.resume(lecture, now, now + 300);
                now += 300;
            }
            if (what % 29 == 7 && p.runCount() > 0) {
                // killed after what was reserved: the next process knows no more than that
                p = new SessionPlaylist(
                        SHAPE,
                        now,
                        T0 + now,
                        new SessionPlaylist.RestartState(
                                p.nextSequence() + 5,
                                p.discontinuitySequence() + 3,
                                p.lectureSegmentAt(lecture, now),
                                p.targetS(),
                                p.endDateMs() + 500));
                box = "c" + Math.round(now);
            }
            String base = "http://" + box + "/";
            int r = rung;
            int replaces = what % 3;
            String asset = what % 13 == 0 ? "/pieces/x.m3u8" : null;
            p.extend(lecture, rung, base + rung + "/", now, new StitchedPiece.Stitcher() {
                @Override
                public StitchedPiece pieceBefore(int segment, double boundaryS, double boundaryMs) {
                    boolean here = (segment + kind) % 7 == 0 && put.merge(segment, 1, Integer::sum) == 1;
                    return here
                            ? new StitchedPiece(
                                    "c" + segment,
                                    r,
                                    base + "p/" + r + "/",
                                    piece,
                                    segment,
                                    Math.min(segment + replaces, lecture.segmentCount()),
                                    asset)
                            : null;
                }

                @Override
                public StitchedPiece relistPiece(StitchedPiece old) {
                    return what % 2 == 0
                            ? null
                            : new StitchedPiece(
                                    old.changeId(),
                                    r,
                                    base + "p/" + r + "/",
                                    piece,
                                    old.beforeSegment(),
                                    old.resumeSegment(),
                                    old.assetUri());
                }

                @Override
                public StitchedPiece continuePiece(StitchedPiece old) {
                    return new StitchedPiece(
                            old.changeId(),
                            r,
                            base + "p/" + r + "/",
                            piece,
                            old.beforeSegment(),
                            old.resumeSegment(),
                            old.assetUri());
                }
            });
            if (p.runCount() > 0) {
                String text = p.render();
                assertEquals(List.of(), rules.take(text), text);
                assertTrue(rules.segments().size() <= SHAPE.segmentsAhead() + 1 + SHAPE.segmentsBehind());
                if (what % 4 == 0) {
                    p.onSegmentServed(
                            rules.segments().get(what % rules.segments().size()).uri());
                }
            }
        }
    }

    /** Plays a lecture whole with a piece before each of some segments; what was played, in its order. */
    private static List<String> play(int lectureSegments, Set<Integer> before, double fetchPart, int lostAtStep)
            throws HlsException {
        SourcePlaylist lecture = source(lectureSegments, false);
        SourcePlaylist piece = source(3, false);
        SessionPlaylist p = new SessionPlaylist(SHAPE, 0, T0);
        PlaylistRules rules = new PlaylistRules();
        Set<Integer> left = new HashSet<>(before);
        List<String> played = new ArrayList<>();
        long next = 0;
        double now = 0;
        double buffered = 0;
        double fetchedAt = 0;
        String box = "a";
        for (int step = 0;
                step < 10_000
                        && !(rules.ended()
                                && next
                                        > rules.segments()
                                                .get(rules.segments().size() - 1)
                                                .sequence());
                step++) {
            now = 500.0 * step;
            if (step == lostAtStep) {
                box = "b";
                p.resume(lecture, now, now);
            }
            String base = "http://" + box + "/";
            p.extend(lecture, 1, base + "1/", now, new StitchedPiece.Stitcher() {
                @Override
                public StitchedPiece pieceBefore(int segment, double boundaryS, double boundaryMs) {
                    return left.remove(segment)
                            ? new StitchedPiece("c" + segment, 1, base + "p/", piece, segment, segment, null)
                            : null;
                }

                @Override
                public StitchedPiece relistPiece(StitchedPiece old) {
                    return new StitchedPiece(
                            old.changeId(), 1, base + "p/", piece, old.beforeSegment(), old.resumeSegment(), null);
                }
            });
            String text = p.render();
            assertEquals(List.of(), rules.take(text), text);
            for (PlaylistRules.Segment s : rules.segments()) {
                if (!s.uri().startsWith(base)) {
                    // a box that is gone gives nothing
                    next = Math.max(next, s.sequence() + 1);
                    continue;
                }
                double takes = fetchPart * 1000 * s.seconds();
                if (s.sequence() >= next && Math.max(fetchedAt, now) + takes <= now + 500) {
                    fetchedAt = Math.max(fetchedAt, now) + takes;
                    assertTrue(
                            played.isEmpty() || fetchedAt <= buffered,
                            "stalled at " + s + " for " + (fetchedAt - buffered));
                    buffered = Math.max(buffered, fetchedAt) + 1000 * s.seconds();
                    next = s.sequence() + 1;
                    played.add(s.uri().substring(8 + box.length()));
                    p.onSegmentServed(s.uri());
                }
            }
        }
        return played;
    }

    private static List<String> expected(int lectureSegments, Set<Integer> before) {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < lectureSegments; i++) {
            for (int k = 0; k < 3 && before.contains(i); k++) {
                result.add("p/" + k + ".m4s");
            }
            result.add("1/" + i + ".m4s");
        }
        return result;
    }

    @Example
    void everyPieceIsPlayedAtItsPlaceAndNothingStalls() throws HlsException {
        for (Set<Integer> before :
                List.of(Set.<Integer>of(), Set.of(0), Set.of(3, 4), Set.of(19), Set.of(0, 7, 19), Set.of(25))) {
            assertEquals(expected(20, before), play(20, before, 0.2, -1));
        }
    }

    @Example
    void aLossAnywhereRepeatsNothingAndLeavesNothingOut() throws HlsException {
        for (int lostAt = 1; lostAt < 60; lostAt++) {
            assertEquals(expected(12, Set.of(0, 5)), play(12, Set.of(0, 5), 0.2, lostAt), "lost at step " + lostAt);
        }
    }
}
