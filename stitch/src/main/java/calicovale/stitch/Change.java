package calicovale.stitch;

import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One programme change, as read from its document.
 *
 * @param id unique id of the change
 * @param title title of the piece, under which boxes hold it
 * @param renditions ladder of the piece, lowest rate first
 * @param audience the sessions that the change is for
 * @param atMs time on the managers' common clock from which the change is due, in ms; negative if it is due at a
 *     position in the lecture
 * @param lectureS position in the lecture from which the change is due, in seconds; negative if it is due at a time
 * @param validUntilMs time on the common clock after which the change is no longer started, in ms
 * @param replaceS seconds of the lecture that the piece replaces; 0 if it is inserted and no part of the lecture is
 *     skipped
 * @param homeCell first cell whose boxes hold the piece; negative to use the cell that the managers' settings give for
 *     the title
 * @param span number of consecutive cells that hold the piece, from {@code homeCell}
 * @param priority priority among changes that are due at the same boundary; the higher one is shown first
 * @param oncePerViewer true if the change is shown once to a viewer over all sessions, false if once in each session
 * @param json the document as received, including its signature, in canonical form (RFC 8785)
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
     * @param rung equivalent rung of the lecture's ladder, which is compared with the floor of a session's class
     * @param rateKb rate in kB/s
     * @param durationsS durations of the segments, in seconds
     */
    public record Rendition(int rung, double rateKb, List<Double> durationsS) {}

    /** The sessions that a change is for. An empty set does not restrict the audience. */
    public record Audience(Set<String> titles, Set<String> classes, Set<String> tenants, Set<String> sessions) {
        /** Returns whether a session belongs to the audience. */
        public boolean includes(String title, String sessionClass, String tenant, String session) {
            return (titles.isEmpty() || titles.contains(title))
                    && (classes.isEmpty() || classes.contains(sessionClass))
                    && (tenants.isEmpty() || tenants.contains(tenant))
                    && (sessions.isEmpty() || sessions.contains(session));
        }
    }

    /** Returns the duration of the piece, in seconds. */
    public double lengthS() {
        return renditions.get(0).durationsS().stream().mapToDouble(s -> s).sum();
    }

    /**
     * Parses and validates a document without verifying a signature.
     *
     * @param name name of the document, with which each fault begins
     * @throws InvalidDocumentException if the document is not valid; names all faults
     */
    public static Change parse(String name, String text) throws InvalidDocumentException {
        return parse(name, text, ChangeKeys.ANYONE);
    }

    /**
     * Parses and validates a document and verifies its signature.
     *
     * @param name name of the document, with which each fault begins
     * @param keys keys one of which must have signed the document
     * @throws InvalidDocumentException if the document or its signature is not valid; names all faults
     */
    public static Change parse(String name, String text, ChangeKeys keys) throws InvalidDocumentException {
        JsonNode document = Documents.check(name, text, Change.class, "change.schema.json");
        List<String> faults = new ArrayList<>(keys.signatureFaults(name, document));
        List<Rendition> renditions = new ArrayList<>();
        JsonNode renditionNodes = document.get("piece").get("renditions");
        for (int i = 0; i < renditionNodes.size(); i++) {
            List<Double> durations = new ArrayList<>();
            renditionNodes.get(i).get("durationsS").forEach(s -> durations.add(s.asDouble()));
            Rendition rendition = new Rendition(
                    renditionNodes.get(i).get("rung").asInt(),
                    renditionNodes.get(i).get("rateKb").asDouble(),
                    durations);
            String location = name + ": /piece/renditions/" + i;
            if (i > 0 && rendition.rung() <= renditions.get(i - 1).rung()) {
                faults.add(location + "/rung: a rung above the one before is expected");
            }
            if (i > 0 && rendition.rateKb() <= renditions.get(i - 1).rateKb()) {
                faults.add(location + "/rateKb: a rate above the one before is expected");
            }
            if (i > 0 && !rendition.durationsS().equals(renditions.get(0).durationsS())) {
                faults.add(location + "/durationsS: the same segments as in every rendition are expected");
            }
            renditions.add(rendition);
        }
        JsonNode start = document.get("start");
        double atMs = start.path("atMs").asDouble(-1);
        double validUntilMs = document.get("validUntilMs").asDouble();
        if (atMs >= validUntilMs) {
            faults.add(name + ": /validUntilMs: a time after /start/atMs is expected");
        }
        boolean replaces = document.path("mode").asText("insert").equals("replace");
        if (replaces != document.has("replaceS")) {
            faults.add(name + ": /replaceS: "
                    + (replaces
                            ? "seconds are expected with mode replace"
                            : "nothing is expected but with mode replace"));
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(faults);
        }
        JsonNode audience = document.path("for");
        JsonNode piece = document.get("piece");
        return new Change(
                document.get("id").asText(),
                document.get("piece").get("title").asText(),
                List.copyOf(renditions),
                new Audience(
                        readNames(audience, "titles"),
                        readNames(audience, "classes"),
                        readNames(audience, "tenants"),
                        readNames(audience, "sessions")),
                atMs,
                start.path("lectureS").asDouble(-1),
                validUntilMs,
                document.path("replaceS").asDouble(),
                piece.path("homeCell").asInt(-1),
                piece.path("span").asInt(1),
                document.path("priority").asInt(),
                document.path("once").asText("session").equals("viewer"),
                ChangeKeys.canonical(document));
    }

    private static Set<String> readNames(JsonNode parent, String key) {
        Set<String> result = new HashSet<>();
        parent.path(key).forEach(name -> result.add(name.asText()));
        return Set.copyOf(result);
    }
}
