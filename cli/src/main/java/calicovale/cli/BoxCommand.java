package calicovale.cli;

import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.standin.BoxSettings;
import calicovale.standin.MediaBox;
import calicovale.standin.Rack;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code calicovale box}, which runs one stand-in media box. Its rack's uplink is unlimited. */
@Command(name = "box", description = "Runs one stand-in media box.", mixinStandardHelpOptions = true)
final class BoxCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "settings, a JSON file")
    private Path config;

    @Override
    public Integer call() throws InvalidDocumentException, InterruptedException {
        BoxSettings settings = BoxSettings.read(config);
        EventLoop loop = new EventLoop("box", Clock.system()).start();
        MediaBox box = new MediaBox(loop, settings, new Rack(0), new SecureRandom());
        System.out.println("listening on " + loop.call(() -> box.startOrThrow(false)));
        Thread.currentThread().join();
        return Main.OK;
    }
}
