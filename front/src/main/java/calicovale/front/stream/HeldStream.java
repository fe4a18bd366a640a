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
 * Owns one stream of server-sent events that is held for as long as it is wanted: silence ends it like an error does, and it
 * is opened anew after spread and bounded waits. What is missed meanwhile is never made up.
 */
public final class HeldStream {

    /** Hears of the stream, on the loop. */
    public interface Listener {
        /** One event of the stream that was asked for at {@code askedAtMs} (monotonic). */
        void onEvent(String type, String data, double askedAtMs);

        /** The stream ended or never stood; {@code failure} is null after an end in order. Another try follows. */
        void onBroken(Failure failure);

        /** Called while the stream is wanted, a few times within the bound on silence. */
        default void onLook() {}
    }

    private final EventLoop loop;
    private final HttpClient client;
    private final Supplier<InetSocketAddress> address;
    private final String name;
    private final String target;
    private final int eventBytes;
    private final double silentMs;
    private final Backoff backoff;
    private final Counters counters;
    private final Listener listener;
    private boolean wanted;
    private HttpClient.Call call;
    private Timer retry;
    private Timer watch;
    private double heardAt;

    /**
     * A stream that is not wanted yet.
     *
     * @param name of the connection; its part before a colon leads the counters' names
     * @param eventBytes most bytes of an event
     * @param silentMs without a byte after which the stream counts as dead
     */
    public HeldStream(
            EventLoop loop,
            HttpClient client,
            Supplier<InetSocketAddress> address,
            String name,
            String target,
            int eventBytes,
            double silentMs,
            Backoff backoff,
            Counters counters,
            Listener listener) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.name = name;
        this.target = target;
        this.eventBytes = eventBytes;
        this.silentMs = silentMs;
        this.backoff = backoff;
        this.counters = counters;
        this.listener = listener;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private void count(String what) {
        counters.increment(name.replaceAll(":.*", "") + "-streams-" + what);
    }

    /** Whether it is wanted. */
    public boolean wanted() {
        return wanted;
    }

    /** Tries that failed since {@link #good()}. */
    public int failures() {
        return backoff.failedAttempts();
    }

    /** Wants it from now on. */
    public void hold() {
        wanted = true;
        if (call == null && retry == null) {
            open();
        }
    }

    /** Wants it no more. */
    public void release() {
        wanted = false;
        if (retry != null) {
            retry.cancel();
            retry = null;
        }
        HttpClient.Call last = call;
        call = null;
        if (last != null) {
            last.cancel();
        }
    }

    /** What came shows that the peer is well: the next wait is the shortest again. */
    public void good() {
        backoff.reset();
    }

    /** What came can't be used: the stream is opened anew. */
    public void refuse() {
        count("malformed");
        if (call != null) {
            call.cancel();
        }
    }

    private void open() {
        double askedAt = nowMs();
        heardAt = askedAt;
        HttpClient.Call[] self = new HttpClient.Call[1];
        EventStream events = new EventStream(eventBytes, (type, data) -> {
            if (call == self[0]) {
                listener.onEvent(type, data, askedAt);
            }
        });
        self[0] = call = client.stream(
                address.get(),
                name,
                "GET",
                target,
                new Headers().add("Accept", "text/event-stream"),
                new byte[0],
                0,
                new HttpClient.ResponseHandler() {
                    private boolean good;

                    @Override
                    public void onHead(HttpHead head) {
                        good = head.status() == 200;
                    }

                    @Override
                    public void onBody(ByteBuffer part) {
                        heardAt = nowMs();
                        try {
                            if (good && call == self[0]) {
                                events.parse(part);
                            }
                        } catch (HttpException e) {
                            refuse();
                        }
                    }

                    @Override
                    public void onEnd() {
                        broken(self[0], null);
                    }

                    @Override
                    public void onFailure(Failure failure, String detail) {
                        broken(self[0], failure);
                    }
                });
        if (watch == null) {
            watch = loop.schedule(silentMs / 3, this::look);
        }
    }

    /** A half-open connection brings no error: silence ends it. */
    private void look() {
        watch = null;
        if (!wanted) {
            return;
        }
        if (call != null && nowMs() - heardAt > silentMs) {
            count("silent");
            call.cancel();
        }
        listener.onLook();
        if (wanted && watch == null) {
            watch = loop.schedule(silentMs / 3, this::look);
        }
    }

    private void broken(HttpClient.Call which, Failure failure) {
        if (which != call) {
            return;
        }
        call = null;
        if (!wanted) {
            return;
        }
        count("broken");
        listener.onBroken(failure);
        if (wanted && retry == null) {
            retry = loop.schedule(backoff.nextDelayMs(), () -> {
                retry = null;
                if (wanted && call == null) {
                    open();
                }
            });
        }
    }
}
