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
 * Owns the CBOR form of messages: arrays by position, whole numbers, short texts and byte strings, each with a bound that is
 * checked before more than a few hundred bytes are taken for it. What differs in the least from that is refused whole.
 */
public final class Codec {
    /** Version of the form; another is refused. */
    public static final int VERSION = 1;
    /** Characters of a member's id or an address. */
    private static final int MOST_TEXT = 64;
    /** Bytes of a proof: key id, signature and, with what a member says of itself, its certificate. */
    private static final int MOST_PROOF = 400;
    /** Strengths go as whole per cents. */
    private static final double PER_CENT = 100;
    /** Ms that a claim may be old or last: a day, far above any setting. */
    private static final long MOST_MS = 86_400_000;

    private static final CBORFactory FACTORY = CBORFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(6)
                    .maxStringLength(4 * MOST_TEXT)
                    .maxNumberLength(20)
                    .maxNameLength(MOST_TEXT)
                    .build())
            .build();

    private final WireLimits limits;

    /** With bounds. */
    public Codec(WireLimits limits) {
        this.limits = limits;
    }

    // --- Writing ---

    /** A message's bytes. */
    public byte[] encode(Message m) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator g = FACTORY.createGenerator(out)) {
            g.writeStartArray(null, size(m));
            g.writeNumber(VERSION);
            if (m instanceof Message.Ping x) {
                g.writeNumber(0);
                g.writeNumber(x.number());
                g.writeString(x.target());
            } else if (m instanceof Message.PingReq x) {
                g.writeNumber(1);
                g.writeNumber(x.number());
                g.writeString(x.target());
                g.writeString(x.targetAddress());
            } else if (m instanceof Message.Ack x) {
                g.writeNumber(2);
                g.writeNumber(x.number());
            } else if (m instanceof Message.Nack x) {
                g.writeNumber(3);
                g.writeNumber(x.number());
            } else if (m instanceof Message.News) {
                g.writeNumber(4);
            } else if (m instanceof Message.Digest x) {
                g.writeNumber(5);
                g.writeNumber(x.sum());
            } else if (m instanceof Message.Exchange x) {
                g.writeNumber(6);
                g.writeNumber(x.answer() ? 1 : 0);
            } else if (m instanceof Message.Claims x) {
                g.writeNumber(7);
                g.writeStartArray(null, x.statements().size());
                for (Statement s : x.statements()) {
                    write(g, s, true);
                }
                g.writeEndArray();
            }
            if (!(m instanceof Message.Claims)) {
                g.writeStartArray(null, m.updates().size());
                for (Update u : m.updates()) {
                    write(g, u);
                }
                g.writeEndArray();
            }
            g.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static int size(Message m) {
        return m instanceof Message.PingReq
                ? 6
                : m instanceof Message.Ping ? 5 : m instanceof Message.News || m instanceof Message.Claims ? 3 : 4;
    }

    private static void write(JsonGenerator g, Update u) throws IOException {
        g.writeStartArray(null, 6);
        g.writeString(u.id());
        g.writeString(u.address());
        g.writeNumber(u.incarnation());
        g.writeNumber(u.state().ordinal());
        g.writeString(u.from());
        g.writeBinary(u.proof());
        g.writeEndArray();
    }

    private static void write(JsonGenerator g, Statement s, boolean withProof) throws IOException {
        g.writeStartArray(null, withProof ? 4 : 3);
        g.writeString(s.from());
        g.writeNumber(s.number());
        g.writeStartArray(null, s.claims().size());
        for (Claim c : s.claims()) {
            g.writeStartArray(null, 5);
            g.writeNumber(c.box());
            g.writeNumber(c.kind().ordinal());
            g.writeNumber(Math.max(1, Math.round(PER_CENT * c.strength())));
            g.writeNumber(Math.round(c.ageMs()));
            g.writeNumber(Math.round(c.lastsMs()));
            g.writeEndArray();
        }
        g.writeEndArray();
        if (withProof) {
            g.writeBinary(s.proof());
        }
        g.writeEndArray();
    }

    /** What a statement's proof signs: the same bytes here and there, since all its numbers are whole on the wire. */
    static byte[] signed(Statement s) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator g = FACTORY.createGenerator(out)) {
            write(g, s, false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    // --- Reading ---

    /**
     * The message of bytes.
     *
     * @throws WireException if they are not exactly one message of this version
     */
    public Message decode(byte[] bytes, int offset, int length) throws WireException {
        try (JsonParser p = FACTORY.createParser(bytes, offset, length)) {
            Message result = message(p);
            if (p.nextToken() != null) {
                throw new WireException("nothing is expected after the message");
            }
            return result;
        } catch (IOException | RuntimeException e) {
            // the library says by one kind or the other that it is no CBOR, or more than its bounds
            throw new WireException("CBOR of a message is expected");
        }
    }

    private Message message(JsonParser p) throws IOException, WireException {
        open(p);
        number(p, VERSION, VERSION);
        int kind = (int) number(p, 0, 7);
        Message result =
                switch (kind) {
                    case 0 -> new Message.Ping(any(p), text(p), updates(p));
                    case 1 -> new Message.PingReq(any(p), text(p), text(p), updates(p));
                    case 2 -> new Message.Ack(any(p), updates(p));
                    case 3 -> new Message.Nack(any(p), updates(p));
                    case 4 -> new Message.News(updates(p));
                    case 5 -> new Message.Digest(any(p), updates(p));
                    case 6 -> new Message.Exchange(number(p, 0, 1) == 1, updates(p));
                    default -> new Message.Claims(statements(p));
                };
        close(p);
        return result;
    }

    private List<Update> updates(JsonParser p) throws IOException, WireException {
        open(p);
        List<Update> result = new ArrayList<>();
        while (more(p)) {
            if (result.size() >= limits.updatesMost()) {
                throw new WireException("at most " + limits.updatesMost() + " updates are expected");
            }
            String id = text(p);
            String address = text(p);
            long incarnation = number(p, 0, Long.MAX_VALUE / 2);
            Update.State state = Update.State.values()[(int) number(p, 0, 3)];
            String from = text(p);
            result.add(new Update(id, address, incarnation, state, from, bytes(p)));
            close(p);
        }
        return result;
    }

    private List<Statement> statements(JsonParser p) throws IOException, WireException {
        open(p);
        List<Statement> result = new ArrayList<>();
        while (more(p)) {
            if (result.size() >= limits.updatesMost()) {
                throw new WireException("at most " + limits.updatesMost() + " statements are expected");
            }
            String from = text(p);
            long number = number(p, 0, Long.MAX_VALUE / 2);
            open(p);
            List<Claim> claims = new ArrayList<>();
            while (more(p)) {
                if (claims.size() >= limits.claimsMost()) {
                    throw new WireException("at most " + limits.claimsMost() + " claims are expected");
                }
                claims.add(new Claim(
                        any(p),
                        Claim.Kind.values()[(int) number(p, 0, Claim.Kind.values().length - 1)],
                        number(p, 1, (long) PER_CENT) / PER_CENT,
                        number(p, 0, MOST_MS),
                        number(p, 0, MOST_MS)));
                close(p);
            }
            result.add(new Statement(from, number, List.copyOf(claims), bytes(p)));
            close(p);
        }
        return result;
    }

    private static void open(JsonParser p) throws IOException, WireException {
        expect(p.nextToken() == JsonToken.START_ARRAY, "an array");
    }

    private static void close(JsonParser p) throws IOException, WireException {
        expect(p.nextToken() == JsonToken.END_ARRAY, "the end of an array");
    }

    /** Whether another array begins; else the one around it has ended. */
    private static boolean more(JsonParser p) throws IOException, WireException {
        JsonToken token = p.nextToken();
        expect(token == JsonToken.START_ARRAY || token == JsonToken.END_ARRAY, "an array or the end of one");
        return token == JsonToken.START_ARRAY;
    }

    private static long any(JsonParser p) throws IOException, WireException {
        return number(p, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    private static long number(JsonParser p, long least, long most) throws IOException, WireException {
        expect(p.nextToken() == JsonToken.VALUE_NUMBER_INT, "a whole number");
        long value = p.getLongValue();
        expect(value >= least && value <= most, "a number from " + least + " to " + most);
        return value;
    }

    private static String text(JsonParser p) throws IOException, WireException {
        expect(p.nextToken() == JsonToken.VALUE_STRING, "a text");
        String value = p.getText();
        expect(value.length() <= MOST_TEXT, "at most " + MOST_TEXT + " characters");
        for (int i = 0; i < value.length(); i++) {
            // they go into log lines and pages
            expect(value.charAt(i) > 0x20 && value.charAt(i) < 0x7f, "printable characters");
        }
        return value;
    }

    private static byte[] bytes(JsonParser p) throws IOException, WireException {
        expect(p.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "a byte string");
        // copied in pieces: a declared length alone takes no memory
        Bounded out = new Bounded();
        p.readBinaryValue(out);
        return out.bytes.toByteArray();
    }

    private static void expect(boolean so, String what) throws WireException {
        if (!so) {
            throw new WireException(what + " is expected");
        }
    }

    private static final class Bounded extends OutputStream {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream(96);

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] from, int offset, int length) throws IOException {
            if (bytes.size() + length > MOST_PROOF) {
                throw new IOException("more than " + MOST_PROOF + " bytes");
            }
            bytes.write(from, offset, length);
        }
    }
}
