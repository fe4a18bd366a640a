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

    /** Matches a location in the parser's messages; the text before the group of line and column names an option. */
    private static final Pattern SOURCE_IN_MESSAGE = Pattern.compile("\\[Source: [^;]*; (line: \\d+, column: \\d+)]");
    /** Matches the part of the parser's messages that names the parser's method for an exceeded limit. */
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
    public static String unreadableFault(IOException exception) {
        return "a readable text file in UTF-8 is expected (" + unreadableReason(exception) + ")";
    }

    /**
     * Returns why a file could not be read. The messages of the exceptions below have only the name of the file or
     * internal names.
     */
    public static String unreadableReason(IOException exception) {
        if (exception instanceof NoSuchFileException) {
            return "the file does not exist";
        }
        if (exception instanceof AccessDeniedException) {
            return "access is denied";
        }
        if (exception instanceof CharacterCodingException) {
            return "the text is not UTF-8";
        }
        if (exception instanceof FileSystemException fileFault && fileFault.getReason() != null) {
            return fileFault.getReason();
        }
        return exception.getMessage() == null ? "reading failed" : exception.getMessage();
    }

    /** Returns the fault of a text that is not JSON: the number of the line, what is expected, and the reason. */
    public static String notJsonFault(JsonProcessingException exception) {
        var location = exception.getLocation();
        return "line " + (location == null ? "?" : location.getLineNr()) + ": JSON is expected ("
                + notJsonReason(exception) + ")";
    }

    /**
     * Returns why a text is not JSON. Names of classes are removed from the parser's messages. The parser reports a
     * mismatch only for text after the document, in a message that names a class and a parser option.
     */
    public static String notJsonReason(JsonProcessingException exception) {
        if (exception instanceof MismatchedInputException) {
            return "more text follows the document";
        }
        String text = SOURCE_IN_MESSAGE.matcher(exception.getOriginalMessage()).replaceAll("$1");
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
