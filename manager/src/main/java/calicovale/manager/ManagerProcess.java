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

/** One manager: its event loop, its connections and the client of the event bus, from start to the end of a drain. */
public final class ManagerProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ManagerProcess.class);
    /** Interval, in ms, between log lines of counters. */
    private static final double COUNTS_INTERVAL_MS = 10_000;
    /** Time, in ms, for which set-ups still come after a drain has begun. */
    private static final double LATE_REQUESTS_MS = 700;
    /**
     * Longest drain, in ms. Until then the process waits for the end of playing sessions, if the platform does not
     * kill it before.
     */
    private static final double MAX_DRAIN_MS = 600_000;
    /** Interval, in ms, between checks of a drain. */
    private static final double DRAIN_CHECK_INTERVAL_MS = 20;
    /**
     * Time, in ms, for which viewers may read the last answers before the process ends. Closing a connection with
     * unread input resets it, and answers on their way are lost.
     */
    private static final double LINGER_TIMEOUT_MS = 300;
    /**
     * Delay, in ms, before a configuration with faults is read again, because it may be only half written. It
     * doubles each time, up to {@link #MAX_REREADS} times.
     */
    private static final double FIRST_REREAD_DELAY_MS = 50;

    /** Upper bound of the repeated reads of a configuration with faults. */
    private static final int MAX_REREADS = 7;
    /** Upper bound of messages to the event loop from other threads. */
    private static final int MAILBOX_MESSAGES = 1 << 10;
    /** Size, in bytes, of the buffer for one read call. */
    private static final int READ_BYTES = 1 << 14;
    /** Upper bound, in bytes, of what waits to be written to one peer. */
    private static final int MAX_PENDING_BYTES = 1 << 18;
    /** Part of the heap that may wait to be written to all peers. */
    private static final int PENDING_BYTES_HEAP_DIVISOR = 16;
    /** Upper bound of connections that wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 512;
    /** Upper bound of connections accepted in one turn of the event loop. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    /** Upper bound of datagrams received in one turn of the event loop; a manager uses no datagrams. */
    private static final int MAX_DATAGRAMS_PER_TURN = 1;
    /** Bounds of the event loop, for some hundreds of connections and messages of at most 16 KiB. */
    private static final LoopLimits LOOP_LIMITS = new LoopLimits(
            MAILBOX_MESSAGES,
            READ_BYTES,
            MAX_PENDING_BYTES,
            Runtime.getRuntime().maxMemory() / PENDING_BYTES_HEAP_DIVISOR,
            ACCEPT_BACKLOG,
            MAX_ACCEPTS_PER_TURN,
            MAX_DATAGRAMS_PER_TURN);

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
    /** Modification time and size of the file when it was last read; empty: unknown, or there is no file. */
    private String fileStamp;

    /** Starts a manager, which listens when this returns. Throws {@link IOException} if the start fails. */
    public ManagerProcess(ManagerConfig config, Clock clock) throws IOException {
        this(config, null, clock);
    }

    /**
     * Starts a manager, which listens when this returns and reads {@code file} again if it has changed when the bus
     * is lost. Throws {@link IOException} if the start fails.
     *
     * @param file file of the configuration; null: none is read again
     */
    public ManagerProcess(ManagerConfig config, Path file, Clock clock) throws IOException {
        this.config = config;
        this.file = file;
        fileStamp = stampOf(file);
        loop = new EventLoop("manager", clock, LOOP_LIMITS, Tap.NONE).start();
        // ends the process if the loop fails, so that the platform starts it again
        loop.whenEnded(ended::countDown);
        // events of the bus during the start count as received by this manager, so set-ups are accepted only once
        // these events are known
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

    /** Returns the event loop, for tests that force an order of events. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the address on which viewers connect. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns all counters. */
    public java.util.Map<String, Long> counts() {
        return loop.call(coordinator::counts);
    }

    /** Reads the configuration again and connects to the event bus that it names. Other changes need a restart. */
    public void reload(Path file) {
        loop.execute(() -> readConfig(file, 0));
    }

    /**
     * Reads the configuration again if the file has changed, because a lost bus may have a new address there.
     * This covers a process that was started with SIGHUP ignored, which cannot install a handler for it.
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
            LOG.info("configuration read again, the address of the event bus is {}", newConfig.bus());
            bus.changeAddress(newConfig.bus());
        } catch (InvalidDocumentException e) {
            LOG.error("the new configuration is invalid, the old one remains in use: {}", e.faults());
            if (rereads < MAX_REREADS) {
                rereadTimer =
                        loop.schedule(FIRST_REREAD_DELAY_MS * (1 << rereads), () -> readConfig(file, rereads + 1));
            }
        }
    }

    /** Starts a drain: the process ends when no more set-ups come, all are answered and no session plays. */
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
        LOG.info(
                "drain ended after {} ms with {} sessions left, counts {}",
                (long) elapsedMs,
                coordinator.sessionCount(),
                coordinator.counts());
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

    /** Waits for the end of the manager. Returns true after a drain, false if the event loop failed or was closed. */
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
