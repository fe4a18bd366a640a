package calicovale.protocols.http;

import calicovale.protocols.net.Connection;
import calicovale.protocols.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP/1.1 server on one event loop. Each connection has one exchange at a time. Pipelined requests are buffered up
 * to a limit and answered in order; beyond the limit, the connection is not read. A client that closes its sending
 * side while a response is pending is treated as having closed the connection.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT");
    private static final DateTimeFormatter DATE_FORMAT = DateTimeFormatter.ofPattern(
                    "EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.ROOT)
            .withZone(ZoneOffset.UTC);
    private static final byte[] NO_CONTENT = new byte[0];
    /** Time in ms for which input is discarded before a connection is closed after an error response. */
    private static final double LINGERING_CLOSE_MS = 1000;

    private final EventLoop loop;
    private final String name;
    private final HttpLimits limits;
    private final Consumer<Exchange> handler;
    private final HttpCounters counters = new HttpCounters();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private CrossOrigin crossOrigin = CrossOrigin.DISABLED;
    private EventLoop.Listener listener;
    private boolean draining;
    private long dateSecond = -1;
    private String date;

    /** Creates a server. {@code handler} is called when a request is complete and may respond later. */
    public HttpServer(EventLoop loop, String name, HttpLimits limits, Consumer<Exchange> handler) {
        this.loop = loop;
        this.name = name;
        this.limits = limits;
        this.handler = handler;
    }

    /** Sets which origins may read the responses. Must be called before {@link #listen}. */
    public HttpServer crossOrigin(CrossOrigin permitted) {
        crossOrigin = permitted;
        return this;
    }

    /** Starts listening and returns the address bound. Must be called on the loop's thread. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        listener = loop.listen(address, name, c -> new ClientConnection(c));
        return listener.address();
    }

    /** Stops listening. Idle connections close at once, the others after their current response. */
    public void drain() {
        draining = true;
        stopListening();
        for (ClientConnection client : new ArrayList<>(clients)) {
            if (client.currentExchange == null && !client.parser.inMessage()) {
                client.connection.close();
            }
        }
    }

    /** Closes the listening socket; open connections stay open. */
    public void stopListening() {
        if (listener != null) {
            listener.close();
            listener = null;
        }
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return clients.size();
    }

    /** Returns the counters of this server. */
    public HttpCounters counters() {
        return counters;
    }

    private String date() {
        long second = (long) (loop.clock().millis() / 1000);
        if (second != dateSecond) {
            dateSecond = second;
            date = DATE_FORMAT.format(Instant.ofEpochSecond(second));
        }
        return date;
    }

    /** A connection accepted from a client. */
    final class ClientConnection implements Connection.Handler, HttpParser.Sink {
        private final Connection connection;
        private final HttpParser parser = HttpParser.forRequests(limits, this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        private HttpHead head;
        private Exchange currentExchange;
        private BodyStream stream;
        private ByteBuffer pipelined;
        private boolean closeAfterResponse;
        private boolean parsing;
        private boolean inputEnded;
        private double waitingSinceMs;

        ClientConnection(Connection connection) {
            this.connection = connection;
        }

        Connection connection() {
            return connection;
        }

        @Override
        public void onOpen(Connection source) {
            clients.add(this);
            waitingSinceMs = loop.clock().millis();
            if (clients.size() > limits.connections()) {
                counters.connectionsRefused++;
                refuseAndClose(503, "too many connections");
                return;
            }
            loop.schedule(Math.min(limits.headMs(), limits.idleMs()), this::checkTimeouts);
        }

        /**
         * Closes the connection if it is idle or too slow. Each connection has one timer; it is scheduled anew for
         * about the time at which the next limit can be reached, at the latest after {@code headMs}.
         */
        private void checkTimeouts() {
            if (connection.isClosed()) {
                return;
            }
            double elapsedMs = loop.clock().millis() - waitingSinceMs;
            double limitMs = currentExchange != null
                    ? Double.MAX_VALUE
                    : parser.inHead() ? limits.headMs() : parser.inMessage() ? limits.bodyMs() : limits.idleMs();
            if (elapsedMs >= limitMs || draining && currentExchange == null && !parser.inMessage()) {
                counters.connectionsTimedOut++;
                if (parser.inMessage()) {
                    refuseAndClose(408, "the request did not come in time");
                } else {
                    connection.close();
                }
                return;
            }
            double nextCheckMs = currentExchange != null ? limits.headMs() : Math.max(10, limitMs - elapsedMs);
            loop.schedule(Math.min(nextCheckMs, limits.headMs()), this::checkTimeouts);
        }

        @Override
        public void onBytes(Connection source, ByteBuffer bytes) {
            if (currentExchange != null || parsing) {
                bufferPipelined(bytes);
                return;
            }
            processRequests(bytes);
            if (bytes.hasRemaining() && !connection.isClosed()) {
                bufferPipelined(bytes);
            }
        }

        private void bufferPipelined(ByteBuffer bytes) {
            int bufferedBytes = pipelined == null ? 0 : pipelined.remaining();
            ByteBuffer combined = ByteBuffer.allocate(bufferedBytes + bytes.remaining());
            if (bufferedBytes > 0) {
                combined.put(pipelined);
            }
            pipelined = combined.put(bytes).flip();
            if (pipelined.remaining() >= limits.pipelinedBytes()) {
                connection.pause();
            }
        }

        /** Parses and handles requests until one has no response yet or the bytes are used up. */
        private void processRequests(ByteBuffer bytes) {
            parsing = true;
            try {
                while (currentExchange == null
                        && bytes.hasRemaining()
                        && !connection.isClosed()
                        && !closeAfterResponse) {
                    if (!parser.inMessage()) {
                        waitingSinceMs = loop.clock().millis();
                        head = null;
                    }
                    if (!parser.parse(bytes)) {
                        break;
                    }
                    Exchange exchange = new Exchange(this, head, body.size() == 0 ? NO_CONTENT : body.toByteArray());
                    body.reset();
                    currentExchange = exchange;
                    counters.requests++;
                    closeAfterResponse = !head.isPersistent() || draining;
                    dispatch(exchange);
                }
            } catch (HttpException e) {
                bytes.position(bytes.limit());
                LOG.info(
                        "{}: refused request from {}: {} {}",
                        name,
                        connection.remoteAddress(),
                        e.status(),
                        e.getMessage());
                refuseAndClose(e.status(), e.getMessage());
            } finally {
                parsing = false;
            }
            if (closeAfterResponse) {
                bytes.position(bytes.limit());
            }
        }

        private void dispatch(Exchange exchange) {
            if (!METHODS.contains(exchange.head().method())) {
                exchange.problem(
                        501, "Not Implemented", "method " + exchange.head().method());
                return;
            }
            if (crossOrigin.isPreflight(exchange.head())) {
                counters.preflights++;
                exchange.respond(204, crossOrigin.preflightHeaders(exchange.head()), NO_CONTENT);
                return;
            }
            try {
                handler.accept(exchange);
            } catch (RuntimeException e) {
                // an internal error; only this client is affected and gets one response
                counters.handlerErrors++;
                LOG.error(
                        "{}: the handler failed for {} {}",
                        name,
                        exchange.head().method(),
                        exchange.head().path(),
                        e);
                if (!exchange.answered()) {
                    exchange.problem(500, "Internal Server Error", "the request could not be handled");
                } else if (stream != null) {
                    // a streamed response that has begun cannot be completed, and the client must not wait for its
                    // remaining part
                    connection.reset(new IOException("the handler failed during a streamed response", e));
                }
            }
        }

        private void refuseAndClose(int status, String detail) {
            counters.messagesRefused++;
            closeAfterResponse = true;
            String json = "{\"title\":" + Exchange.quote(HttpWriter.reasonPhrase(status)) + ",\"status\":" + status
                    + ",\"detail\":" + Exchange.quote(detail) + "}";
            byte[] content = json.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            Headers headers = new Headers().add("Content-Type", "application/problem+json");
            crossOrigin.addResponseHeaders(headers, head);
            connection.write(HttpWriter.response(status, date(), headers, content.length, true, content));
            lingeringClose();
        }

        /**
         * Closes the sending side and discards input for up to {@link #LINGERING_CLOSE_MS} before closing the
         * connection. Closing with unread bytes would reset the connection and could destroy the response in transit
         * (RFC 9112, 9.6).
         */
        private void lingeringClose() {
            if (connection.isClosed()) {
                return;
            }
            connection.shutdownOutputWhenDrained();
            connection.handler(new Connection.Handler() {
                @Override
                public void onBytes(Connection source, ByteBuffer bytes) {
                    bytes.position(bytes.limit());
                }

                @Override
                public void onClosed(Connection source, IOException cause) {
                    clients.remove(ClientConnection.this);
                }
            });
            loop.schedule(LINGERING_CLOSE_MS, connection::close);
            if (inputEnded) {
                connection.closeWhenDrained();
            }
        }

        @Override
        public void head(HttpHead requestHead) {
            head = requestHead;
            String expect = requestHead.headers().get("Expect");
            if (expect != null
                    && expect.equalsIgnoreCase("100-continue")
                    && requestHead.minorVersion() >= 1
                    && (requestHead.headers().get("Content-Length") != null
                            || requestHead.headers().get("Transfer-Encoding") != null)) {
                connection.write(HttpWriter.response(100, date(), new Headers(), -1, false, NO_CONTENT));
            }
        }

        @Override
        public void body(ByteBuffer part) {
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            body.write(bytes, 0, bytes.length);
        }

        @Override
        public void end() {
            // processRequests() handles the complete request
        }

        boolean respond(int status, Headers headers, byte[] content, boolean headOnly) {
            if (connection.isClosed()) {
                return false;
            }
            crossOrigin.addResponseHeaders(headers, currentExchange.head());
            boolean written = connection.write(HttpWriter.response(
                    status, date(), headers, content.length, closeAfterResponse, headOnly ? NO_CONTENT : content));
            counters.responses++;
            finishExchange();
            return written;
        }

        BodyStream stream(Exchange exchange, int status, Headers headers, long length) {
            boolean chunked = length < 0 && exchange.head().minorVersion() >= 1;
            if (chunked) {
                headers.add("Transfer-Encoding", "chunked");
            } else if (length < 0) {
                closeAfterResponse = true;
            }
            crossOrigin.addResponseHeaders(headers, exchange.head());
            stream = new BodyStream(this, exchange, chunked);
            connection.write(HttpWriter.response(status, date(), headers, length, closeAfterResponse, NO_CONTENT));
            return stream;
        }

        void finishStream() {
            stream = null;
            counters.responses++;
            finishExchange();
        }

        private void finishExchange() {
            currentExchange = null;
            waitingSinceMs = loop.clock().millis();
            if (closeAfterResponse) {
                lingeringClose();
                return;
            }
            if (inputEnded) {
                connection.closeWhenDrained();
                return;
            }
            if (!parsing && pipelined != null) {
                ByteBuffer bytes = pipelined;
                pipelined = null;
                processRequests(bytes);
                if (bytes.hasRemaining() && !connection.isClosed()) {
                    bufferPipelined(bytes);
                }
                if (pipelined == null || pipelined.remaining() < limits.pipelinedBytes()) {
                    connection.resume();
                }
            }
        }

        @Override
        public void onEnd(Connection source) {
            inputEnded = true;
            if (currentExchange != null) {
                counters.abandonedRequests++;
                currentExchange.notifyClientClosed();
            }
            source.close();
        }

        @Override
        public void onDrained(Connection source) {
            if (stream != null) {
                stream.notifyDrained();
            }
        }

        @Override
        public void onClosed(Connection source, IOException cause) {
            clients.remove(this);
            if (currentExchange != null && !inputEnded) {
                counters.abandonedRequests++;
                currentExchange.notifyClientClosed();
            }
        }
    }
}
