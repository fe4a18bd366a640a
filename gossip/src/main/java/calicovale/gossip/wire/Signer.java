package calicovale.gossip.wire;

import calicovale.gossip.claims.ClaimProofs;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.member.Proofs;
import calicovale.gossip.member.Update;
import calicovale.gossip.member.Update.State;
import calicovale.protocols.keys.Ed25519;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.PrivateKey;
import java.util.Arrays;
import java.util.function.DoubleSupplier;

/**
 * Owns this member's key, and the proofs that members add to what they say: the key's id, its signature, and with what a member
 * says of itself the certificate of its key, so that who hears of it can check it.
 */
public final class Signer implements Proofs, ClaimProofs {
    private final Roster roster;
    private final DoubleSupplier wallMs;
    private PrivateKey key;
    private long keyId;
    private byte[] certificate = new byte[0];

    /** Signs by a key; {@code ofKey} null: it has none. */
    public Signer(Roster roster, DoubleSupplier wallMs, PrivateKey key, byte[] publicKey, Certificate ofKey) {
        this.roster = roster;
        this.wallMs = wallMs;
        use(key, publicKey, ofKey);
    }

    /** Signs by another key from now on. */
    public void use(PrivateKey next, byte[] publicKey, Certificate ofKey) {
        key = next;
        keyId = Ed25519.keyId(publicKey);
        certificate = ofKey == null ? new byte[0] : ofKey.bytes();
        if (ofKey != null) {
            roster.admit(ofKey);
        }
    }

    /** The id of the key in use. */
    public long keyId() {
        return keyId;
    }

    byte[] certificate() {
        return certificate;
    }

    byte[] sign(byte[]... parts) {
        return Ed25519.sign(key, parts);
    }

    private byte[] proof(byte[] text, boolean certified) {
        byte[] signature = Ed25519.sign(key, text);
        byte[] more = certified ? certificate : new byte[0];
        return ByteBuffer.allocate(8 + signature.length + more.length)
                .putLong(keyId)
                .put(signature)
                .put(more)
                .array();
    }

    private boolean proved(String from, byte[] proof, byte[] text) {
        if (proof.length < 8 + Ed25519.SIGNATURE_BYTES) {
            return false;
        }
        long by = ByteBuffer.wrap(proof).getLong();
        Roster.Entry entry = roster.of(by, wallMs.getAsDouble());
        if (entry == null && roster.certifies()) {
            Certificate c = Certificate.of(Arrays.copyOfRange(proof, 8 + Ed25519.SIGNATURE_BYTES, proof.length));
            if (c != null && c.member().equals(from) && Ed25519.keyId(c.key()) == by && roster.admit(c)) {
                entry = roster.of(by, wallMs.getAsDouble());
            }
        }
        return entry != null
                && entry.member().equals(from)
                && Ed25519.verify(entry.key(), Arrays.copyOfRange(proof, 8, 8 + Ed25519.SIGNATURE_BYTES), text);
    }

    private byte[] text(Update u) {
        return ("calicovale-update-1\0" + roster.group() + "\0" + u.from() + "\0" + u.id() + "\0" + u.address() + "\0"
                        + u.incarnation() + "\0" + u.state())
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] text(Statement s) {
        byte[] head = ("calicovale-statement-1\0" + roster.group() + "\0").getBytes(StandardCharsets.UTF_8);
        byte[] body = Codec.signed(s);
        return ByteBuffer.allocate(head.length + body.length)
                .put(head)
                .put(body)
                .array();
    }

    @Override
    public byte[] prove(Update u) {
        return proof(text(u), u.state() == State.ALIVE || u.state() == State.LEFT);
    }

    @Override
    public boolean proved(Update u) {
        return proved(u.from(), u.proof(), text(u));
    }

    @Override
    public byte[] prove(Statement s) {
        return proof(text(s), false);
    }

    @Override
    public boolean proved(Statement s) {
        return proved(s.from(), s.proof(), text(s));
    }
}
