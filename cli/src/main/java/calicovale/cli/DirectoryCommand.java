package calicovale.cli;

import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.standin.BoxDirectory;
import calicovale.standin.DirectorySettings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code calicovale directory}, which runs one stand-in box directory with the boxes in its settings. */
@Command(name = "directory", description = "Runs one stand-in box directory.", mixinStandardHelpOptions = true)
final class DirectoryCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "settings, a JSON file")
    private Path config;

    @Override
    public Integer call() throws InvalidDocumentException, InterruptedException {
        DirectorySettings settings = DirectorySettings.read(config);
        EventLoop loop = new EventLoop("directory", Clock.system()).start();
        BoxDirectory directory = new BoxDirectory(loop, settings.listen(), settings.lagMs(), settings.beatMs());
        System.out.println("listening on "
                + loop.call(() -> {
                    settings.boxes().forEach(directory::listNow);
                    try {
                        return directory.start();
                    } catch (IOException e) {
                        throw new IOException(
                                "cannot listen on " + settings.listen().getHostString() + ":"
                                        + settings.listen().getPort() + " (/listen of the settings): "
                                        + e.getMessage(),
                                e);
                    }
                }));
        Thread.currentThread().join();
        return Main.OK;
    }
}
