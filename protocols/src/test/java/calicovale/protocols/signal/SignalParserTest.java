package calicovale.protocols.signal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the encoding of messages, and parsing of whole, partial and malformed messages. */
class SignalParserTest {
    private final List<Message> received = new ArrayList<>();
    private final SignalParser parser = new SignalParser();

    private void feed(String hex) throws MessageFramingException {
        parser.feed(ByteBuffer.wrap(HexFormat.of().parseHex(hex.replace(" ", ""))), received::add);
    }

    @Test
    void writesLengthTypeSessionAndParametersBigEndian() {
        byte[] bytes = Message.release(0x0102030405060708L, Cause.CONGESTION)
                .with(Parameter.RETRY_AFTER, "400")
                .encode()
                .array();
        assertEquals(
                "0013" + "0c" + "0102030405060708" + "1d0001" + "2a" + "0d0003" + "343030",
                HexFormat.of().formatHex(bytes));
    }

    @Property(tries = 200)
    void readsEncodedMessagesInChunksOfAnySize(
            @ForAll @Size(max = 6) List<@Size(max = 300) byte[]> values,
            @ForAll long session,
            @ForAll @IntRange(min = 1, max = 40) int chunkBytes)
            throws MessageFramingException {
        Message message = Message.of(MessageType.IAM, session);
        for (int i = 0; i < values.size(); i++) {
            message.with(2 * i + 1, values.get(i));
        }
        byte[] encoded = message.encode().array();
        ByteBuffer twice = ByteBuffer.allocate(2 * encoded.length)
                .put(encoded)
                .put(encoded)
                .flip();
        SignalParser chunkParser = new SignalParser();
        List<Message> read = new ArrayList<>();
        while (twice.hasRemaining()) {
            ByteBuffer chunk = twice.slice(twice.position(), Math.min(chunkBytes, twice.remaining()));
            twice.position(twice.position() + chunk.remaining());
            chunkParser.feed(chunk, read::add);
        }
        assertEquals(2, read.size());
        assertFalse(chunkParser.hasPartialMessage());
        assertEquals(session, read.get(1).sessionId());
        for (int i = 0; i < values.size(); i++) {
            assertArrayEquals(values.get(i), read.get(1).value(2 * i + 1));
        }
    }

    @Test
    void refusesAnImpossibleLengthBeforeBufferingAnything() {
        assertThrows(MessageFramingException.class, () -> feed("0008 01"));
        SignalParser otherParser = new SignalParser();
        ByteBuffer tooLong = ByteBuffer.wrap(new byte[] {(byte) 0xff, (byte) 0xff, 1, 2});
        assertThrows(MessageFramingException.class, () -> otherParser.feed(tooLong, received::add));
        ByteBuffer following = ByteBuffer.wrap(new byte[100]);
        org.junit.jupiter.api.Assertions.assertDoesNotThrow(() -> otherParser.feed(following, received::add));
        assertFalse(following.hasRemaining());
        assertEquals(List.of(), received);
    }

    @Test
    void continuesAfterAMessageWithMalformedParameters() throws MessageFramingException {
        feed("000e 01 0000000000000001 01 00ff 6161" + "0009 34 0000000000000002");
        assertTrue(received.get(0).malformed());
        assertNull(received.get(0).value(1));
        assertEquals(MessageType.UPT, received.get(1).type());
        feed("000b 01 0000000000000003 0100" + "0011 01 0000000000000003 010001 61 010001 62");
        assertTrue(received.get(2).malformed());
        assertTrue(received.get(3).malformed(), "a repeated code");
    }

    @Test
    void treatsInvalidUtf8AndTwoByteCausesAsMissing() throws MessageFramingException {
        feed("0012 0c 0000000000000001 010001 ff 1d0002 0101");
        assertNull(received.get(0).text(1));
        assertEquals(-1, received.get(0).cause());
    }

    @Test
    void stopsReadingWhenTheHandlerReturnsFalse() throws MessageFramingException {
        SignalParser stoppedParser = new SignalParser();
        ByteBuffer twoMessages =
                ByteBuffer.wrap(HexFormat.of().parseHex("000934000000000000000200093400000000000000" + "03"));
        stoppedParser.feed(twoMessages, message -> {
            received.add(message);
            return false;
        });
        assertEquals(1, received.size());
    }
}
