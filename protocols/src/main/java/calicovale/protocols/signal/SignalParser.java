package calicovale.protocols.signal;

import java.nio.ByteBuffer;

/**
 * Owns the part of a message that has come so far on one stream. The length is checked before anything is kept, so no peer can
 * make it hold more than one message of the largest size.
 */
public final class SignalParser {
    private static final byte[] NONE = new byte[0];

    /** Takes messages. */
    public interface Sink {
        /** Takes one; false if the rest of the stream is not to be read. */
        boolean message(Message message);
    }

    private byte[] kept = NONE;
    private int have;
    private int lengthBytes;
    private int length;
    private boolean over;

    /**
     * Takes what came, up to all of it; whole messages go to {@code sink}.
     *
     * @throws SignalException if a length is impossible; nothing can be read after that
     */
    public void feed(ByteBuffer in, Sink sink) throws SignalException {
        while (in.hasRemaining() && !over) {
            if (lengthBytes < 2) {
                length = length << 8 | in.get() & 0xff;
                if (++lengthBytes == 2 && (length < Message.HEAD || length > Message.MOST - 2)) {
                    over = true;
                    throw new SignalException("a message of " + length + " bytes");
                }
                continue;
            }
            Message message;
            if (have == 0 && in.remaining() >= length) {
                int limit = in.limit();
                in.limit(in.position() + length);
                message = Message.read(in);
                in.limit(limit);
            } else {
                if (have == 0) {
                    kept = new byte[length];
                }
                int n = Math.min(length - have, in.remaining());
                in.get(kept, have, n);
                have += n;
                if (have < length) {
                    return;
                }
                message = Message.read(ByteBuffer.wrap(kept));
            }
            kept = NONE;
            have = 0;
            lengthBytes = 0;
            length = 0;
            over = !sink.message(message);
        }
        if (over) {
            in.position(in.limit());
        }
    }

    /** Whether a message has begun and not ended. */
    public boolean midMessage() {
        return lengthBytes > 0;
    }
}
