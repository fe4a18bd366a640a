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
 * Runs one session controller. Events are handled one at a time, in the order in which they were raised, each with the
 * common clock's time at the start of its handling. Events raised while another is handled are queued.
 */
public final class ControllerHost {
    private final DoubleSupplier clockMs;
    private final LongSupplier monotonicNanos;
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private final SessionController controller;
    private boolean handlingEvent;
    private LongConsumer decisionTimeListener = durationNanos -> {};
    private Consumer<Event> eventListener = event -> {};

    /**
     * Creates and starts the controller.
     *
     * @param clockMs the common clock of all session managers, in ms
     * @param monotonicNanos a monotonic clock in ns, used to measure how long decisions take
     * @param scheduler runs the controller's timers, on the thread that owns this host
     * @param settings the controller's settings
     * @param seed seed of the controller's random numbers
     * @param actionHandler carries out the controller's actions
     */
    public ControllerHost(
            DoubleSupplier clockMs,
            LongSupplier monotonicNanos,
            Scheduler scheduler,
            Settings settings,
            long seed,
            ActionHandler actionHandler) {
        this.clockMs = clockMs;
        this.monotonicNanos = monotonicNanos;
        handlingEvent = true;
        controller = new SessionController(settings, seed, nowMs(), new Actions() {
            @Override
            public void attempt(String id, long server, double timeoutMs) {
                actionHandler.attempt(id, server, timeoutMs);
            }

            @Override
            public void cancel(String id, int attempt) {
                actionHandler.cancel(id, attempt);
            }

            @Override
            public void rung(String id, int rung) {
                actionHandler.rung(id, rung);
            }

            @Override
            public void move(String id) {
                actionHandler.move(id);
            }

            @Override
            public void refuse(String id, double retryAfterMs) {
                actionHandler.refuse(id, retryAfterMs);
            }

            @Override
            public void fail(String id) {
                actionHandler.fail(id);
            }

            @Override
            public void probe(long server) {
                throw new IllegalStateException(
                        "the controller probed a server although probes are not supported by this host");
            }

            @Override
            public void tellPeers(byte[] body) {
                throw new IllegalStateException(
                        "the controller sent a message to peers although messages are not supported by this host");
            }

            @Override
            public void subscribe() {
                // nothing to do: the stream of the server list is always open
            }

            @Override
            public void timer(double delayMs, String name) {
                scheduler.schedule(delayMs, () -> raise(new TimerFired(name)));
            }

            @Override
            public void log(String text) {
                actionHandler.log(text);
            }
        });
        handlingEvent = false;
    }

    /** Runs tasks after a delay. */
    @FunctionalInterface
    public interface Scheduler {
        /** Runs {@code task} once, after {@code delayMs} ms. */
        void schedule(double delayMs, Runnable task);
    }

    /** Carries out the controller's actions; see {@link Actions}. No method may block. */
    public interface ActionHandler {
        /** Sets up a session at a server; the attempt ends as timed out after {@code timeoutMs} ms. */
        void attempt(String id, long server, double timeoutMs);

        /** Cancels an attempt, given by its number within the session. */
        void cancel(String id, int attempt);

        /** Sets the rung of a session. */
        void rung(String id, int rung);

        /** Ends a playing session; the viewer's next request is marked as moved. */
        void move(String id);

        /** Refuses a request; the viewer may retry after {@code retryAfterMs} ms. */
        void refuse(String id, double retryAfterMs);

        /** Answers a request with a failure. */
        void fail(String id);

        /** Writes a line to the operators' log. */
        void log(String text);
    }

    /** Returns the common clock's time, in ms. */
    public double nowMs() {
        return clockMs.getAsDouble();
    }

    /** Returns the number of servers that the controller holds in memory. */
    public int serversHeld() {
        return controller.serversHeld();
    }

    /** Sets the listener that receives the time the controller took for each event, in ns. */
    public void setDecisionTimeListener(LongConsumer listener) {
        decisionTimeListener = listener;
    }

    /** Sets the listener that receives each event after the controller has handled it. */
    public void setEventListener(Consumer<Event> listener) {
        eventListener = listener;
    }

    /** Passes an event to the controller, at once or after the events that were raised before it. */
    public void raise(Event event) {
        pendingEvents.addLast(event);
        if (handlingEvent) {
            return;
        }
        handlingEvent = true;
        try {
            Event nextEvent;
            while ((nextEvent = pendingEvents.pollFirst()) != null) {
                long startedNanos = monotonicNanos.getAsLong();
                controller.handle(nowMs(), nextEvent);
                decisionTimeListener.accept(monotonicNanos.getAsLong() - startedNanos);
                eventListener.accept(nextEvent);
            }
        } finally {
            handlingEvent = false;
        }
    }
}
