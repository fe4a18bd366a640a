package calicovale.manager;

import calicovale.manager.bus.EventBus;
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
    private static final double COUNTS_MS = 10_000;
    /** Ms for which requests still come after a drain has begun. */
    private static final double STILL_COME_MS = 700;
    /** Longest drain, in ms, for sessions that stand: they play on until the platform ends the process. */
    private static final double MOST_DRAIN_MS = 600_000;
    /** Ms between looks at a drain. */
    private static final double DRAIN_LOOK_MS = 20;
    /** Ms for which viewers may read the last answers before the process ends: a close with unread input would undo them. */
    private static final double LINGER_MS = 300;
    /** Ms before a configuration that could not be read is read again, doubling, and how often: it may be half written. */
    private static final double READ_AGAIN_MS = 50;

    private static final int READS = 7;
    /** Bounds of the loop: some hundreds of connections, each message 16 KiB at most. */
    private static final LoopLimits LIMITS = new LoopLimits(1 << 10, 1 << 16, 1 << 18, 512, 64, 1);

    private final ManagerConfig config;
    private final EventLoop loop;
    private final CountDownLatch ended = new CountDownLatch(1);
    private SessionManager manager;
    private EventBus bus;
    private InetSocketAddress address;
    private boolean draining;
    private volatile boolean drained;
    private Timer readAgain;
    private final Path file;
    private String stamp;

    /** Starts a manager; it listens once this returns. */
    public ManagerProcess(ManagerConfig config, Clock clock) throws IOException {
        this(config, null, clock);
    }

    /** Starts a manager whose configuration stands in {@code file}; it listens once this returns. */
    public ManagerProcess(ManagerConfig config, Path file, Clock clock) throws IOException {
        this.config = config;
        this.file = file;
        stamp = stamp(file);
        loop = new EventLoop("manager", clock, LIMITS, Tap.NONE).start();
        // a process that lives and serves nobody is worse than one that is started anew
        loop.whenEnded(ended::countDown);
        // what was told while this process came up counts as told: nothing is sent before it is known
        CompletableFuture<Void> caughtUp = new CompletableFuture<>();
        loop.whenEnded(() -> caughtUp.complete(null));
        try {
            loop.call(() -> begin(() -> caughtUp.complete(null)));
            caughtUp.join();
            address = loop.call(() -> manager.open(config.listen()));
        } catch (IllegalStateException e) {
            loop.close();
            throw new IOException(e.getMessage(), e);
        }
    }

    private boolean begin(Runnable caughtUp) {
        manager = new SessionManager(loop, config);
        bus = new EventBus(
                loop,
                new SplittableRandom(config.seed()),
                manager.log(LOG),
                config.bus(),
                config.knownOffset(),
                config.platform().controller().rules().drainGraceMs(),
                manager::onBus,
                this::busLost);
        bus.open(caughtUp);
        loop.schedule(COUNTS_MS, this::tellCounts);
        return true;
    }

    private void tellCounts() {
        loop.schedule(COUNTS_MS, this::tellCounts);
        LOG.info("counts {}", manager.counts());
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
        return loop.call(manager::counts);
    }

    /** The configuration was replaced: where the event bus is may have changed; all else holds until a restart. */
    public void reload(Path file) {
        loop.execute(() -> read(file, 0));
    }

    /**
     * The bus broke off or does not answer: if the file has changed since, its address may have. Against a SIGHUP that never comes:
     * a process that was started with it ignored cannot have it handled.
     */
    private void busLost() {
        if (file != null && !stamp(file).equals(stamp)) {
            read(file, 0);
        }
    }

    private static String stamp(Path file) {
        if (file == null) {
            return "";
        }
        try {
            return Files.getLastModifiedTime(file) + " " + Files.size(file);
        } catch (IOException e) {
            return "";
        }
    }

    private void read(Path file, int tries) {
        stamp = stamp(file);
        if (readAgain != null) {
            readAgain.cancel();
            readAgain = null;
        }
        try {
            ManagerConfig next = ManagerConfig.read(file);
            LOG.info("configuration read again, the bus is at {}", next.bus());
            bus.moveTo(next.bus());
        } catch (InvalidDocumentException e) {
            LOG.error("the new configuration is not taken, the old one stays: {}", e.faults());
            if (tries < READS) {
                readAgain = loop.schedule(READ_AGAIN_MS * (1 << tries), () -> read(file, tries + 1));
            }
        }
    }

    /** Ends the process once nothing more comes, all that came is answered and nothing stands. */
    public void drain() {
        loop.execute(() -> {
            if (!draining) {
                draining = true;
                LOG.info("drains");
                manager.drain(STILL_COME_MS);
                look(loop.clock().millis());
            }
        });
    }

    private void look(double since) {
        double passed = loop.clock().millis() - since;
        if (passed < MOST_DRAIN_MS && (passed < STILL_COME_MS || !manager.quiet())) {
            loop.schedule(DRAIN_LOOK_MS, () -> look(since));
            return;
        }
        LOG.info("ends, counts {}", manager.counts());
        manager.finish();
        linger(loop.clock().millis());
    }

    private void linger(double since) {
        if (manager.viewers() > 0 && loop.clock().millis() - since < LINGER_MS) {
            loop.schedule(DRAIN_LOOK_MS, () -> linger(since));
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
