package calicovale.protocols.signal;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * A signalling message: its type, the id of its session and its parameters, in order. A message of valid length whose
 * parameters cannot be parsed is {@link #malformed()} and has no parameters.
 */
public final class Message {
    /** Size of the header after the length field, in bytes: type and session id. */
    public static final int HEADER_BYTES = 9;
    /** Upper bound of a whole message including its length field, in bytes. */
    public static final int MAX_BYTES = 16 * 1024;

    /** Size of the length field, in bytes. */
    private static final int LENGTH_BYTES = 2;
    /** Size of a parameter's header, in bytes: code and length of the value. */
    private static final int PARAMETER_HEADER_BYTES = 3;

    /** Heap of a message without parameters, in bytes. */
    private static final int OBJECT_HEAP_BYTES = 256;
    /** Heap of a parameter without its value, in bytes. */
    private static final int PARAMETER_HEAP_BYTES = 32;

    private final int type;
    private final long sessionId;
    private int[] codes = new int[4];
    private byte[][] values = new byte[4][];
    private int parameterCount;
    private int valueBytes;
    private boolean malformed;

    private Message(int type, long sessionId) {
        this.type = type;
        this.sessionId = sessionId;
    }

    /** Creates a message without parameters. */
    public static Message of(int type, long sessionId) {
        return new Message(type, sessionId);
    }

    /** Creates a release with a cause, see {@link Cause}. */
    public static Message release(long sessionId, int cause) {
        return of(MessageType.REL, sessionId).with(Parameter.CAUSE, new byte[] {(byte) cause});
    }

    /**
     * Adds a parameter and returns this message. The bytes are not copied and must not change afterwards.
     *
     * @throws IllegalArgumentException if the message would exceed {@link #MAX_BYTES}
     */
    public Message with(int code, byte[] value) {
        if (LENGTH_BYTES + HEADER_BYTES + valueBytes + PARAMETER_HEADER_BYTES * (parameterCount + 1) + value.length
                > MAX_BYTES) {
            throw new IllegalArgumentException("a message is limited to " + MAX_BYTES + " bytes");
        }
        if (parameterCount == codes.length) {
            codes = Arrays.copyOf(codes, 2 * parameterCount);
            values = Arrays.copyOf(values, 2 * parameterCount);
        }
        codes[parameterCount] = code;
        values[parameterCount++] = value;
        valueBytes += value.length;
        return this;
    }

    /** Adds a parameter whose value is a text, in UTF-8. */
    public Message with(int code, String text) {
        return with(code, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Parses a message without its length field. All remaining bytes of {@code in}, at least {@link #HEADER_BYTES},
     * are consumed.
     */
    static Message read(ByteBuffer in) {
        Message message = new Message(in.get() & 0xff, in.getLong());
        while (in.hasRemaining()) {
            int length = in.remaining() < PARAMETER_HEADER_BYTES
                    ? Integer.MAX_VALUE
                    : in.getShort(in.position() + 1) & 0xffff;
            int code = in.get() & 0xff;
            if (length > in.remaining() - 2 || message.value(code) != null) {
                in.position(in.limit());
                message.parameterCount = 0;
                message.malformed = true;
                break;
            }
            in.getShort();
            byte[] value = new byte[length];
            in.get(value);
            message.with(code, value);
        }
        return message;
    }

    /** Returns the encoded message including its length field, ready to be written. */
    public ByteBuffer encode() {
        int length = HEADER_BYTES + valueBytes + PARAMETER_HEADER_BYTES * parameterCount;
        ByteBuffer out = ByteBuffer.allocate(LENGTH_BYTES + length);
        out.putShort((short) length).put((byte) type).putLong(sessionId);
        for (int i = 0; i < parameterCount; i++) {
            out.put((byte) codes[i]).putShort((short) values[i].length).put(values[i]);
        }
        return out.flip();
    }

    /** Returns an estimate of the heap, in bytes, that the message takes. */
    public int heapBytes() {
        return OBJECT_HEAP_BYTES + valueBytes + PARAMETER_HEAP_BYTES * parameterCount;
    }

    /** Returns the type, see {@link MessageType}. */
    public int type() {
        return type;
    }

    /** Returns the id of the session. */
    public long sessionId() {
        return sessionId;
    }

    /** Returns whether the parameters are invalid: a length exceeds the message, or a code is repeated. */
    public boolean malformed() {
        return malformed;
    }

    /** Returns whether the message has a parameter with the code. */
    public boolean has(int code) {
        return value(code) != null;
    }

    /** Returns a parameter's bytes, or null if it is missing. */
    public byte[] value(int code) {
        for (int i = 0; i < parameterCount; i++) {
            if (codes[i] == code) {
                return values[i];
            }
        }
        return null;
    }

    /** Returns a parameter as text, or null if it is missing or not valid UTF-8. */
    public String text(int code) {
        byte[] value = value(code);
        if (value == null) {
            return null;
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(value))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    /** Returns the cause, or -1 if it is missing or not one byte long. */
    public int cause() {
        byte[] value = value(Parameter.CAUSE);
        return value == null || value.length != 1 ? -1 : value[0] & 0xff;
    }

    /** Returns a session id in its text form: 16 hex digits. */
    public static String formatSessionId(long sessionId) {
        return HexFormat.of().toHexDigits(sessionId);
    }

    @Override
    public String toString() {
        return type + " " + formatSessionId(sessionId)
                + (malformed ? " malformed" : " " + parameterCount + " parameters");
    }
}
