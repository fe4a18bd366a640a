package calicovale.manager;

import calicovale.manager.bus.EventBus;
import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.LoopLimits;
import calicovale.protocols.net.Tap;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SplittableRandom;
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
    /** Bounds of the loop: some hundreds of connections, each message 16 KiB at most. */
    private static final LoopLimits LIMITS = new LoopLimits(1 << 10, 1 << 16, 1 << 18, 512, 64, 1);

    private final ManagerConfig config;
    private final EventLoop loop;
    private final CountDownLatch ended = new CountDownLatch(1);
    private SessionManager manager;
    private EventBus bus;
    private InetSocketAddress address;

    /** Starts a manager; it listens once this returns. */
    public ManagerProcess(ManagerConfig config, Clock clock) throws IOException {
        this.config = config;
        loop = new EventLoop("manager", clock, LIMITS, Tap.NONE).start();
        try {
            address = loop.call(this::begin);
        } catch (IllegalStateException e) {
            loop.close();
            throw new IOException(e.getMessage(), e);
        }
    }

    private InetSocketAddress begin() throws IOException {
        manager = new SessionManager(loop, config);
        bus = new EventBus(loop, new SplittableRandom(config.seed()), manager.log(LOG), config.bus(), config.knownOffset(),
                manager::onBus);
        bus.open();
        loop.schedule(COUNTS_MS, this::tellCounts);
        return manager.open(config.listen());
    }

    private void tellCounts() {
        loop.schedule(COUNTS_MS, this::tellCounts);
        LOG.info("counts {}", manager.counts());
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
        loop.execute(() -> {
            try {
                ManagerConfig next = ManagerConfig.read(file);
                LOG.info("configuration read again, the bus is at {}", next.bus());
                bus.moveTo(next.bus());
            } catch (InvalidDocumentException e) {
                LOG.error("the new configuration is not taken: {}", e.faults());
            }
        });
    }

    /** Ends the process once nothing more comes, all that came is answered and nothing stands. */
    public void drain() {
        loop.execute(() -> {
            LOG.info("drains");
            look(loop.clock().millis());
        });
    }

    private void look(double since) {
        double passed = loop.clock().millis() - since;
        if (passed < MOST_DRAIN_MS && (passed < STILL_COME_MS || manager.held() > 0)) {
            loop.schedule(DRAIN_LOOK_MS, () -> look(since));
            return;
        }
        LOG.info("ends, counts {}", manager.counts());
        ended.countDown();
    }

    /** Waits for the end of a drain. */
    public void await() throws InterruptedException {
        ended.await();
    }

    @Override
    public void close() {
        loop.close();
        ended.countDown();
    }
}
