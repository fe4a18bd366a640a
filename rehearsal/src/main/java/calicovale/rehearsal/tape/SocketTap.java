package calicovale.rehearsal.tape;

import calicovale.gossip.net.GossipNode;
import calicovale.protocols.http.EventStream;
import calicovale.protocols.http.HttpException;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.http.HttpLimits;
import calicovale.protocols.http.HttpParser;
import calicovale.protocols.net.Connection;
import calicovale.protocols.net.Tap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Records the HTTP traffic on the sockets of one event loop. Each direction of a connection has a parser of
 * its own, separate from those of the program, and each complete message is added to the recording.
 */
public final class SocketTap implements Tap {
    private static final AtomicLong LAST_CONNECTION_NUMBER = new AtomicLong();
    /** Limits of the parsers, wide enough for all traffic of a rehearsal; timeouts are not used. */
    private static final HttpLimits PARSER_LIMITS = new HttpLimits(1 << 16, 256, 1 << 18, 1 << 24, 0, 0, 0, 0, 0);

    private final TrafficRecording recording;
    private final String fixedEnd;

    /**
     * Creates a tap for one event loop.
     *
     * @param recording receives the entries
     * @param fixedEnd the process whose end is recorded; null to take the name of each connection as its end
     */
    public SocketTap(TrafficRecording recording, String fixedEnd) {
        this.recording = recording;
        this.fixedEnd = fixedEnd;
    }

    /**
     * Returns whether a connection is between gossip members. It does not carry HTTP; the members count its traffic.
     */
    private static boolean isGossipConnection(Connection connection) {
        return connection.name().equals(GossipNode.CONNECTION);
    }

    @Override
    public void opened(Connection connection) {
        if (isGossipConnection(connection)) {
            return;
        }
        TappedConnection tapped = new TappedConnection(connection);
        connection.tapState(tapped);
        tapped.addEntry(Entry.Kind.OPENED, null, null, 0, null, 0, 0);
    }

    private TappedConnection tappedConnection(Connection connection) {
        if (connection.tapState() == null) {
            opened(connection);
        }
        return (TappedConnection) connection.tapState();
    }

    @Override
    public void read(Connection connection, ByteBuffer bytes) {
        if (isGossipConnection(connection)) {
            return;
        }
        TappedConnection tapped = tappedConnection(connection);
        tapped.feed(connection.accepted() ? tapped.requests : tapped.responses, bytes);
    }

    @Override
    public void wrote(Connection connection, ByteBuffer bytes) {
        if (isGossipConnection(connection)) {
            return;
        }
        TappedConnection tapped = tappedConnection(connection);
        tapped.feed(connection.accepted() ? tapped.responses : tapped.requests, bytes);
    }

    @Override
    public void inputEnded(Connection connection) {
        if (isGossipConnection(connection)) {
            return;
        }
        TappedConnection tapped = tappedConnection(connection);
        if (!connection.accepted()) {
            tapped.responses.eof();
        }
        tapped.addEntry(Entry.Kind.ENDED, null, null, 0, null, 0, 0);
    }

    @Override
    public void closed(Connection connection) {
        if (connection.tapState() != null) {
            ((TappedConnection) connection.tapState()).addEntry(Entry.Kind.CLOSED, null, null, 0, null, 0, 0);
        }
    }

    /** A request whose response is not yet complete. */
    private record PendingRequest(int exchange, String method, String target) {}

    /** Recording state of one connection: a parser for each direction and the requests without a response. */
    private final class TappedConnection {
        private final long connectionNumber = LAST_CONNECTION_NUMBER.incrementAndGet();
        private final String end;
        private final String peer;
        private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();
        private final HttpParser requests;
        private final HttpParser responses;
        private int nextExchange;
        private boolean malformed;

        TappedConnection(Connection connection) {
            end = fixedEnd != null ? fixedEnd : connection.name();
            peer = connection.name();
            requests = HttpParser.forRequests(PARSER_LIMITS, new DirectionRecorder(true));
            responses = HttpParser.forResponses(PARSER_LIMITS, new DirectionRecorder(false));
        }

        void addEntry(
                Entry.Kind kind, String method, String target, int status, String body, long bytes, int exchange) {
            recording.add(new Entry(
                    recording.nowMs(),
                    end,
                    peer,
                    connectionNumber,
                    exchange,
                    kind,
                    method,
                    target,
                    status,
                    body,
                    bytes));
        }

        void feed(HttpParser parser, ByteBuffer bytes) {
            if (malformed) {
                return;
            }
            try {
                while (bytes.hasRemaining()) {
                    parser.parse(bytes);
                }
            } catch (HttpException e) {
                malformed = true;
                addEntry(Entry.Kind.MALFORMED, null, null, e.status(), e.getMessage(), 0, nextExchange);
            }
        }

        /** Records the messages of one direction of the connection. */
        private final class DirectionRecorder implements HttpParser.Sink {
            private final boolean recordsRequests;
            private final ByteArrayOutputStream body = new ByteArrayOutputStream();
            private HttpHead head;
            private long bytes;
            private EventStream events;
            private boolean keepBody;

            DirectionRecorder(boolean recordsRequests) {
                this.recordsRequests = recordsRequests;
            }

            @Override
            public void head(HttpHead newHead) {
                head = newHead;
                bytes = 0;
                body.reset();
                events = null;
                String contentType = newHead.headers().get("Content-Type");
                keepBody = recordsRequests || contentType != null && !contentType.startsWith("video/");
                if (recordsRequests) {
                    return;
                }
                if (newHead.status() < 200) {
                    return;
                }
                PendingRequest request = pendingRequests.peekFirst();
                addEntry(
                        Entry.Kind.HEAD,
                        request == null ? null : request.method(),
                        request == null ? null : request.target(),
                        newHead.status(),
                        newHead.headers().get("Calicovale-Session"),
                        0,
                        request == null ? -1 : request.exchange());
                if ("text/event-stream".equals(contentType)) {
                    events = new EventStream(
                            1 << 24,
                            (kind, data) -> addEntry(
                                    Entry.Kind.EVENT,
                                    kind,
                                    request == null ? null : request.target(),
                                    newHead.status(),
                                    data,
                                    data.length(),
                                    request == null ? -1 : request.exchange()));
                }
            }

            @Override
            public void body(ByteBuffer part) {
                bytes += part.remaining();
                if (events != null) {
                    try {
                        events.parse(part);
                    } catch (HttpException e) {
                        addEntry(Entry.Kind.MALFORMED, null, null, e.status(), e.getMessage(), 0, nextExchange);
                    }
                } else if (keepBody) {
                    byte[] copy = new byte[part.remaining()];
                    part.get(copy);
                    body.write(copy, 0, copy.length);
                }
            }

            @Override
            public void end() {
                String text = keepBody && events == null ? body.toString(StandardCharsets.UTF_8) : null;
                if (recordsRequests) {
                    int exchange = nextExchange++;
                    pendingRequests.addLast(new PendingRequest(exchange, head.method(), head.target()));
                    addEntry(Entry.Kind.REQUEST, head.method(), head.target(), 0, text, bytes, exchange);
                } else if (head.status() >= 200) {
                    PendingRequest request = pendingRequests.pollFirst();
                    if (request == null) {
                        addEntry(
                                Entry.Kind.MALFORMED,
                                null,
                                null,
                                head.status(),
                                "a response without a request",
                                bytes,
                                -1);
                        return;
                    }
                    addEntry(
                            Entry.Kind.RESPONSE,
                            request.method(),
                            request.target(),
                            head.status(),
                            text,
                            bytes,
                            request.exchange());
                }
            }
        }
    }
}
