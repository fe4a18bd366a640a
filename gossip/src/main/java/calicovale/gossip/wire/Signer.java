package calicovale.gossip.wire;

import calicovale.gossip.claims.Statement;
import calicovale.gossip.claims.StatementProofs;
import calicovale.gossip.member.Update;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.member.UpdateProofs;
import calicovale.protocols.keys.Ed25519;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.PrivateKey;
import java.util.Arrays;
import java.util.function.DoubleSupplier;

/**
 * Signs with this member's key and verifies the proofs of others. A proof consists of the key id, the signature and, in
 * what a member reports about itself, the certificate of its key, so that receivers that don't know the key yet can
 * verify it.
 */
public final class Signer implements UpdateProofs, StatementProofs {
    private final Roster roster;
    private final DoubleSupplier wallMs;
    private PrivateKey key;
    private long keyId;
    private byte[] certificate = new byte[0];

    /** Creates a signer that uses {@code key}; {@code keyCertificate} is null if the key has no certificate. */
    public Signer(Roster roster, DoubleSupplier wallMs, PrivateKey key, byte[] publicKey, Certificate keyCertificate) {
        this.roster = roster;
        this.wallMs = wallMs;
        replaceKey(key, publicKey, keyCertificate);
    }

    /** Replaces the key in use. */
    public void replaceKey(PrivateKey newKey, byte[] publicKey, Certificate keyCertificate) {
        key = newKey;
        keyId = Ed25519.keyId(publicKey);
        certificate = keyCertificate == null ? new byte[0] : keyCertificate.encode();
        if (keyCertificate != null) {
            roster.admit(keyCertificate);
        }
    }

    /** Returns the id of the key in use. */
    public long keyId() {
        return keyId;
    }

    byte[] certificate() {
        return certificate;
    }

    byte[] sign(byte[]... parts) {
        return Ed25519.sign(key, parts);
    }

    private byte[] createProof(byte[] signed, boolean withCertificate) {
        byte[] signature = Ed25519.sign(key, signed);
        byte[] attached = withCertificate ? certificate : new byte[0];
        return ByteBuffer.allocate(8 + signature.length + attached.length)
                .putLong(keyId)
                .put(signature)
                .put(attached)
                .array();
    }

    private boolean verifyProof(String reporter, byte[] proof, byte[] signed) {
        if (proof.length < 8 + Ed25519.SIGNATURE_BYTES) {
            return false;
        }
        long signingKeyId = ByteBuffer.wrap(proof).getLong();
        Roster.Entry entry = roster.find(signingKeyId, wallMs.getAsDouble());
        if (entry == null && roster.usesCertificates()) {
            Certificate carried =
                    Certificate.decode(Arrays.copyOfRange(proof, 8 + Ed25519.SIGNATURE_BYTES, proof.length));
            if (carried != null
                    && carried.member().equals(reporter)
                    && Ed25519.keyId(carried.key()) == signingKeyId
                    && roster.admit(carried)) {
                entry = roster.find(signingKeyId, wallMs.getAsDouble());
            }
        }
        return entry != null
                && entry.member().equals(reporter)
                && Ed25519.verify(entry.key(), Arrays.copyOfRange(proof, 8, 8 + Ed25519.SIGNATURE_BYTES), signed);
    }

    private byte[] signedBytes(Update update) {
        return ("calicovale-update-1\0" + roster.group() + "\0" + update.reporter() + "\0" + update.memberId() + "\0"
                        + update.address() + "\0" + update.incarnation() + "\0" + update.state())
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] signedBytes(Statement statement) {
        byte[] head = ("calicovale-statement-1\0" + roster.group() + "\0").getBytes(StandardCharsets.UTF_8);
        byte[] body = Codec.signedBytes(statement);
        return ByteBuffer.allocate(head.length + body.length)
                .put(head)
                .put(body)
                .array();
    }

    @Override
    public byte[] prove(Update update) {
        return createProof(signedBytes(update), update.state() == State.ALIVE || update.state() == State.LEFT);
    }

    @Override
    public boolean verify(Update update) {
        return verifyProof(update.reporter(), update.proof(), signedBytes(update));
    }

    @Override
    public byte[] prove(Statement statement) {
        return createProof(signedBytes(statement), false);
    }

    @Override
    public boolean verify(Statement statement) {
        return verifyProof(statement.reporter(), statement.proof(), signedBytes(statement));
    }
}
