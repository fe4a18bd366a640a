package calicovale.stitch;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns the documents that count on disk, by id: each telling is appended before it counts, and when the log has grown it is
 * replaced by a snapshot of what counts then. To be used by one thread at a time.
 */
public final class ChangeStore implements AutoCloseable {
    private final RecordLog log;
    private final RecordLog.Recovery recovery;
    private final long snapshotBytes;
    private final Map<String, String> documents = new LinkedHashMap<>();
    /** The watched files from which documents came, by id. */
    private final Map<String, String> files = new LinkedHashMap<>();

    /** Opens a folder; the log is replaced by a snapshot once it is longer than {@code snapshotBytes}. */
    public ChangeStore(Path folder, long snapshotBytes) throws IOException {
        RecordLog.Opened opened = RecordLog.open(folder, "changes");
        log = opened.log();
        recovery = opened.recovery();
        this.snapshotBytes = snapshotBytes;
        for (String record : recovery.records()) {
            JsonNode n = Documents.MAPPER.readTree(record);
            if (n.has("withdraw")) {
                documents.remove(n.get("withdraw").asText());
                files.remove(n.get("withdraw").asText());
            } else {
                took(
                        n.path("add").path("id").asText(),
                        ChangeKeys.canonical(n.path("add")),
                        n.path("file").asText(null));
            }
        }
    }

    /** What opening found. */
    public RecordLog.Recovery recovery() {
        return recovery;
    }

    /** The documents that count, in the order in which they were told. */
    public List<String> documents() {
        return List.copyOf(documents.values());
    }

    /** The watched files from which documents that count came, by the documents' ids. */
    public Map<String, String> files() {
        return Map.copyOf(files);
    }

    private void took(String id, String json, String file) {
        documents.put(id, json);
        if (file == null) {
            files.remove(id);
        } else {
            files.put(id, file);
        }
    }

    /** Keeps a document, and the watched file from which it came or null; it is on disk when this returns. */
    public void add(String id, String json, String file) throws IOException {
        log.append(adding(json, file));
        took(id, json, file);
        shrink();
    }

    /** Keeps that a document counts no more; it is on disk when this returns. */
    public void withdraw(String id) throws IOException {
        log.append(Documents.MAPPER.createObjectNode().put("withdraw", id).toString());
        documents.remove(id);
        files.remove(id);
        shrink();
    }

    private static String adding(String json, String file) {
        return "{\"add\":" + json
                + (file == null
                        ? ""
                        : ",\"file\":" + Documents.MAPPER.getNodeFactory().textNode(file)) + "}";
    }

    private void shrink() throws IOException {
        if (log.length() > snapshotBytes) {
            List<String> now = new ArrayList<>();
            documents.forEach((id, json) -> now.add(adding(json, files.get(id))));
            log.snapshot(now);
        }
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
