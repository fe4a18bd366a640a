package calicovale.rehearsal.judge;

import calicovale.protocols.json.Documents;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import java.util.ArrayList;
import java.util.List;

/**
 * Searches the recording for the trace of each fault of the script. A fault without a trace on the sockets did not take
 * effect, so the run says nothing about it.
 */
public final class FaultTraces {
    /** Time after the begin of a fault in which its trace is searched, in ms. */
    private static final double TRACE_WINDOW_MS = 15_000;

    private FaultTraces() {}

    /** One fault of the script, its time in the script in s, and whether the sockets showed it. */
    public record FaultTrace(String kind, double atS, boolean seen) {}

    /** Returns all faults of the script, each with whether the recording shows a trace of it. */
    public static List<FaultTrace> findAll(List<Entry> entries) {
        List<FaultTrace> traces = new ArrayList<>();
        for (Entry mark : entries) {
            if (mark.kind() == Kind.MARK && mark.method().equals("fault")) {
                boolean seen = false;
                Entry lastEntryInWindow = null;
                for (Entry entry : entries) {
                    if (entry.atMs() < mark.atMs()
                            || entry.atMs() > mark.atMs() + TRACE_WINDOW_MS
                            || entry.kind() == Kind.MARK) {
                        continue;
                    }
                    if (isTrace(mark.peer(), entry)) {
                        seen = true;
                        break;
                    }
                    lastEntryInWindow = entry;
                }
                traces.add(new FaultTrace(
                        mark.peer(),
                        Double.parseDouble(mark.body()) / 1000,
                        seen || lastEntryInWindow != null && managerWasSilent(mark, entries)));
            }
        }
        return traces;
    }

    /** Returns whether an entry is what a fault of this kind causes at the sockets. */
    private static boolean isTrace(String faultKind, Entry entry) {
        boolean atBox = entry.end().startsWith("box:");
        boolean atManager = entry.end().startsWith("manager:");
        boolean isSetUp = "/v1/sessions".equals(entry.target());
        return switch (faultKind) {
            case "crash", "connections-reset" -> atBox && entry.kind() == Kind.CLOSED;
            case "deploy" ->
                atManager
                        && entry.kind() == Kind.EVENT
                        && entry.body() != null
                        && entry.body().contains("\"draining\"");
            case "hang", "resets", "slow" ->
                atManager && entry.peer().startsWith("box:") && entry.kind() == Kind.CLOSED;
            case "errors" -> atBox && isSetUp && entry.kind() == Kind.RESPONSE && entry.status() >= 500;
            case "uplink-sag", "link-sag" ->
                atManager && entry.kind() == Kind.EVENT && "note".equals(entry.method()) && isShareNote(entry.body());
            case "list-late", "reports-late" -> atManager && entry.kind() == Kind.EVENT;
            case "directory-down" -> entry.end().equals("directory") && entry.kind() == Kind.CLOSED;
            case "list-forgets" -> atManager && entry.kind() == Kind.EVENT && "full".equals(entry.method());
            case "half-open" ->
                atManager && entry.kind() == Kind.CLOSED && entry.peer().startsWith("box:");
            case "manager-kill" ->
                atManager && entry.kind() == Kind.CLOSED && entry.peer().equals("directory");
            default -> false;
        };
    }

    /** Returns whether a note of a box reports a short share of a link or uplink. */
    private static boolean isShareNote(String note) {
        try {
            return Documents.MAPPER.readTree(note).path("kind").asText().equals("share");
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            return false;
        }
    }

    /**
     * Returns whether a manager's stall is seen: nothing was recorded at the manager's end during the middle 80 % of
     * the stall. Returns false for faults of other kinds.
     */
    private static boolean managerWasSilent(Entry fault, List<Entry> entries) {
        if (!fault.peer().equals("manager-stall")) {
            return false;
        }
        for (Entry mark : entries) {
            if (mark.kind() == Kind.MARK
                    && mark.method().equals("manager-stall")
                    && Math.abs(mark.atMs() - fault.atMs()) < 50) {
                double stallMs = Double.parseDouble(mark.body());
                long entriesDuringStall = entries.stream()
                        .filter(e -> e.end().equals(mark.peer())
                                && e.atMs() > mark.atMs() + 0.1 * stallMs
                                && e.atMs() < mark.atMs() + 0.9 * stallMs)
                        .count();
                return entriesDuringStall == 0;
            }
        }
        return false;
    }
}
