package calicovale.manager;

import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * Runs one session manager in the foreground. {@code PROXY_CONFIG} names its configuration file; SIGHUP makes it
 * read the file again, SIGTERM starts a drain.
 */
public final class ManagerMain {
    /** Environment variable with the path of the configuration file. */
    public static final String CONFIG_VARIABLE = "PROXY_CONFIG";

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_INPUT = 2;

    private ManagerMain() {}

    /**
     * Runs until a drain has ended. Returns the exit status: 0, 1 if the manager failed, 2 for an invalid
     * configuration.
     */
    public static int run(Path file) throws IOException, InterruptedException {
        ManagerConfig config;
        try {
            config = ManagerConfig.read(file);
        } catch (InvalidDocumentException e) {
            e.faults().forEach(System.err::println);
            return EXIT_BAD_INPUT;
        }
        // installed before the process is visible to others, because an unhandled signal would end it
        CompletableFuture<ManagerProcess> started = new CompletableFuture<>();
        SignalHandlers.on("HUP", () -> started.thenAccept(process -> process.reload(file)));
        SignalHandlers.on("TERM", () -> started.thenAccept(ManagerProcess::drain));
        try (ManagerProcess process = new ManagerProcess(config, file, Clock.system())) {
            started.complete(process);
            return process.await() ? 0 : EXIT_FAILED;
        }
    }

    /** Runs the manager; takes no arguments. */
    public static void main(String[] args) throws IOException, InterruptedException {
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null) {
            System.err.println(CONFIG_VARIABLE + ": variable is not set, the path of a configuration file is expected");
            System.exit(EXIT_BAD_INPUT);
        }
        System.exit(run(Path.of(file)));
    }
}
