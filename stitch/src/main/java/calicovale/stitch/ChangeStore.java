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
 * Stores the documents of active changes on disk, by id. Each addition and withdrawal is appended to a log before it
 * takes effect. A log that has grown too long is replaced by a snapshot of the active documents. Not thread-safe.
 */
public final class ChangeStore implements AutoCloseable {
    private final RecordLog log;
    private final RecordLog.Recovery recovery;
    private final long snapshotMinLogBytes;
    private final Map<String, String> documents = new LinkedHashMap<>();
    /** Names of the watched files from which documents were read, by document id. */
    private final Map<String, String> sourceFiles = new LinkedHashMap<>();

    /**
     * Opens or creates the store in a folder.
     *
     * @param snapshotMinLogBytes length of the log, in bytes, above which it is replaced by a snapshot
     * @throws IOException if the files cannot be read or are damaged
     */
    public ChangeStore(Path folder, long snapshotMinLogBytes) throws IOException {
        RecordLog.Opened opened = RecordLog.open(folder, "changes");
        log = opened.log();
        recovery = opened.recovery();
        this.snapshotMinLogBytes = snapshotMinLogBytes;
        for (String record : recovery.records()) {
            JsonNode node = Documents.MAPPER.readTree(record);
            if (node.has("withdraw")) {
                documents.remove(node.get("withdraw").asText());
                sourceFiles.remove(node.get("withdraw").asText());
            } else {
                put(
                        node.path("add").path("id").asText(),
                        ChangeKeys.canonical(node.path("add")),
                        node.path("file").asText(null));
            }
        }
    }

    /** Returns what was read when the store was opened. */
    public RecordLog.Recovery recovery() {
        return recovery;
    }

    /** Returns the active documents, in the order in which they were first added. */
    public List<String> documents() {
        return List.copyOf(documents.values());
    }

    /** Returns the names of the watched files from which active documents were read, by document id. */
    public Map<String, String> sourceFiles() {
        return Map.copyOf(sourceFiles);
    }

    private void put(String id, String json, String file) {
        documents.put(id, json);
        if (file == null) {
            sourceFiles.remove(id);
        } else {
            sourceFiles.put(id, file);
        }
    }

    /**
     * Adds or replaces a document. It is on disk when this method returns.
     *
     * @param file name of the watched file from which the document was read, or null
     */
    public void add(String id, String json, String file) throws IOException {
        log.append(addRecord(json, file));
        put(id, json, file);
        replaceLongLog();
    }

    /** Removes a document. The removal is on disk when this method returns. */
    public void withdraw(String id) throws IOException {
        log.append(Documents.MAPPER.createObjectNode().put("withdraw", id).toString());
        documents.remove(id);
        sourceFiles.remove(id);
        replaceLongLog();
    }

    private static String addRecord(String json, String file) {
        return "{\"add\":" + json
                + (file == null
                        ? ""
                        : ",\"file\":" + Documents.MAPPER.getNodeFactory().textNode(file)) + "}";
    }

    private void replaceLongLog() throws IOException {
        if (log.length() > snapshotMinLogBytes) {
            List<String> records = new ArrayList<>();
            documents.forEach((id, json) -> records.add(addRecord(json, sourceFiles.get(id))));
            log.snapshot(records);
        }
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
