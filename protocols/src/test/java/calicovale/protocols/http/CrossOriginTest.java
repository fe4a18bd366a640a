package calicovale.protocols.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests CORS headers over loopback sockets, and byte ranges. */
class CrossOriginTest {
    private static final String PAGE_ORIGIN = "https://lectures.example";
    private final EventLoop loop = new EventLoop("test", Clock.system()).start();

    @AfterEach
    void stop() {
        loop.close();
    }

    private String exchange(CrossOrigin permitted, String request) throws IOException {
        HttpServer server = new HttpServer(loop, "server", HttpLimits.DEFAULT, exchange -> {
                    switch (exchange.head().path()) {
                        case "/fail" -> throw new IllegalStateException("handler error");
                        case "/refused" ->
                            exchange.problem(
                                    503, new Headers().add("Retry-After", "2"), "Service Unavailable", "no room", "");
                        case "/stream" -> {
                            BodyStream out = exchange.stream(200, new Headers(), 2);
                            out.write(new byte[] {'o', 'k'});
                            out.end();
                        }
                        case "/broken" -> {
                            exchange.stream(200, new Headers(), 99).write(new byte[] {'o'});
                            throw new IllegalStateException("handler error after the response has begun");
                        }
                        default -> exchange.respond(200, "text/plain", "ok");
                    }
                })
                .crossOrigin(permitted);
        InetSocketAddress address = loop.call(() -> server.listen(new InetSocketAddress("127.0.0.1", 0)));
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((request + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static CrossOrigin permitting(boolean credentials, String... origins) {
        return new CrossOrigin(
                Set.of(origins),
                credentials,
                60,
                List.of("Calicovale-Session", "Retry-After"),
                List.of("CMCD-Session", "Range"),
                List.of("GET", "HEAD"));
    }

    private static String request(String method, String path, String headerLines) {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headerLines;
    }

    @Test
    void allowedOriginMayReadAllResponsesIncludingErrors() throws IOException {
        for (String path : List.of("/x", "/refused", "/stream", "/fail")) {
            String answer =
                    exchange(permitting(false, PAGE_ORIGIN), request("GET", path, "Origin: " + PAGE_ORIGIN + "\r\n"));
            for (String line : List.of(
                    "Access-Control-Allow-Origin: " + PAGE_ORIGIN,
                    "Timing-Allow-Origin: " + PAGE_ORIGIN,
                    "Vary: Origin",
                    "Access-Control-Expose-Headers: Calicovale-Session, Retry-After")) {
                assertTrue(answer.contains(line + "\r\n"), line + " in " + answer);
            }
            assertFalse(answer.contains("Credentials"), answer);
        }
        assertTrue(exchange(permitting(false, PAGE_ORIGIN), request("GET", "/fail", ""))
                .startsWith("HTTP/1.1 500 "));
        assertThrows(
                java.net.SocketException.class,
                () -> exchange(permitting(false, PAGE_ORIGIN), request("GET", "/broken", "")),
                "a truncated response must end with a reset");
        // refused by the parser after a complete head, because the body exceeds the limit
        String refused = exchange(
                permitting(false, PAGE_ORIGIN),
                request("POST", "/x", "Origin: " + PAGE_ORIGIN + "\r\nContent-Length: 99999999\r\n"));
        assertTrue(refused.startsWith("HTTP/1.1 413 "), refused);
        assertTrue(exchange(permitting(true, PAGE_ORIGIN), request("GET", "/x", "Origin: " + PAGE_ORIGIN + "\r\n"))
                .contains("Allow-Credentials: true"));
        assertTrue(exchange(permitting(false, "*"), request("GET", "/x", "Origin: http://any\r\n"))
                .contains("Allow-Origin: *\r\n"));
    }

    @Test
    void otherOriginsGetNoAccessHeaders() throws IOException {
        for (String origin : List.of(
                "Origin: https://other.example\r\n",
                "Origin: null\r\n",
                "Origin: " + PAGE_ORIGIN + ".evil\r\n",
                "Origin: " + PAGE_ORIGIN + "\r\nOrigin: " + PAGE_ORIGIN + "\r\n",
                "Origin: " + "h".repeat(4000) + "\r\n",
                "")) {
            String answer = exchange(permitting(true, PAGE_ORIGIN), request("GET", "/x", origin));
            assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.contains("Vary: Origin\r\n"), answer);
            assertFalse(answer.contains("Access-Control") || answer.contains("Timing-Allow"), answer);
            String preflight = exchange(
                    permitting(true, PAGE_ORIGIN),
                    request("OPTIONS", "/x", origin + "Access-Control-Request-Method: GET\r\n"));
            assertFalse(preflight.contains("Access-Control-Allow"), preflight);
        }
        assertFalse(exchange(CrossOrigin.DISABLED, request("GET", "/x", "Origin: " + PAGE_ORIGIN + "\r\n"))
                .contains("Vary"));
    }

    @Test
    void preflightListsAllowedMethodsAndHeaders() throws IOException {
        String answer = exchange(
                permitting(false, PAGE_ORIGIN),
                request(
                        "OPTIONS",
                        "/x",
                        "Origin: " + PAGE_ORIGIN
                                + "\r\nAccess-Control-Request-Method: GET\r\nAccess-Control-Request-Headers: cmcd-session,range\r\n"));
        assertTrue(answer.startsWith("HTTP/1.1 204 "), answer);
        for (String line : List.of(
                "Access-Control-Allow-Methods: GET, HEAD",
                "Access-Control-Allow-Headers: CMCD-Session, Range",
                "Access-Control-Max-Age: 60",
                "Vary: Access-Control-Request-Method, Access-Control-Request-Headers")) {
            assertTrue(answer.contains(line + "\r\n"), line + " in " + answer);
        }
        assertTrue(
                exchange(permitting(false, PAGE_ORIGIN), request("OPTIONS", "/x", ""))
                        .endsWith("ok"),
                "an OPTIONS request that is no preflight goes to the handler");
    }

    @Test
    void anyOriginExcludesCredentialsAndOtherOrigins() {
        assertThrows(IllegalArgumentException.class, () -> permitting(true, "*"));
        assertThrows(IllegalArgumentException.class, () -> permitting(false, "*", PAGE_ORIGIN));
    }

    @Test
    void byteRangesFollowRfc9110() {
        assertEquals(new ByteRange(0, 10, true), ByteRange.of(null, 10));
        assertEquals(new ByteRange(2, 3, false), ByteRange.of("bytes=2-4", 10));
        assertEquals(new ByteRange(2, 8, false), ByteRange.of("bytes=2-", 10));
        assertEquals(new ByteRange(2, 8, false), ByteRange.of("bytes=2-99", 10));
        assertEquals(new ByteRange(7, 3, false), ByteRange.of("bytes=-3", 10));
        assertEquals(new ByteRange(0, 10, false), ByteRange.of("bytes=-99", 10));
        assertEquals("bytes 2-4/10", ByteRange.of("bytes=2-4", 10).contentRange(10));
        for (String none : List.of("bytes=10-", "bytes=10-12", "bytes=999999999999999999-", "bytes=-0")) {
            assertEquals(0, ByteRange.of(none, 10).length(), none);
            assertEquals("bytes */10", ByteRange.of(none, 10).contentRange(10));
        }
        for (String ignored : List.of(
                "bytes=4-2",
                "bytes=1-2,3-4",
                "bytes=1-5,2-6",
                "bytes=",
                "bytes=-",
                "bytes=a-b",
                "items=1-2",
                "bytes=1-2 ",
                "bytes=-1-2",
                "bytes=9999999999999999999-",
                "")) {
            assertTrue(ByteRange.of(ignored, 10).whole(), ignored);
        }
    }
}
