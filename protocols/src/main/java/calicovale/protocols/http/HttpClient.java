package calicovale.protocols.http;

import calicovale.protocols.net.ConnectFailedException;
import calicovale.protocols.net.Connection;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.Timer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * HTTP/1.1 client on one event loop, with a bounded pool of connections to each origin and one exchange at a time on
 * each connection. It never retries a request, because it cannot tell whether the request may be repeated.
 */
public final class HttpClient {

    /**
     * Reason for the failure of a call. Only {@link #CONNECT_REFUSED} (refused, or failed before a connection was
     * established), {@link #CONNECT_TIMEOUT} and {@link #POOL_FULL} prove that nothing was sent.
     */
    public enum Failure {
        CONNECT_REFUSED,
        CONNECT_TIMEOUT,
        POOL_FULL,
        RESET,
        TIMEOUT,
        MALFORMED,
        CANCELLED
    }

    /**
     * Receiver of a response, on the loop's thread. The last call is either {@link #onEnd} or {@link #onFailure}, and
     * it is made exactly once.
     */
    public interface ResponseHandler {
        /** Called with the head of the final response. */
        default void onHead(HttpHead head) {}

        /** Called for each part of the body. */
        default void onBody(ByteBuffer part) {}

        /** Called when the response is complete. */
        void onEnd();

        /** Called when the call failed; {@code detail} is a text for people. */
        void onFailure(Failure failure, String detail);
    }

    /** Receiver of a whole response. */
    public interface FullResponseHandler {
        /**
         * Called once, either with {@code head} and {@code body} of a complete response or with a {@code failure};
         * the others are null.
         */
        void done(HttpHead head, byte[] body, Failure failure);
    }

    private final EventLoop loop;
    private final HttpLimits limits;
    private final int connectionsPerOrigin;
    private final double connectMs;
    private final HttpCounters counters = new HttpCounters();
    private final Map<InetSocketAddress, OriginPool> pools = new HashMap<>();

    /**
     * Creates a client with at most {@code connectionsPerOrigin} connections to one origin and a connect timeout of
     * {@code connectMs}.
     */
    public HttpClient(EventLoop loop, HttpLimits limits, int connectionsPerOrigin, double connectMs) {
        this.loop = loop;
        this.limits = limits;
        this.connectionsPerOrigin = connectionsPerOrigin;
        this.connectMs = connectMs;
    }

    /** Returns the counters of this client. */
    public HttpCounters counters() {
        return counters;
    }

    /** Returns the number of connections to an origin, including idle ones. */
    public int connections(InetSocketAddress origin) {
        OriginPool pool = pools.get(origin);
        return pool == null ? 0 : pool.connectionCount;
    }

    /** A request and its expected response. */
    public final class Call {
        private final ResponseHandler handler;
        private final OriginPool pool;
        private PooledConnection pooledConnection;
        private Timer timer;
        private boolean done;

        private Call(OriginPool pool, ResponseHandler handler) {
            this.pool = pool;
            this.handler = handler;
        }

        /** Cancels the call and closes its connection; the handler gets {@link Failure#CANCELLED}. */
        public void cancel() {
            fail(Failure.CANCELLED, "cancelled");
        }

        /** Returns whether the call is complete, failed or cancelled. */
        public boolean isDone() {
            return done;
        }

        /** Returns the connection that carries the call, or null; for callers that reset it or apply backpressure. */
        public Connection connection() {
            return pooledConnection == null ? null : pooledConnection.connection;
        }

        private void fail(Failure failure, String detail) {
            if (done) {
                return;
            }
            complete();
            if (pooledConnection != null) {
                pooledConnection.call = null;
                pooledConnection.connection.close();
            }
            handler.onFailure(failure, detail);
        }

        private void complete() {
            done = true;
            if (timer != null) {
                timer.cancel();
            }
        }
    }

    private static final class OriginPool {
        private final InetSocketAddress address;
        private final String hostHeader;
        private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
        private int connectionCount;

        OriginPool(InetSocketAddress address) {
            this.address = address;
            this.hostHeader = address.getHostString() + ":" + address.getPort();
        }
    }

    /** Sends a request and buffers the whole response body, up to {@link HttpLimits#bodyBytes()}. */
    public Call send(
            InetSocketAddress address,
            String connectionName,
            String method,
            String target,
            Headers headers,
            byte[] body,
            double timeoutMs,
            FullResponseHandler handler) {
        return stream(address, connectionName, method, target, headers, body, timeoutMs, new ResponseHandler() {
            private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
            private HttpHead head;
            private boolean tooLong;

            @Override
            public void onHead(HttpHead responseHead) {
                head = responseHead;
            }

            @Override
            public void onBody(ByteBuffer part) {
                tooLong |= whole.size() + part.remaining() > limits.bodyBytes();
                if (!tooLong) {
                    byte[] bytes = new byte[part.remaining()];
                    part.get(bytes);
                    whole.write(bytes, 0, bytes.length);
                }
            }

            @Override
            public void onEnd() {
                if (tooLong) {
                    counters.messagesRefused++;
                    handler.done(null, null, Failure.MALFORMED);
                } else {
                    handler.done(head, whole.toByteArray(), null);
                }
            }

            @Override
            public void onFailure(Failure failure, String detail) {
                handler.done(null, null, failure);
            }
        });
    }

    /**
     * Sends a request whose response is passed on in parts. {@code timeoutMs} limits the whole call; 0 for no limit.
     * The handler is never called before this method returns.
     */
    public Call stream(
            InetSocketAddress address,
            String connectionName,
            String method,
            String target,
            Headers headers,
            byte[] body,
            double timeoutMs,
            ResponseHandler handler) {
        OriginPool pool = pools.computeIfAbsent(address, OriginPool::new);
        Call call = new Call(pool, handler);
        counters.requests++;
        ByteBuffer request = HttpWriter.request(method, target, pool.hostHeader, headers, body);
        PooledConnection pooledConnection = null;
        while (pooledConnection == null && !pool.idle.isEmpty()) {
            pooledConnection = pool.idle.pollLast();
            if (pooledConnection.connection.isClosed()) {
                pooledConnection = null;
            }
        }
        if (pooledConnection == null && pool.connectionCount >= connectionsPerOrigin) {
            counters.poolOverflows++;
            loop.schedule(
                    0,
                    () -> call.fail(Failure.POOL_FULL, connectionsPerOrigin + " connections to the origin are in use"));
            return call;
        }
        if (pooledConnection == null) {
            pooledConnection = new PooledConnection(pool);
            pool.connectionCount++;
            pooledConnection.connection = loop.connect(address, connectionName, connectMs, pooledConnection);
        }
        pooledConnection.send(call, request, method.equals("HEAD"));
        if (timeoutMs > 0) {
            call.timer = loop.schedule(
                    timeoutMs, () -> call.fail(Failure.TIMEOUT, "no complete response within " + timeoutMs + " ms"));
        }
        return call;
    }

    /** Closes all idle connections to an origin that is gone, so that none is used after a restart of its process. */
    public void closeIdleConnections(InetSocketAddress address) {
        OriginPool pool = pools.get(address);
        while (pool != null && !pool.idle.isEmpty()) {
            pool.idle.poll().connection.close();
        }
    }

    private final class PooledConnection implements Connection.Handler, HttpParser.Sink {
        private final OriginPool pool;
        private final HttpParser parser = HttpParser.forResponses(limits, this);
        private Connection connection;
        private Call call;
        private ByteBuffer unsentRequest;
        private HttpHead head;
        private boolean established;
        private boolean sendingRequest;
        private boolean idleTimerScheduled;
        private double idleSinceMs;

        PooledConnection(OriginPool pool) {
            this.pool = pool;
        }

        void send(Call nextCall, ByteBuffer request, boolean bodilessResponse) {
            call = nextCall;
            nextCall.pooledConnection = this;
            head = null;
            if (bodilessResponse) {
                parser.expectBodilessResponse();
            }
            if (established) {
                sendingRequest = true;
                connection.write(request);
                sendingRequest = false;
            } else {
                unsentRequest = request;
            }
        }

        @Override
        public void onOpen(Connection source) {
            established = true;
            if (unsentRequest != null) {
                source.write(unsentRequest);
                unsentRequest = null;
            }
        }

        @Override
        public void onBytes(Connection source, ByteBuffer bytes) {
            try {
                while (bytes.hasRemaining() && !source.isClosed()) {
                    if (call == null) {
                        // a response without a request; the connection can't be trusted any more
                        counters.messagesRefused++;
                        bytes.position(bytes.limit());
                        source.close();
                        return;
                    }
                    parser.parse(bytes);
                }
            } catch (HttpException e) {
                counters.messagesRefused++;
                bytes.position(bytes.limit());
                if (call != null) {
                    call.fail(Failure.MALFORMED, e.getMessage());
                } else {
                    source.close();
                }
            }
        }

        @Override
        public void head(HttpHead responseHead) {
            head = responseHead;
            if (call != null && responseHead.status() >= 200) {
                call.handler.onHead(responseHead);
            }
        }

        @Override
        public void body(ByteBuffer part) {
            if (call != null) {
                call.handler.onBody(part);
            }
        }

        @Override
        public void end() {
            if (call == null || head.status() < 200) {
                return;
            }
            Call completed = call;
            call = null;
            completed.pooledConnection = null;
            completed.complete();
            counters.responses++;
            if (head.isPersistent() && !connection.isClosed()) {
                pool.idle.addLast(this);
                idleSinceMs = loop.clock().millis();
                if (!idleTimerScheduled) {
                    idleTimerScheduled = true;
                    loop.schedule(limits.idleMs(), this::closeIfIdle);
                }
            } else {
                connection.close();
            }
            completed.handler.onEnd();
        }

        /**
         * Closes the connection if it has been idle for too long. Each connection has one timer; it is scheduled anew
         * for the time at which the limit can be reached, but not sooner than after a quarter of {@code idleMs}.
         */
        private void closeIfIdle() {
            double remainingMs = idleSinceMs + limits.idleMs() - loop.clock().millis();
            if (connection.isClosed()) {
                return;
            }
            if (call == null && remainingMs <= 0) {
                connection.close();
            } else {
                loop.schedule(Math.max(limits.idleMs() / 4, remainingMs), this::closeIfIdle);
            }
        }

        @Override
        public void onEnd(Connection source) {
            parser.eof();
            source.close();
        }

        @Override
        public void onClosed(Connection source, IOException cause) {
            pool.connectionCount--;
            pool.idle.remove(this);
            if (call != null) {
                Call failedCall = call;
                call = null;
                failedCall.pooledConnection = null;
                Failure failure = established || !(cause instanceof ConnectFailedException failed)
                        ? Failure.RESET
                        : failed.timedOut() ? Failure.CONNECT_TIMEOUT : Failure.CONNECT_REFUSED;
                String detail = cause == null ? "closed by the peer" : String.valueOf(cause.getMessage());
                if (sendingRequest) {
                    // the write itself failed; report it after send() or stream() has returned
                    loop.schedule(0, () -> failedCall.fail(failure, detail));
                } else {
                    failedCall.fail(failure, detail);
                }
            }
        }
    }
}
