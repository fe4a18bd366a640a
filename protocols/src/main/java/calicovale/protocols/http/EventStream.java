package calicovale.protocols.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Parser of a stream of server-sent events (HTML standard, 9.2), with a limit on the size of an event. */
public final class EventStream {

    /** Receiver of parsed events. */
    public interface Sink {
        /** Called for each event; {@code type} is "message" if the event has none. */
        void event(String type, String data);

        /** Called for each comment line; see {@link #keepAliveComment()}. */
        default void comment() {}
    }

    private final int maxBytes;
    private final Sink sink;
    private byte[] line = new byte[256];
    private int lineLength;
    private boolean skipNextLf;
    private String type = "";
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;

    /** Creates a parser; {@code maxBytes} is the maximum length of a line in bytes and of an event's data. */
    public EventStream(int maxBytes, Sink sink) {
        this.maxBytes = maxBytes;
        this.sink = sink;
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @throws HttpException if a line or an event is longer than the limit
     */
    public void parse(ByteBuffer in) throws HttpException {
        while (in.hasRemaining()) {
            byte next = in.get();
            if (skipNextLf) {
                skipNextLf = false;
                if (next == '\n') {
                    continue;
                }
            }
            if (next == '\n' || next == '\r') {
                skipNextLf = next == '\r';
                String text = new String(line, 0, lineLength, StandardCharsets.UTF_8);
                lineLength = 0;
                parseLine(text);
            } else {
                if (lineLength >= maxBytes) {
                    throw new HttpException(502, "event line longer than " + maxBytes + " bytes");
                }
                if (lineLength == line.length) {
                    line = java.util.Arrays.copyOf(line, 2 * lineLength);
                }
                line[lineLength++] = next;
            }
        }
    }

    private void parseLine(String text) throws HttpException {
        if (text.isEmpty()) {
            if (hasData) {
                String eventData = data.toString();
                String eventType = type.isEmpty() ? "message" : type;
                reset();
                sink.event(eventType, eventData);
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
            if (data.length() + value.length() > maxBytes) {
                throw new HttpException(502, "event longer than " + maxBytes + " bytes");
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

    /** Returns an event in wire format. */
    public static byte[] event(String type, String data) {
        StringBuilder out = new StringBuilder("event: ").append(type).append('\n');
        for (String part : data.split("\n", -1)) {
            out.append("data: ").append(part).append('\n');
        }
        return out.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns an empty comment in wire format. Senders repeat it so that intermediaries don't close a stream without
     * events as idle (HTML standard, 9.2.7).
     */
    public static byte[] keepAliveComment() {
        return ": \n\n".getBytes(StandardCharsets.UTF_8);
    }
}
