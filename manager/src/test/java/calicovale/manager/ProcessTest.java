package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.Rig.Bus;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The real process, as the platform starts it: SIGHUP, SIGTERM and bad configurations. */
@Timeout(60)
class ProcessTest {
    private static Process start(Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx40m",
                "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), ManagerMain.class.getName());
        builder.environment().put(ManagerMain.CONFIG, config.toString());
        return builder.redirectErrorStream(true).redirectOutput(config.resolveSibling("log").toFile()).start();
    }

    @Test
    void aHangupMovesTheBusAndTermEndsItWithNoughtOnceNothingIsHeld(@TempDir Path folder) throws Exception {
        Path config = folder.resolve("config.json");
        try (Rig form = new Rig(1); Bus first = new Bus(); Bus next = new Bus()) {
            Files.writeString(config, form.config(first.port(), 256));
            Process process = start(config);
            try {
                assertEquals("from 1", first.nextAsked());
                Files.writeString(config, form.config(next.port(), 256));
                assertEquals(0, new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor());
                assertEquals("from 1", next.nextAsked());
                assertTrue(process.isAlive());
                process.destroy();
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } catch (AssertionError e) {
                throw new AssertionError(Files.readString(folder.resolve("log")), e);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void aBadConfigurationEndsItWithTwoAndEveryFault(@TempDir Path folder) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{\"listen\":\"here\"}");
        Process process = start(config);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        String log = Files.readString(folder.resolve("log"));
        assertTrue(log.contains("'listen'") && log.contains("'bus'") && log.contains("limits.sockets"), log);
    }
}
