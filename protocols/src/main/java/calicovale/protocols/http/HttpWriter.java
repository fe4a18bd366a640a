package calicovale.protocols.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Owns the writing of HTTP/1.1 heads and chunks; field values with control characters are refused, never written. */
public final class HttpWriter {
    private static final Map<Integer, String> REASONS = new HashMap<>();

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
            REASONS.put(Integer.parseInt(line.substring(0, 3)), line.substring(4));
        }
    }

    private HttpWriter() {}

    /** The usual reason phrase. */
    public static String reason(int status) {
        return REASONS.getOrDefault(status, "Status " + status);
    }

    /** A request's head and body in one buffer; Host and Content-Length are added. */
    public static ByteBuffer request(String method, String target, String host, Headers headers, byte[] body) {
        StringBuilder out = new StringBuilder(256);
        out.append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n");
        fields(out, headers);
        if (body.length > 0 || method.equals("POST") || method.equals("PUT")) {
            out.append("Content-Length: ").append(body.length).append("\r\n");
        }
        return join(out.append("\r\n"), body);
    }

    /** A response's head and body in one buffer; {@code length} goes into Content-Length unless it is negative. */
    public static ByteBuffer response(
            int status, String date, Headers headers, long length, boolean close, byte[] body) {
        StringBuilder out = new StringBuilder(256);
        out.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reason(status))
                .append("\r\nDate: ")
                .append(date)
                .append("\r\n");
        fields(out, headers);
        if (length >= 0 && status != 204 && status >= 200) {
            out.append("Content-Length: ").append(length).append("\r\n");
        }
        if (close) {
            out.append("Connection: close\r\n");
        }
        return join(out.append("\r\n"), body);
    }

    private static void fields(StringBuilder out, Headers headers) {
        for (int i = 0; i < headers.size(); i++) {
            String value = headers.value(i);
            for (int k = 0; k < value.length(); k++) {
                if (value.charAt(k) < ' ' && value.charAt(k) != '\t') {
                    throw new IllegalArgumentException("a control character in the value of " + headers.name(i));
                }
            }
            out.append(headers.name(i)).append(": ").append(value).append("\r\n");
        }
    }

    private static ByteBuffer join(StringBuilder head, byte[] body) {
        byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer out = ByteBuffer.allocate(bytes.length + body.length);
        return out.put(bytes).put(body).flip();
    }

    /** One chunk (RFC 9112, 7.1); an empty one would end the body, so none is made of no bytes. */
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

    /** The end of a chunked body. */
    public static ByteBuffer lastChunk() {
        return ByteBuffer.wrap("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
}
