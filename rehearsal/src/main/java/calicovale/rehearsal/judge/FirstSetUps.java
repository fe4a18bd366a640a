package calicovale.rehearsal.judge;

import calicovale.protocols.json.Documents;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Numbers of the first set-ups of requests, and of those that failed, counted at the managers' sockets. A set-up failed
 * when it was answered by neither 201 nor 429.
 *
 * @param sent number of first set-ups that were sent
 * @param failedByBox number of failed first set-ups by box; the key is the name of the box's end, such as {@code box:2}
 */
public record FirstSetUps(long sent, Map<String, Long> failedByBox) {

    /** Returns the number of first set-ups that failed at all boxes together. */
    public long failedCount() {
        return failedByBox.values().stream().mapToLong(n -> n).sum();
    }

    /** Counts the first set-ups in a recording. */
    public static FirstSetUps countIn(List<Entry> entries) {
        Set<String> exchangesNotFailed = new HashSet<>();
        for (Entry entry : entries) {
            if (entry.end().startsWith("manager:")
                    && entry.kind() == Kind.RESPONSE
                    && (entry.status() == 201 || entry.status() == 429)) {
                exchangesNotFailed.add(entry.conn() + " " + entry.exchange());
            }
        }
        long sent = 0;
        Map<String, Long> failedByBox = new LinkedHashMap<>();
        for (Entry entry : entries) {
            if (entry.end().startsWith("manager:")
                    && entry.kind() == Kind.REQUEST
                    && "/v1/sessions".equals(entry.target())
                    && isFirstAttempt(entry.body())) {
                sent++;
                if (!exchangesNotFailed.contains(entry.conn() + " " + entry.exchange())) {
                    failedByBox.merge(entry.peer(), 1L, Long::sum);
                }
            }
        }
        return new FirstSetUps(sent, failedByBox);
    }

    private static boolean isFirstAttempt(String body) {
        try {
            return body != null
                    && Documents.MAPPER.readTree(body).path("attempt").asInt(-1) == 0;
        } catch (JsonProcessingException e) {
            return false;
        }
    }
}
