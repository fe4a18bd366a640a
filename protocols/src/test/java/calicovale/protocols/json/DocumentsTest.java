package calicovale.protocols.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Faults of files that cannot be read or are not JSON: they name file, place and what is accepted, but no class. */
class DocumentsTest {
    /** None of these documents is checked against a schema, because none is JSON. */
    private static final String UNUSED_SCHEMA = "unused.schema.json";

    /** Names of classes and of their methods, as exceptions and the JSON parser write them. */
    private static final Pattern CLASS_NAME = Pattern.compile("\\w+\\.\\w+\\.|[a-z][A-Z]|Exception|Source");

    @TempDir
    private Path folder;

    private static void assertNamesNoClass(String text) {
        assertFalse(CLASS_NAME.matcher(text).find(), text);
    }

    /** Returns the only fault of a file, without the file's name in front. */
    private static String faultOf(Path file) {
        InvalidDocumentException exception = assertThrows(
                InvalidDocumentException.class, () -> Documents.read(file, DocumentsTest.class, UNUSED_SCHEMA));
        assertEquals(1, exception.faults().size(), exception.faults().toString());
        String fault = exception.faults().get(0);
        String prefix = file + ": ";
        assertTrue(fault.startsWith(prefix), fault);
        String text = fault.substring(prefix.length());
        assertNamesNoClass(text);
        return text;
    }

    private String faultOfText(String text) throws IOException {
        Path file = folder.resolve("document.json");
        Files.writeString(file, text);
        return faultOf(file);
    }

    @Test
    void aMissingFileIsReportedAsMissing() {
        assertEquals(
                "/: a readable text file in UTF-8 is expected (the file does not exist)",
                faultOf(folder.resolve("missing.json")));
    }

    @Test
    void aFolderIsReportedWithTheReasonOfTheSystem() {
        String fault = faultOf(folder);
        assertTrue(fault.startsWith("/: a readable text file in UTF-8 is expected ("), fault);
        assertFalse(fault.contains(folder.toString()), fault);
    }

    @Test
    void aFileThatIsNotUtf8IsReportedAsSuch() throws IOException {
        Path file = folder.resolve("latin.json");
        Files.write(file, new byte[] {'"', (byte) 0xe9, '"'});
        assertEquals("/: a readable text file in UTF-8 is expected (the text is not UTF-8)", faultOf(file));
    }

    @Test
    void textAfterTheDocumentIsReportedWithItsLine() throws IOException {
        assertEquals("line 2: JSON is expected (more text follows the document)", faultOfText("{}\n{}"));
    }

    @Test
    void malformedJsonIsReportedWithItsLine() throws IOException {
        for (String text :
                new String[] {"{\n", "{\n\"name\":\"x", "{\n\"a\":1,\"a\":2}", "[\n}", "[\nnope]", "[\n01]"}) {
            String fault = faultOfText(text);
            assertTrue(fault.startsWith("line 2: JSON is expected ("), text + " -> " + fault);
        }
    }

    @Test
    void tooDeepNestingIsReportedWithItsLimit() throws IOException {
        // the parser states no line for a limit that is exceeded
        assertEquals(
                "line ?: JSON is expected (Document nesting depth (1001) exceeds the maximum allowed (1000))",
                faultOfText("[".repeat(2000)));
    }
}
