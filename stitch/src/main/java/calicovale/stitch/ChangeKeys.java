package calicovale.stitch;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.erdtman.jcs.JsonCanonicalizer;

/**
 * Owns the operators' keys by which documents are signed (Ed25519, RFC 8032, over the canonical form of RFC 8785 without its
 * {@code signature}). Without any key every document is taken; with one, only a document that a listed key signed.
 */
public final class ChangeKeys {
    /** Takes documents of anyone. */
    public static final ChangeKeys ANYONE = new ChangeKeys(Map.of());
    /** What leads the 32 bytes of a public key in X.509 (RFC 8410, 4). */
    private static final byte[] X509_HEAD = {0x30, 0x2a, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x03, 0x21, 0x00};
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

    private final Map<String, PublicKey> keys;

    private ChangeKeys(Map<String, PublicKey> keys) {
        this.keys = keys;
    }

    /**
     * Reads keys by name, each the base64url of its 32 bytes.
     *
     * @throws IllegalArgumentException if one is none; the message names it
     */
    public static ChangeKeys of(Map<String, String> texts) {
        Map<String, PublicKey> keys = new LinkedHashMap<>();
        texts.forEach((name, text) -> {
            try {
                byte[] raw = Base64.getUrlDecoder().decode(text);
                byte[] encoded = Arrays.copyOf(X509_HEAD, X509_HEAD.length + raw.length);
                System.arraycopy(raw, 0, encoded, X509_HEAD.length, raw.length);
                keys.put(name, KeyFactory.getInstance("Ed25519").generatePublic(new X509EncodedKeySpec(encoded)));
            } catch (GeneralSecurityException | IllegalArgumentException e) {
                throw new IllegalArgumentException(name + ": an Ed25519 public key of 32 bytes in base64url is expected", e);
            }
        });
        return new ChangeKeys(keys);
    }

    /** A document in canonical form: by it documents are signed, kept and listed. */
    public static String canonical(JsonNode document) {
        try {
            return new JsonCanonicalizer(document.toString()).getEncodedString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] signed(JsonNode document) {
        ObjectNode without = document.deepCopy();
        without.remove("signature");
        return canonical(without).getBytes(StandardCharsets.UTF_8);
    }

    /** What is wrong with a document's signature, each fault with its place; empty: nothing. */
    List<String> faults(String name, JsonNode document) {
        if (keys.isEmpty()) {
            return List.of();
        }
        JsonNode signature = document.path("signature");
        if (signature.isMissingNode()) {
            return List.of(name + ": /signature: a signature by one of " + new TreeSet<>(keys.keySet()) + " is expected");
        }
        PublicKey key = keys.get(signature.get("key").asText());
        if (key == null) {
            return List.of(name + ": /signature/key: one of " + new TreeSet<>(keys.keySet()) + " is expected");
        }
        try {
            Signature verifier = Signature.getInstance("Ed25519");
            verifier.initVerify(key);
            verifier.update(signed(document));
            return verifier.verify(Base64.getUrlDecoder().decode(signature.get("value").asText())) ? List.of()
                    : List.of(name + ": /signature/value: the key's signature of this document is expected");
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return List.of(name + ": /signature/value: an Ed25519 signature is expected");
        }
    }

    /** A new pair: the public key for settings, and the private key (PKCS #8) in base64url. */
    public record Pair(String publicKey, String privateKey) {
        /** Makes a pair from the system's secure random source. */
        public static Pair make() throws GeneralSecurityException {
            KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
            byte[] encoded = pair.getPublic().getEncoded();
            return new Pair(ENCODER.encodeToString(Arrays.copyOfRange(encoded, X509_HEAD.length, encoded.length)),
                    ENCODER.encodeToString(pair.getPrivate().getEncoded()));
        }
    }

    /** A document with the signature of a private key as {@link Pair} gives it, in canonical form. */
    public static String sign(String document, String keyName, String privateKey) throws GeneralSecurityException, IOException {
        ObjectNode n = (ObjectNode) Documents.MAPPER.readTree(document);
        PrivateKey key = KeyFactory.getInstance("Ed25519")
                .generatePrivate(new PKCS8EncodedKeySpec(Base64.getUrlDecoder().decode(privateKey)));
        Signature signer = Signature.getInstance("Ed25519");
        signer.initSign(key);
        signer.update(signed(n));
        n.putObject("signature").put("key", keyName).put("value", ENCODER.encodeToString(signer.sign()));
        return canonical(n);
    }
}
