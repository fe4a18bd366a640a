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
 * Owns on disk what must outlive a manager's process: of each session how far its playlist may have been given, and which
 * changes were shown to whom. A step is on disk before what it allows is given to a player, so that after a kill no media
 * sequence goes back and nothing is shown twice. To be used by one thread at a time.
 */
public final class SessionLedger implements AutoCloseable {

    /**
     * One session as it may have been given.
     *
     * @param token the secret of its URL
     * @param sequence media sequence numbers below it may have been given
     * @param number discontinuity sequence numbers up to it may have been given
     * @param segment the lecture's segment that played at {@code atMs}
     * @param targetS EXT-X-TARGETDURATION as given
     * @param dateMs the programme's date that the playlist had reached at {@code atMs}
     * @param atMs common time
     */
    public record Entry(
            String token,
            String sessionClass,
            String tenant,
            String viewer,
            String title,
            int top,
            double waitMs,
            long sequence,
            int number,
            int segment,
            long targetS,
            double dateMs,
            double atMs) {}

    /** That a change was shown, under a name that {@link ChangeBook#shown} gave. */
    public record Showing(String change, String name) {}

    /** Steps that are written together: entries that replace those of the same token, tokens that are over, showings. */
    public record Steps(
            Collection<Entry> entries, Collection<String> over, Collection<Showing> showings, double aliveMs) {}

    private final RecordLog log;
    private final RecordLog.Recovery recovery;
    private final long snapshotBytes;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Set<String>> showings = new LinkedHashMap<>();
    private double aliveMs;

    /** Opens a folder; the log is replaced by a snapshot once it is longer than this and than twice the last snapshot. */
    public SessionLedger(Path folder, long snapshotBytes) throws IOException {
        RecordLog.Opened opened = RecordLog.open(folder, "sessions");
        log = opened.log();
        recovery = opened.recovery();
        this.snapshotBytes = snapshotBytes;
        for (String record : recovery.records()) {
            read(Documents.MAPPER.readTree(record));
        }
    }

    private void read(JsonNode n) {
        aliveMs = Math.max(aliveMs, n.path("alive").asDouble());
        n.path("s")
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
        n.path("over").forEach(token -> entries.remove(token.asText()));
        n.path("shown")
                .forEach(x -> show(new Showing(x.get(0).asText(), x.get(1).asText())));
    }

    private void show(Showing s) {
        showings.computeIfAbsent(s.change(), id -> new LinkedHashSet<>()).add(s.name());
    }

    /** What opening found. */
    public RecordLog.Recovery recovery() {
        return recovery;
    }

    /** Sessions that were not over. */
    public Collection<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** All showings. */
    public List<Showing> showings() {
        List<Showing> result = new ArrayList<>();
        showings.forEach((change, names) -> names.forEach(name -> result.add(new Showing(change, name))));
        return result;
    }

    /** The last common time at which the process that wrote it is known to have run. */
    public double aliveMs() {
        return aliveMs;
    }

    /** Writes steps with one force; they are on disk when this returns. {@code changes}: showings of others are forgotten. */
    public void write(Steps steps, Set<String> changes) throws IOException {
        log.append(records(steps));
        aliveMs = Math.max(aliveMs, steps.aliveMs());
        steps.entries().forEach(e -> entries.put(e.token(), e));
        entries.keySet().removeAll(steps.over());
        steps.showings().forEach(this::show);
        if (log.length() > Math.max(snapshotBytes, 400L * entries.size())) {
            showings.keySet().retainAll(changes);
            log.snapshot(records(new Steps(entries.values(), List.of(), showings(), aliveMs)));
        }
    }

    /** Most steps of one record: the log bounds a record's bytes. */
    private static final int MOST_IN_RECORD = 1000;

    private static List<String> records(Steps steps) {
        List<String> result = new ArrayList<>();
        ObjectNode n = Documents.MAPPER.createObjectNode().put("alive", steps.aliveMs());
        int count = 0;
        for (Entry e : steps.entries()) {
            n.withArray("/s")
                    .addArray()
                    .add(e.token())
                    .add(e.sessionClass())
                    .add(e.tenant())
                    .add(e.viewer())
                    .add(e.title())
                    .add(e.top())
                    .add(e.waitMs())
                    .add(e.sequence())
                    .add(e.number())
                    .add(e.segment())
                    .add(e.targetS())
                    .add(e.dateMs())
                    .add(e.atMs());
            n = ++count % MOST_IN_RECORD == 0 ? next(result, n) : n;
        }
        for (String token : steps.over()) {
            n.withArray("/over").add(token);
            n = ++count % MOST_IN_RECORD == 0 ? next(result, n) : n;
        }
        for (Showing x : steps.showings()) {
            ArrayNode pair = n.withArray("/shown").addArray();
            pair.add(x.change()).add(x.name());
            n = ++count % MOST_IN_RECORD == 0 ? next(result, n) : n;
        }
        result.add(n.toString());
        return result;
    }

    private static ObjectNode next(List<String> result, ObjectNode n) {
        result.add(n.toString());
        return Documents.MAPPER.createObjectNode();
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
