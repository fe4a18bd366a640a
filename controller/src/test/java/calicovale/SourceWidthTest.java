package calicovale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the line width of {@link SessionController}, because the formatter does not wrap comments. */
class SourceWidthTest {
    private static final int MAX_COLUMNS = 120;

    @Test
    void linesFitTheFormattersWidth() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/calicovale/SessionController.java"));
        for (String line : lines) {
            assertTrue(line.length() <= MAX_COLUMNS, line);
        }
    }
}
