package calicovale.host;

import calicovale.ControllerApi.Actions;
import calicovale.ControllerApi.Event;
import calicovale.ControllerApi.Settings;
import calicovale.ControllerApi.TimerFired;
import calicovale.SessionController;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Owns the one controller of this process: it is given one event at a time, in order, each at the common time of its
 * handling; events raised while one is handled wait for its end.
 */
public final class ControllerHost {
    private final DoubleSupplier now;
    private final LongSupplier nanos;
    private final ArrayDeque<Event> waiting = new ArrayDeque<>();
    private final SessionController controller;
    private boolean handling;
    private LongConsumer decisionNanos = nanos -> {};
    private Consumer<Event> witness = event -> {};

    /**
     * Starts the controller; {@code carrier} carries its actions out.
     *
     * @param now the common time, in ms
     * @param nanos a monotonic clock, by which decisions are timed
     * @param scheduler calls back on the thread that owns this host
     */
    public ControllerHost(
            DoubleSupplier now,
            LongSupplier nanos,
            Scheduler scheduler,
            Settings settings,
            long seed,
            Carrier carrier) {
        this.now = now;
        this.nanos = nanos;
        handling = true;
        controller = new SessionController(settings, seed, nowMs(), new Actions() {
            @Override
            public void attempt(String id, long server, double timeoutMs) {
                carrier.attempt(id, server, timeoutMs);
            }

            @Override
            public void cancel(String id, int attempt) {
                carrier.cancel(id, attempt);
            }

            @Override
            public void rung(String id, int rung) {
                carrier.rung(id, rung);
            }

            @Override
            public void move(String id) {
                carrier.move(id);
            }

            @Override
            public void refuse(String id, double retryAfterMs) {
                carrier.refuse(id, retryAfterMs);
            }

            @Override
            public void fail(String id) {
                carrier.fail(id);
            }

            @Override
            public void probe(long server) {
                throw new IllegalStateException("the settings permit no probes");
            }

            @Override
            public void tellPeers(byte[] body) {
                throw new IllegalStateException("the settings permit no messages");
            }

            @Override
            public void subscribe() {
                // the list's stream is always held
            }

            @Override
            public void timer(double delayMs, String name) {
                scheduler.schedule(delayMs, () -> raise(new TimerFired(name)));
            }

            @Override
            public void log(String text) {
                carrier.log(text);
            }
        });
        handling = false;
    }

    /** Calls back after a time. */
    @FunctionalInterface
    public interface Scheduler {
        /** Calls {@code body} once, after {@code delayMs}. */
        void schedule(double delayMs, Runnable body);
    }

    /** What carries the actions out; see {@link Actions}. None of these may wait. */
    public interface Carrier {
        /** Sets a session up. */
        void attempt(String id, long server, double timeoutMs);

        /** Calls an attempt off. */
        void cancel(String id, int attempt);

        /** Sets the rung of a session. */
        void rung(String id, int rung);

        /** Ends a playing session, whose viewer then comes as a moved request. */
        void move(String id);

        /** Turns away. */
        void refuse(String id, double retryAfterMs);

        /** Answers with a failure. */
        void fail(String id);

        /** Logs a line. */
        void log(String text);
    }

    /** The common time now, in ms. */
    public double nowMs() {
        return now.getAsDouble();
    }

    /** How many servers the controller holds. */
    public int serversHeld() {
        return controller.serversHeld();
    }

    /** Hears how long each event took to decide, in ns. */
    public void onDecision(LongConsumer listener) {
        decisionNanos = listener;
    }

    /** Hears of each event once the controller has handled it. */
    public void onEvent(Consumer<Event> listener) {
        witness = listener;
    }

    /** Gives the controller an event, now or as soon as the one before it is handled. */
    public void raise(Event event) {
        waiting.addLast(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            Event next;
            while ((next = waiting.pollFirst()) != null) {
                long from = nanos.getAsLong();
                controller.handle(nowMs(), next);
                decisionNanos.accept(nanos.getAsLong() - from);
                witness.accept(next);
            }
        } finally {
            handling = false;
        }
    }
}
