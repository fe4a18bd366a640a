package calicovale.protocols.signal;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * One message: its type, the session it names and its parameters, in order. A message that was framed well and holds
 * parameters that do not fit is {@link #malformed()} and has none.
 */
public final class Message {
    /** Bytes of a message without parameters, after its length: type and session. */
    public static final int HEAD = 9;
    /** Most bytes of a whole message. */
    public static final int MOST = 16 * 1024;

    private static final int LENGTH = 2;
    private static final int PARAMETER_HEAD = 3;

    private final int type;
    private final long session;
    private int[] codes = new int[4];
    private byte[][] values = new byte[4][];
    private int count;
    private int valueBytes;
    private boolean malformed;

    private Message(int type, long session) {
        this.type = type;
        this.session = session;
    }

    /** A message without parameters. */
    public static Message of(int type, long session) {
        return new Message(type, session);
    }

    /** A release. */
    public static Message release(long session, int cause) {
        return of(MessageType.REL, session).with(Parameter.CAUSE, new byte[] {(byte) cause});
    }

    /** Adds a parameter; the bytes stay the caller's and must not change. */
    public Message with(int code, byte[] value) {
        if (LENGTH + HEAD + valueBytes + PARAMETER_HEAD * (count + 1) + value.length > MOST) {
            throw new IllegalArgumentException("a message holds " + MOST + " bytes at most");
        }
        if (count == codes.length) {
            codes = Arrays.copyOf(codes, 2 * count);
            values = Arrays.copyOf(values, 2 * count);
        }
        codes[count] = code;
        values[count++] = value;
        valueBytes += value.length;
        return this;
    }

    /** Adds a text. */
    public Message with(int code, String text) {
        return with(code, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads what follows the length of a message; {@code in} holds at least {@link #HEAD} bytes and is used up. */
    static Message read(ByteBuffer in) {
        Message m = new Message(in.get() & 0xff, in.getLong());
        while (in.hasRemaining()) {
            int length = in.remaining() < PARAMETER_HEAD ? Integer.MAX_VALUE : in.getShort(in.position() + 1) & 0xffff;
            int code = in.get() & 0xff;
            if (length > in.remaining() - 2 || m.value(code) != null) {
                in.position(in.limit());
                m.count = 0;
                m.malformed = true;
                break;
            }
            in.getShort();
            byte[] value = new byte[length];
            in.get(value);
            m.with(code, value);
        }
        return m;
    }

    /** The message as bytes, ready to be written. */
    public ByteBuffer encode() {
        int length = HEAD + valueBytes + PARAMETER_HEAD * count;
        ByteBuffer out = ByteBuffer.allocate(LENGTH + length);
        out.putShort((short) length).put((byte) type).putLong(session);
        for (int i = 0; i < count; i++) {
            out.put((byte) codes[i]).putShort((short) values[i].length).put(values[i]);
        }
        return out.flip();
    }

    /** Its type, see {@link MessageType}. */
    public int type() {
        return type;
    }

    /** The session that it names. */
    public long session() {
        return session;
    }

    /** Whether its parameters cannot be read: lengths that do not fit, or one code twice. */
    public boolean malformed() {
        return malformed;
    }

    /** Whether it has a parameter. */
    public boolean has(int code) {
        return value(code) != null;
    }

    /** A parameter's bytes, or null. */
    public byte[] value(int code) {
        for (int i = 0; i < count; i++) {
            if (codes[i] == code) {
                return values[i];
            }
        }
        return null;
    }

    /** A parameter as text; null where it is missing or no UTF-8. */
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

    /** The cause; -1 where it is missing or not one byte. */
    public int cause() {
        byte[] value = value(Parameter.CAUSE);
        return value == null || value.length != 1 ? -1 : value[0] & 0xff;
    }

    /** A session's name as it is written: 16 hex digits. */
    public static String name(long session) {
        return HexFormat.of().toHexDigits(session);
    }

    @Override
    public String toString() {
        return type + " " + name(session) + (malformed ? " malformed" : " " + count + " parameters");
    }
}
