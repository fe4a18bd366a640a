package calicovale.gossip.wire;

import calicovale.protocols.keys.Ed25519;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.PrivateKey;
import java.security.PublicKey;

/**
 * The operators' word that a key is a member's, for a while.
 *
 * @param member id
 * @param key the 32 bytes of its public key
 * @param fromMs from which it holds, ms since 1970
 * @param untilMs until which it holds
 * @param signature by the operators' key
 */
public record Certificate(String member, byte[] key, long fromMs, long untilMs, byte[] signature) {
    private static final int MOST_MEMBER = 64;

    /** Signs one for a group. */
    public static Certificate sign(
            PrivateKey authority, String group, String member, byte[] key, long fromMs, long untilMs) {
        byte[] text = text(group, member, key, fromMs, untilMs);
        return new Certificate(member, key, fromMs, untilMs, Ed25519.sign(authority, text));
    }

    private static byte[] text(String group, String member, byte[] key, long fromMs, long untilMs) {
        byte[] names = ("calicovale-certificate-1\0" + group + "\0" + member + "\0").getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(names.length + key.length + 16)
                .put(names)
                .put(key)
                .putLong(fromMs)
                .putLong(untilMs)
                .array();
    }

    /** Whether the operators signed it for this group. */
    public boolean signedBy(PublicKey authority, String group) {
        return Ed25519.verify(authority, signature, text(group, member, key, fromMs, untilMs));
    }

    /** Its bytes as they go with messages. */
    public byte[] bytes() {
        byte[] name = member.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(1 + name.length + key.length + 16 + signature.length)
                .put((byte) name.length)
                .put(name)
                .put(key)
                .putLong(fromMs)
                .putLong(untilMs)
                .put(signature)
                .array();
    }

    /** One of its bytes, or null if they are none; nothing is verified yet. */
    public static Certificate of(byte[] bytes) {
        int name = bytes.length == 0 ? 0 : bytes[0];
        if (name <= 0
                || name > MOST_MEMBER
                || bytes.length != 1 + name + Ed25519.PUBLIC_KEY_BYTES + 16 + Ed25519.SIGNATURE_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        byte[] member = new byte[name];
        byte[] key = new byte[Ed25519.PUBLIC_KEY_BYTES];
        byte[] signature = new byte[Ed25519.SIGNATURE_BYTES];
        in.get(member).get(key);
        long from = in.getLong();
        long until = in.getLong();
        in.get(signature);
        String id = new String(member, StandardCharsets.US_ASCII);
        return id.matches("[A-Za-z0-9][A-Za-z0-9._-]*") ? new Certificate(id, key, from, until, signature) : null;
    }
}
