package calicovale.protocols.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Owns the reading of one stream of server-sent events (HTML standard, 9.2), with a bound on an event's size. */
public final class EventStream {

    /** Takes events. */
    public interface Sink {
        /** One event; {@code type} is "message" where none was given. */
        void event(String type, String data);

        /** A comment, which peers send to show that they are there. */
        default void comment() {}
    }

    private final int mostBytes;
    private final Sink sink;
    private byte[] line = new byte[256];
    private int length;
    private boolean skipLf;
    private String type = "";
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;

    /** {@code mostBytes} bounds a line and an event's data. */
    public EventStream(int mostBytes, Sink sink) {
        this.mostBytes = mostBytes;
        this.sink = sink;
    }

    /**
     * Reads on.
     *
     * @throws HttpException if an event is larger than the bound
     */
    public void parse(ByteBuffer in) throws HttpException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (skipLf) {
                skipLf = false;
                if (b == '\n') {
                    continue;
                }
            }
            if (b == '\n' || b == '\r') {
                skipLf = b == '\r';
                String text = new String(line, 0, length, StandardCharsets.UTF_8);
                length = 0;
                line(text);
            } else {
                if (length >= mostBytes) {
                    throw new HttpException(502, "an event's line of more than " + mostBytes + " bytes");
                }
                if (length == line.length) {
                    line = java.util.Arrays.copyOf(line, 2 * length);
                }
                line[length++] = b;
            }
        }
    }

    private void line(String text) throws HttpException {
        if (text.isEmpty()) {
            if (hasData) {
                String whole = data.toString();
                String named = type.isEmpty() ? "message" : type;
                reset();
                sink.event(named, whole);
            } else {
                reset();
            }
            return;
        }
        if (text.charAt(0) == ':') {
            sink.comment();
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        if (field.equals("event")) {
            type = value;
        } else if (field.equals("data")) {
            if (data.length() + value.length() > mostBytes) {
                throw new HttpException(502, "an event of more than " + mostBytes + " bytes");
            }
            if (hasData) {
                data.append('\n');
            }
            hasData = true;
            data.append(value);
        }
    }

    private void reset() {
        type = "";
        data.setLength(0);
        hasData = false;
    }

    /** One event as bytes. */
    public static byte[] event(String type, String data) {
        StringBuilder out = new StringBuilder("event: ").append(type).append('\n');
        for (String part : data.split("\n", -1)) {
            out.append("data: ").append(part).append('\n');
        }
        return out.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }

    /** A comment as bytes. */
    public static byte[] beat() {
        return ": \n\n".getBytes(StandardCharsets.UTF_8);
    }
}
