package calicovale.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Content of a stand-in box, either generated from its settings or read from the files of a folder at each request.
 */
final class BoxContent {
    private final BoxSettings settings;

    BoxContent(BoxSettings settings) {
        this.settings = settings;
    }

    /** Returns whether the box holds a title: its folder exists, or generated content does not list it as absent. */
    boolean holds(String title) {
        return settings.content() != null
                ? Files.isDirectory(settings.content().resolve(title))
                : !settings.absent().contains(title);
    }

    /** Returns a title's media playlist at a rung, or null if there is none. */
    String playlist(String title, int rung) throws IOException {
        if (!holds(title)) {
            return null;
        }
        if (settings.content() != null) {
            Path file =
                    settings.content().resolve(title).resolve(rung + ".m3u8").normalize();
            return file.startsWith(settings.content()) && Files.isRegularFile(file) ? Files.readString(file) : null;
        }
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-TARGETDURATION:")
                .append((long) Math.ceil(settings.segmentS()))
                .append("\n#EXT-X-PLAYLIST-TYPE:VOD\n#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segmentCount(title); i++) {
            text.append("#EXTINF:")
                    .append(settings.segmentS())
                    .append(",\n")
                    .append(i)
                    .append(".m4s\n");
        }
        return text.append("#EXT-X-ENDLIST\n").toString();
    }

    private int segmentCount(String title) {
        return settings.pieces().getOrDefault(title, settings.segments());
    }

    /**
     * Returns the number of a generated segment from its file name; -1 for the initialization section, -2 for no such
     * file.
     */
    private int segmentNumber(String title, String file) {
        if (file.equals("init.mp4")) {
            return -1;
        }
        if (!file.matches("\\d{1,6}\\.m4s")) {
            return -2;
        }
        int number = Integer.parseInt(file.substring(0, file.length() - 4));
        return number < segmentCount(title) ? number : -2;
    }

    /**
     * Returns the bytes of a file, or null if there is none. A generated segment has the size that {@code rateKb}, in
     * kB/s, gives for its duration.
     */
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
        int number = segmentNumber(title, file);
        if (number == -2) {
            return null;
        }
        byte[] result = new byte[number == -1 ? 64 : (int) Math.max(1, rateKb * 1000 * settings.segmentS())];
        result[0] = (byte) rung;
        return result;
    }

    /** Returns whether a file is the last segment of generated content. */
    boolean isLastSegment(String title, String file) {
        return settings.content() == null && segmentNumber(title, file) == segmentCount(title) - 1;
    }
}
