package calicovale.protocols.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Incremental parser for one direction of an HTTP/1.1 connection (RFC 9112). Any split of the bytes gives the same
 * events. The parser refuses messages that two recipients could frame differently, such as messages with two content
 * lengths, a content length together with a transfer coding, bare CR or LF, folded lines, or white space before the
 * colon of a field.
 */
public final class HttpParser {

    /** Receiver of the parsed parts; buffers are valid only during the call. */
    public interface Sink {
        /** Called when a head is complete. */
        void head(HttpHead head);

        /** Called for each part of the body. */
        void body(ByteBuffer part);

        /** Called when the message is complete. */
        void end();
    }

    private enum State {
        START_LINE,
        FIELDS,
        FIXED_LENGTH_BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        FAILED
    }

    /** Maximum number of hex digits of a chunk size; 7 digits fit into an int. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 7;

    private static final boolean[] TOKEN_CHARACTERS = new boolean[128];

    static {
        for (char c = '0'; c <= '9'; c++) {
            TOKEN_CHARACTERS[c] = true;
        }
        for (char c = 'a'; c <= 'z'; c++) {
            TOKEN_CHARACTERS[c] = true;
            TOKEN_CHARACTERS[c - 32] = true;
        }
        for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
            TOKEN_CHARACTERS[c] = true;
        }
    }

    private final boolean parsesRequests;
    private final HttpLimits limits;
    private final Sink sink;
    private byte[] line = new byte[256];
    private int lineLength;
    private boolean seenCr;
    private State state = State.START_LINE;
    private HttpHead head;
    private Headers headers;
    private int fieldBytes;
    private long remainingBytes;
    private long bodyBytes;
    private boolean nextResponseIsBodiless;

    private HttpParser(boolean parsesRequests, HttpLimits limits, Sink sink) {
        this.parsesRequests = parsesRequests;
        this.limits = limits;
        this.sink = sink;
    }

    /** Creates a parser of requests. */
    public static HttpParser forRequests(HttpLimits limits, Sink sink) {
        return new HttpParser(true, limits, sink);
    }

    /** Creates a parser of responses. It does not limit the size of bodies, because they are passed on in parts. */
    public static HttpParser forResponses(HttpLimits limits, Sink sink) {
        return new HttpParser(false, limits, sink);
    }

    /** Declares that the next response answers a HEAD request and so has no body, whatever its fields say. */
    public void expectBodilessResponse() {
        nextResponseIsBodiless = true;
    }

    /** Returns whether a message has begun and is not complete. */
    public boolean inMessage() {
        return state != State.START_LINE || lineLength > 0 || seenCr;
    }

    /** Returns whether a head has begun and is not complete. */
    public boolean inHead() {
        return state == State.START_LINE && lineLength > 0 || state == State.FIELDS;
    }

    /**
     * Parses until a message is complete or the bytes are used up.
     *
     * @return true if a message has become complete; bytes of later messages are left in {@code in}
     * @throws HttpException if the message is refused; the parser cannot be used any more
     */
    public boolean parse(ByteBuffer in) throws HttpException {
        try {
            return parseMessage(in);
        } catch (HttpException e) {
            state = State.FAILED;
            throw e;
        }
    }

    /**
     * Handles the end of the input.
     *
     * @return true if it completed a message, that is, a response that is delimited by the end of the connection
     */
    public boolean eof() {
        if (state == State.BODY_UNTIL_CLOSE) {
            finishMessage();
            return true;
        }
        return false;
    }

    private boolean parseMessage(ByteBuffer in) throws HttpException {
        while (true) {
            switch (state) {
                case START_LINE -> {
                    if (!readLine(in, limits.lineBytes(), parsesRequests ? 414 : 502)) {
                        return false;
                    }
                    if (lineLength == 0) {
                        // RFC 9112, 2.2: a server ignores an empty line before a request line
                        if (!parsesRequests) {
                            throw new HttpException(502, "empty status line");
                        }
                        continue;
                    }
                    head = parsesRequests ? parseRequestLine() : parseStatusLine();
                    headers = head.headers();
                    fieldBytes = 0;
                    lineLength = 0;
                    state = State.FIELDS;
                }
                case FIELDS, TRAILERS -> {
                    if (!readLine(in, limits.headerBytes() - fieldBytes, 431)) {
                        return false;
                    }
                    if (lineLength > 0) {
                        parseField();
                        lineLength = 0;
                        continue;
                    }
                    if (state == State.TRAILERS) {
                        finishMessage();
                        return true;
                    }
                    if (finishHead()) {
                        return true;
                    }
                }
                case FIXED_LENGTH_BODY, CHUNK_DATA, BODY_UNTIL_CLOSE -> {
                    if (!in.hasRemaining()) {
                        return false;
                    }
                    int count = state == State.BODY_UNTIL_CLOSE
                            ? in.remaining()
                            : (int) Math.min(remainingBytes, in.remaining());
                    int limit = in.limit();
                    in.limit(in.position() + count);
                    sink.body(in.slice());
                    in.position(in.limit());
                    in.limit(limit);
                    remainingBytes -= count;
                    if (state == State.FIXED_LENGTH_BODY && remainingBytes == 0) {
                        finishMessage();
                        return true;
                    }
                    if (state == State.CHUNK_DATA && remainingBytes == 0) {
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
                    parseChunkSize();
                }
                default -> throw new HttpException(400, "framing is lost");
            }
        }
    }

    /**
     * Collects a line that ends with CR LF. Returns false if more bytes are needed. The line without CR LF is in
     * {@code line[0..lineLength)}.
     */
    private boolean readLine(ByteBuffer in, int maxLength, int tooLongStatus) throws HttpException {
        while (in.hasRemaining()) {
            byte next = in.get();
            if (seenCr) {
                if (next != '\n') {
                    throw new HttpException(400, "a CR without LF");
                }
                seenCr = false;
                return true;
            }
            if (next == '\r') {
                seenCr = true;
            } else if (next == '\n') {
                throw new HttpException(400, "an LF without CR");
            } else {
                if (lineLength >= maxLength) {
                    throw new HttpException(tooLongStatus, "a line of more than " + Math.max(0, maxLength) + " bytes");
                }
                if (lineLength == line.length) {
                    line = java.util.Arrays.copyOf(line, 2 * lineLength);
                }
                line[lineLength++] = next;
            }
        }
        return false;
    }

    private String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private int indexOf(int from, char character) {
        for (int i = from; i < lineLength; i++) {
            if (line[i] == character) {
                return i;
            }
        }
        return -1;
    }

    private HttpHead parseRequestLine() throws HttpException {
        int firstSpace = indexOf(0, ' ');
        int secondSpace = firstSpace < 0 ? -1 : indexOf(firstSpace + 1, ' ');
        if (firstSpace <= 0 || secondSpace <= firstSpace + 1 || indexOf(secondSpace + 1, ' ') >= 0) {
            throw new HttpException(400, "a request line is method, target and version");
        }
        for (int i = 0; i < firstSpace; i++) {
            if (!isTokenCharacter(line[i])) {
                throw new HttpException(400, "the method is no token");
            }
        }
        for (int i = firstSpace + 1; i < secondSpace; i++) {
            if (line[i] <= ' ' || line[i] == 127) {
                throw new HttpException(400, "the target has a character that is not allowed");
            }
        }
        int minorVersion = parseMinorVersion(secondSpace + 1, lineLength, 400, 505);
        return new HttpHead(
                text(0, firstSpace), text(firstSpace + 1, secondSpace), 0, null, minorVersion, new Headers());
    }

    private HttpHead parseStatusLine() throws HttpException {
        int firstSpace = indexOf(0, ' ');
        if (firstSpace < 0
                || lineLength < firstSpace + 4
                || lineLength > firstSpace + 4 && line[firstSpace + 4] != ' ') {
            throw new HttpException(502, "a status line is version, status and reason");
        }
        int minorVersion = parseMinorVersion(0, firstSpace, 502, 502);
        int status = 0;
        for (int i = firstSpace + 1; i < firstSpace + 4; i++) {
            if (line[i] < '0' || line[i] > '9') {
                throw new HttpException(502, "the status is no number");
            }
            status = 10 * status + line[i] - '0';
        }
        if (status < 100) {
            throw new HttpException(502, "no status " + status);
        }
        return new HttpHead(
                null,
                null,
                status,
                text(Math.min(lineLength, firstSpace + 5), lineLength),
                minorVersion,
                new Headers());
    }

    private int parseMinorVersion(int from, int to, int malformedStatus, int unsupportedStatus) throws HttpException {
        boolean wellFormed = to - from == 8
                && text(from, from + 5).equals("HTTP/")
                && isDigit(line[from + 5])
                && line[from + 6] == '.'
                && isDigit(line[from + 7]);
        if (!wellFormed) {
            throw new HttpException(malformedStatus, "the version is malformed");
        }
        if (line[from + 5] != '1') {
            throw new HttpException(unsupportedStatus, "only HTTP/1 is spoken here");
        }
        return Math.min(1, line[from + 7] - '0');
    }

    private static boolean isDigit(byte character) {
        return character >= '0' && character <= '9';
    }

    private static boolean isTokenCharacter(byte character) {
        return character > 0 && TOKEN_CHARACTERS[character];
    }

    private void parseField() throws HttpException {
        fieldBytes += lineLength;
        if (headers.size() >= limits.headerCount()) {
            throw new HttpException(431, "more than " + limits.headerCount() + " fields");
        }
        if (line[0] == ' ' || line[0] == '\t') {
            throw new HttpException(400, "a folded line");
        }
        int colon = indexOf(0, ':');
        if (colon <= 0) {
            throw new HttpException(400, "a field without a name or colon");
        }
        for (int i = 0; i < colon; i++) {
            if (!isTokenCharacter(line[i])) {
                throw new HttpException(400, "a field's name is no token");
            }
        }
        int from = colon + 1;
        int to = lineLength;
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

    private boolean finishHead() throws HttpException {
        int malformedStatus = parsesRequests ? 400 : 502;
        List<String> lengths = headers.getAll("Content-Length");
        List<String> codings = headers.getAll("Transfer-Encoding");
        if (lengths.size() > 1) {
            throw new HttpException(malformedStatus, "two Content-Lengths");
        }
        if (!lengths.isEmpty() && !codings.isEmpty()) {
            throw new HttpException(malformedStatus, "Content-Length beside Transfer-Encoding");
        }
        if (parsesRequests) {
            List<String> hosts = headers.getAll("Host");
            if (hosts.size() > 1 || hosts.isEmpty() && head.minorVersion() >= 1) {
                throw new HttpException(400, "one Host is needed");
            }
        }
        boolean chunked = false;
        if (!codings.isEmpty()) {
            if (head.minorVersion() < 1) {
                throw new HttpException(malformedStatus, "a transfer coding in HTTP/1.0");
            }
            if (codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
                throw new HttpException(parsesRequests ? 501 : 502, "only the chunked transfer coding is known");
            }
            chunked = true;
        }
        remainingBytes =
                lengths.isEmpty() ? parsesRequests ? 0 : -1 : parseContentLength(lengths.get(0), malformedStatus);
        if (parsesRequests && remainingBytes > limits.bodyBytes()) {
            throw new HttpException(413, "a body of more than " + limits.bodyBytes() + " bytes");
        }
        bodyBytes = 0;
        lineLength = 0;
        sink.head(head);
        int status = head.status();
        boolean bodiless = !parsesRequests
                && (nextResponseIsBodiless && status >= 200 || status < 200 || status == 204 || status == 304);
        if (bodiless || !chunked && remainingBytes == 0) {
            finishMessage();
            return true;
        }
        state = chunked ? State.CHUNK_SIZE : remainingBytes < 0 ? State.BODY_UNTIL_CLOSE : State.FIXED_LENGTH_BODY;
        return false;
    }

    private static long parseContentLength(String digits, int malformedStatus) throws HttpException {
        if (digits.isEmpty() || digits.length() > 15 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new HttpException(malformedStatus, "Content-Length is no number");
        }
        return Long.parseLong(digits);
    }

    private void parseChunkSize() throws HttpException {
        int position = 0;
        long size = 0;
        while (position < lineLength && Character.digit(line[position], 16) >= 0) {
            size = 16 * size + Character.digit(line[position], 16);
            if (++position > MAX_CHUNK_SIZE_DIGITS) {
                throw new HttpException(413, "a chunk of more than 2^28 bytes");
            }
        }
        if (position == 0 || position < lineLength && line[position] != ';') {
            throw new HttpException(400, "a chunk's size is no hex number");
        }
        for (int i = position; i < lineLength; i++) {
            if (line[i] >= 0 && line[i] < ' ' && line[i] != '\t') {
                throw new HttpException(400, "a chunk's extension has a control character");
            }
        }
        lineLength = 0;
        bodyBytes += size;
        if (parsesRequests && bodyBytes > limits.bodyBytes()) {
            throw new HttpException(413, "a body of more than " + limits.bodyBytes() + " bytes");
        }
        remainingBytes = size;
        state = size == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void finishMessage() {
        if (head == null || head.status() == 0 || head.status() >= 200) {
            nextResponseIsBodiless = false;
        }
        state = State.START_LINE;
        lineLength = 0;
        sink.end();
    }
}
