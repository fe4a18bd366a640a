package calicovale.protocols.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.LoopLimits;
import calicovale.protocols.net.Tap;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the server and the client over loopback sockets. */
class HttpServerTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final HttpLimits LIMITS = new HttpLimits(256, 16, 1024, 64, 4096, 300, 300, 400, 4);
    private final BlockingQueue<Exchange> heldExchanges = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private HttpServer server;
    private InetSocketAddress address;

    @BeforeEach
    void start() {
        loop = new EventLoop("test", Clock.system(), new LoopLimits(1024, 4096, 1 << 16, 1 << 24, 64, 16, 64), Tap.NONE)
                .start();
        server = new HttpServer(loop, "server", LIMITS, this::handle);
        address = loop.call(() -> server.listen(ANY_PORT));
    }

    @AfterEach
    void stop() {
        loop.close();
    }

    private void handle(Exchange exchange) {
        switch (exchange.head().path()) {
            case "/hold" -> heldExchanges.add(exchange);
            case "/echo" -> exchange.respond(200, "text/plain", new String(exchange.body(), StandardCharsets.UTF_8));
            case "/chunks" -> {
                BodyStream out = exchange.stream(200, new Headers());
                out.write("ab".getBytes(StandardCharsets.UTF_8));
                out.write("cde".getBytes(StandardCharsets.UTF_8));
                out.end();
            }
            case "/flood" -> {
                BodyStream out = exchange.stream(200, new Headers());
                int written = 0;
                while (out.write(new byte[8192]) && written < 100_000) {
                    written++;
                }
            }
            default -> exchange.respond(200, "text/plain", exchange.head().target());
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads until the end of the connection. */
    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static String readUntil(Socket socket, String mark) throws IOException {
        StringBuilder received = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (received.indexOf(mark) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection ended after " + received);
            }
            received.append((char) next);
        }
        return received.toString();
    }

    private static List<Integer> statuses(String text) {
        List<Integer> result = new ArrayList<>();
        for (String part : text.split("(?=HTTP/1\\.1 )")) {
            if (part.startsWith("HTTP/1.1 ")) {
                result.add(Integer.parseInt(part.substring(9, 12)));
            }
        }
        return result;
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    "GET /hold HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n"
                            + "GET /three HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            Exchange first = heldExchanges.poll(10, TimeUnit.SECONDS);
            loop.execute(() -> first.respond(200, "text/plain", "one"));
            String text = readAll(socket);
            assertEquals(List.of(200, 200, 200), statuses(text));
            assertTrue(text.indexOf("one") < text.indexOf("/two") && text.indexOf("/two") < text.indexOf("/three"));
        }
    }

    @Test
    void appliesBackpressureToAPipeliningPeer() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
            Exchange first = heldExchanges.poll(10, TimeUnit.SECONDS);
            String more = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n".repeat(400);
            send(socket, more);
            loop.execute(() -> first.respond(200, "text/plain", "one"));
            send(socket, "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            assertEquals(402, statuses(readAll(socket)).size());
        }
    }

    @Test
    void refusesMalformedRequestsWithoutAffectingOtherConnections() throws Exception {
        try (Socket other = connect()) {
            String[][] cases = {
                {"400", "GET / HTTP/1.1\r\nHost : h\r\n\r\n"},
                {"414", "GET /" + "a".repeat(300)},
                {"431", "GET / HTTP/1.1\r\nX: " + "a".repeat(1100)},
                {"413", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"},
                {"501", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"},
                {"505", "GET / HTTP/3.0\r\n\r\n"}
            };
            for (String[] statusAndRequest : cases) {
                try (Socket socket = connect()) {
                    send(socket, statusAndRequest[1]);
                    String text = readAll(socket);
                    assertEquals(List.of(Integer.parseInt(statusAndRequest[0])), statuses(text), statusAndRequest[1]);
                    assertTrue(text.contains("application/problem+json"));
                }
            }
            try (Socket socket = connect()) {
                send(socket, "BREW / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
                assertEquals(List.of(501), statuses(readAll(socket)));
            }
            send(other, "GET /still HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            assertTrue(readAll(other).endsWith("/still"));
        }
    }

    @Test
    void slowRequestsGet408AndIdleConnectionsAreClosed() throws Exception {
        try (Socket head = connect();
                Socket body = connect();
                Socket idle = connect()) {
            send(head, "GET / HT");
            send(body, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
            assertEquals(List.of(408), statuses(readAll(head)));
            assertEquals(List.of(408), statuses(readAll(body)));
            assertEquals("", readAll(idle));
        }
    }

    @Test
    void handlesExpectHeadChunksAndHalfClose() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
            assertTrue(readUntil(socket, "\r\n\r\n").startsWith("HTTP/1.1 100 "));
            send(socket, "hello");
            assertTrue(readUntil(socket, "hello").startsWith("HTTP/1.1 200 "));
            send(socket, "HEAD /abcdef HTTP/1.1\r\nHost: h\r\n\r\nGET /chunks HTTP/1.1\r\nHost: h\r\n\r\n");
            String text = readUntil(socket, "0\r\n\r\n");
            assertTrue(text.contains("Content-Length: 7\r\n"));
            assertFalse(text.contains("abcdef"));
            assertTrue(text.endsWith("2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"));
            send(socket, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
            Exchange exchange = heldExchanges.poll(10, TimeUnit.SECONDS);
            CompletableFuture<Boolean> gone = new CompletableFuture<>();
            loop.execute(() -> exchange.onClientClosed(() -> gone.complete(true)));
            socket.shutdownOutput();
            assertTrue(gone.get(10, TimeUnit.SECONDS));
            assertFalse(loop.call(() -> exchange.respond(200, "text/plain", "late")));
        }
    }

    @Test
    void resetsAPeerThatReadsNothingAtTheLimit() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /flood HTTP/1.1\r\nHost: h\r\n\r\n");
            long deadlineNanos = System.nanoTime() + 20_000_000_000L;
            while (loop.call(() -> loop.counters().pendingOverflows) == 0 && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            assertEquals(1L, loop.call(() -> loop.counters().pendingOverflows));
            assertEquals(0, (int) loop.call(() -> server.openConnections()));
        }
    }

    @Test
    void refusesConnectionsAboveTheLimitWith503() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < LIMITS.connections(); i++) {
                Socket socket = connect();
                sockets.add(socket);
                send(socket, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
                assertTrue(heldExchanges.poll(10, TimeUnit.SECONDS) != null);
            }
            try (Socket socket = connect()) {
                assertEquals(List.of(503), statuses(readAll(socket)));
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private record Result(HttpHead head, String body, HttpClient.Failure failure) {}

    private CompletableFuture<Result> call(
            HttpClient client, InetSocketAddress address, String path, double timeoutMs) {
        CompletableFuture<Result> done = new CompletableFuture<>();
        loop.execute(() -> client.send(
                address,
                "client",
                "GET",
                path,
                new Headers(),
                new byte[0],
                timeoutMs,
                (head, body, failure) -> done.complete(
                        new Result(head, body == null ? null : new String(body, StandardCharsets.UTF_8), failure))));
        return done;
    }

    @Test
    void clientPoolsConnectionsAndReportsFailures() throws Exception {
        HttpClient client = new HttpClient(loop, HttpLimits.DEFAULT, 2, 1000);
        assertEquals(
                "/a",
                call(client, address, "/a", 5000).get(10, TimeUnit.SECONDS).body());
        assertEquals(
                "abcde",
                call(client, address, "/chunks", 5000).get(10, TimeUnit.SECONDS).body());
        assertEquals(1, (int) loop.call(() -> client.connections(address)));
        CompletableFuture<Result> one = call(client, address, "/hold", 0);
        CompletableFuture<Result> two = call(client, address, "/hold", 100);
        assertEquals(
                HttpClient.Failure.POOL_FULL,
                call(client, address, "/c", 0).get(10, TimeUnit.SECONDS).failure());
        assertEquals(HttpClient.Failure.TIMEOUT, two.get(10, TimeUnit.SECONDS).failure());
        loop.execute(() -> loop.resetAll("server"));
        assertEquals(HttpClient.Failure.RESET, one.get(10, TimeUnit.SECONDS).failure());
        loop.call(() -> {
            server.stopListening();
            return true;
        });
        // the port is released in the next turn of the loop
        HttpClient.Failure last = null;
        for (int i = 0; i < 100 && last != HttpClient.Failure.CONNECT_REFUSED; i++) {
            last = call(client, address, "/d", 1000).get(10, TimeUnit.SECONDS).failure();
        }
        assertEquals(HttpClient.Failure.CONNECT_REFUSED, last);
    }

    /** The clock is set by hand, because a pause between two calls of schedule would change the order of the timers. */
    @Test
    void timersRunInOrderAndCancelledOnesDoNot() throws Exception {
        ManualClock clock = new ManualClock();
        List<Integer> order = new CopyOnWriteArrayList<>();
        try (EventLoop timerLoop = new EventLoop("timers", clock).start()) {
            timerLoop.call(() -> {
                timerLoop.schedule(30, () -> order.add(3));
                timerLoop.schedule(10, () -> order.add(1));
                var cancelled = timerLoop.schedule(20, () -> order.add(9));
                return timerLoop.schedule(15, () -> {
                    order.add(2);
                    cancelled.cancel();
                    timerLoop.schedule(0, () -> order.add(7));
                });
            });
            clock.setMs(9);
            runDueTimers(timerLoop);
            assertEquals(List.of(), order, "no timer is due");
            clock.setMs(16);
            runDueTimers(timerLoop);
            assertEquals(List.of(1, 2, 7), order);
            clock.setMs(60);
            runDueTimers(timerLoop);
            assertEquals(List.of(1, 2, 7, 3), order);
        }
    }

    /** Waits until all timers that are due, and the due timers that those schedule, have run. */
    private static void runDueTimers(EventLoop timerLoop) throws Exception {
        for (int i = 0; i < 2; i++) {
            CompletableFuture<Void> reached = new CompletableFuture<>();
            timerLoop.call(() -> timerLoop.schedule(0, () -> reached.complete(null)));
            reached.get(10, TimeUnit.SECONDS);
        }
    }

    /** A clock that moves only when it is set. */
    private static final class ManualClock implements Clock {
        private volatile long nowNanos;

        void setMs(long nowMs) {
            nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
        }

        @Override
        public long nanos() {
            return nowNanos;
        }

        @Override
        public double millis() {
            return nowNanos / 1e6;
        }
    }
}
