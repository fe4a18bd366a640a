package calicovale.front.operators;

import calicovale.protocols.json.Documents;
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
 * Scans a folder of JSON documents: each scan returns the files that are new or changed since the scan before, and
 * those that were removed. Files are read whole, up to a size, and up to a number of files. A file that was
 * incomplete when it was read is read again once its size or its time of modification has changed. Not thread-safe.
 */
final class FolderScanner {
    /** Size of the largest document that is read, in bytes. */
    private static final int MAX_DOCUMENT_BYTES = 1 << 20;

    /**
     * A file that is new or changed.
     *
     * @param file name in the folder
     * @param text content, or null if it could not be read
     * @param fault why it could not be read, or null
     */
    record ChangedFile(String file, String text, String fault) {}

    /**
     * The result of a scan.
     *
     * @param changed files that are new or changed, in the order of their names
     * @param removed names of files that were there at the scan before
     * @param overBound number of files left out because of the upper bound of files
     */
    record Scan(List<ChangedFile> changed, List<String> removed, int overBound) {}

    /** Size in bytes and time of last modification in ms, by which a change of a file is detected. */
    private record FileState(long bytes, long modifiedMs) {}

    private final Path folder;
    private final int maxFiles;
    private final Map<String, FileState> lastScan = new HashMap<>();

    FolderScanner(Path folder, int maxFiles) {
        this.folder = folder;
        this.maxFiles = maxFiles;
    }

    /**
     * Adds files as known from an earlier process, so that the first scan reports those that are missing. The others
     * are reported as changed, since their state is not known.
     */
    void addKnownFiles(Set<String> files) {
        files.forEach(file -> lastScan.put(file, new FileState(-1, 0)));
    }

    /** Scans the files whose names end in {@code .json}. */
    Scan scan() throws IOException {
        TreeMap<String, FileState> current = new TreeMap<>();
        int overBound = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*.json")) {
            for (Path file : files) {
                if (current.size() >= maxFiles) {
                    overBound++;
                    continue;
                }
                try {
                    BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
                    if (attributes.isRegularFile()) {
                        current.put(
                                file.getFileName().toString(),
                                new FileState(
                                        attributes.size(),
                                        attributes.lastModifiedTime().toMillis()));
                    }
                } catch (IOException e) {
                    // the file was removed during the scan
                    continue;
                }
            }
        }
        List<ChangedFile> changed = new ArrayList<>();
        for (Map.Entry<String, FileState> e : current.entrySet()) {
            if (!e.getValue().equals(lastScan.get(e.getKey()))) {
                changed.add(read(e.getKey(), e.getValue().bytes()));
            }
        }
        Set<String> removed = new HashSet<>(lastScan.keySet());
        removed.removeAll(current.keySet());
        lastScan.clear();
        lastScan.putAll(current);
        return new Scan(changed, List.copyOf(removed), overBound);
    }

    private ChangedFile read(String file, long bytes) {
        if (bytes > MAX_DOCUMENT_BYTES) {
            return new ChangedFile(
                    file,
                    null,
                    file + ": /: the file has more than " + MAX_DOCUMENT_BYTES
                            + " bytes, the upper bound of a document");
        }
        try {
            return new ChangedFile(file, Files.readString(folder.resolve(file), StandardCharsets.UTF_8), null);
        } catch (IOException e) {
            return new ChangedFile(file, null, file + ": /: " + Documents.unreadableFault(e));
        }
    }
}
