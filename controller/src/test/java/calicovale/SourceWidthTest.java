package calicovale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the line width of the decisions' sources, because the formatter does not wrap comments. */
class SourceWidthTest {
    private static final int MAX_COLUMNS = 120;

    @Test
    void linesFitTheFormattersWidth() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/calicovale"))) {
            for (Path file : files.toList()) {
                for (String line : Files.readAllLines(file)) {
                    assertTrue(line.length() <= MAX_COLUMNS, file + ": " + line);
                }
            }
        }
    }
}
