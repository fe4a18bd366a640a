package calicovale.protocols.signal;

import java.nio.ByteBuffer;

/**
 * Parses the messages of one stream incrementally. The length is checked before a message is buffered, so that a peer
 * cannot make the parser hold more than one message of {@link Message#MAX_BYTES}.
 */
public final class SignalParser {
    private static final byte[] EMPTY = new byte[0];
    /** Size of the length field, in bytes. */
    private static final int LENGTH_BYTES = 2;

    /** Receives parsed messages. */
    public interface MessageHandler {
        /** Handles a message; returns false if the rest of the stream must not be parsed. */
        boolean handle(Message message);
    }

    /** The current message without its length field; allocated only if the message arrives in parts. */
    private byte[] partialMessage = EMPTY;

    private int partialMessageBytes;
    /** Bytes of the current message's length field that were read, 0 to 2. */
    private int lengthBytesRead;

    private int messageLength;
    /** Set after an invalid length, or when the handler returned false; further bytes are discarded. */
    private boolean finished;

    /**
     * Parses received bytes and passes each complete message to {@code handler}. All of {@code in} is consumed, unless
     * an exception is thrown. After an exception, or after the handler returned false, further bytes are discarded.
     *
     * @throws MessageFramingException if the length of a message is out of range
     */
    public void feed(ByteBuffer in, MessageHandler handler) throws MessageFramingException {
        while (in.hasRemaining() && !finished) {
            if (lengthBytesRead < LENGTH_BYTES) {
                messageLength = messageLength << 8 | in.get() & 0xff;
                if (++lengthBytesRead == LENGTH_BYTES
                        && (messageLength < Message.HEADER_BYTES || messageLength > Message.MAX_BYTES - LENGTH_BYTES)) {
                    finished = true;
                    throw new MessageFramingException(
                            "message length " + messageLength + " is outside the accepted range of "
                                    + Message.HEADER_BYTES + " to " + (Message.MAX_BYTES - LENGTH_BYTES) + " bytes");
                }
                continue;
            }
            Message message;
            if (partialMessageBytes == 0 && in.remaining() >= messageLength) {
                int limit = in.limit();
                in.limit(in.position() + messageLength);
                message = Message.read(in);
                in.limit(limit);
            } else {
                if (partialMessageBytes == 0) {
                    partialMessage = new byte[messageLength];
                }
                int copiedBytes = Math.min(messageLength - partialMessageBytes, in.remaining());
                in.get(partialMessage, partialMessageBytes, copiedBytes);
                partialMessageBytes += copiedBytes;
                if (partialMessageBytes < messageLength) {
                    return;
                }
                message = Message.read(ByteBuffer.wrap(partialMessage));
            }
            partialMessage = EMPTY;
            partialMessageBytes = 0;
            lengthBytesRead = 0;
            messageLength = 0;
            finished = !handler.handle(message);
        }
        if (finished) {
            in.position(in.limit());
        }
    }

    /** Returns whether a message was received in part. */
    public boolean hasPartialMessage() {
        return lengthBytesRead > 0;
    }
}
