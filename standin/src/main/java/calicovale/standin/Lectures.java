package calicovale.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Owns the content of a stand-in box: made up from its settings, or files of a folder, read for each answer. */
final class Lectures {
    private final BoxSettings settings;

    Lectures(BoxSettings settings) {
        this.settings = settings;
    }

    /** Whether the box holds a title: what exists decides, or for made-up content what it was told that it lacks. */
    boolean holds(String title) {
        return settings.content() != null
                ? Files.isDirectory(settings.content().resolve(title))
                : !settings.absent().contains(title);
    }

    /** A lecture's media playlist at a rung, or null. */
    String playlist(String title, int rung) throws IOException {
        if (!holds(title)) {
            return null;
        }
        if (settings.content() != null) {
            Path file =
                    settings.content().resolve(title).resolve(rung + ".m3u8").normalize();
            return file.startsWith(settings.content()) && Files.isRegularFile(file) ? Files.readString(file) : null;
        }
        StringBuilder out = new StringBuilder("#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-TARGETDURATION:")
                .append((long) Math.ceil(settings.segmentS()))
                .append("\n#EXT-X-PLAYLIST-TYPE:VOD\n#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segments(title); i++) {
            out.append("#EXTINF:")
                    .append(settings.segmentS())
                    .append(",\n")
                    .append(i)
                    .append(".m4s\n");
        }
        return out.append("#EXT-X-ENDLIST\n").toString();
    }

    private int segments(String title) {
        return settings.pieces().getOrDefault(title, settings.segments());
    }

    /** Number of a made-up segment's file; -1: the initialization section; -2: no such file. */
    private int segment(String title, String file) {
        if (file.equals("init.mp4")) {
            return -1;
        }
        if (!file.matches("\\d{1,6}\\.m4s")) {
            return -2;
        }
        int n = Integer.parseInt(file.substring(0, file.length() - 4));
        return n < segments(title) ? n : -2;
    }

    /** Bytes of a file at a rate, or null if there is none. */
    byte[] bytes(String title, int rung, String file, double rateKb) throws IOException {
        if (!holds(title)) {
            return null;
        }
        if (settings.content() != null) {
            Path path = settings.content()
                    .resolve(title)
                    .resolve(Integer.toString(rung))
                    .resolve(file)
                    .normalize();
            return path.startsWith(settings.content()) && Files.isRegularFile(path) ? Files.readAllBytes(path) : null;
        }
        int n = segment(title, file);
        if (n == -2) {
            return null;
        }
        byte[] result = new byte[n == -1 ? 64 : (int) Math.max(1, rateKb * 1000 * settings.segmentS())];
        result[0] = (byte) rung;
        return result;
    }

    /** Whether a file is the lecture's last segment. */
    boolean last(String title, String file) {
        return settings.content() == null && segment(title, file) == segments(title) - 1;
    }
}
