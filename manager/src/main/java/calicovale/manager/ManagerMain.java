package calicovale.manager;

import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * Runs one session manager in the foreground: its configuration is the file that {@code PROXY_CONFIG} names. SIGHUP has the file
 * read again, SIGTERM drains.
 */
public final class ManagerMain {
    /** The variable that names the configuration. */
    public static final String CONFIG_VARIABLE = "PROXY_CONFIG";

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_INPUT = 2;

    private ManagerMain() {}

    /** Runs until a drain has ended and gives the exit status. */
    public static int run(Path file) throws IOException, InterruptedException {
        ManagerConfig config;
        try {
            config = ManagerConfig.read(file);
        } catch (InvalidDocumentException e) {
            e.faults().forEach(System.err::println);
            return EXIT_BAD_INPUT;
        }
        // handled before anything is heard of this process: a signal that came first would end it
        CompletableFuture<ManagerProcess> started = new CompletableFuture<>();
        SignalHandlers.on("HUP", () -> started.thenAccept(process -> process.reload(file)));
        SignalHandlers.on("TERM", () -> started.thenAccept(ManagerProcess::drain));
        try (ManagerProcess process = new ManagerProcess(config, file, Clock.system())) {
            started.complete(process);
            return process.await() ? 0 : EXIT_FAILED;
        }
    }

    /** Takes no arguments. */
    public static void main(String[] args) throws IOException, InterruptedException {
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null) {
            System.err.println(CONFIG_VARIABLE + ": the path of a configuration is expected");
            System.exit(EXIT_BAD_INPUT);
        }
        System.exit(run(Path.of(file)));
    }
}
