package calicovale.rehearsal.judge;

import calicovale.protocols.json.Documents;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.Entry.Kind;
import java.util.ArrayList;
import java.util.List;

/** Owns the search for each fault's trace on the tape: a fault that left none was not tried, whatever the script says. */
public final class Sightings {
    /** Time after a fault's begin in which its trace is looked for, in ms. */
    private static final double WITHIN_MS = 15_000;

    private Sightings() {}

    /** One fault of the script and whether the sockets showed it. */
    public record Seen(String kind, double atS, boolean seen) {}

    /** Looks for the traces of all faults. */
    public static List<Seen> of(List<Entry> entries) {
        List<Seen> result = new ArrayList<>();
        for (Entry m : entries) {
            if (m.kind() == Kind.MARK && m.method().equals("fault")) {
                boolean seen = false;
                Entry last = null;
                for (Entry e : entries) {
                    if (e.atMs() < m.atMs() || e.atMs() > m.atMs() + WITHIN_MS || e.kind() == Kind.MARK) {
                        continue;
                    }
                    if (trace(m.peer(), e)) {
                        seen = true;
                        break;
                    }
                    last = e;
                }
                result.add(new Seen(
                        m.peer(), Double.parseDouble(m.body()) / 1000, seen || last != null && stalled(m, entries)));
            }
        }
        return result;
    }

    private static boolean trace(String kind, Entry e) {
        boolean box = e.end().startsWith("box:");
        boolean manager = e.end().startsWith("manager:");
        boolean setUp = "/v1/sessions".equals(e.target());
        return switch (kind) {
            case "crash", "connections-reset" -> box && e.kind() == Kind.CLOSED;
            case "deploy" ->
                manager
                        && e.kind() == Kind.EVENT
                        && e.body() != null
                        && e.body().contains("\"draining\"");
            case "hang", "resets", "slow" -> manager && e.peer().startsWith("box:") && e.kind() == Kind.CLOSED;
            case "errors" -> box && setUp && e.kind() == Kind.RESPONSE && e.status() >= 500;
            case "uplink-sag", "link-sag" ->
                manager && e.kind() == Kind.EVENT && "note".equals(e.method()) && shortShare(e.body());
            case "list-late", "reports-late" -> manager && e.kind() == Kind.EVENT;
            case "directory-down" -> e.end().equals("directory") && e.kind() == Kind.CLOSED;
            case "list-forgets" -> manager && e.kind() == Kind.EVENT && "full".equals(e.method());
            case "half-open" -> manager && e.kind() == Kind.CLOSED && e.peer().startsWith("box:");
            case "manager-kill" ->
                manager && e.kind() == Kind.CLOSED && e.peer().equals("directory");
            default -> false;
        };
    }

    private static boolean shortShare(String note) {
        try {
            return Documents.MAPPER.readTree(note).path("kind").asText().equals("share");
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            return false;
        }
    }

    /** A stall shows as silence at the manager's end for most of its time. */
    private static boolean stalled(Entry fault, List<Entry> entries) {
        if (!fault.peer().equals("manager-stall")) {
            return false;
        }
        for (Entry m : entries) {
            if (m.kind() == Kind.MARK && m.method().equals("manager-stall") && Math.abs(m.atMs() - fault.atMs()) < 50) {
                double length = Double.parseDouble(m.body());
                long inside = entries.stream()
                        .filter(e -> e.end().equals(m.peer())
                                && e.atMs() > m.atMs() + 0.1 * length
                                && e.atMs() < m.atMs() + 0.9 * length)
                        .count();
                return inside == 0;
            }
        }
        return false;
    }
}
