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
 * Owns the server's side of HTTP/1.1 on one loop: one exchange at a time on each connection, later requests kept up to a
 * bound and answered in order, then the peer is held back. A peer that ends its side while its answer is due has left.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT");
    private static final DateTimeFormatter DATE = DateTimeFormatter.ofPattern(
                    "EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.ROOT)
            .withZone(ZoneOffset.UTC);
    private static final byte[] NONE = new byte[0];

    private final EventLoop loop;
    private final String name;
    private final HttpLimits limits;
    private final Consumer<Exchange> handler;
    private final HttpCounters counters = new HttpCounters();
    private final Set<Peer> peers = new LinkedHashSet<>();
    private CrossOrigin crossOrigin = CrossOrigin.NOBODY;
    private EventLoop.Listener listener;
    private boolean draining;
    private long dateSecond = -1;
    private String date;

    /** {@code handler} takes each exchange once its request is whole; it may answer later. */
    public HttpServer(EventLoop loop, String name, HttpLimits limits, Consumer<Exchange> handler) {
        this.loop = loop;
        this.name = name;
        this.limits = limits;
        this.handler = handler;
    }

    /** Lets pages of other origins read what is answered; to be called before {@link #listen}. */
    public HttpServer crossOrigin(CrossOrigin permitted) {
        crossOrigin = permitted;
        return this;
    }

    /** Listens; to be called on the loop. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        listener = loop.listen(address, name, c -> new Peer(c));
        return listener.address();
    }

    /** Accepts no more; open connections close after the answer that they owe, idle ones at once. */
    public void drain() {
        draining = true;
        stopListening();
        for (Peer peer : new ArrayList<>(peers)) {
            if (peer.current == null && !peer.parser.inMessage()) {
                peer.connection.close();
            }
        }
    }

    /** Closes the listening socket only. */
    public void stopListening() {
        if (listener != null) {
            listener.close();
            listener = null;
        }
    }

    /** Connections that are open. */
    public int open() {
        return peers.size();
    }

    /** The counters. */
    public HttpCounters counters() {
        return counters;
    }

    private String date() {
        long second = (long) (loop.clock().millis() / 1000);
        if (second != dateSecond) {
            dateSecond = second;
            date = DATE.format(Instant.ofEpochSecond(second));
        }
        return date;
    }

    /** One connection of a client. */
    final class Peer implements Connection.Handler, HttpParser.Sink {
        private final Connection connection;
        private final HttpParser parser = HttpParser.ofRequests(limits, this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        private HttpHead head;
        private Exchange current;
        private BodyStream stream;
        private ByteBuffer kept;
        private boolean closeAfter;
        private boolean parsing;
        private boolean ended;
        private double since;

        Peer(Connection connection) {
            this.connection = connection;
        }

        Connection connection() {
            return connection;
        }

        @Override
        public void onOpen(Connection c) {
            peers.add(this);
            since = loop.clock().millis();
            if (peers.size() > limits.connections()) {
                counters.connectionsRefused++;
                refuse(503, "too many connections");
                return;
            }
            loop.schedule(Math.min(limits.headMs(), limits.idleMs()), this::watch);
        }

        /** One lazy timer a connection: it looks again when the nearest bound could be reached. */
        private void watch() {
            if (connection.isClosed()) {
                return;
            }
            double age = loop.clock().millis() - since;
            double bound = current != null
                    ? Double.MAX_VALUE
                    : parser.inHead() ? limits.headMs() : parser.inMessage() ? limits.bodyMs() : limits.idleMs();
            if (age >= bound || draining && current == null && !parser.inMessage()) {
                counters.timedOut++;
                if (parser.inMessage()) {
                    refuse(408, "the request did not come in time");
                } else {
                    connection.close();
                }
                return;
            }
            double next = current != null ? limits.headMs() : Math.max(10, bound - age);
            loop.schedule(Math.min(next, limits.headMs()), this::watch);
        }

        @Override
        public void onBytes(Connection c, ByteBuffer bytes) {
            if (current != null || parsing) {
                keep(bytes);
                return;
            }
            read(bytes);
            if (bytes.hasRemaining() && !connection.isClosed()) {
                keep(bytes);
            }
        }

        private void keep(ByteBuffer bytes) {
            int have = kept == null ? 0 : kept.remaining();
            ByteBuffer more = ByteBuffer.allocate(have + bytes.remaining());
            if (have > 0) {
                more.put(kept);
            }
            kept = more.put(bytes).flip();
            if (kept.remaining() >= limits.pipelinedBytes()) {
                connection.pause();
            }
        }

        /** Parses and handles requests until one stays unanswered or the bytes are used up. */
        private void read(ByteBuffer bytes) {
            parsing = true;
            try {
                while (current == null && bytes.hasRemaining() && !connection.isClosed() && !closeAfter) {
                    if (!parser.inMessage()) {
                        since = loop.clock().millis();
                        head = null;
                    }
                    if (!parser.parse(bytes)) {
                        break;
                    }
                    Exchange exchange = new Exchange(this, head, body.size() == 0 ? NONE : body.toByteArray());
                    body.reset();
                    current = exchange;
                    counters.requests++;
                    closeAfter = !head.keepsAlive() || draining;
                    handle(exchange);
                }
            } catch (HttpException e) {
                bytes.position(bytes.limit());
                LOG.info("{}: request of {} refused: {} {}", name, connection.remote(), e.status(), e.getMessage());
                refuse(e.status(), e.getMessage());
            } finally {
                parsing = false;
            }
            if (closeAfter) {
                bytes.position(bytes.limit());
            }
        }

        private void handle(Exchange exchange) {
            if (!METHODS.contains(exchange.head().method())) {
                exchange.problem(
                        501, "Not Implemented", "method " + exchange.head().method());
                return;
            }
            if (crossOrigin.preflight(exchange.head())) {
                counters.preflights++;
                exchange.respond(204, crossOrigin.preflightHeaders(exchange.head()), NONE);
                return;
            }
            try {
                handler.accept(exchange);
            } catch (RuntimeException e) {
                // a fault of ours: the peer hears of it once, and nobody else does
                counters.handlerErrors++;
                LOG.error(
                        "{}: the handler of {} {} failed",
                        name,
                        exchange.head().method(),
                        exchange.head().path(),
                        e);
                if (!exchange.answered()) {
                    exchange.problem(500, "Internal Server Error", "the request could not be handled");
                } else if (stream != null) {
                    // a streamed answer that has begun can't be made whole: it must not look as if it went on
                    connection.reset(new IOException("the handler failed", e));
                }
            }
        }

        private void refuse(int status, String why) {
            counters.refused++;
            closeAfter = true;
            String json = "{\"title\":" + Exchange.quote(HttpWriter.reason(status)) + ",\"status\":" + status
                    + ",\"detail\":" + Exchange.quote(why) + "}";
            byte[] content = json.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            Headers headers = new Headers().add("Content-Type", "application/problem+json");
            crossOrigin.addTo(headers, head);
            connection.write(HttpWriter.response(status, date(), headers, content.length, true, content));
            lingerClose();
        }

        /**
         * Ends the sending side and reads on for a moment: closing with unread bytes would reset the connection and could
         * destroy the answer on its way (RFC 9112, 9.6).
         */
        private void lingerClose() {
            if (connection.isClosed()) {
                return;
            }
            connection.finish();
            connection.handler(new Connection.Handler() {
                @Override
                public void onBytes(Connection c, ByteBuffer bytes) {
                    bytes.position(bytes.limit());
                }

                @Override
                public void onClosed(Connection c, IOException cause) {
                    peers.remove(Peer.this);
                }
            });
            loop.schedule(1000, connection::close);
            if (ended) {
                connection.closeWhenDrained();
            }
        }

        @Override
        public void head(HttpHead h) {
            head = h;
            String expect = h.headers().get("Expect");
            if (expect != null
                    && expect.equalsIgnoreCase("100-continue")
                    && h.minor() >= 1
                    && (h.headers().get("Content-Length") != null || h.headers().get("Transfer-Encoding") != null)) {
                connection.write(HttpWriter.response(100, date(), new Headers(), -1, false, NONE));
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
            // the loop in read() goes on with the whole request
        }

        boolean respond(int status, Headers headers, byte[] content, boolean headOnly) {
            if (connection.isClosed()) {
                return false;
            }
            crossOrigin.addTo(headers, current.head());
            boolean ok = connection.write(HttpWriter.response(
                    status, date(), headers, content.length, closeAfter, headOnly ? NONE : content));
            counters.responses++;
            answered();
            return ok;
        }

        BodyStream stream(Exchange exchange, int status, Headers headers, long length) {
            boolean chunked = length < 0 && exchange.head().minor() >= 1;
            if (chunked) {
                headers.add("Transfer-Encoding", "chunked");
            } else if (length < 0) {
                closeAfter = true;
            }
            crossOrigin.addTo(headers, exchange.head());
            stream = new BodyStream(this, exchange, chunked);
            connection.write(HttpWriter.response(status, date(), headers, length, closeAfter, NONE));
            return stream;
        }

        void streamEnded() {
            stream = null;
            counters.responses++;
            answered();
        }

        private void answered() {
            current = null;
            since = loop.clock().millis();
            if (closeAfter) {
                lingerClose();
                return;
            }
            if (ended) {
                connection.closeWhenDrained();
                return;
            }
            if (!parsing && kept != null) {
                ByteBuffer bytes = kept;
                kept = null;
                read(bytes);
                if (bytes.hasRemaining() && !connection.isClosed()) {
                    keep(bytes);
                }
                if (kept == null || kept.remaining() < limits.pipelinedBytes()) {
                    connection.resume();
                }
            }
        }

        @Override
        public void onEnd(Connection c) {
            ended = true;
            if (current != null) {
                counters.gone++;
                current.peerLeft();
            }
            c.close();
        }

        @Override
        public void onDrained(Connection c) {
            if (stream != null) {
                stream.drained();
            }
        }

        @Override
        public void onClosed(Connection c, IOException cause) {
            peers.remove(this);
            if (current != null && !ended) {
                counters.gone++;
                current.peerLeft();
            }
        }
    }
}
