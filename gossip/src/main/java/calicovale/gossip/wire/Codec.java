package calicovale.gossip.wire;

import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.member.Message;
import calicovale.gossip.member.Update;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes messages as CBOR: arrays with elements by position, integers, short texts and byte strings. Each
 * element has a bound, which is checked before more than a few hundred bytes are allocated for it. A message that
 * deviates from the format in any way is rejected as a whole.
 */
public final class Codec {
    /** Version of the format; messages of other versions are rejected. */
    public static final int VERSION = 1;
    /** Largest number of characters of a member id or an address. */
    private static final int MAX_TEXT_CHARS = 64;
    /**
     * Largest number of bytes of a proof: key id, signature and, in what a member reports about itself, the certificate
     * of its key.
     */
    private static final int MAX_PROOF_BYTES = 400;
    /** Value on the wire of a strength of 1; strengths are sent as integer percentages. */
    private static final double STRENGTH_UNITS = 100;
    /** Largest age or validity of a claim, in ms; one day is far above any setting. */
    private static final long MAX_CLAIM_MS = 86_400_000;

    private static final CBORFactory FACTORY = CBORFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(6)
                    .maxStringLength(4 * MAX_TEXT_CHARS)
                    .maxNumberLength(20)
                    .maxNameLength(MAX_TEXT_CHARS)
                    .build())
            .build();

    private final WireLimits limits;

    /** Creates a codec that enforces {@code limits} on decoded messages. */
    public Codec(WireLimits limits) {
        this.limits = limits;
    }

    // --- Writing ---

    /** Returns the encoded message. */
    public byte[] encode(Message message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            generator.writeStartArray(null, arrayLength(message));
            generator.writeNumber(VERSION);
            if (message instanceof Message.Ping ping) {
                generator.writeNumber(0);
                generator.writeNumber(ping.sequenceNumber());
                generator.writeString(ping.target());
            } else if (message instanceof Message.PingReq pingReq) {
                generator.writeNumber(1);
                generator.writeNumber(pingReq.sequenceNumber());
                generator.writeString(pingReq.target());
                generator.writeString(pingReq.targetAddress());
            } else if (message instanceof Message.Ack ack) {
                generator.writeNumber(2);
                generator.writeNumber(ack.sequenceNumber());
            } else if (message instanceof Message.Nack nack) {
                generator.writeNumber(3);
                generator.writeNumber(nack.sequenceNumber());
            } else if (message instanceof Message.Dissemination) {
                generator.writeNumber(4);
            } else if (message instanceof Message.Digest digest) {
                generator.writeNumber(5);
                generator.writeNumber(digest.hash());
            } else if (message instanceof Message.PushPull pushPull) {
                generator.writeNumber(6);
                generator.writeNumber(pushPull.reply() ? 1 : 0);
            } else if (message instanceof Message.Claims claims) {
                generator.writeNumber(7);
                generator.writeStartArray(null, claims.statements().size());
                for (Statement statement : claims.statements()) {
                    write(generator, statement, true);
                }
                generator.writeEndArray();
            }
            if (!(message instanceof Message.Claims)) {
                generator.writeStartArray(null, message.updates().size());
                for (Update update : message.updates()) {
                    write(generator, update);
                }
                generator.writeEndArray();
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static int arrayLength(Message message) {
        return message instanceof Message.PingReq
                ? 6
                : message instanceof Message.Ping
                        ? 5
                        : message instanceof Message.Dissemination || message instanceof Message.Claims ? 3 : 4;
    }

    private static void write(JsonGenerator generator, Update update) throws IOException {
        generator.writeStartArray(null, 6);
        generator.writeString(update.memberId());
        generator.writeString(update.address());
        generator.writeNumber(update.incarnation());
        generator.writeNumber(update.state().ordinal());
        generator.writeString(update.reporter());
        generator.writeBinary(update.proof());
        generator.writeEndArray();
    }

    private static void write(JsonGenerator generator, Statement statement, boolean withProof) throws IOException {
        generator.writeStartArray(null, withProof ? 4 : 3);
        generator.writeString(statement.reporter());
        generator.writeNumber(statement.version());
        generator.writeStartArray(null, statement.claims().size());
        for (Claim claim : statement.claims()) {
            generator.writeStartArray(null, 5);
            generator.writeNumber(claim.box());
            generator.writeNumber(claim.kind().ordinal());
            generator.writeNumber(Math.max(1, Math.round(STRENGTH_UNITS * claim.strength())));
            generator.writeNumber(Math.round(claim.ageMs()));
            generator.writeNumber(Math.round(claim.validityMs()));
            generator.writeEndArray();
        }
        generator.writeEndArray();
        if (withProof) {
            generator.writeBinary(statement.proof());
        }
        generator.writeEndArray();
    }

    /**
     * Returns the bytes that the proof of a statement signs; sender and receiver compute the same bytes because all
     * numbers are rounded to integers on the wire.
     */
    static byte[] signedBytes(Statement statement) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(generator, statement, false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    // --- Reading ---

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the bytes are not exactly one message of this version
     */
    public Message decode(byte[] bytes, int offset, int length) throws MalformedMessageException {
        try (JsonParser parser = FACTORY.createParser(bytes, offset, length)) {
            Message result = readMessage(parser);
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("the end of the input is expected after the message");
            }
            return result;
        } catch (IOException | RuntimeException e) {
            // Jackson reports malformed CBOR and exceeded bounds by either kind of exception.
            throw new MalformedMessageException(
                    "a message in CBOR whose elements are within their size limits is expected");
        }
    }

    private Message readMessage(JsonParser parser) throws IOException, MalformedMessageException {
        beginArray(parser);
        readLongInRange(parser, VERSION, VERSION);
        int kind = (int) readLongInRange(parser, 0, 7);
        Message result =
                switch (kind) {
                    case 0 -> new Message.Ping(readLong(parser), readText(parser), readUpdates(parser));
                    case 1 ->
                        new Message.PingReq(readLong(parser), readText(parser), readText(parser), readUpdates(parser));
                    case 2 -> new Message.Ack(readLong(parser), readUpdates(parser));
                    case 3 -> new Message.Nack(readLong(parser), readUpdates(parser));
                    case 4 -> new Message.Dissemination(readUpdates(parser));
                    case 5 -> new Message.Digest(readLong(parser), readUpdates(parser));
                    case 6 -> new Message.PushPull(readLongInRange(parser, 0, 1) == 1, readUpdates(parser));
                    default -> new Message.Claims(readStatements(parser));
                };
        endArray(parser);
        return result;
    }

    private List<Update> readUpdates(JsonParser parser) throws IOException, MalformedMessageException {
        beginArray(parser);
        List<Update> result = new ArrayList<>();
        while (nextArray(parser)) {
            if (result.size() >= limits.maxUpdates()) {
                throw new MalformedMessageException("at most " + limits.maxUpdates() + " updates are expected");
            }
            String memberId = readText(parser);
            String address = readText(parser);
            long incarnation = readLongInRange(parser, 0, Long.MAX_VALUE / 2);
            Update.State state = Update.State.values()[(int) readLongInRange(parser, 0, 3)];
            String reporter = readText(parser);
            result.add(new Update(memberId, address, incarnation, state, reporter, readProof(parser)));
            endArray(parser);
        }
        return result;
    }

    private List<Statement> readStatements(JsonParser parser) throws IOException, MalformedMessageException {
        beginArray(parser);
        List<Statement> result = new ArrayList<>();
        while (nextArray(parser)) {
            if (result.size() >= limits.maxUpdates()) {
                throw new MalformedMessageException("at most " + limits.maxUpdates() + " statements are expected");
            }
            String reporter = readText(parser);
            long version = readLongInRange(parser, 0, Long.MAX_VALUE / 2);
            beginArray(parser);
            List<Claim> claims = new ArrayList<>();
            while (nextArray(parser)) {
                if (claims.size() >= limits.maxClaims()) {
                    throw new MalformedMessageException("at most " + limits.maxClaims() + " claims are expected");
                }
                claims.add(new Claim(
                        readLong(parser),
                        Claim.Kind.values()[(int) readLongInRange(parser, 0, Claim.Kind.values().length - 1)],
                        readLongInRange(parser, 1, (long) STRENGTH_UNITS) / STRENGTH_UNITS,
                        readLongInRange(parser, 0, MAX_CLAIM_MS),
                        readLongInRange(parser, 0, MAX_CLAIM_MS)));
                endArray(parser);
            }
            result.add(new Statement(reporter, version, List.copyOf(claims), readProof(parser)));
            endArray(parser);
        }
        return result;
    }

    private static void beginArray(JsonParser parser) throws IOException, MalformedMessageException {
        expect(parser.nextToken() == JsonToken.START_ARRAY, "an array");
    }

    private static void endArray(JsonParser parser) throws IOException, MalformedMessageException {
        expect(parser.nextToken() == JsonToken.END_ARRAY, "the end of an array");
    }

    /** Reads the start of another array and returns true, or the end of the surrounding array and returns false. */
    private static boolean nextArray(JsonParser parser) throws IOException, MalformedMessageException {
        JsonToken token = parser.nextToken();
        expect(token == JsonToken.START_ARRAY || token == JsonToken.END_ARRAY, "an array or the end of one");
        return token == JsonToken.START_ARRAY;
    }

    private static long readLong(JsonParser parser) throws IOException, MalformedMessageException {
        return readLongInRange(parser, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    private static long readLongInRange(JsonParser parser, long min, long max)
            throws IOException, MalformedMessageException {
        expect(parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "an integer");
        long value = parser.getLongValue();
        expect(value >= min && value <= max, "a number from " + min + " to " + max);
        return value;
    }

    private static String readText(JsonParser parser) throws IOException, MalformedMessageException {
        expect(parser.nextToken() == JsonToken.VALUE_STRING, "a text");
        String value = parser.getText();
        expect(value.length() <= MAX_TEXT_CHARS, "at most " + MAX_TEXT_CHARS + " characters");
        for (int i = 0; i < value.length(); i++) {
            // The texts are written to log lines and status pages.
            expect(value.charAt(i) > 0x20 && value.charAt(i) < 0x7f, "printable characters");
        }
        return value;
    }

    private static byte[] readProof(JsonParser parser) throws IOException, MalformedMessageException {
        expect(parser.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "a byte string");
        // Read in chunks, so that a large declared length alone allocates nothing.
        BoundedOutputStream out = new BoundedOutputStream();
        parser.readBinaryValue(out);
        return out.bytes.toByteArray();
    }

    private static void expect(boolean condition, String expected) throws MalformedMessageException {
        if (!condition) {
            throw new MalformedMessageException(expected + " is expected");
        }
    }

    private static final class BoundedOutputStream extends OutputStream {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream(96);

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] from, int offset, int length) throws IOException {
            if (bytes.size() + length > MAX_PROOF_BYTES) {
                throw new IOException("more than " + MAX_PROOF_BYTES + " bytes");
            }
            bytes.write(from, offset, length);
        }
    }
}
