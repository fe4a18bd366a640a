package standin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Messages of the protocol page: length:2 type:1 session:8, then parameters code:1 length:2 value. */
final class Wire {
    static final int SET_UP = 1;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int RELEASE_HEARD = 16;
    static final int NOTE = 44;
    static final int MOVE = 51;
    static final int TEST = 52;
    static final int TESTED = 53;
    static final int RUNG = 60;

    static final int CLASS = 1;
    static final int WAIT = 3;
    static final int TITLE = 9;
    static final int EXTRAS = 11;
    static final int RETRY_AFTER = 13;
    static final int NOTE_KIND = 15;
    static final int LOAD = 19;
    static final int RUNG_VALUE = 23;
    static final int NOTE_VALUE = 25;
    static final int CAUSE = 29;
    static final int DESCRIPTION = 31;

    /** One message. */
    static final class Message {
        final int type;
        final long session;
        final Map<Integer, byte[]> parameters = new LinkedHashMap<>();

        Message(int type, long session) {
            this.type = type;
            this.session = session;
        }

        Message with(int code, byte[] value) {
            parameters.put(code, value);
            return this;
        }

        Message with(int code, String value) {
            return with(code, value.getBytes(StandardCharsets.UTF_8));
        }

        Message cause(int cause) {
            return with(CAUSE, new byte[] {(byte) cause});
        }

        int cause() {
            byte[] value = parameters.get(CAUSE);
            return value == null ? -1 : value[0] & 0xff;
        }

        String text(int code) {
            byte[] value = parameters.get(code);
            return value == null ? null : new String(value, StandardCharsets.UTF_8);
        }

        byte[] encode() {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            body.write(type);
            body.writeBytes(ByteBuffer.allocate(8).putLong(session).array());
            parameters.forEach((code, value) -> {
                body.write(code);
                body.write(value.length >> 8);
                body.write(value.length);
                body.writeBytes(value);
            });
            return ByteBuffer.allocate(2 + body.size())
                    .putShort((short) body.size())
                    .put(body.toByteArray())
                    .array();
        }

        @Override
        public String toString() {
            return (switch (type) {
                        case SET_UP -> "set-up";
                        case ANSWER -> "answer";
                        case RELEASE -> "release cause " + cause();
                        case RELEASE_HEARD -> "release-heard";
                        case NOTE -> "note";
                        case MOVE -> "move";
                        case TEST -> "test";
                        case TESTED -> "test result " + cause();
                        case RUNG -> "rung " + text(RUNG_VALUE);
                        default -> "type " + type;
                    })
                    + " "
                    + id(session);
        }
    }

    static String id(long session) {
        return String.format("%016x", session);
    }

    static Message release(long session, int cause) {
        return new Message(RELEASE, session).cause(cause);
    }

    /** Takes one whole message out of the buffer, which is in reading mode; null if there is none yet. */
    static Message take(ByteBuffer in) {
        if (in.remaining() < 2) {
            return null;
        }
        int length = in.getShort(in.position()) & 0xffff;
        if (in.remaining() < 2 + length) {
            return null;
        }
        in.getShort();
        int end = in.position() + length;
        Message message = new Message(in.get() & 0xff, in.getLong());
        while (in.position() < end) {
            int code = in.get() & 0xff;
            byte[] value = new byte[in.getShort() & 0xffff];
            in.get(value);
            message.with(code, value);
        }
        return message;
    }
}
