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

/**
 * Tests session playlists with a strict player in virtual time, in any course of changes, rungs, moves and restarts.
 */
class PlayingTest {
    private static final double START_DATE_MS = 1_700_000_000_000.0;
    private static final SessionPlaylist.WindowShape WINDOW_SHAPE = new SessionPlaylist.WindowShape(3, 3, 3);

    /** Returns a playlist with segments of 2 s and a last one of 0.7 s, with keys and byte ranges if asked for. */
    private static SourcePlaylist source(int segments, boolean keysAndByteRanges) throws HlsException {
        StringBuilder text = new StringBuilder(
                "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:7\n" + "#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segments; i++) {
            if (keysAndByteRanges && i % 5 == 2) {
                text.append("#EXT-X-KEY:METHOD=AES-128,URI=\"key").append(i).append("\"\n");
            }
            text.append(keysAndByteRanges && i % 5 == 4 ? "#EXT-X-KEY:METHOD=NONE\n" : "")
                    .append("#EXTINF:")
                    .append(i == segments - 1 ? "0.7" : "2")
                    .append(",\n");
            text.append(
                    keysAndByteRanges && i % 3 > 0
                            ? "#EXT-X-BYTERANGE:100" + (i % 3 == 1 ? "@0" : "") + "\nfile" + i / 3 + ".m4s\n"
                            : i + ".m4s\n");
        }
        return SourcePlaylist.parse(text + "#EXT-X-ENDLIST\n");
    }

    @Property(tries = 300, seed = "7")
    void sessionPlaylistKeepsRfc8216InAnyCourse(
            @ForAll @Size(max = 60) List<@IntRange(max = 99) Integer> course, @ForAll @IntRange(max = 3) int kind)
            throws HlsException {
        SourcePlaylist lecture = source(60, kind % 2 == 1);
        SourcePlaylist piece = source(2 + kind, kind > 1);
        SessionPlaylist playlist = new SessionPlaylist(WINDOW_SHAPE, 0, START_DATE_MS);
        PlaylistRules rules = new PlaylistRules();
        Map<Integer, Integer> timesOfferedBySegment = new HashMap<>();
        double nowMs = 0;
        int rung = 2;
        String box = "a";
        for (int step : course) {
            nowMs += 100 * (step % 37);
            if (step % 5 == 0) {
                rung = step / 5 % 4;
            }
            if (step % 11 == 3) {
                box = "b" + step + "x" + Math.round(nowMs);
                playlist.resume(lecture, nowMs, nowMs + 300);
                nowMs += 300;
            }
            if (step % 29 == 7 && playlist.runCount() > 0) {
                // The manager is killed. Its next process only knows the sequence numbers that were reserved before.
                playlist = new SessionPlaylist(
                        WINDOW_SHAPE,
                        nowMs,
                        START_DATE_MS + nowMs,
                        new SessionPlaylist.RestartState(
                                playlist.nextSequence() + 5,
                                playlist.discontinuitySequence() + 3,
                                playlist.lectureSegmentAt(lecture, nowMs),
                                playlist.targetS(),
                                playlist.endDateMs() + 500));
                box = "c" + Math.round(nowMs);
            }
            String base = "http://" + box + "/";
            int currentRung = rung;
            int replacedSegments = step % 3;
            String assetUri = step % 13 == 0 ? "/pieces/x.m3u8" : null;
            playlist.extend(lecture, rung, base + rung + "/", nowMs, new StitchedPiece.Stitcher() {
                @Override
                public StitchedPiece pieceBefore(int segment, double boundaryS, double boundaryMs) {
                    boolean offered =
                            (segment + kind) % 7 == 0 && timesOfferedBySegment.merge(segment, 1, Integer::sum) == 1;
                    return offered
                            ? new StitchedPiece(
                                    "c" + segment,
                                    currentRung,
                                    base + "p/" + currentRung + "/",
                                    piece,
                                    segment,
                                    Math.min(segment + replacedSegments, lecture.segmentCount()),
                                    assetUri)
                            : null;
                }

                @Override
                public StitchedPiece relistPiece(StitchedPiece old) {
                    return step % 2 == 0
                            ? null
                            : new StitchedPiece(
                                    old.changeId(),
                                    currentRung,
                                    base + "p/" + currentRung + "/",
                                    piece,
                                    old.beforeSegment(),
                                    old.resumeSegment(),
                                    old.assetUri());
                }

                @Override
                public StitchedPiece continuePiece(StitchedPiece old) {
                    return new StitchedPiece(
                            old.changeId(),
                            currentRung,
                            base + "p/" + currentRung + "/",
                            piece,
                            old.beforeSegment(),
                            old.resumeSegment(),
                            old.assetUri());
                }
            });
            if (playlist.runCount() > 0) {
                String text = playlist.render();
                assertEquals(List.of(), rules.checkNext(text), text);
                assertTrue(rules.segments().size() <= WINDOW_SHAPE.segmentsAhead() + 1 + WINDOW_SHAPE.segmentsBehind());
                if (step % 4 == 0) {
                    playlist.onSegmentServed(
                            rules.segments().get(step % rules.segments().size()).uri());
                }
            }
        }
    }

    /**
     * Plays a whole lecture with a piece before each of some segments; returns the paths of what was played, in order.
     */
    private static List<String> playWholeLecture(
            int lectureSegments, Set<Integer> piecesBefore, double fetchPart, int lostAtStep) throws HlsException {
        SourcePlaylist lecture = source(lectureSegments, false);
        SourcePlaylist piece = source(3, false);
        SessionPlaylist playlist = new SessionPlaylist(WINDOW_SHAPE, 0, START_DATE_MS);
        PlaylistRules rules = new PlaylistRules();
        Set<Integer> piecesLeft = new HashSet<>(piecesBefore);
        List<String> played = new ArrayList<>();
        long nextSequence = 0;
        double nowMs = 0;
        double bufferedUntilMs = 0;
        double fetchedAtMs = 0;
        String box = "a";
        for (int step = 0;
                step < 10_000
                        && !(rules.isEnded()
                                && nextSequence
                                        > rules.segments()
                                                .get(rules.segments().size() - 1)
                                                .sequence());
                step++) {
            nowMs = 500.0 * step;
            if (step == lostAtStep) {
                box = "b";
                playlist.resume(lecture, nowMs, nowMs);
            }
            String base = "http://" + box + "/";
            playlist.extend(lecture, 1, base + "1/", nowMs, new StitchedPiece.Stitcher() {
                @Override
                public StitchedPiece pieceBefore(int segment, double boundaryS, double boundaryMs) {
                    return piecesLeft.remove(segment)
                            ? new StitchedPiece("c" + segment, 1, base + "p/", piece, segment, segment, null)
                            : null;
                }

                @Override
                public StitchedPiece relistPiece(StitchedPiece old) {
                    return new StitchedPiece(
                            old.changeId(), 1, base + "p/", piece, old.beforeSegment(), old.resumeSegment(), null);
                }
            });
            String text = playlist.render();
            assertEquals(List.of(), rules.checkNext(text), text);
            for (PlaylistRules.Segment segment : rules.segments()) {
                if (!segment.uri().startsWith(base)) {
                    // A lost box delivers nothing.
                    nextSequence = Math.max(nextSequence, segment.sequence() + 1);
                    continue;
                }
                double fetchMs = fetchPart * 1000 * segment.durationS();
                if (segment.sequence() >= nextSequence && Math.max(fetchedAtMs, nowMs) + fetchMs <= nowMs + 500) {
                    fetchedAtMs = Math.max(fetchedAtMs, nowMs) + fetchMs;
                    assertTrue(
                            played.isEmpty() || fetchedAtMs <= bufferedUntilMs,
                            "stalled at segment " + segment + " for ms " + (fetchedAtMs - bufferedUntilMs));
                    bufferedUntilMs = Math.max(bufferedUntilMs, fetchedAtMs) + 1000 * segment.durationS();
                    nextSequence = segment.sequence() + 1;
                    played.add(segment.uri().substring(8 + box.length()));
                    playlist.onSegmentServed(segment.uri());
                }
            }
        }
        return played;
    }

    private static List<String> expected(int lectureSegments, Set<Integer> piecesBefore) {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < lectureSegments; i++) {
            for (int pieceSegment = 0; pieceSegment < 3 && piecesBefore.contains(i); pieceSegment++) {
                result.add("p/" + pieceSegment + ".m4s");
            }
            result.add("1/" + i + ".m4s");
        }
        return result;
    }

    @Example
    void everyPieceIsPlayedAtItsPlaceWithoutStall() throws HlsException {
        for (Set<Integer> piecesBefore :
                List.of(Set.<Integer>of(), Set.of(0), Set.of(3, 4), Set.of(19), Set.of(0, 7, 19), Set.of(25))) {
            assertEquals(expected(20, piecesBefore), playWholeLecture(20, piecesBefore, 0.2, -1));
        }
    }

    @Example
    void lossOfBoxAtAnyStepNeitherRepeatsNorSkipsSegments() throws HlsException {
        for (int lostAtStep = 1; lostAtStep < 60; lostAtStep++) {
            assertEquals(
                    expected(12, Set.of(0, 5)),
                    playWholeLecture(12, Set.of(0, 5), 0.2, lostAtStep),
                    "lost at step " + lostAtStep);
        }
    }
}
