package calicovale.protocols.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;

/** Validates JSON documents against schemas, which are resources in the packages of the classes that use them. */
public final class Documents {
    /** The shared mapper. It rejects repeated keys and text after the end of the document. */
    public static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** A location in the parser's messages, which names the parser's option for showing the source. */
    private static final Pattern SOURCE_IN_MESSAGE = Pattern.compile("\\[Source: [^;]*; (line: \\d+, column: \\d+)]");
    /** A part of the parser's messages that names the method of a limit that was exceeded. */
    private static final Pattern SETTING_IN_MESSAGE = Pattern.compile(", from `[^`]*`");

    private static final Map<String, Schema> SCHEMAS = new ConcurrentHashMap<>();

    private Documents() {}

    /**
     * Reads and validates a file.
     *
     * @param owner a class in the schema's package
     * @param schema file name of the schema
     * @throws InvalidDocumentException if the file cannot be read or is not valid; names all faults
     */
    public static JsonNode read(Path file, Class<?> owner, String schema) throws InvalidDocumentException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(file + ": /: " + unreadableFault(e)));
        }
        return check(file.toString(), text, owner, schema);
    }

    /**
     * Parses and validates a text.
     *
     * @param name name of the document, with which each fault begins
     * @param owner a class in the schema's package
     * @param schema file name of the schema
     * @throws InvalidDocumentException if the text is not valid; names all faults
     */
    public static JsonNode check(String name, String text, Class<?> owner, String schema)
            throws InvalidDocumentException {
        JsonNode node;
        try {
            node = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new InvalidDocumentException(List.of(name + ": " + notJsonFault(e)));
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

    /** Returns the fault of a file that could not be read: what is expected, and why it could not be read. */
    public static String unreadableFault(IOException e) {
        return "a readable text file in UTF-8 is expected (" + unreadableReason(e) + ")";
    }

    /** Returns why a file could not be read. The messages of the exceptions below name only the file or internals. */
    public static String unreadableReason(IOException e) {
        if (e instanceof NoSuchFileException) {
            return "the file does not exist";
        }
        if (e instanceof AccessDeniedException) {
            return "access is denied";
        }
        if (e instanceof CharacterCodingException) {
            return "the text is not UTF-8";
        }
        if (e instanceof FileSystemException fileFault && fileFault.getReason() != null) {
            return fileFault.getReason();
        }
        return e.getMessage() == null ? "reading failed" : e.getMessage();
    }

    /** Returns the fault of a text that is not JSON: the number of the line, what is expected, and the reason. */
    public static String notJsonFault(JsonProcessingException e) {
        var location = e.getLocation();
        return "line " + (location == null ? "?" : location.getLineNr()) + ": JSON is expected (" + notJsonReason(e)
                + ")";
    }

    /**
     * Returns why a text is not JSON. Names of classes are removed from the parser's messages. A mismatch can only be
     * text after the document; its own message describes it as a fault of the reading program.
     */
    public static String notJsonReason(JsonProcessingException e) {
        if (e instanceof MismatchedInputException) {
            return "more text follows the document";
        }
        String text = SOURCE_IN_MESSAGE.matcher(e.getOriginalMessage()).replaceAll("$1");
        return SETTING_IN_MESSAGE.matcher(text).replaceAll("");
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
