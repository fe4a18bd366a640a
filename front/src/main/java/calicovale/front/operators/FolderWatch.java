package calicovale.front.operators;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Owns what was seen of a folder of documents: each look tells which files are new or altered, and which are gone. It reads
 * whole files up to a size, and no more files than a bound; a file that is still being written is read again when it has
 * grown. To be used by one thread at a time.
 */
final class FolderWatch {
    /** Bytes of the largest document read. */
    private static final int MOST_BYTES = 1 << 20;

    /** A file that is new or altered: its text, or why there is none. */
    record Came(String file, String text, String fault) {}

    /** What one look found. */
    record Look(List<Came> came, List<String> gone, int overBound) {}

    private record Seen(long bytes, long modified) {}

    private final Path folder;
    private final int most;
    private final Map<String, Seen> seen = new HashMap<>();

    FolderWatch(Path folder, int most) {
        this.folder = folder;
        this.most = most;
    }

    /** Counts files as seen before, so that their going is told: they are read all the same. */
    void knew(Set<String> files) {
        files.forEach(file -> seen.put(file, new Seen(-1, 0)));
    }

    /** Looks; files whose names end in {@code .json} count, in the order of their names. */
    Look look() throws IOException {
        TreeMap<String, Seen> now = new TreeMap<>();
        int over = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*.json")) {
            for (Path file : files) {
                if (now.size() >= most) {
                    over++;
                    continue;
                }
                try {
                    BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
                    if (a.isRegularFile()) {
                        now.put(
                                file.getFileName().toString(),
                                new Seen(a.size(), a.lastModifiedTime().toMillis()));
                    }
                } catch (IOException e) {
                    // it went while we looked
                    continue;
                }
            }
        }
        List<Came> came = new ArrayList<>();
        for (Map.Entry<String, Seen> e : now.entrySet()) {
            if (!e.getValue().equals(seen.get(e.getKey()))) {
                came.add(read(e.getKey(), e.getValue().bytes()));
            }
        }
        Set<String> gone = new HashSet<>(seen.keySet());
        gone.removeAll(now.keySet());
        seen.clear();
        seen.putAll(now);
        return new Look(came, List.copyOf(gone), over);
    }

    private Came read(String file, long bytes) {
        if (bytes > MOST_BYTES) {
            return new Came(file, null, file + ": /: at most " + MOST_BYTES + " bytes are expected");
        }
        try {
            return new Came(file, Files.readString(folder.resolve(file), StandardCharsets.UTF_8), null);
        } catch (IOException e) {
            return new Came(file, null, file + ": /: a readable file of UTF-8 is expected");
        }
    }
}
