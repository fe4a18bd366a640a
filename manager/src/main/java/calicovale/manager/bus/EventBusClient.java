package calicovale.manager.bus;

import calicovale.host.Backoff;
import calicovale.host.BadValueException;
import calicovale.manager.RateLimitedLog;
import calicovale.protocols.net.Connection;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.Timer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Owns the link to the event bus. Each event is told once and in order, whatever the bus writes twice, breaks off or keeps to
 * itself: after a break, a silence, a gap or a line that cannot be read it asks again, from the last event that it has.
 */
public final class EventBusClient {
    /** Bytes of one line: a list of some thousands of servers. */
    private static final int MAX_LINE_BYTES = 1 << 21;
    /** Ms without a line after which the bus has stopped: it writes one a second, and what it holds back counts as told after 4 s. */
    private static final double SILENCE_TIMEOUT_MS = 2100;
    /** Ms by which that is spread: all managers' watches fall silent together, and the bus would have all their calls at once. */
    private static final double SILENCE_JITTER_MS = 400;
    /** Most ms for a connection to stand, between the first two tries, and between later ones. */
    private static final double CONNECT_TIMEOUT_MS = 400;

    private static final double FIRST_RECONNECT_DELAY_MS = 150;
    private static final double MAX_RECONNECT_DELAY_MS = 500;
    /**
     * Part of a drain's grace that each of these may take at most: a drain counts as told once the bus is back, so a try that was lost
     * just before and the wait for the next must leave time to heed it.
     */
    private static final double MAX_GRACE_FRACTION = 0.25;

    private static final double MIN_LIMIT_MS = 25;
    /** Ms in which the bus writes what came since, once asked: it does so at once. */
    private static final double CATCH_UP_MS = 250;
    /** Ms for which a start waits for a bus that does not answer: a start is due within 10 s, whatever the bus does. */
    private static final double START_TIMEOUT_MS = 1500;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final Consumer<BusEvent> listener;
    private final Runnable onLost;
    private final Backoff backoff;
    private final double silenceTimeoutMs;
    private final double connectTimeoutMs;
    private InetSocketAddress address;
    private BusConnection connection;
    private Timer reconnectTimer;
    private Runnable caughtUpCallback;
    private long lastOffset;
    /** The last event that was known when a gap behind it was asked for; -1: none was. */
    private long gapRequestedAfter = -1;

    /**
     * Asks from event {@code last} on.
     *
     * @param graceMs for how long a drain that was told need not be heeded
     * @param onLost hears whenever the bus has to be asked again
     */
    public EventBusClient(
            EventLoop loop,
            RandomGenerator random,
            RateLimitedLog log,
            InetSocketAddress address,
            long lastOffset,
            double graceMs,
            Consumer<BusEvent> listener,
            Runnable onLost) {
        this.loop = loop;
        this.onLost = onLost;
        this.log = log;
        this.address = address;
        this.lastOffset = lastOffset;
        this.listener = listener;
        double maxDelayMs =
                graceMs <= 0 ? MAX_RECONNECT_DELAY_MS : Math.max(MIN_LIMIT_MS, MAX_GRACE_FRACTION * graceMs);
        connectTimeoutMs = Math.min(CONNECT_TIMEOUT_MS, maxDelayMs);
        backoff = new Backoff(
                Math.min(FIRST_RECONNECT_DELAY_MS, maxDelayMs), Math.min(MAX_RECONNECT_DELAY_MS, maxDelayMs), random);
        silenceTimeoutMs = SILENCE_TIMEOUT_MS + SILENCE_JITTER_MS * random.nextDouble();
    }

    /**
     * Connects; to be called on the loop. {@code caughtUp} is called once, when the bus has told what came since the last event that is
     * known, or after a while if it does not answer.
     */
    public void open(Runnable caughtUp) {
        caughtUpCallback = caughtUp;
        loop.schedule(START_TIMEOUT_MS, this::caughtUp);
        connect();
    }

    private void caughtUp() {
        Runnable callback = caughtUpCallback;
        caughtUpCallback = null;
        if (callback != null) {
            callback.run();
        }
    }

    /** The bus is elsewhere now; the numbers go on. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        backoff.reset();
        disconnect();
        connect();
    }

    private void disconnect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
        BusConnection previous = connection;
        connection = null;
        if (previous != null) {
            previous.socket.close();
        }
    }

    private void connect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
        connection = new BusConnection();
        connection.socket = loop.connect(address, "bus", connectTimeoutMs, connection);
        connection.restartSilenceTimer();
    }

    private void reconnect(String counter, Object reason) {
        log.warn(counter, reason);
        disconnect();
        reconnectTimer = loop.schedule(backoff.nextMs(), this::connect);
        onLost.run();
    }

    private final class BusConnection implements Connection.Handler {
        private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream();
        private Connection socket;
        private Timer silenceTimer;

        private void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.cancel();
            }
            silenceTimer = loop.schedule(silenceTimeoutMs, () -> {
                if (connection == this) {
                    reconnect("bus.silent", "nothing for " + (long) silenceTimeoutMs + " ms");
                }
            });
        }

        @Override
        public void onOpen(Connection opened) {
            opened.write(ByteBuffer.wrap(("from " + lastOffset + "\n").getBytes(StandardCharsets.US_ASCII)));
            loop.schedule(CATCH_UP_MS, () -> {
                if (connection == this) {
                    caughtUp();
                }
            });
        }

        @Override
        public void onBytes(Connection source, ByteBuffer bytes) {
            while (bytes.hasRemaining() && connection == this) {
                byte nextByte = bytes.get();
                if (nextByte != '\n') {
                    lineBytes.write(nextByte);
                    if (lineBytes.size() > MAX_LINE_BYTES) {
                        reconnect("bus.bad-line", "a line of more than " + MAX_LINE_BYTES + " bytes");
                    }
                    continue;
                }
                String text = lineBytes.toString(StandardCharsets.UTF_8).trim();
                lineBytes.reset();
                if (!text.isEmpty()) {
                    restartSilenceTimer();
                    handleLine(text);
                }
            }
            bytes.position(bytes.limit());
        }

        private void handleLine(String text) {
            try {
                BusEvent event = BusEvent.parseLine(text);
                if (event == null) {
                    long offset = BusEvent.parseOffset(text);
                    if (offset > lastOffset) {
                        reconnect("bus.gap", "the last event is " + offset + ", here it is " + lastOffset);
                    } else {
                        backoff.reset();
                        caughtUp();
                    }
                    return;
                }
                // events may come out of order; a gap that asking again does not close is the bus's own numbering
                if (event.offset() > lastOffset + 1 && !event.complete() && gapRequestedAfter != lastOffset) {
                    gapRequestedAfter = lastOffset;
                    reconnect("bus.gap", "event " + event.offset() + " after " + lastOffset);
                } else if (event.offset() > lastOffset) {
                    lastOffset = event.offset();
                    backoff.reset();
                    listener.accept(event);
                } else {
                    log.count("bus.twice");
                }
            } catch (BadValueException e) {
                reconnect("bus.bad-line", e.getMessage());
            }
        }

        @Override
        public void onClosed(Connection closed, IOException cause) {
            silenceTimer.cancel();
            if (connection == this) {
                reconnect("bus.broke", cause == null ? "closed" : cause.getMessage());
            }
        }
    }
}
