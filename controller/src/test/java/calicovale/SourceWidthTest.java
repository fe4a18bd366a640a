package calicovale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module is read aloud after outages, so its size is a promise. */
class ModuleSizeTest {
    private static final int MOST_LINES = 1000;
    private static final int MOST_COLUMNS = 110;

    @Test
    void theModuleStaysWithinItsLimits() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/calicovale/SessionController.java"));
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= MOST_LINES, filled + " lines that are not blank");
        for (String line : lines) {
            assertTrue(line.length() <= MOST_COLUMNS, line);
        }
    }
}
