package calicovale.cli;

import calicovale.manager.ManagerMain;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code calicovale manager}, which runs one live session manager until SIGTERM drains it. */
@Command(
        name = "manager",
        description = "Runs one live session manager; SIGHUP reads its configuration again, SIGTERM drains it.",
        mixinStandardHelpOptions = true)
final class ManagerCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "configuration, a JSON file")
    private Path config;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return ManagerMain.run(config);
    }
}
