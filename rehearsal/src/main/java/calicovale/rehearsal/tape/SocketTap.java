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
 * Owns the reading of what crosses the sockets of one loop: both directions of each connection are parsed on their own, apart
 * from the program, and what becomes whole goes on the tape.
 */
public final class SocketTap implements Tap {
    private static final AtomicLong CONNECTIONS = new AtomicLong();
    private static final HttpLimits LIMITS = new HttpLimits(1 << 16, 256, 1 << 18, 1 << 24, 0, 0, 0, 0, 0);
    private final Tape tape;
    private final String end;

    /** {@code end} names whose end this is; null: each accepted connection's own name is the end. */
    public SocketTap(Tape tape, String end) {
        this.tape = tape;
        this.end = end;
    }

    /** Members' own connections are not HTTP: what they carry is counted by the members. */
    private static boolean ofMembers(Connection c) {
        return c.name().equals(GossipNode.CONNECTION);
    }

    @Override
    public void opened(Connection c) {
        if (ofMembers(c)) {
            return;
        }
        Wire wire = new Wire(c);
        c.tapState(wire);
        wire.add(Entry.Kind.OPENED, null, null, 0, null, 0, 0);
    }

    private Wire wire(Connection c) {
        if (c.tapState() == null) {
            opened(c);
        }
        return (Wire) c.tapState();
    }

    @Override
    public void read(Connection c, ByteBuffer bytes) {
        if (ofMembers(c)) {
            return;
        }
        Wire wire = wire(c);
        wire.feed(c.accepted() ? wire.requests : wire.responses, bytes);
    }

    @Override
    public void wrote(Connection c, ByteBuffer bytes) {
        if (ofMembers(c)) {
            return;
        }
        Wire wire = wire(c);
        wire.feed(c.accepted() ? wire.responses : wire.requests, bytes);
    }

    @Override
    public void inputEnded(Connection c) {
        if (ofMembers(c)) {
            return;
        }
        Wire wire = wire(c);
        if (!c.accepted()) {
            wire.responses.eof();
        }
        wire.add(Entry.Kind.ENDED, null, null, 0, null, 0, 0);
    }

    @Override
    public void closed(Connection c) {
        if (c.tapState() != null) {
            ((Wire) c.tapState()).add(Entry.Kind.CLOSED, null, null, 0, null, 0, 0);
        }
    }

    private record Asked(int exchange, String method, String target) {}

    private final class Wire {
        private final long conn = CONNECTIONS.incrementAndGet();
        private final String own;
        private final String peer;
        private final ArrayDeque<Asked> open = new ArrayDeque<>();
        private final HttpParser requests;
        private final HttpParser responses;
        private int exchanges;
        private boolean broken;

        Wire(Connection c) {
            own = end != null ? end : c.name();
            peer = c.name();
            requests = HttpParser.forRequests(LIMITS, new Half(true));
            responses = HttpParser.forResponses(LIMITS, new Half(false));
        }

        void add(Entry.Kind kind, String method, String target, int status, String body, long bytes, int exchange) {
            tape.add(new Entry(tape.nowMs(), own, peer, conn, exchange, kind, method, target, status, body, bytes));
        }

        void feed(HttpParser parser, ByteBuffer bytes) {
            if (broken) {
                return;
            }
            try {
                while (bytes.hasRemaining()) {
                    parser.parse(bytes);
                }
            } catch (HttpException e) {
                broken = true;
                add(Entry.Kind.MALFORMED, null, null, e.status(), e.getMessage(), 0, exchanges);
            }
        }

        private final class Half implements HttpParser.Sink {
            private final boolean asks;
            private final ByteArrayOutputStream body = new ByteArrayOutputStream();
            private HttpHead head;
            private long bytes;
            private EventStream events;
            private boolean keep;

            Half(boolean asks) {
                this.asks = asks;
            }

            @Override
            public void head(HttpHead h) {
                head = h;
                bytes = 0;
                body.reset();
                events = null;
                String type = h.headers().get("Content-Type");
                keep = asks || type != null && !type.startsWith("video/");
                if (asks) {
                    return;
                }
                if (h.status() < 200) {
                    return;
                }
                Asked asked = open.peekFirst();
                add(
                        Entry.Kind.HEAD,
                        asked == null ? null : asked.method(),
                        asked == null ? null : asked.target(),
                        h.status(),
                        h.headers().get("Calicovale-Session"),
                        0,
                        asked == null ? -1 : asked.exchange());
                if ("text/event-stream".equals(type)) {
                    events = new EventStream(
                            1 << 24,
                            (kind, data) -> add(
                                    Entry.Kind.EVENT,
                                    kind,
                                    asked == null ? null : asked.target(),
                                    h.status(),
                                    data,
                                    data.length(),
                                    asked == null ? -1 : asked.exchange()));
                }
            }

            @Override
            public void body(ByteBuffer part) {
                bytes += part.remaining();
                if (events != null) {
                    try {
                        events.parse(part);
                    } catch (HttpException e) {
                        add(Entry.Kind.MALFORMED, null, null, e.status(), e.getMessage(), 0, exchanges);
                    }
                } else if (keep) {
                    byte[] copy = new byte[part.remaining()];
                    part.get(copy);
                    body.write(copy, 0, copy.length);
                }
            }

            @Override
            public void end() {
                String text = keep && events == null ? body.toString(StandardCharsets.UTF_8) : null;
                if (asks) {
                    int exchange = exchanges++;
                    open.addLast(new Asked(exchange, head.method(), head.target()));
                    add(Entry.Kind.REQUEST, head.method(), head.target(), 0, text, bytes, exchange);
                } else if (head.status() >= 200) {
                    Asked asked = open.pollFirst();
                    if (asked == null) {
                        add(Entry.Kind.MALFORMED, null, null, head.status(), "a response without a request", bytes, -1);
                        return;
                    }
                    add(
                            Entry.Kind.RESPONSE,
                            asked.method(),
                            asked.target(),
                            head.status(),
                            text,
                            bytes,
                            asked.exchange());
                }
            }
        }
    }
}
