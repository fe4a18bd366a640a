package calicovale.protocols.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Owns the checking of documents against schemas that lie beside the classes that use them. */
public final class Documents {
    /** The one mapper: a key that stands twice is a fault, not a choice. */
    public static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private static final Map<String, Schema> SCHEMAS = new ConcurrentHashMap<>();

    private Documents() {}

    /**
     * Reads a file and checks it whole.
     *
     * @param owner a class in whose package the schema lies
     * @throws InvalidDocumentException with every fault
     */
    public static JsonNode read(Path file, Class<?> owner, String schema) throws InvalidDocumentException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(file + ": : a readable file is expected (" + e + ")"));
        }
        return check(file.toString(), text, owner, schema);
    }

    /** Checks a text whole; {@code name} leads each fault. */
    public static JsonNode check(String name, String text, Class<?> owner, String schema)
            throws InvalidDocumentException {
        JsonNode node;
        try {
            node = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            var at = e.getLocation();
            throw new InvalidDocumentException(List.of(name + ": line " + (at == null ? "?" : at.getLineNr())
                    + ": JSON is expected (" + e.getOriginalMessage() + ")"));
        }
        List<String> faults = new ArrayList<>();
        for (Error error : schema(owner, schema).validate(node)) {
            String place = error.getInstanceLocation().toString();
            faults.add(name + ": " + (place.isEmpty() ? "/" : place) + ": " + error.getMessage());
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(faults);
        }
        return node;
    }

    private static Schema schema(Class<?> owner, String name) {
        return SCHEMAS.computeIfAbsent(owner.getName() + " " + name, key -> {
            try (InputStream in = owner.getResourceAsStream(name)) {
                return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                        .getSchema(MAPPER.readTree(in));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }
}
