package calicovale.rehearsal.judge;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Owns the report of one run, for people and for programs.
 *
 * @param day the day's name
 * @param seed its seed
 * @param verdict what was found
 * @param playlists what was found of playlists and programme changes
 * @param faults the faults and whether they were seen
 * @param extra further figures by name
 */
public record Report(
        String day,
        long seed,
        Verdict verdict,
        PlaylistChecker.Findings playlists,
        List<Sightings.Seen> faults,
        Map<String, Double> extra) {

    /** Whether the run counts: it was judged and no rule was broken, of the service's six or of playlists. */
    public boolean kept() {
        return verdict.kept() && playlists.broken() == 0;
    }

    /** The report as JSON; further members may be added, these never change. */
    public ObjectNode json() {
        ObjectNode n = Documents.MAPPER
                .createObjectNode()
                .put("schema", "calicovale/report/1")
                .put("day", day)
                .put("seed", seed);
        ObjectNode requests = n.putObject("requests");
        verdict.requests().forEach(requests::put);
        ObjectNode rules = n.putObject("rules");
        for (String rule : Verdict.RULES) {
            rules.putObject(rule).put("checked", verdict.checkedOf(rule)).put("broken", verdict.brokenOf(rule));
        }
        n.putObject("worth").put("asked", verdict.asked()).put("inTime", verdict.inTime());
        ArrayNode list = n.putArray("faults");
        faults.forEach(
                f -> list.addObject().put("kind", f.kind()).put("at", f.atS()).put("seen", f.seen()));
        ArrayNode breaks = n.putArray("breaks");
        verdict.breaks().forEach(breaks::add);
        ObjectNode lists = n.putObject("playlists")
                .put("checked", playlists.playlists())
                .put("sessions", playlists.sessions())
                .put("broken", playlists.broken())
                .put("changesDue", playlists.due())
                .put("changesShown", playlists.shown())
                .put("changesMissed", playlists.missed());
        ArrayNode of = lists.putArray("breaks");
        playlists.breaks().forEach(of::add);
        ObjectNode more = n.putObject("figures");
        extra.forEach(more::put);
        return n;
    }

    /** The report as a table. */
    public String table() {
        StringBuilder out = new StringBuilder(String.format(Locale.ROOT, "%s, seed %d%n", day, seed));
        verdict.requests()
                .forEach((name, count) -> out.append(String.format(Locale.ROOT, "  %-16s%8d%n", name, count)));
        out.append(String.format(
                Locale.ROOT,
                "  worth in time %.3f of %.0f asked%n",
                verdict.asked() == 0 ? 0 : verdict.inTime() / verdict.asked(),
                verdict.asked()));
        out.append(String.format(Locale.ROOT, "%n  %-20s%10s%10s%n", "rule", "checked", "broken"));
        for (String rule : Verdict.RULES) {
            long checked = verdict.checkedOf(rule);
            out.append(String.format(
                    Locale.ROOT,
                    "  %-20s%10d%10d%s%n",
                    rule,
                    checked,
                    verdict.brokenOf(rule),
                    checked == 0 ? "   not tried" : verdict.brokenOf(rule) > 0 ? "   BROKEN" : ""));
        }
        out.append(String.format(
                Locale.ROOT,
                "%n  %-20s%10d%10d%s%n",
                "playlists",
                playlists.playlists(),
                playlists.broken(),
                playlists.broken() > 0 ? "   BROKEN" : ""));
        out.append(String.format(
                Locale.ROOT,
                "  programme changes: due %d, shown %d, missed %d%n",
                playlists.due(),
                playlists.shown(),
                playlists.missed()));
        out.append('\n');
        for (Sightings.Seen f : faults) {
            out.append(String.format(
                    Locale.ROOT,
                    "  fault %-20s at %6.1f s%s%n",
                    f.kind(),
                    f.atS(),
                    f.seen() ? "" : "   left no trace on the sockets"));
        }
        extra.forEach((name, value) -> out.append(String.format(Locale.ROOT, "  %-32s%12.1f%n", name, value)));
        playlists.breaks().forEach(b -> out.append("  ").append(b).append('\n'));
        verdict.breaks().forEach(b -> out.append("  ").append(b).append('\n'));
        return out.toString();
    }
}
