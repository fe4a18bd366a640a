package calicovale.standin;

import calicovale.protocols.http.CrossOrigin;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Settings of one stand-in media box.
 *
 * @param id number of the box in the directory
 * @param listen address to listen on; port 0 selects a free port
 * @param streams maximum number of sessions and set-ups
 * @param linkKb capacity of the box's link, in kB/s
 * @param fullFrom ratio of demand to capacity of the link from which set-ups are refused; 0 if they are never refused
 *     for it
 * @param coldFrom set-up rate right after a cold start, as a fraction of the warm set-up rate
 * @param warmAfterMs time after a cold start until the box is warm, in ms
 * @param tipMultiple multiple of the present set-up rate above which a cold box crashes
 * @param tipMs window over which arriving set-ups are counted against {@code tipMultiple}, in ms
 * @param setUpMs mean duration of a set-up, in ms
 * @param reportEveryMs interval at which the load in response headers is refreshed, in ms
 * @param noteEveryMs interval between notes of the link's ratio of demand to capacity, in ms
 * @param noteDelayMs delay of notes, in ms
 * @param uplinkNotes whether notes of the ratio of demand to capacity of the rack's uplink are sent too
 * @param segmentS duration of a generated segment, in seconds
 * @param segments number of segments of a generated lecture
 * @param idleMs time without a segment request or transfer after which a session ends, in ms
 * @param graceMs time without the manager's event stream after which a session ends, in ms
 * @param beatMs interval between keep-alive comments on event streams, in ms
 * @param pieces number of segments of generated pieces, by title; all other titles are lectures
 * @param absent titles that this box does not hold; it holds all others
 * @param crossOrigin origins of the pages that may read segments
 * @param content folder of HLS content as {@code title/rung.m3u8}, or null if content is generated
 */
public record BoxSettings(
        long id,
        InetSocketAddress listen,
        double streams,
        double linkKb,
        double fullFrom,
        double coldFrom,
        double warmAfterMs,
        double tipMultiple,
        double tipMs,
        double setUpMs,
        double reportEveryMs,
        double noteEveryMs,
        double noteDelayMs,
        boolean uplinkNotes,
        double segmentS,
        int segments,
        double idleMs,
        double graceMs,
        double beatMs,
        Map<String, Integer> pieces,
        Set<String> absent,
        CrossOrigin crossOrigin,
        Path content) {

    /**
     * Reads and validates a settings file.
     *
     * @throws InvalidDocumentException if the file cannot be read or is not valid; names all faults
     */
    public static BoxSettings read(Path file) throws InvalidDocumentException {
        return fromJson(file.toString(), Documents.read(file, BoxSettings.class, "box.schema.json"));
    }

    /**
     * Parses and validates settings.
     *
     * @param name name of the document, with which each fault begins
     * @throws InvalidDocumentException if the text is not valid; names all faults
     */
    public static BoxSettings parse(String name, String text) throws InvalidDocumentException {
        return fromJson(name, Documents.check(name, text, BoxSettings.class, "box.schema.json"));
    }

    /** Reads the number of segments by title. */
    public static Map<String, Integer> pieces(JsonNode node) {
        Map<String, Integer> result = new HashMap<>();
        node.properties().forEach(e -> result.put(e.getKey(), e.getValue().asInt()));
        return Map.copyOf(result);
    }

    /** Reads a list of allowed origins. Segment requests may have ranges and CMCD headers, but never credentials. */
    public static CrossOrigin crossOrigin(JsonNode origins) {
        Set<String> allowedOrigins = new HashSet<>();
        origins.forEach(origin -> allowedOrigins.add(origin.asText()));
        return new CrossOrigin(
                allowedOrigins,
                false,
                600,
                List.of("Content-Range", "Date", "Retry-After", "endpoint-load-metrics"),
                List.of("CMCD-Object", "CMCD-Request", "CMCD-Session", "CMCD-Status", "Range"),
                List.of("GET", "HEAD"));
    }

    private static BoxSettings fromJson(String name, JsonNode document) throws InvalidDocumentException {
        JsonNode listen = document.get("listen");
        String content = document.path("content").asText(null);
        if (content != null && !java.nio.file.Files.isDirectory(Path.of(content))) {
            throw new InvalidDocumentException(List.of(name + ": /content: a folder is expected: " + content));
        }
        Set<String> absent = new HashSet<>();
        document.path("absent").forEach(title -> absent.add(title.asText()));
        return new BoxSettings(
                document.get("id").asLong(),
                new InetSocketAddress(
                        listen.get("host").asText(), listen.get("port").asInt()),
                document.get("streams").asDouble(),
                document.get("linkKb").asDouble(),
                document.path("fullFrom").asDouble(1),
                document.path("coldFrom").asDouble(0.3),
                document.path("warmAfterMs").asDouble(10_000),
                document.path("tipMultiple").asDouble(4),
                document.path("tipMs").asDouble(1000),
                document.path("setUpMs").asDouble(20),
                document.path("reportEveryMs").asDouble(300),
                document.path("noteEveryMs").asDouble(3000),
                document.path("noteDelayMs").asDouble(700),
                document.path("uplinkNotes").asBoolean(),
                document.path("segmentS").asDouble(2),
                document.path("segments").asInt(20),
                document.path("idleMs").asDouble(10_000),
                document.path("graceMs").asDouble(5000),
                document.path("beatMs").asDouble(1000),
                pieces(document.path("pieces")),
                absent,
                crossOrigin(document.path("origins")),
                content == null ? null : Path.of(content));
    }
}
