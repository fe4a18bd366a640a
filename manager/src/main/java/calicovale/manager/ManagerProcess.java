package calicovale.manager;

import calicovale.manager.bus.EventBusClient;
import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.LoopLimits;
import calicovale.protocols.net.Tap;
import calicovale.protocols.net.Timer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns one manager's loop and its parts, from start to drain. */
public final class ManagerProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ManagerProcess.class);
    /** Ms between lines of counts. */
    private static final double COUNTS_INTERVAL_MS = 10_000;
    /** Ms for which requests still come after a drain has begun. */
    private static final double LATE_REQUESTS_MS = 700;
    /** Longest drain, in ms, for sessions that stand: they play on until the platform ends the process. */
    private static final double MAX_DRAIN_MS = 600_000;
    /** Ms between looks at a drain. */
    private static final double DRAIN_CHECK_INTERVAL_MS = 20;
    /** Ms for which viewers may read the last answers before the process ends: a close with unread input would undo them. */
    private static final double LINGER_TIMEOUT_MS = 300;
    /** Ms before a configuration that could not be read is read again, doubling, and how often: it may be half written. */
    private static final double FIRST_REREAD_DELAY_MS = 50;

    private static final int MAX_REREADS = 7;
    /** Bounds of the loop: some hundreds of connections, each message 16 KiB at most. */
    private static final LoopLimits LOOP_LIMITS = new LoopLimits(1 << 10, 1 << 16, 1 << 18, 512, 64, 1);

    private final ManagerConfig config;
    private final EventLoop loop;
    private final CountDownLatch ended = new CountDownLatch(1);
    private SessionCoordinator coordinator;
    private EventBusClient bus;
    private InetSocketAddress address;
    private boolean draining;
    private volatile boolean drained;
    private Timer rereadTimer;
    private final Path file;
    private String fileStamp;

    /** Starts a manager; it listens once this returns. */
    public ManagerProcess(ManagerConfig config, Clock clock) throws IOException {
        this(config, null, clock);
    }

    /** Starts a manager whose configuration stands in {@code file}; it listens once this returns. */
    public ManagerProcess(ManagerConfig config, Path file, Clock clock) throws IOException {
        this.config = config;
        this.file = file;
        fileStamp = stampOf(file);
        loop = new EventLoop("manager", clock, LOOP_LIMITS, Tap.NONE).start();
        // a process that lives and serves nobody is worse than one that is started anew
        loop.whenEnded(ended::countDown);
        // what was told while this process came up counts as told: nothing is sent before it is known
        CompletableFuture<Void> caughtUp = new CompletableFuture<>();
        loop.whenEnded(() -> caughtUp.complete(null));
        try {
            loop.call(() -> begin(() -> caughtUp.complete(null)));
            caughtUp.join();
            address = loop.call(() -> coordinator.open(config.listen()));
        } catch (IllegalStateException e) {
            loop.close();
            throw new IOException(e.getMessage(), e);
        }
    }

    private boolean begin(Runnable caughtUp) {
        coordinator = new SessionCoordinator(loop, config);
        bus = new EventBusClient(
                loop,
                new SplittableRandom(config.seed()),
                coordinator.log(LOG),
                config.bus(),
                config.knownOffset(),
                config.platform().controller().rules().drainGraceMs(),
                coordinator::handleBusEvent,
                this::rereadIfChanged);
        bus.open(caughtUp);
        loop.schedule(COUNTS_INTERVAL_MS, this::logCounts);
        return true;
    }

    private void logCounts() {
        loop.schedule(COUNTS_INTERVAL_MS, this::logCounts);
        LOG.info("counts {}", coordinator.counts());
    }

    /** Its loop, for tests that force an order of events. */
    EventLoop loop() {
        return loop;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** What has been counted. */
    public java.util.Map<String, Long> counts() {
        return loop.call(coordinator::counts);
    }

    /** The configuration was replaced: where the event bus is may have changed; all else holds until a restart. */
    public void reload(Path file) {
        loop.execute(() -> readConfig(file, 0));
    }

    /**
     * The bus broke off or does not answer: if the file has changed since, its address may have. Against a SIGHUP that never comes:
     * a process that was started with it ignored cannot have it handled.
     */
    private void rereadIfChanged() {
        if (file != null && !stampOf(file).equals(fileStamp)) {
            readConfig(file, 0);
        }
    }

    private static String stampOf(Path file) {
        if (file == null) {
            return "";
        }
        try {
            return Files.getLastModifiedTime(file) + " " + Files.size(file);
        } catch (IOException e) {
            return "";
        }
    }

    private void readConfig(Path file, int rereads) {
        fileStamp = stampOf(file);
        if (rereadTimer != null) {
            rereadTimer.cancel();
            rereadTimer = null;
        }
        try {
            ManagerConfig newConfig = ManagerConfig.read(file);
            LOG.info("configuration read again, the bus is at {}", newConfig.bus());
            bus.changeAddress(newConfig.bus());
        } catch (InvalidDocumentException e) {
            LOG.error("the new configuration is not taken, the old one stays: {}", e.faults());
            if (rereads < MAX_REREADS) {
                rereadTimer =
                        loop.schedule(FIRST_REREAD_DELAY_MS * (1 << rereads), () -> readConfig(file, rereads + 1));
            }
        }
    }

    /** Ends the process once nothing more comes, all that came is answered and nothing stands. */
    public void drain() {
        loop.execute(() -> {
            if (!draining) {
                draining = true;
                LOG.info("drains");
                coordinator.drain(LATE_REQUESTS_MS);
                checkDrain(loop.clock().millis());
            }
        });
    }

    private void checkDrain(double sinceMs) {
        double elapsedMs = loop.clock().millis() - sinceMs;
        if (elapsedMs < MAX_DRAIN_MS && (elapsedMs < LATE_REQUESTS_MS || !coordinator.isQuiet())) {
            loop.schedule(DRAIN_CHECK_INTERVAL_MS, () -> checkDrain(sinceMs));
            return;
        }
        LOG.info("ends, counts {}", coordinator.counts());
        coordinator.closeViewers();
        linger(loop.clock().millis());
    }

    private void linger(double sinceMs) {
        if (coordinator.viewerLinkCount() > 0 && loop.clock().millis() - sinceMs < LINGER_TIMEOUT_MS) {
            loop.schedule(DRAIN_CHECK_INTERVAL_MS, () -> linger(sinceMs));
        } else {
            drained = true;
            ended.countDown();
        }
    }

    /** Waits for the end of a drain; false if the loop failed, and with it the manager. */
    public boolean await() throws InterruptedException {
        ended.await();
        return drained;
    }

    @Override
    public void close() {
        loop.close();
        ended.countDown();
    }
}
