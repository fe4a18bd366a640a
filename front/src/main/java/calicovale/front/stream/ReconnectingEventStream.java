package calicovale.front.stream;

import calicovale.host.Backoff;
import calicovale.host.Counters;
import calicovale.protocols.http.EventStream;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.http.HttpClient.Failure;
import calicovale.protocols.http.HttpException;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.Timer;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Supplier;

/**
 * A stream of server-sent events that is kept open from {@link #start} to {@link #stop}. A stream that ends, fails or
 * is silent for too long is reopened after a backoff delay with jitter. Events sent while it is not connected are
 * lost. Only for use on the loop's thread.
 */
public final class ReconnectingEventStream {

    /** Receives what happens on the stream, on the loop's thread. */
    public interface Listener {
        /**
         * Called for each event.
         *
         * @param requestedAtMs monotonic time, in ms, at which the request for the present connection's stream was sent
         */
        void onEvent(String type, String data, double requestedAtMs);

        /**
         * Called when the stream has ended or could not be opened; another attempt follows.
         *
         * @param failure the failure, or null if the peer ended the response in order
         */
        void onDisconnected(Failure failure);

        /** Called at intervals of a third of the silence timeout while the stream is started, connected or not. */
        default void onPeriodicCheck() {}
    }

    private final EventLoop loop;
    private final HttpClient client;
    private final Supplier<InetSocketAddress> address;
    private final String connectionName;
    private final String target;
    private final int maxEventBytes;
    private final double silenceTimeoutMs;
    private final Backoff backoff;
    private final Counters counters;
    private final Listener listener;
    private boolean started;
    private HttpClient.Call currentCall;
    private Timer retryTimer;
    private Timer silenceTimer;
    private double lastByteAtMs;

    /**
     * Creates a stream that is not started.
     *
     * @param address returns the address to connect to, at each attempt
     * @param connectionName name of the connection; the part before its colon is the prefix of the counters' names
     * @param target path and query of the request
     * @param maxEventBytes upper bound of the size of one event, in bytes
     * @param silenceTimeoutMs time without any received byte after which the connection is considered dead, in ms
     */
    public ReconnectingEventStream(
            EventLoop loop,
            HttpClient client,
            Supplier<InetSocketAddress> address,
            String connectionName,
            String target,
            int maxEventBytes,
            double silenceTimeoutMs,
            Backoff backoff,
            Counters counters,
            Listener listener) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.connectionName = connectionName;
        this.target = target;
        this.maxEventBytes = maxEventBytes;
        this.silenceTimeoutMs = silenceTimeoutMs;
        this.backoff = backoff;
        this.counters = counters;
        this.listener = listener;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private void count(String event) {
        counters.increment(connectionName.replaceAll(":.*", "") + "-streams-" + event);
    }

    /** Returns whether the stream is started, connected or not. */
    public boolean isStarted() {
        return started;
    }

    /** Returns the number of failed attempts since {@link #resetBackoff()}. */
    public int failedAttempts() {
        return backoff.failedAttempts();
    }

    /** Starts the stream: connects, and reconnects until {@link #stop}. */
    public void start() {
        started = true;
        if (currentCall == null && retryTimer == null) {
            connect();
        }
    }

    /** Stops the stream and closes its connection. */
    public void stop() {
        started = false;
        if (retryTimer != null) {
            retryTimer.cancel();
            retryTimer = null;
        }
        HttpClient.Call canceledCall = currentCall;
        currentCall = null;
        if (canceledCall != null) {
            canceledCall.cancel();
        }
    }

    /**
     * Resets the delay before the next attempt to its initial value; called when an event shows that the peer works.
     */
    public void resetBackoff() {
        backoff.reset();
    }

    /** Closes the connection because of malformed data and reopens the stream after the backoff delay. */
    public void reconnectAfterMalformedData() {
        count("malformed");
        if (currentCall != null) {
            currentCall.cancel();
        }
    }

    private void connect() {
        double requestedAtMs = nowMs();
        lastByteAtMs = requestedAtMs;
        HttpClient.Call[] thisCall = new HttpClient.Call[1];
        EventStream parser = new EventStream(maxEventBytes, (type, data) -> {
            if (currentCall == thisCall[0]) {
                listener.onEvent(type, data, requestedAtMs);
            }
        });
        thisCall[0] = currentCall = client.stream(
                address.get(),
                connectionName,
                "GET",
                target,
                new Headers().add("Accept", "text/event-stream"),
                new byte[0],
                0,
                new HttpClient.ResponseHandler() {
                    private boolean statusOk;

                    @Override
                    public void onHead(HttpHead head) {
                        statusOk = head.status() == 200;
                    }

                    @Override
                    public void onBody(ByteBuffer part) {
                        lastByteAtMs = nowMs();
                        try {
                            if (statusOk && currentCall == thisCall[0]) {
                                parser.parse(part);
                            }
                        } catch (HttpException e) {
                            reconnectAfterMalformedData();
                        }
                    }

                    @Override
                    public void onEnd() {
                        onCallEnded(thisCall[0], null);
                    }

                    @Override
                    public void onFailure(Failure failure, String detail) {
                        onCallEnded(thisCall[0], failure);
                    }
                });
        if (silenceTimer == null) {
            silenceTimer = loop.schedule(silenceTimeoutMs / 3, this::checkSilence);
        }
    }

    /** Closes a connection that has been silent for too long, because a half-open connection reports no error. */
    private void checkSilence() {
        silenceTimer = null;
        if (!started) {
            return;
        }
        if (currentCall != null && nowMs() - lastByteAtMs > silenceTimeoutMs) {
            count("silent");
            currentCall.cancel();
        }
        listener.onPeriodicCheck();
        if (started && silenceTimer == null) {
            silenceTimer = loop.schedule(silenceTimeoutMs / 3, this::checkSilence);
        }
    }

    private void onCallEnded(HttpClient.Call endedCall, Failure failure) {
        if (endedCall != currentCall) {
            return;
        }
        currentCall = null;
        if (!started) {
            return;
        }
        count("broken");
        listener.onDisconnected(failure);
        if (started && retryTimer == null) {
            retryTimer = loop.schedule(backoff.nextDelayMs(), () -> {
                retryTimer = null;
                if (started && currentCall == null) {
                    connect();
                }
            });
        }
    }
}
