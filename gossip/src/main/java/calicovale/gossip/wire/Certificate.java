package calicovale.gossip.wire;

import calicovale.protocols.keys.Ed25519;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.PrivateKey;
import java.security.PublicKey;

/**
 * Certificate by which the operators confirm that a key belongs to a member, for a limited time.
 *
 * @param member id of the member
 * @param key the 32 bytes of the member's public key
 * @param fromMs start of the validity, in ms since 1970
 * @param untilMs end of the validity, exclusive, in ms since 1970
 * @param signature signature by the operators' key
 */
public record Certificate(String member, byte[] key, long fromMs, long untilMs, byte[] signature) {
    private static final int MAX_MEMBER_ID_BYTES = 64;

    /** Signs a certificate for a member of a group. */
    public static Certificate sign(
            PrivateKey authority, String group, String member, byte[] key, long fromMs, long untilMs) {
        byte[] signed = signedBytes(group, member, key, fromMs, untilMs);
        return new Certificate(member, key, fromMs, untilMs, Ed25519.sign(authority, signed));
    }

    private static byte[] signedBytes(String group, String member, byte[] key, long fromMs, long untilMs) {
        byte[] names = ("calicovale-certificate-1\0" + group + "\0" + member + "\0").getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(names.length + key.length + 16)
                .put(names)
                .put(key)
                .putLong(fromMs)
                .putLong(untilMs)
                .array();
    }

    /** Returns whether the operators' key signed this certificate for the group. */
    public boolean signedBy(PublicKey authority, String group) {
        return Ed25519.verify(authority, signature, signedBytes(group, member, key, fromMs, untilMs));
    }

    /** Returns the binary form that is sent with messages. */
    public byte[] encode() {
        byte[] id = member.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(1 + id.length + key.length + 16 + signature.length)
                .put((byte) id.length)
                .put(id)
                .put(key)
                .putLong(fromMs)
                .putLong(untilMs)
                .put(signature)
                .array();
    }

    /** Returns the certificate of a binary form, or null if that is malformed. The signature is not verified. */
    public static Certificate decode(byte[] bytes) {
        int idLength = bytes.length == 0 ? 0 : bytes[0];
        if (idLength <= 0
                || idLength > MAX_MEMBER_ID_BYTES
                || bytes.length != 1 + idLength + Ed25519.PUBLIC_KEY_BYTES + 16 + Ed25519.SIGNATURE_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        byte[] idBytes = new byte[idLength];
        byte[] key = new byte[Ed25519.PUBLIC_KEY_BYTES];
        byte[] signature = new byte[Ed25519.SIGNATURE_BYTES];
        in.get(idBytes).get(key);
        long fromMs = in.getLong();
        long untilMs = in.getLong();
        in.get(signature);
        String id = new String(idBytes, StandardCharsets.US_ASCII);
        return id.matches("[A-Za-z0-9][A-Za-z0-9._-]*") ? new Certificate(id, key, fromMs, untilMs, signature) : null;
    }
}
