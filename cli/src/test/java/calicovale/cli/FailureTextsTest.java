package calicovale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests that commands report failures with the file or address and in words, without names of Java classes. */
@Timeout(60)
class FailureTextsTest {
    @TempDir
    private Path folder;

    private static void assertNamesNoClass(String text) {
        assertFalse(text.contains("Exception"), text);
        assertFalse(text.contains("java."), text);
        assertFalse(text.contains("null"), text);
    }

    private static String errorsOf(Object command, int expectedStatus, String... args) {
        StringWriter err = new StringWriter();
        CommandLine commandLine = new CommandLine(command).setErr(new PrintWriter(err, true));
        assertEquals(expectedStatus, commandLine.execute(args), err.toString());
        assertNamesNoClass(err.toString());
        return err.toString();
    }

    private static void assertCheckFault(Path file, String fault) {
        assertEquals(file + ": " + fault + System.lineSeparator(), errorsOf(new CheckCommand(), 2, file.toString()));
    }

    /** Returns the address of a port of the loopback interface at which nobody listens. */
    private static String unusedAddress() throws IOException {
        try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + freePort.getLocalPort();
        }
    }

    @Test
    void checkReportsAMissingFile() {
        assertCheckFault(
                folder.resolve("missing.json"),
                "/: a readable text file in UTF-8 is expected (the file does not exist)");
    }

    @Test
    void checkReportsAFileThatIsNotUtf8() throws IOException {
        Path file = Files.write(folder.resolve("latin.json"), new byte[] {'"', (byte) 0xe9, '"'});
        assertCheckFault(file, "/: a readable text file in UTF-8 is expected (the text is not UTF-8)");
    }

    @Test
    void checkReportsTextAfterTheDocument() throws IOException {
        Path file = Files.writeString(folder.resolve("twice.json"), "{}\n{}");
        assertCheckFault(file, "line 2: JSON is expected (more text follows the document)");
    }

    @Test
    void checkReportsMalformedJsonWithItsLine() throws IOException {
        Path file = Files.writeString(folder.resolve("malformed.json"), "{\n\"a\"}");
        String errors = errorsOf(new CheckCommand(), 2, file.toString());
        assertTrue(errors.startsWith(file + ": line 2: JSON is expected ("), errors);
    }

    @Test
    void checkReportsAFolder() {
        String errors = errorsOf(new CheckCommand(), 2, folder.toString());
        assertTrue(errors.startsWith(folder + ": /: a readable text file in UTF-8 is expected ("), errors);
    }

    @Test
    void unreachableManagerIsReportedWithItsAddress() throws IOException {
        String address = unusedAddress();
        String expected = address + ": the manager could not be reached: connection failed" + System.lineSeparator();
        assertEquals(expected, errorsOf(new MembersCommand(), 1, "--manager", address));
        assertEquals(expected, errorsOf(new ChangeCommand(), 1, "list", "--manager", address));
    }

    @Test
    void fileThatCannotBeWrittenIsReportedWithTheReason() {
        Path file = folder.resolve("missing").resolve("key");
        String text = FailureTexts.describe(FailureTexts.unwritable(file, new NoSuchFileException(file + ".next")));
        assertEquals(
                file + ": the file cannot be written; a writable file in an existing folder is expected"
                        + " (the file or its folder does not exist)",
                text);
    }

    @Test
    void descriptionOfAWrappedFailureIsThatOfItsCause() {
        for (Throwable failure : List.of(
                new CompletionException(new UncheckedIOException(new BindException("Address already in use"))),
                new IllegalStateException(new BindException("Address already in use")))) {
            assertEquals("Address already in use", FailureTexts.describe(failure));
        }
        assertEquals(
                "/x: the file or its folder does not exist",
                FailureTexts.describe(new UncheckedIOException(new NoSuchFileException("/x"))));
    }

    @Test
    void failureWithoutAMessageIsDescribedInWords() {
        assertNamesNoClass(FailureTexts.describe(new IOException()));
        assertNamesNoClass(FailureTexts.describe(new IllegalStateException()));
    }
}
