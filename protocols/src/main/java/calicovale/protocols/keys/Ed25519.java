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

/**
 * Operations on Ed25519 keys (RFC 8032, RFC 8410). In text form, a public key is its 32 bytes in base64url and a
 * private key its PKCS #8 encoding in base64url, both without padding.
 */
public final class Ed25519 {
    /** Size of a public key, in bytes. */
    public static final int PUBLIC_KEY_BYTES = 32;
    /** Size of a signature, in bytes. */
    public static final int SIGNATURE_BYTES = 64;
    /** The bytes before the 32 bytes of a public key in its X.509 encoding (RFC 8410, 4). */
    private static final byte[] X509_PREFIX = {0x30, 0x2a, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x03, 0x21, 0x00};

    private static final Base64.Encoder BASE64_URL_ENCODER =
            Base64.getUrlEncoder().withoutPadding();

    private Ed25519() {}

    /** A key pair in text form: the public key and the private key (PKCS #8), both in base64url. */
    public record TextKeyPair(String publicKey, String privateKey) {
        /** Generates a pair from the system's secure random source. */
        public static TextKeyPair generate() throws GeneralSecurityException {
            KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
            return new TextKeyPair(
                    toBase64Url(rawPublicKey(pair.getPublic())),
                    toBase64Url(pair.getPrivate().getEncoded()));
        }
    }

    /** Encodes bytes in base64url without padding. */
    public static String toBase64Url(byte[] bytes) {
        return BASE64_URL_ENCODER.encodeToString(bytes);
    }

    /** Returns the 32 bytes of a public key. */
    public static byte[] rawPublicKey(PublicKey key) {
        byte[] encoded = key.getEncoded();
        return Arrays.copyOfRange(encoded, X509_PREFIX.length, encoded.length);
    }

    /**
     * Returns the public key with the given 32 bytes.
     *
     * @throws IllegalArgumentException if the bytes are not a public key
     */
    public static PublicKey publicKey(byte[] raw) {
        byte[] encoded = Arrays.copyOf(X509_PREFIX, X509_PREFIX.length + raw.length);
        System.arraycopy(raw, 0, encoded, X509_PREFIX.length, raw.length);
        try {
            return KeyFactory.getInstance("Ed25519").generatePublic(new X509EncodedKeySpec(encoded));
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException("an Ed25519 public key of 32 bytes in base64url is expected", e);
        }
    }

    /**
     * Parses a public key in base64url.
     *
     * @throws IllegalArgumentException if the text is not a public key
     */
    public static PublicKey publicKey(String text) {
        return publicKey(Base64.getUrlDecoder().decode(text));
    }

    /**
     * Parses a private key (PKCS #8) in base64url.
     *
     * @throws IllegalArgumentException if the text is not a private key
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

    /** Returns the id by which messages name a public key: the first 8 bytes of its SHA-256, big-endian. */
    public static long keyId(byte[] raw) {
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

    /** Signs the concatenation of the parts. */
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

    /**
     * Returns whether a signature by the key is valid for the concatenation of the parts; false if it is malformed.
     */
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
