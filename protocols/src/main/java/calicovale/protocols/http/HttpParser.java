package calicovale.protocols.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Owns the incremental reading of one direction of an HTTP/1.1 connection (RFC 9112): any split of the bytes gives the same
 * events. It refuses what two readers could frame differently: two lengths, a length beside a transfer coding, bare CR or
 * LF, folded lines, white space before a colon.
 */
public final class HttpParser {

    /** Takes what was read; the buffers hold only for the call. */
    public interface Sink {
        /** A head is whole. */
        void head(HttpHead head);

        /** A part of the body. */
        void body(ByteBuffer part);

        /** The message is whole. */
        void end();
    }

    private enum State {
        START,
        FIELDS,
        FIXED,
        UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        BROKEN
    }

    /** Hex digits of a chunk's size: 7 stay well inside an int. */
    private static final int CHUNK_DIGITS = 7;

    private static final boolean[] TOKEN = new boolean[128];

    static {
        for (char c = '0'; c <= '9'; c++) {
            TOKEN[c] = true;
        }
        for (char c = 'a'; c <= 'z'; c++) {
            TOKEN[c] = true;
            TOKEN[c - 32] = true;
        }
        for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
            TOKEN[c] = true;
        }
    }

    private final boolean requests;
    private final HttpLimits limits;
    private final Sink sink;
    private byte[] line = new byte[256];
    private int length;
    private boolean cr;
    private State state = State.START;
    private HttpHead start;
    private Headers headers;
    private int fieldBytes;
    private long remaining;
    private long bodyBytes;
    private boolean expectsNoBody;

    private HttpParser(boolean requests, HttpLimits limits, Sink sink) {
        this.requests = requests;
        this.limits = limits;
        this.sink = sink;
    }

    /** A reader of requests. */
    public static HttpParser ofRequests(HttpLimits limits, Sink sink) {
        return new HttpParser(true, limits, sink);
    }

    /** A reader of responses; their bodies are not bounded here, since they are passed on part by part. */
    public static HttpParser ofResponses(HttpLimits limits, Sink sink) {
        return new HttpParser(false, limits, sink);
    }

    /** The next response answers a HEAD request: it has no body whatever its fields say. */
    public void nextHasNoBody() {
        expectsNoBody = true;
    }

    /** Whether a message has begun and is not whole. */
    public boolean inMessage() {
        return state != State.START || length > 0 || cr;
    }

    /** Whether a head has begun and is not whole. */
    public boolean inHead() {
        return state == State.START && length > 0 || state == State.FIELDS;
    }

    /**
     * Reads until a message is whole or the bytes are used up.
     *
     * @return true if a message has become whole; bytes of later ones are left in {@code in}
     * @throws HttpException if the message is refused; nothing can be read from this connection any more
     */
    public boolean parse(ByteBuffer in) throws HttpException {
        try {
            return step(in);
        } catch (HttpException e) {
            state = State.BROKEN;
            throw e;
        }
    }

    /**
     * The peer sends no more.
     *
     * @return true if that made a message whole (a response that is delimited by the end)
     */
    public boolean eof() {
        if (state == State.UNTIL_CLOSE) {
            finish();
            return true;
        }
        return false;
    }

    private boolean step(ByteBuffer in) throws HttpException {
        while (true) {
            switch (state) {
                case START -> {
                    if (!readLine(in, limits.lineBytes(), requests ? 414 : 502)) {
                        return false;
                    }
                    if (length == 0) {
                        // RFC 9112, 2.2: a server ignores an empty line before a request line
                        if (!requests) {
                            throw new HttpException(502, "empty status line");
                        }
                        continue;
                    }
                    start = requests ? requestLine() : statusLine();
                    headers = start.headers();
                    fieldBytes = 0;
                    length = 0;
                    state = State.FIELDS;
                }
                case FIELDS, TRAILERS -> {
                    if (!readLine(in, limits.headerBytes() - fieldBytes, 431)) {
                        return false;
                    }
                    if (length > 0) {
                        field();
                        length = 0;
                        continue;
                    }
                    if (state == State.TRAILERS) {
                        finish();
                        return true;
                    }
                    if (headDone()) {
                        return true;
                    }
                }
                case FIXED, CHUNK_DATA, UNTIL_CLOSE -> {
                    if (!in.hasRemaining()) {
                        return false;
                    }
                    int count = state == State.UNTIL_CLOSE ? in.remaining() : (int) Math.min(remaining, in.remaining());
                    int end = in.limit();
                    in.limit(in.position() + count);
                    sink.body(in.slice());
                    in.position(in.limit());
                    in.limit(end);
                    remaining -= count;
                    if (state == State.FIXED && remaining == 0) {
                        finish();
                        return true;
                    }
                    if (state == State.CHUNK_DATA && remaining == 0) {
                        state = State.CHUNK_END;
                    }
                }
                case CHUNK_END -> {
                    if (!readLine(in, 0, 400)) {
                        return false;
                    }
                    state = State.CHUNK_SIZE;
                }
                case CHUNK_SIZE -> {
                    if (!readLine(in, limits.lineBytes(), 400)) {
                        return false;
                    }
                    chunkSize();
                }
                default -> throw new HttpException(400, "framing is lost");
            }
        }
    }

    /** Collects a line that ends with CR LF; false: more bytes are needed. The line is in {@code line[0..length)}. */
    private boolean readLine(ByteBuffer in, int most, int tooLong) throws HttpException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (cr) {
                if (b != '\n') {
                    throw new HttpException(400, "a CR without LF");
                }
                cr = false;
                return true;
            }
            if (b == '\r') {
                cr = true;
            } else if (b == '\n') {
                throw new HttpException(400, "an LF without CR");
            } else {
                if (length >= most) {
                    throw new HttpException(tooLong, "a line of more than " + Math.max(0, most) + " bytes");
                }
                if (length == line.length) {
                    line = java.util.Arrays.copyOf(line, 2 * length);
                }
                line[length++] = b;
            }
        }
        return false;
    }

    private String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private int find(int from, char c) {
        for (int i = from; i < length; i++) {
            if (line[i] == c) {
                return i;
            }
        }
        return -1;
    }

    private HttpHead requestLine() throws HttpException {
        int first = find(0, ' ');
        int second = first < 0 ? -1 : find(first + 1, ' ');
        if (first <= 0 || second <= first + 1 || find(second + 1, ' ') >= 0) {
            throw new HttpException(400, "a request line is method, target and version");
        }
        for (int i = 0; i < first; i++) {
            if (!token(line[i])) {
                throw new HttpException(400, "the method is no token");
            }
        }
        for (int i = first + 1; i < second; i++) {
            if (line[i] <= ' ' || line[i] == 127) {
                throw new HttpException(400, "the target has a character that is not allowed");
            }
        }
        int minor = version(second + 1, length, 400, 505);
        return new HttpHead(text(0, first), text(first + 1, second), 0, null, minor, new Headers());
    }

    private HttpHead statusLine() throws HttpException {
        int first = find(0, ' ');
        if (first < 0 || length < first + 4 || length > first + 4 && line[first + 4] != ' ') {
            throw new HttpException(502, "a status line is version, status and reason");
        }
        int minor = version(0, first, 502, 502);
        int status = 0;
        for (int i = first + 1; i < first + 4; i++) {
            if (line[i] < '0' || line[i] > '9') {
                throw new HttpException(502, "the status is no number");
            }
            status = 10 * status + line[i] - '0';
        }
        if (status < 100) {
            throw new HttpException(502, "no status " + status);
        }
        return new HttpHead(null, null, status, text(Math.min(length, first + 5), length), minor, new Headers());
    }

    private int version(int from, int to, int malformed, int unsupported) throws HttpException {
        boolean formed = to - from == 8
                && text(from, from + 5).equals("HTTP/")
                && digit(line[from + 5])
                && line[from + 6] == '.'
                && digit(line[from + 7]);
        if (!formed) {
            throw new HttpException(malformed, "the version is malformed");
        }
        if (line[from + 5] != '1') {
            throw new HttpException(unsupported, "only HTTP/1 is spoken here");
        }
        return Math.min(1, line[from + 7] - '0');
    }

    private static boolean digit(byte b) {
        return b >= '0' && b <= '9';
    }

    private static boolean token(byte b) {
        return b > 0 && TOKEN[b];
    }

    private void field() throws HttpException {
        fieldBytes += length;
        if (headers.size() >= limits.headerCount()) {
            throw new HttpException(431, "more than " + limits.headerCount() + " fields");
        }
        if (line[0] == ' ' || line[0] == '\t') {
            throw new HttpException(400, "a folded line");
        }
        int colon = find(0, ':');
        if (colon <= 0) {
            throw new HttpException(400, "a field without a name or colon");
        }
        for (int i = 0; i < colon; i++) {
            if (!token(line[i])) {
                throw new HttpException(400, "a field's name is no token");
            }
        }
        int from = colon + 1;
        int to = length;
        while (from < to && (line[from] == ' ' || line[from] == '\t')) {
            from++;
        }
        while (to > from && (line[to - 1] == ' ' || line[to - 1] == '\t')) {
            to--;
        }
        for (int i = from; i < to; i++) {
            if (line[i] >= 0 && line[i] < ' ' && line[i] != '\t' || line[i] == 127) {
                throw new HttpException(400, "a field's value has a control character");
            }
        }
        if (state == State.FIELDS) {
            headers.add(text(0, colon), text(from, to));
        }
    }

    private boolean headDone() throws HttpException {
        int bad = requests ? 400 : 502;
        List<String> lengths = headers.all("Content-Length");
        List<String> codings = headers.all("Transfer-Encoding");
        if (lengths.size() > 1) {
            throw new HttpException(bad, "two Content-Lengths");
        }
        if (!lengths.isEmpty() && !codings.isEmpty()) {
            throw new HttpException(bad, "Content-Length beside Transfer-Encoding");
        }
        if (requests) {
            List<String> hosts = headers.all("Host");
            if (hosts.size() > 1 || hosts.isEmpty() && start.minor() >= 1) {
                throw new HttpException(400, "one Host is needed");
            }
        }
        boolean chunked = false;
        if (!codings.isEmpty()) {
            if (start.minor() < 1) {
                throw new HttpException(bad, "a transfer coding in HTTP/1.0");
            }
            if (codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
                throw new HttpException(requests ? 501 : 502, "only the chunked transfer coding is known");
            }
            chunked = true;
        }
        remaining = lengths.isEmpty() ? requests ? 0 : -1 : number(lengths.get(0), bad);
        if (requests && remaining > limits.bodyBytes()) {
            throw new HttpException(413, "a body of more than " + limits.bodyBytes() + " bytes");
        }
        bodyBytes = 0;
        length = 0;
        sink.head(start);
        int status = start.status();
        boolean bodiless =
                !requests && (expectsNoBody && status >= 200 || status < 200 || status == 204 || status == 304);
        if (bodiless || !chunked && remaining == 0) {
            finish();
            return true;
        }
        state = chunked ? State.CHUNK_SIZE : remaining < 0 ? State.UNTIL_CLOSE : State.FIXED;
        return false;
    }

    private static long number(String digits, int bad) throws HttpException {
        if (digits.isEmpty() || digits.length() > 15 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new HttpException(bad, "Content-Length is no number");
        }
        return Long.parseLong(digits);
    }

    private void chunkSize() throws HttpException {
        int at = 0;
        long size = 0;
        while (at < length && Character.digit(line[at], 16) >= 0) {
            size = 16 * size + Character.digit(line[at], 16);
            if (++at > CHUNK_DIGITS) {
                throw new HttpException(413, "a chunk of more than 2^28 bytes");
            }
        }
        if (at == 0 || at < length && line[at] != ';') {
            throw new HttpException(400, "a chunk's size is no hex number");
        }
        for (int i = at; i < length; i++) {
            if (line[i] >= 0 && line[i] < ' ' && line[i] != '\t') {
                throw new HttpException(400, "a chunk's extension has a control character");
            }
        }
        length = 0;
        bodyBytes += size;
        if (requests && bodyBytes > limits.bodyBytes()) {
            throw new HttpException(413, "a body of more than " + limits.bodyBytes() + " bytes");
        }
        remaining = size;
        state = size == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void finish() {
        if (start == null || start.status() == 0 || start.status() >= 200) {
            expectsNoBody = false;
        }
        state = State.START;
        length = 0;
        sink.end();
    }
}
