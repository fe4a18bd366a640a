package calicovale.rehearsal.judge;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Report of one run, as JSON for programs and as a table for people.
 *
 * @param day name of the scripted day
 * @param seed seed of the day's random numbers
 * @param verdict result for the six rules
 * @param playlists result for playlists and programme changes
 * @param faultTraces the day's faults, each with whether the sockets showed it
 * @param extraFigures further figures by name
 */
public record Report(
        String day,
        long seed,
        Verdict verdict,
        PlaylistChecker.Findings playlists,
        List<FaultTraces.FaultTrace> faultTraces,
        Map<String, Double> extraFigures) {

    /** Returns whether neither one of the six rules nor a rule of playlists was broken. */
    public boolean allRulesKept() {
        return verdict.allRulesKept() && playlists.faultCount() == 0;
    }

    /** Returns the report as JSON. Members may be added; the present ones never change. */
    public ObjectNode json() {
        ObjectNode report = Documents.MAPPER
                .createObjectNode()
                .put("schema", "calicovale/report/1")
                .put("day", day)
                .put("seed", seed);
        ObjectNode requests = report.putObject("requests");
        verdict.requestsByOutcome().forEach(requests::put);
        ObjectNode rules = report.putObject("rules");
        for (String rule : Verdict.RULES) {
            rules.putObject(rule).put("checked", verdict.checkCount(rule)).put("broken", verdict.violationCount(rule));
        }
        report.putObject("worth").put("asked", verdict.requestedWorth()).put("inTime", verdict.worthInTime());
        ArrayNode faultArray = report.putArray("faults");
        faultTraces.forEach(f ->
                faultArray.addObject().put("kind", f.kind()).put("at", f.atS()).put("seen", f.seen()));
        ArrayNode violations = report.putArray("breaks");
        verdict.violations().forEach(violations::add);
        ObjectNode playlistNode = report.putObject("playlists")
                .put("checked", playlists.playlistCount())
                .put("sessions", playlists.sessionCount())
                .put("broken", playlists.faultCount())
                .put("changesDue", playlists.changesDue())
                .put("changesShown", playlists.changesShown())
                .put("changesMissed", playlists.changesMissed());
        ArrayNode playlistFaults = playlistNode.putArray("breaks");
        playlists.faults().forEach(playlistFaults::add);
        ObjectNode figures = report.putObject("figures");
        extraFigures.forEach(figures::put);
        return report;
    }

    /** Returns the report as a table of text. */
    public String table() {
        StringBuilder out = new StringBuilder(String.format(Locale.ROOT, "%s, seed %d%n", day, seed));
        verdict.requestsByOutcome()
                .forEach((name, count) -> out.append(String.format(Locale.ROOT, "  %-16s%8d%n", name, count)));
        out.append(String.format(
                Locale.ROOT,
                "  worth in time %.3f of %.0f asked%n",
                verdict.requestedWorth() == 0 ? 0 : verdict.worthInTime() / verdict.requestedWorth(),
                verdict.requestedWorth()));
        out.append(String.format(Locale.ROOT, "%n  %-20s%10s%10s%n", "rule", "checked", "broken"));
        for (String rule : Verdict.RULES) {
            long checked = verdict.checkCount(rule);
            out.append(String.format(
                    Locale.ROOT,
                    "  %-20s%10d%10d%s%n",
                    rule,
                    checked,
                    verdict.violationCount(rule),
                    checked == 0 ? "   not tried" : verdict.violationCount(rule) > 0 ? "   BROKEN" : ""));
        }
        out.append(String.format(
                Locale.ROOT,
                "%n  %-20s%10d%10d%s%n",
                "playlists",
                playlists.playlistCount(),
                playlists.faultCount(),
                playlists.faultCount() > 0 ? "   BROKEN" : ""));
        out.append(String.format(
                Locale.ROOT,
                "  programme changes: due %d, shown %d, missed %d%n",
                playlists.changesDue(),
                playlists.changesShown(),
                playlists.changesMissed()));
        out.append('\n');
        for (FaultTraces.FaultTrace fault : faultTraces) {
            out.append(String.format(
                    Locale.ROOT,
                    "  fault %-20s at %6.1f s%s%n",
                    fault.kind(),
                    fault.atS(),
                    fault.seen() ? "" : "   left no trace on the sockets"));
        }
        extraFigures.forEach((name, value) -> out.append(String.format(Locale.ROOT, "  %-32s%12.1f%n", name, value)));
        playlists.faults().forEach(b -> out.append("  ").append(b).append('\n'));
        verdict.violations().forEach(b -> out.append("  ").append(b).append('\n'));
        return out.toString();
    }
}
