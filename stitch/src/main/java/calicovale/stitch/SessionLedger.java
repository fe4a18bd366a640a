package calicovale.stitch;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stores on disk the session state that must survive a restart of the manager: how far each session's playlist may
 * have been delivered, and which changes were shown to whom. An update is on disk before the playlist that it
 * permits is delivered to a player, so that after a kill no media sequence number goes back and no change is shown
 * twice. Not thread-safe.
 */
public final class SessionLedger implements AutoCloseable {

    /**
     * Recorded state of one session, which bounds how far its playlist may have been delivered.
     *
     * @param token secret part of the session's URL
     * @param sessionClass name of the session's class
     * @param tenant name of the session's tenant; empty if there are no tenants
     * @param viewer name that the viewer gave; may be empty
     * @param title title of the lecture
     * @param topRung highest rung that the player can play
     * @param waitMs time within which a placement of the session must be answered, in ms
     * @param mediaSequence upper bound, exclusive, of the media sequence numbers that may have been delivered
     * @param discontinuitySequence upper bound, inclusive, of the discontinuity sequence numbers that may have been
     *     delivered
     * @param segment index of the lecture's segment that played at {@code atMs}
     * @param targetS EXT-X-TARGETDURATION as delivered, in seconds
     * @param dateMs program date-time that the playlist had reached at {@code atMs}, in ms
     * @param atMs time on the managers' common clock, in ms
     */
    public record Entry(
            String token,
            String sessionClass,
            String tenant,
            String viewer,
            String title,
            int topRung,
            double waitMs,
            long mediaSequence,
            int discontinuitySequence,
            int segment,
            long targetS,
            double dateMs,
            double atMs) {}

    /**
     * A record that a change was shown.
     *
     * @param changeId id of the change
     * @param key key that {@link ActiveChanges#recordShowing} returned
     */
    public record Showing(String changeId, String key) {}

    /**
     * Updates that are written together.
     *
     * @param entries entries, which replace those with the same token
     * @param endedTokens tokens of sessions that ended
     * @param showings new showings
     * @param aliveMs time on the common clock at which the process was running, in ms
     */
    public record Update(
            Collection<Entry> entries, Collection<String> endedTokens, Collection<Showing> showings, double aliveMs) {}

    /** Minimum length of the log to replace it, in bytes per session; about twice a session's size in a snapshot. */
    private static final long SNAPSHOT_BYTES_PER_SESSION = 400L;

    private final RecordLog log;
    private final RecordLog.Recovery recovery;
    private final long snapshotMinLogBytes;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Set<String>> showings = new LinkedHashMap<>();
    private double aliveMs;

    /**
     * Opens or creates the ledger in a folder.
     *
     * @param snapshotMinLogBytes minimum length of the log, in bytes, to replace it by a snapshot. It must also be
     *     longer than twice the estimated size of a snapshot.
     * @throws IOException if the files cannot be read or are damaged
     */
    public SessionLedger(Path folder, long snapshotMinLogBytes) throws IOException {
        RecordLog.Opened opened = RecordLog.open(folder, "sessions");
        log = opened.log();
        recovery = opened.recovery();
        this.snapshotMinLogBytes = snapshotMinLogBytes;
        for (String record : recovery.records()) {
            applyRecord(Documents.MAPPER.readTree(record));
        }
    }

    private void applyRecord(JsonNode node) {
        aliveMs = Math.max(aliveMs, node.path("alive").asDouble());
        node.path("s")
                .forEach(e -> entries.put(
                        e.get(0).asText(),
                        new Entry(
                                e.get(0).asText(),
                                e.get(1).asText(),
                                e.get(2).asText(),
                                e.get(3).asText(),
                                e.get(4).asText(),
                                e.get(5).asInt(),
                                e.get(6).asDouble(),
                                e.get(7).asLong(),
                                e.get(8).asInt(),
                                e.get(9).asInt(),
                                e.get(10).asLong(),
                                e.get(11).asDouble(),
                                e.get(12).asDouble())));
        node.path("over").forEach(token -> entries.remove(token.asText()));
        node.path("shown")
                .forEach(x -> addShowing(new Showing(x.get(0).asText(), x.get(1).asText())));
    }

    private void addShowing(Showing showing) {
        showings.computeIfAbsent(showing.changeId(), id -> new LinkedHashSet<>())
                .add(showing.key());
    }

    /** Returns what was read when the ledger was opened. */
    public RecordLog.Recovery recovery() {
        return recovery;
    }

    /** Returns the entries of sessions that have not ended. */
    public Collection<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns all showings. */
    public List<Showing> showings() {
        List<Showing> result = new ArrayList<>();
        showings.forEach((change, keys) -> keys.forEach(key -> result.add(new Showing(change, key))));
        return result;
    }

    /**
     * Returns the last time on the common clock, in ms, at which the process that wrote the ledger is known to have
     * run; 0 if none is recorded.
     */
    public double aliveMs() {
        return aliveMs;
    }

    /**
     * Writes updates and forces them to disk together. They are on disk when this method returns.
     *
     * @param activeChanges ids of the active changes; a snapshot drops the showings of all others
     */
    public void write(Update update, Set<String> activeChanges) throws IOException {
        log.append(records(update));
        aliveMs = Math.max(aliveMs, update.aliveMs());
        update.entries().forEach(e -> entries.put(e.token(), e));
        entries.keySet().removeAll(update.endedTokens());
        update.showings().forEach(this::addShowing);
        if (log.length() > Math.max(snapshotMinLogBytes, SNAPSHOT_BYTES_PER_SESSION * entries.size())) {
            showings.keySet().retainAll(activeChanges);
            log.snapshot(records(new Update(entries.values(), List.of(), showings(), aliveMs)));
        }
    }

    /** Maximum number of items in a record, because the log limits the bytes of a record. */
    private static final int MAX_ITEMS_PER_RECORD = 1000;

    private static List<String> records(Update update) {
        List<String> result = new ArrayList<>();
        ObjectNode node = Documents.MAPPER.createObjectNode().put("alive", update.aliveMs());
        int count = 0;
        for (Entry entry : update.entries()) {
            node.withArray("/s")
                    .addArray()
                    .add(entry.token())
                    .add(entry.sessionClass())
                    .add(entry.tenant())
                    .add(entry.viewer())
                    .add(entry.title())
                    .add(entry.topRung())
                    .add(entry.waitMs())
                    .add(entry.mediaSequence())
                    .add(entry.discontinuitySequence())
                    .add(entry.segment())
                    .add(entry.targetS())
                    .add(entry.dateMs())
                    .add(entry.atMs());
            node = ++count % MAX_ITEMS_PER_RECORD == 0 ? startNextRecord(result, node) : node;
        }
        for (String token : update.endedTokens()) {
            node.withArray("/over").add(token);
            node = ++count % MAX_ITEMS_PER_RECORD == 0 ? startNextRecord(result, node) : node;
        }
        for (Showing showing : update.showings()) {
            ArrayNode pair = node.withArray("/shown").addArray();
            pair.add(showing.changeId()).add(showing.key());
            node = ++count % MAX_ITEMS_PER_RECORD == 0 ? startNextRecord(result, node) : node;
        }
        result.add(node.toString());
        return result;
    }

    /** Adds a full record to the list and returns an empty one. */
    private static ObjectNode startNextRecord(List<String> records, ObjectNode node) {
        records.add(node.toString());
        return Documents.MAPPER.createObjectNode();
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
