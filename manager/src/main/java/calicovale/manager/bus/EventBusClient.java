package calicovale.manager.bus;

import calicovale.host.Backoff;
import calicovale.host.InvalidValueException;
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
 * Follows the event bus and passes on each event once and in order. After a lost connection, a silence, a gap in
 * the offsets or an invalid line it connects again and requests the events after the last one that it has.
 */
public final class EventBusClient {
    /** Upper bound of one line, in bytes, enough for a list of some thousands of servers. */
    private static final int MAX_LINE_BYTES = 1 << 21;
    /**
     * Time without a line, in ms, after which the bus is considered stopped. It writes a line each second, and
     * events that it holds back count as delivered after 4 s.
     */
    private static final double SILENCE_TIMEOUT_MS = 2100;
    /**
     * Largest random addition to {@link #SILENCE_TIMEOUT_MS}, in ms. All managers notice a silence at the same
     * time, and would all connect to the bus at once.
     */
    private static final double SILENCE_JITTER_MS = 400;
    /** Upper bound, in ms, for opening a connection. */
    private static final double CONNECT_TIMEOUT_MS = 400;
    /** Upper bound, in ms, of the first delay between reconnects. */
    private static final double FIRST_RECONNECT_DELAY_MS = 150;
    /** Upper bound, in ms, of all later delays between reconnects. */
    private static final double MAX_RECONNECT_DELAY_MS = 500;
    /**
     * Fraction of a drain's grace time to which {@link #CONNECT_TIMEOUT_MS}, {@link #FIRST_RECONNECT_DELAY_MS} and
     * {@link #MAX_RECONNECT_DELAY_MS} are each limited. A drain counts as announced once the bus is back. A connect
     * that fails just before that, and the delay until the next one, must leave enough of the grace time to follow the
     * drain.
     */
    private static final double MAX_GRACE_FRACTION = 0.25;

    /** Lower bound, in ms, of the limit that {@link #MAX_GRACE_FRACTION} gives, however short the grace time is. */
    private static final double MIN_RECONNECT_LIMIT_MS = 25;
    /**
     * Time, in ms, for which the answer to a request is still awaited after another connection was made, because the
     * bus may be slow.
     */
    private static final double SLOW_ANSWER_TIMEOUT_MS = 10_000;
    /** Time, in ms, after a request in which the bus has written all missed events; it writes them at once. */
    private static final double CATCH_UP_MS = 250;
    /**
     * Time, in ms, for which a start waits for a bus that does not answer. A start must take less than 10 s even if
     * the bus is down.
     */
    private static final double START_TIMEOUT_MS = 1500;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final Consumer<BusEvent> listener;
    private final Runnable onLost;
    private final Backoff backoff;
    private final double silenceTimeoutMs;
    private final double connectTimeoutMs;
    private InetSocketAddress address;
    private BusConnection currentConnection;
    /** An earlier connection whose request is not answered yet; null: there is none. */
    private BusConnection slowConnection;

    private Timer reconnectTimer;
    private Runnable caughtUpCallback;
    private long lastOffset;
    /** Offset after which missing events were last requested because of a gap; -1: none were. */
    private long gapRequestedAfter = -1;

    /**
     * Creates a client, which connects after {@link #open}.
     *
     * @param lastOffset offset of the last known event
     * @param graceMs time, in ms, for which an announced drain of a server may still be ignored; 0 or less: unknown
     * @param onLost called whenever the client has to connect again
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
        double reconnectLimitMs =
                graceMs <= 0 ? MAX_RECONNECT_DELAY_MS : Math.max(MIN_RECONNECT_LIMIT_MS, MAX_GRACE_FRACTION * graceMs);
        connectTimeoutMs = Math.min(CONNECT_TIMEOUT_MS, reconnectLimitMs);
        backoff = new Backoff(
                Math.min(FIRST_RECONNECT_DELAY_MS, reconnectLimitMs),
                Math.min(MAX_RECONNECT_DELAY_MS, reconnectLimitMs),
                random);
        silenceTimeoutMs = SILENCE_TIMEOUT_MS + SILENCE_JITTER_MS * random.nextDouble();
    }

    /**
     * Connects. Must be called on the loop. {@code caughtUp} is called once: when the bus has written the events
     * after the last known one, or after {@link #START_TIMEOUT_MS}.
     */
    public void open(Runnable caughtUp) {
        caughtUpCallback = caughtUp;
        loop.schedule(START_TIMEOUT_MS, this::notifyCaughtUp);
        connect();
    }

    private void notifyCaughtUp() {
        Runnable callback = caughtUpCallback;
        caughtUpCallback = null;
        if (callback != null) {
            callback.run();
        }
    }

    /** Connects to another address of the bus; the offsets continue. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        backoff.reset();
        dropSlowConnection();
        disconnect();
        connect();
    }

    private void dropSlowConnection() {
        BusConnection slow = slowConnection;
        slowConnection = null;
        if (slow != null) {
            slow.connection.close();
        }
    }

    /** Keeps a connection whose request is not answered yet, while another one is made. */
    private void keepAsSlow(BusConnection connection) {
        slowConnection = connection;
        currentConnection = null;
        loop.schedule(SLOW_ANSWER_TIMEOUT_MS, () -> {
            if (slowConnection == connection) {
                dropSlowConnection();
            }
        });
    }

    /** Uses the slow connection, whose answer has come, in place of the current one. */
    private void useSlowConnection() {
        log.count("bus.slow");
        BusConnection answered = slowConnection;
        slowConnection = null;
        disconnect();
        currentConnection = answered;
    }

    private void disconnect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
        BusConnection previous = currentConnection;
        currentConnection = null;
        if (previous != null) {
            previous.connection.close();
        }
    }

    private void connect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
        currentConnection = new BusConnection();
        currentConnection.connection = loop.connect(address, "bus", connectTimeoutMs, currentConnection);
        currentConnection.restartSilenceTimer();
    }

    private void reconnect(String counter, Object reason) {
        log.warn(counter, reason);
        disconnect();
        reconnectTimer = loop.schedule(backoff.nextDelayMs(), this::connect);
        onLost.run();
    }

    /** One connection to the event bus. */
    private final class BusConnection implements Connection.Handler {
        private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream();
        private Connection connection;
        private Timer silenceTimer;
        /** Whether a line was received. */
        private boolean answered;

        private void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.cancel();
            }
            silenceTimer = loop.schedule(silenceTimeoutMs, () -> {
                if (currentConnection == this) {
                    if (!answered && slowConnection == null) {
                        keepAsSlow(this);
                    }
                    reconnect("bus.silent", "no line from the event bus for " + (long) silenceTimeoutMs + " ms");
                }
            });
        }

        @Override
        public void onOpen(Connection opened) {
            opened.write(ByteBuffer.wrap(("from " + lastOffset + "\n").getBytes(StandardCharsets.US_ASCII)));
            loop.schedule(CATCH_UP_MS, () -> {
                if (currentConnection == this) {
                    notifyCaughtUp();
                }
            });
        }

        @Override
        public void onBytes(Connection source, ByteBuffer bytes) {
            while (bytes.hasRemaining() && (currentConnection == this || slowConnection == this)) {
                byte nextByte = bytes.get();
                if (nextByte != '\n') {
                    lineBytes.write(nextByte);
                    if (lineBytes.size() > MAX_LINE_BYTES) {
                        recordAnswer();
                        reconnect("bus.bad-line", "line is longer than " + MAX_LINE_BYTES + " bytes");
                    }
                    continue;
                }
                String text = lineBytes.toString(StandardCharsets.UTF_8).trim();
                lineBytes.reset();
                if (!text.isEmpty()) {
                    recordAnswer();
                    restartSilenceTimer();
                    handleLine(text);
                }
            }
            bytes.position(bytes.limit());
        }

        private void recordAnswer() {
            answered = true;
            if (slowConnection == this) {
                useSlowConnection();
            } else {
                dropSlowConnection();
            }
        }

        private void handleLine(String text) {
            try {
                BusEvent event = BusEvent.parseLine(text);
                if (event == null) {
                    long offset = BusEvent.parseOffset(text);
                    if (offset > lastOffset) {
                        reconnect(
                                "bus.gap",
                                "the last event on the bus is " + offset + ", the last one received is " + lastOffset);
                    } else {
                        backoff.reset();
                        notifyCaughtUp();
                    }
                    return;
                }
                // events may come out of order, so missing ones are requested again; a gap that remains after that is
                // in the numbering of the bus
                if (event.offset() > lastOffset + 1 && !event.complete() && gapRequestedAfter != lastOffset) {
                    gapRequestedAfter = lastOffset;
                    reconnect("bus.gap", "event " + event.offset() + " received after event " + lastOffset);
                } else if (event.offset() > lastOffset) {
                    lastOffset = event.offset();
                    backoff.reset();
                    listener.accept(event);
                } else {
                    log.count("bus.twice");
                }
            } catch (InvalidValueException e) {
                reconnect("bus.bad-line", e.getMessage());
            }
        }

        @Override
        public void onClosed(Connection closed, IOException cause) {
            silenceTimer.cancel();
            if (slowConnection == this) {
                slowConnection = null;
            } else if (currentConnection == this) {
                reconnect(
                        "bus.broke",
                        "connection to the event bus at " + address + " was lost: "
                                + (cause == null
                                        ? "closed"
                                        : cause.getMessage() == null ? "no reason is given" : cause.getMessage()));
            }
        }
    }
}
