package calicovale.protocols.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpParserTest {
    private static final HttpLimits LIMITS = new HttpLimits(64, 8, 256, 32, 0, 0, 0, 0, 0);

    /** Records a parser's events. Body parts are joined, because their boundaries are not part of the message. */
    private static final class RecordingSink implements HttpParser.Sink {
        final List<String> events = new ArrayList<>();
        private final StringBuilder body = new StringBuilder();

        @Override
        public void head(HttpHead head) {
            events.add(
                    (head.method() == null ? head.status() + " " + head.reason() : head.method() + " " + head.target())
                            + " 1." + head.minorVersion() + " " + head.headers());
        }

        @Override
        public void body(ByteBuffer part) {
            body.append(StandardCharsets.ISO_8859_1.decode(part));
        }

        @Override
        public void end() {
            events.add("end " + body);
            body.setLength(0);
        }
    }

    private static void feed(HttpParser parser, byte[] bytes) throws HttpException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.hasRemaining()) {
            parser.parse(in);
        }
    }

    private static List<String> parseAll(boolean requests, String text) throws HttpException {
        RecordingSink sink = new RecordingSink();
        HttpParser parser = requests ? HttpParser.forRequests(LIMITS, sink) : HttpParser.forResponses(LIMITS, sink);
        feed(parser, text.getBytes(StandardCharsets.ISO_8859_1));
        parser.eof();
        return sink.events;
    }

    private static int refusalStatus(String text) {
        return assertThrows(HttpException.class, () -> parseAll(true, text), text)
                .status();
    }

    private static String expandLineEnds(String text) {
        return text.replace("~", "\r\n");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // messages that two recipients could frame differently
                "400 | POST / HTTP/1.1~Host: a~Content-Length: 3~Content-Length: 3~~abc",
                "400 | POST / HTTP/1.1~Host: a~Content-Length: 3~Transfer-Encoding: chunked~~0~~",
                "400 | POST / HTTP/1.1~Host: a~Content-Length: +3~~abc",
                "400 | POST / HTTP/1.1~Host: a~Content-Length: 3, 3~~abc",
                "400 | POST / HTTP/1.1~Host: a~Content-Length : 3~~abc",
                "400 | POST / HTTP/1.1~Host: a~X: b~ folded~~",
                "400 | GET / HTTP/1.1~Host: a~Host: b~~",
                "400 | GET / HTTP/1.1~~",
                "400 | GET  / HTTP/1.1~Host: a~~",
                "400 | GET / HTTP/1.1 ~Host: a~~",
                "400 | GET / http/1.1~Host: a~~",
                "400 | G(T / HTTP/1.1~Host: a~~",
                "400 | GET / HTTP/1.1~: a~Host: a~~",
                "400 | GET / HTTP/1.1~Host~~",
                "400 | POST / HTTP/1.0~Transfer-Encoding: chunked~~0~~",
                "400 | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~x~~",
                "400 | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~3~abcd~0~~",
                "400 | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~-1~~",
                "501 | POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~",
                "501 | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~",
                "505 | GET / HTTP/2.0~Host: a~~",
                "413 | POST / HTTP/1.1~Host: a~Content-Length: 33~~",
                "413 | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~10~0123456789abcdef~11~",
                "413 | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~fffffffff~",
            })
    void refusesMalformedRequests(int status, String text) {
        assertEquals(status, refusalStatus(expandLineEnds(text)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET / HTTP/1.1\nHost: a\n\n",
                "GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nX: b\u0000c\r\n\r\n",
                "GET /\u0001 HTTP/1.1\r\nHost: a\r\n\r\n"
            })
    void refusesBareLineEndsAndControlCharacters(String text) {
        assertEquals(400, refusalStatus(text));
    }

    @Test
    void limitsLinesAndFields() {
        assertEquals(414, refusalStatus("GET /" + "a".repeat(64) + " HTTP/1.1\r\n"));
        assertEquals(431, refusalStatus("GET / HTTP/1.1\r\nX: " + "a".repeat(260) + "\r\n"));
        assertEquals(431, refusalStatus("GET / HTTP/1.1\r\n" + "X: a\r\n".repeat(9)));
    }

    @Test
    void parsesNothingAfterARefusal() throws HttpException {
        RecordingSink sink = new RecordingSink();
        HttpParser parser = HttpParser.forRequests(LIMITS, sink);
        assertThrows(HttpException.class, () -> feed(parser, "GET /\r\n".getBytes(StandardCharsets.ISO_8859_1)));
        assertThrows(
                HttpException.class,
                () -> feed(parser, "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)));
        assertTrue(sink.events.isEmpty());
    }

    @Test
    void readsPipelinedRequestsOneByOne() throws HttpException {
        RecordingSink sink = new RecordingSink();
        HttpParser parser = HttpParser.forRequests(LIMITS, sink);
        ByteBuffer in = ByteBuffer.wrap("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(parser.parse(in));
        assertEquals(2, sink.events.size());
        assertTrue(in.hasRemaining());
        assertTrue(parser.parse(in));
        assertFalse(in.hasRemaining());
        assertEquals(List.of("GET /a 1.1 [Host, h]", "end ", "GET /b 1.1 [Host, h]", "end "), sink.events);
    }

    @Test
    void readsChunksWithExtensionsAndTrailers() throws HttpException {
        assertEquals(
                List.of("POST / 1.1 [Host, h, Transfer-Encoding, chunked]", "end abcde"),
                parseAll(
                        true,
                        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n"));
    }

    @Test
    void readsResponsesOfAllFramings() throws HttpException {
        assertEquals(
                List.of("100 Continue 1.1 []", "end ", "200 OK 1.1 [Content-Length, 2]", "end ab"),
                parseAll(false, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"));
        assertEquals(List.of("204  1.1 []", "end "), parseAll(false, "HTTP/1.1 204 \r\n\r\n"));
        assertEquals(
                List.of("200 OK 1.0 []", "end until the end"), parseAll(false, "HTTP/1.0 200 OK\r\n\r\nuntil the end"));
        RecordingSink sink = new RecordingSink();
        HttpParser parser = HttpParser.forResponses(LIMITS, sink);
        parser.expectBodilessResponse();
        feed(parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertEquals("end ", sink.events.get(1));
    }

    @Property(tries = 500, seed = "1")
    void anySplitOfTheBytesGivesTheSameEvents(@ForAll("messages") List<String> messages, @ForAll List<Integer> cuts)
            throws HttpException {
        byte[] bytes = String.join("", messages).getBytes(StandardCharsets.ISO_8859_1);
        RecordingSink wholeSink = new RecordingSink();
        feed(HttpParser.forRequests(HttpLimits.DEFAULT, wholeSink), bytes);
        RecordingSink splitSink = new RecordingSink();
        HttpParser parser = HttpParser.forRequests(HttpLimits.DEFAULT, splitSink);
        int start = 0;
        for (int i = 0; start < bytes.length; i++) {
            int size = cuts.isEmpty() ? 1 : 1 + Math.floorMod(cuts.get(i % cuts.size()), 7);
            int end = Math.min(bytes.length, start + size);
            feed(parser, java.util.Arrays.copyOfRange(bytes, start, end));
            start = end;
        }
        assertEquals(wholeSink.events, splitSink.events);
        assertEquals(2 * messages.size(), wholeSink.events.size());
    }

    @Property(tries = 500, seed = "1")
    void parsesWhatTheWriterWrites(@ForAll("bodies") String body, @ForAll("values") List<String> values)
            throws HttpException {
        Headers headers = new Headers();
        for (int i = 0; i < values.size(); i++) {
            headers.add("X-" + i, values.get(i));
        }
        RecordingSink sink = new RecordingSink();
        ByteBuffer bytes = HttpWriter.request("POST", "/x", "h:1", headers, body.getBytes(StandardCharsets.ISO_8859_1));
        HttpParser.forRequests(HttpLimits.DEFAULT, sink).parse(bytes);
        Headers expected = new Headers().add("Host", "h:1");
        for (int i = 0; i < values.size(); i++) {
            expected.add("X-" + i, values.get(i).strip());
        }
        expected.add("Content-Length", Integer.toString(body.length()));
        assertEquals(List.of("POST /x 1.1 " + expected, "end " + body), sink.events);
    }

    @Property(tries = 1000, seed = "1")
    void arbitraryBytesAreParsedOrRefused(@ForAll byte[] bytes) {
        HttpParser parser = HttpParser.forRequests(LIMITS, new RecordingSink());
        try {
            feed(parser, bytes);
        } catch (HttpException e) {
            assertTrue(e.status() >= 400 && e.status() <= 505);
        }
    }

    @Provide
    Arbitrary<String> bodies() {
        return Arbitraries.strings().withCharRange('\u0000', '\u00ff').ofMaxLength(200);
    }

    @Provide
    Arbitrary<List<String>> values() {
        return Arbitraries.strings()
                .withCharRange('!', '~')
                .ofMaxLength(20)
                .list()
                .ofMaxSize(6);
    }

    @Provide
    Arbitrary<List<String>> messages() {
        Arbitrary<String> fixed =
                bodies().map(b -> "POST /f?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + b.length() + "\r\n\r\n" + b);
        Arbitrary<String> chunked = bodies().list().ofMaxSize(4).map(parts -> {
            StringBuilder out = new StringBuilder("PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (String part : parts) {
                if (!part.isEmpty()) {
                    out.append(Integer.toHexString(part.length()))
                            .append("\r\n")
                            .append(part)
                            .append("\r\n");
                }
            }
            return out.append("0\r\n\r\n").toString();
        });
        Arbitrary<String> bare = Arbitraries.of("GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\nGET / HTTP/1.0\r\n\r\n");
        return Arbitraries.oneOf(fixed, chunked, bare).list().ofMinSize(1).ofMaxSize(5);
    }
}
