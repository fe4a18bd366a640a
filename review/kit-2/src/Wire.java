import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One message of the protocol page: its type, the id of its session and its parameters. */
final class Wire {
    static final int SET_UP = 1;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int HEARD = 16;
    static final int NOTE = 44;
    static final int MOVE = 51;
    static final int TEST = 52;
    static final int TEST_RESULT = 53;
    static final int RUNG = 60;

    static final int CLASS = 1;
    static final int WAIT = 3;
    static final int TITLE = 9;
    static final int EXTRAS = 11;
    static final int NOTE_KIND = 15;
    static final int LOAD = 19;
    static final int VALUE = 25;
    static final int CAUSE = 29;
    static final int DESCRIPTION = 31;

    final int type;
    final long id;
    final Map<Integer, byte[]> parameters = new LinkedHashMap<>();

    Wire(int type, long id) {
        this.type = type;
        this.id = id;
    }

    static Wire release(long id, int cause) {
        return new Wire(RELEASE, id).with(CAUSE, new byte[] {(byte) cause});
    }

    Wire with(int code, byte[] value) {
        parameters.put(code, value);
        return this;
    }

    Wire with(int code, String text) {
        return with(code, text.getBytes(StandardCharsets.UTF_8));
    }

    String text(int code) {
        byte[] value = parameters.get(code);
        return value == null ? "" : new String(value, StandardCharsets.UTF_8);
    }

    int cause() {
        byte[] value = parameters.get(CAUSE);
        return value == null || value.length != 1 ? -1 : value[0] & 0xff;
    }

    byte[] encode() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(type);
        for (int shift = 56; shift >= 0; shift -= 8) {
            body.write((int) (id >>> shift));
        }
        parameters.forEach((code, value) -> {
            body.write(code);
            body.write(value.length >> 8);
            body.write(value.length);
            body.writeBytes(value);
        });
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(body.size() >> 8);
        all.write(body.size());
        all.writeBytes(body.toByteArray());
        return all.toByteArray();
    }

    /** Reads one message; an end of the stream or a wrong length is an IOException. */
    static Wire read(DataInputStream in) throws IOException {
        int left = in.readUnsignedShort();
        Wire message = new Wire(in.readUnsignedByte(), in.readLong());
        left -= 9;
        while (left > 0) {
            int code = in.readUnsignedByte();
            byte[] value = new byte[in.readUnsignedShort()];
            in.readFully(value);
            message.parameters.put(code, value);
            left -= 3 + value.length;
        }
        if (left < 0) {
            throw new IOException("a parameter goes past the end of its message");
        }
        return message;
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    String name() {
        switch (type) {
            case SET_UP:
                return "set-up";
            case ANSWER:
                return "answer";
            case RELEASE:
                return "release cause " + cause();
            case HEARD:
                return "release heard";
            case NOTE:
                return "note " + text(NOTE_KIND) + " " + text(VALUE);
            case MOVE:
                return "move";
            case TEST:
                return "test";
            case TEST_RESULT:
                return "test result " + cause();
            case RUNG:
                return "new rung";
            default:
                return "type " + type;
        }
    }

    @Override
    public String toString() {
        return name() + " " + hex(id);
    }
}
