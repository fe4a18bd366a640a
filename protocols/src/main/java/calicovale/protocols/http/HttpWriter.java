package calicovale.protocols.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Serializer of HTTP/1.1 heads and chunks. Field values with control characters are refused with an
 * {@link IllegalArgumentException}.
 */
public final class HttpWriter {
    private static final Map<Integer, String> REASON_PHRASES = new HashMap<>();

    static {
        String[] all = {
            "100 Continue",
            "200 OK",
            "201 Created",
            "202 Accepted",
            "204 No Content",
            "301 Moved Permanently",
            "302 Found",
            "304 Not Modified",
            "307 Temporary Redirect",
            "400 Bad Request",
            "401 Unauthorized",
            "403 Forbidden",
            "404 Not Found",
            "405 Method Not Allowed",
            "408 Request Timeout",
            "409 Conflict",
            "410 Gone",
            "411 Length Required",
            "413 Content Too Large",
            "414 URI Too Long",
            "415 Unsupported Media Type",
            "417 Expectation Failed",
            "422 Unprocessable Content",
            "429 Too Many Requests",
            "431 Request Header Fields Too Large",
            "500 Internal Server Error",
            "501 Not Implemented",
            "502 Bad Gateway",
            "503 Service Unavailable",
            "504 Gateway Timeout",
            "505 HTTP Version Not Supported"
        };
        for (String line : all) {
            REASON_PHRASES.put(Integer.parseInt(line.substring(0, 3)), line.substring(4));
        }
    }

    private HttpWriter() {}

    /** Returns the reason phrase of a status code. */
    public static String reasonPhrase(int status) {
        return REASON_PHRASES.getOrDefault(status, "Status " + status);
    }

    /** Returns the head and body of a request in one buffer. Host and, where needed, Content-Length are added. */
    public static ByteBuffer request(String method, String target, String host, Headers headers, byte[] body) {
        StringBuilder out = new StringBuilder(256);
        out.append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n");
        appendFields(out, headers);
        if (body.length > 0 || method.equals("POST") || method.equals("PUT")) {
            out.append("Content-Length: ").append(body.length).append("\r\n");
        }
        return toBuffer(out.append("\r\n"), body);
    }

    /**
     * Returns the head and body of a response in one buffer. {@code length} becomes Content-Length unless it is
     * negative or the status excludes content.
     */
    public static ByteBuffer response(
            int status, String date, Headers headers, long length, boolean close, byte[] body) {
        StringBuilder out = new StringBuilder(256);
        out.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reasonPhrase(status))
                .append("\r\nDate: ")
                .append(date)
                .append("\r\n");
        appendFields(out, headers);
        if (length >= 0 && status != 204 && status >= 200) {
            out.append("Content-Length: ").append(length).append("\r\n");
        }
        if (close) {
            out.append("Connection: close\r\n");
        }
        return toBuffer(out.append("\r\n"), body);
    }

    private static void appendFields(StringBuilder out, Headers headers) {
        for (int i = 0; i < headers.size(); i++) {
            String value = headers.value(i);
            for (int k = 0; k < value.length(); k++) {
                if (value.charAt(k) < ' ' && value.charAt(k) != '\t') {
                    throw new IllegalArgumentException(
                            "control character in the value of header field " + headers.name(i));
                }
            }
            out.append(headers.name(i)).append(": ").append(value).append("\r\n");
        }
    }

    private static ByteBuffer toBuffer(StringBuilder head, byte[] body) {
        byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer out = ByteBuffer.allocate(bytes.length + body.length);
        return out.put(bytes).put(body).flip();
    }

    /**
     * Returns one chunk (RFC 9112, 7.1). The result is empty for no data, because an empty chunk would end the body.
     */
    public static ByteBuffer chunk(byte[] data) {
        if (data.length == 0) {
            return ByteBuffer.allocate(0);
        }
        byte[] size = (Integer.toHexString(data.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(size.length + data.length + 2)
                .put(size)
                .put(data)
                .put((byte) '\r')
                .put((byte) '\n')
                .flip();
    }

    /** Returns the last chunk, which ends a chunked body, without trailers. */
    public static ByteBuffer lastChunk() {
        return ByteBuffer.wrap("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
}
