package calicovale.stitch;

import calicovale.protocols.json.Documents;
import calicovale.protocols.keys.Ed25519;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.PublicKey;
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
                keys.put(name, Ed25519.publicKey(text));
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(
                        name + ": an Ed25519 public key of 32 bytes in base64url is expected", e);
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
            return List.of(
                    name + ": /signature: a signature by one of " + new TreeSet<>(keys.keySet()) + " is expected");
        }
        PublicKey key = keys.get(signature.get("key").asText());
        if (key == null) {
            return List.of(name + ": /signature/key: one of " + new TreeSet<>(keys.keySet()) + " is expected");
        }
        try {
            byte[] value = Base64.getUrlDecoder().decode(signature.get("value").asText());
            return Ed25519.verify(key, value, signed(document))
                    ? List.of()
                    : List.of(name + ": /signature/value: the key's signature of this document is expected");
        } catch (IllegalArgumentException e) {
            return List.of(name + ": /signature/value: an Ed25519 signature is expected");
        }
    }

    /** A document with the signature of a private key as {@link Pair} gives it, in canonical form. */
    public static String sign(String document, String keyName, String privateKey) throws IOException {
        ObjectNode n = (ObjectNode) Documents.MAPPER.readTree(document);
        byte[] signature = Ed25519.sign(Ed25519.privateKey(privateKey), signed(n));
        n.putObject("signature").put("key", keyName).put("value", Ed25519.toBase64Url(signature));
        return canonical(n);
    }
}
