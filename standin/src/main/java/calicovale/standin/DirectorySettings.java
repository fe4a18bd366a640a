package calicovale.standin;

import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings of a stand-in box directory.
 *
 * @param listen address to listen on; port 0 selects a free port
 * @param lagMs delay after which a change of a box is listed, in ms
 * @param beatMs interval between keep-alive comments on event streams, in ms
 * @param boxes boxes listed at the start
 */
public record DirectorySettings(InetSocketAddress listen, double lagMs, double beatMs, List<BoxDirectory.Entry> boxes) {

    /**
     * Reads and validates a settings file.
     *
     * @throws InvalidDocumentException if the file cannot be read or is not valid; names all faults
     */
    public static DirectorySettings read(Path file) throws InvalidDocumentException {
        JsonNode document = Documents.read(file, DirectorySettings.class, "directory.schema.json");
        List<BoxDirectory.Entry> boxes = new ArrayList<>();
        for (JsonNode box : document.get("boxes")) {
            boxes.add(new BoxDirectory.Entry(
                    box.get("id").asLong(),
                    box.path("state").asText("ready"),
                    box.path("kind").asInt(),
                    box.path("zone").asInt(),
                    box.path("cell").asInt(),
                    box.path("startedMs").asDouble(),
                    box.path("weight").asDouble(1),
                    box.get("address").asText()));
        }
        JsonNode listen = document.get("listen");
        return new DirectorySettings(
                new InetSocketAddress(
                        listen.get("host").asText(), listen.get("port").asInt()),
                document.path("lagMs").asDouble(500),
                document.path("beatMs").asDouble(1000),
                boxes);
    }
}
