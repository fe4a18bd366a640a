package calicovale.manager.bus;

import calicovale.host.Backoff;
import calicovale.host.InvalidValueException;
import calicovale.manager.LimitedLog;
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
public final class EventBus {
    /** Bytes of one line: a list of some thousands of servers. */
    private static final int MOST_LINE = 1 << 21;
    /** Ms without a line after which the bus has stopped: it writes one a second, and what it holds back counts as told after 4 s. */
    private static final double SILENT_MS = 2100;
    /** Ms by which that is spread: all managers' watches fall silent together, and the bus would have all their calls at once. */
    private static final double SILENT_SPREAD_MS = 400;
    /** Most ms for a connection to stand, between the first two tries, and between later ones. */
    private static final double CONNECT_MS = 400;

    private static final double FIRST_MS = 150;
    private static final double MOST_MS = 500;
    /**
     * Part of a drain's grace that each of these may take at most: a drain counts as told once the bus is back, so a try that was lost
     * just before and the wait for the next must leave time to heed it.
     */
    private static final double GRACE_PART = 0.25;

    private static final double LEAST_MS = 25;
    /** Ms in which the bus writes what came since, once asked: it does so at once. */
    private static final double SETTLE_MS = 250;
    /** Ms for which a start waits for a bus that does not answer: a start is due within 10 s, whatever the bus does. */
    private static final double START_MS = 1500;

    private final EventLoop loop;
    private final LimitedLog log;
    private final Consumer<BusEvent> listener;
    private final Runnable lost;
    private final Backoff backoff;
    private final double silentMs;
    private final double connectMs;
    private InetSocketAddress address;
    private Link link;
    private Timer again;
    private Runnable toldOnce;
    private long last;
    /** The last event that was known when a gap behind it was asked for; -1: none was. */
    private long gapAfter = -1;

    /**
     * Asks from event {@code last} on.
     *
     * @param graceMs for how long a drain that was told need not be heeded
     * @param lost hears whenever the bus has to be asked again
     */
    public EventBus(
            EventLoop loop,
            RandomGenerator random,
            LimitedLog log,
            InetSocketAddress address,
            long last,
            double graceMs,
            Consumer<BusEvent> listener,
            Runnable lost) {
        this.loop = loop;
        this.lost = lost;
        this.log = log;
        this.address = address;
        this.last = last;
        this.listener = listener;
        double most = graceMs <= 0 ? MOST_MS : Math.max(LEAST_MS, GRACE_PART * graceMs);
        connectMs = Math.min(CONNECT_MS, most);
        backoff = new Backoff(Math.min(FIRST_MS, most), Math.min(MOST_MS, most), random);
        silentMs = SILENT_MS + SILENT_SPREAD_MS * random.nextDouble();
    }

    /**
     * Connects; to be called on the loop. {@code caughtUp} is called once, when the bus has told what came since the last event that is
     * known, or after a while if it does not answer.
     */
    public void open(Runnable caughtUp) {
        toldOnce = caughtUp;
        loop.schedule(START_MS, this::caughtUp);
        connect();
    }

    private void caughtUp() {
        Runnable body = toldOnce;
        toldOnce = null;
        if (body != null) {
            body.run();
        }
    }

    /** The bus is elsewhere now; the numbers go on. */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        backoff.reset();
        drop();
        connect();
    }

    private void drop() {
        if (again != null) {
            again.cancel();
            again = null;
        }
        Link old = link;
        link = null;
        if (old != null) {
            old.connection.close();
        }
    }

    private void connect() {
        if (again != null) {
            again.cancel();
            again = null;
        }
        link = new Link();
        link.connection = loop.connect(address, "bus", connectMs, link);
        link.watch();
    }

    private void askAgain(String kind, Object why) {
        log.say(kind, why);
        drop();
        again = loop.schedule(backoff.nextDelayMs(), this::connect);
        lost.run();
    }

    private final class Link implements Connection.Handler {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Connection connection;
        private Timer silence;

        private void watch() {
            if (silence != null) {
                silence.cancel();
            }
            silence = loop.schedule(silentMs, () -> {
                if (link == this) {
                    askAgain("bus.silent", "nothing for " + (long) silentMs + " ms");
                }
            });
        }

        @Override
        public void onOpen(Connection c) {
            c.write(ByteBuffer.wrap(("from " + last + "\n").getBytes(StandardCharsets.US_ASCII)));
            loop.schedule(SETTLE_MS, () -> {
                if (link == this) {
                    caughtUp();
                }
            });
        }

        @Override
        public void onBytes(Connection c, ByteBuffer bytes) {
            while (bytes.hasRemaining() && link == this) {
                byte b = bytes.get();
                if (b != '\n') {
                    line.write(b);
                    if (line.size() > MOST_LINE) {
                        askAgain("bus.bad-line", "a line of more than " + MOST_LINE + " bytes");
                    }
                    continue;
                }
                String text = line.toString(StandardCharsets.UTF_8).trim();
                line.reset();
                if (!text.isEmpty()) {
                    watch();
                    take(text);
                }
            }
            bytes.position(bytes.limit());
        }

        private void take(String text) {
            try {
                BusEvent event = BusEvent.readLine(text);
                if (event == null) {
                    long number = BusEvent.number(text);
                    if (number > last) {
                        askAgain("bus.gap", "the last event is " + number + ", here it is " + last);
                    } else {
                        backoff.reset();
                        caughtUp();
                    }
                    return;
                }
                // events may come out of order; a gap that asking again does not close is the bus's own numbering
                if (event.offset() > last + 1 && !event.whole() && gapAfter != last) {
                    gapAfter = last;
                    askAgain("bus.gap", "event " + event.offset() + " after " + last);
                } else if (event.offset() > last) {
                    last = event.offset();
                    backoff.reset();
                    listener.accept(event);
                } else {
                    log.count("bus.twice");
                }
            } catch (InvalidValueException e) {
                askAgain("bus.bad-line", e.getMessage());
            }
        }

        @Override
        public void onClosed(Connection c, IOException cause) {
            silence.cancel();
            if (link == this) {
                askAgain("bus.broke", cause == null ? "closed" : cause.getMessage());
            }
        }
    }
}
