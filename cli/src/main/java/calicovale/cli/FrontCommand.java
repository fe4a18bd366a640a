package calicovale.cli;

import calicovale.front.FrontProcess;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Tap;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code calicovale front}, which runs one session manager until SIGTERM drains it. */
@Command(
        name = "front",
        description = "Runs one session manager; SIGTERM drains and ends it.",
        mixinStandardHelpOptions = true)
final class FrontCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, description = "settings, a JSON file")
    private Path config;

    @Override
    public Integer call() throws InvalidDocumentException, InterruptedException {
        FrontSettings settings = FrontSettings.read(config);
        FrontProcess process = new FrontProcess(settings, Clock.system(), new SecureRandom(), Tap.NONE);
        System.out.println("listening on " + process.address());
        CountDownLatch ended = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    process.drain();
                    ended.countDown();
                },
                "drain");
        Runtime.getRuntime().addShutdownHook(hook);
        ended.await();
        return Main.OK;
    }
}
