package calicovale.stitch;

import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One programme change as its document states it.
 *
 * @param id its name among all changes
 * @param title of the piece, by which boxes hold it
 * @param renditions the piece's own ladder, the lowest rate first
 * @param audience whom it is for
 * @param atMs common time from which it is due; negative: it is due at a place of the lecture
 * @param lectureS that place, in seconds; negative: it is due at a time
 * @param validUntilMs common time after which it is not begun any more
 * @param replaceS seconds of the lecture that it stands for; 0: it is inserted and nothing is left out
 * @param homeCell first cell whose boxes hold the piece; negative: as the managers' settings have it for its title
 * @param span cells in a row that hold it
 * @param priority of two that are due at one boundary the higher comes first
 * @param oncePerViewer shown once a viewer, over all sessions; else once a session
 * @param json the document as it was told, in canonical form (RFC 8785), its signature included
 */
public record Change(
        String id,
        String title,
        List<Rendition> renditions,
        Audience audience,
        double atMs,
        double lectureS,
        double validUntilMs,
        double replaceS,
        int homeCell,
        int span,
        int priority,
        boolean oncePerViewer,
        String json) {

    /**
     * One rendition of a piece.
     *
     * @param rung the rung of the lecture's ladder that it stands for: what a class's floor is held against
     * @param rateKb its rate, kB a second
     * @param durationsS its segments' lengths
     */
    public record Rendition(int rung, double rateKb, List<Double> durationsS) {}

    /** Whom a change is for; an empty set is all. */
    public record Audience(Set<String> titles, Set<String> classes, Set<String> tenants, Set<String> sessions) {
        /** Whether a session is among them. */
        public boolean has(String title, String sessionClass, String tenant, String session) {
            return (titles.isEmpty() || titles.contains(title))
                    && (classes.isEmpty() || classes.contains(sessionClass))
                    && (tenants.isEmpty() || tenants.contains(tenant))
                    && (sessions.isEmpty() || sessions.contains(session));
        }
    }

    /** Length of the piece in seconds. */
    public double lengthS() {
        return renditions.get(0).durationsS().stream().mapToDouble(s -> s).sum();
    }

    /** Reads a document and checks it whole, whoever signed it; {@code name} leads each fault. */
    public static Change parse(String name, String text) throws InvalidDocumentException {
        return parse(name, text, ChangeKeys.ANYONE);
    }

    /** Reads a document and checks it whole, and that one of these keys signed it; {@code name} leads each fault. */
    public static Change parse(String name, String text, ChangeKeys keys) throws InvalidDocumentException {
        JsonNode n = Documents.check(name, text, Change.class, "change.schema.json");
        List<String> faults = new ArrayList<>(keys.faults(name, n));
        List<Rendition> renditions = new ArrayList<>();
        JsonNode list = n.get("piece").get("renditions");
        for (int i = 0; i < list.size(); i++) {
            List<Double> durations = new ArrayList<>();
            list.get(i).get("durationsS").forEach(s -> durations.add(s.asDouble()));
            Rendition r = new Rendition(
                    list.get(i).get("rung").asInt(), list.get(i).get("rateKb").asDouble(), durations);
            String at = name + ": /piece/renditions/" + i;
            if (i > 0 && r.rung() <= renditions.get(i - 1).rung()) {
                faults.add(at + "/rung: a rung above the one before is expected");
            }
            if (i > 0 && r.rateKb() <= renditions.get(i - 1).rateKb()) {
                faults.add(at + "/rateKb: a rate above the one before is expected");
            }
            if (i > 0 && !r.durationsS().equals(renditions.get(0).durationsS())) {
                faults.add(at + "/durationsS: the same segments as in every rendition are expected");
            }
            renditions.add(r);
        }
        JsonNode start = n.get("start");
        double atMs = start.path("atMs").asDouble(-1);
        double until = n.get("validUntilMs").asDouble();
        if (atMs >= until) {
            faults.add(name + ": /validUntilMs: a time after /start/atMs is expected");
        }
        boolean replaces = n.path("mode").asText("insert").equals("replace");
        if (replaces != n.has("replaceS")) {
            faults.add(name + ": /replaceS: "
                    + (replaces
                            ? "seconds are expected with mode replace"
                            : "nothing is expected but with mode replace"));
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(faults);
        }
        JsonNode whom = n.path("for");
        JsonNode piece = n.get("piece");
        return new Change(
                n.get("id").asText(),
                n.get("piece").get("title").asText(),
                List.copyOf(renditions),
                new Audience(
                        names(whom, "titles"), names(whom, "classes"), names(whom, "tenants"), names(whom, "sessions")),
                atMs,
                start.path("lectureS").asDouble(-1),
                until,
                n.path("replaceS").asDouble(),
                piece.path("homeCell").asInt(-1),
                piece.path("span").asInt(1),
                n.path("priority").asInt(),
                n.path("once").asText("session").equals("viewer"),
                ChangeKeys.canonical(n));
    }

    private static Set<String> names(JsonNode n, String key) {
        Set<String> result = new HashSet<>();
        n.path(key).forEach(name -> result.add(name.asText()));
        return Set.copyOf(result);
    }
}
