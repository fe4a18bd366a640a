package calicovale.protocols.keys;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.MessageDigest;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.SignatureException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Arrays;
import java.util.Base64;

/** Owns Ed25519 keys (RFC 8032, RFC 8410) as this program writes them: base64url of the 32 bytes, or of the PKCS #8 form. */
public final class Ed25519 {
    /** Bytes of a public key. */
    public static final int KEY_BYTES = 32;
    /** Bytes of a signature. */
    public static final int SIGNATURE_BYTES = 64;
    /** What leads the 32 bytes of a public key in X.509 (RFC 8410, 4). */
    private static final byte[] X509_HEAD = {0x30, 0x2a, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x03, 0x21, 0x00};

    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

    private Ed25519() {}

    /** A new pair: the public key in base64url, and the private key (PKCS #8) in base64url. */
    public record Pair(String publicKey, String privateKey) {
        /** Makes a pair from the system's secure random source. */
        public static Pair make() throws GeneralSecurityException {
            KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
            return new Pair(text(raw(pair.getPublic())), text(pair.getPrivate().getEncoded()));
        }
    }

    /** Bytes as base64url without padding. */
    public static String text(byte[] bytes) {
        return ENCODER.encodeToString(bytes);
    }

    /** The 32 bytes of a public key. */
    public static byte[] raw(PublicKey key) {
        byte[] encoded = key.getEncoded();
        return Arrays.copyOfRange(encoded, X509_HEAD.length, encoded.length);
    }

    /**
     * A public key of its 32 bytes.
     *
     * @throws IllegalArgumentException if they are none
     */
    public static PublicKey publicKey(byte[] raw) {
        byte[] encoded = Arrays.copyOf(X509_HEAD, X509_HEAD.length + raw.length);
        System.arraycopy(raw, 0, encoded, X509_HEAD.length, raw.length);
        try {
            return KeyFactory.getInstance("Ed25519").generatePublic(new X509EncodedKeySpec(encoded));
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException("an Ed25519 public key of 32 bytes in base64url is expected", e);
        }
    }

    /**
     * A public key of its text.
     *
     * @throws IllegalArgumentException if it is none
     */
    public static PublicKey publicKey(String text) {
        return publicKey(Base64.getUrlDecoder().decode(text));
    }

    /**
     * A private key of its text.
     *
     * @throws IllegalArgumentException if it is none
     */
    public static PrivateKey privateKey(String text) {
        try {
            return KeyFactory.getInstance("Ed25519")
                    .generatePrivate(
                            new PKCS8EncodedKeySpec(Base64.getUrlDecoder().decode(text)));
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException("an Ed25519 private key (PKCS #8) in base64url is expected", e);
        }
    }

    /** The first 8 bytes of the SHA-256 of a public key: by it a key is named in messages. */
    public static long id(byte[] raw) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(raw);
            long result = 0;
            for (int i = 0; i < 8; i++) {
                result = result << 8 | hash[i] & 0xff;
            }
            return result;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Signs what the parts make up together. */
    public static byte[] sign(PrivateKey key, byte[]... parts) {
        try {
            Signature signer = Signature.getInstance("Ed25519");
            signer.initSign(key);
            for (byte[] part : parts) {
                signer.update(part);
            }
            return signer.sign();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether a signature is the key's for what the parts make up together; one that is malformed is not. */
    public static boolean verify(PublicKey key, byte[] signature, byte[]... parts) {
        try {
            Signature verifier = Signature.getInstance("Ed25519");
            verifier.initVerify(key);
            for (byte[] part : parts) {
                verifier.update(part);
            }
            return verifier.verify(signature);
        } catch (SignatureException e) {
            return false;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
