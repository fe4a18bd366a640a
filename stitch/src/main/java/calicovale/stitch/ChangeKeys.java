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
 * The operators' public keys, which verify the signatures of change documents. A signature is Ed25519 (RFC 8032) over
 * the document's canonical form (RFC 8785) without its member {@code signature}. With no keys, every document is
 * accepted; with at least one, only documents that a listed key signed.
 */
public final class ChangeKeys {
    /** No keys; accepts documents without verifying a signature. */
    public static final ChangeKeys ANYONE = new ChangeKeys(Map.of());

    private final Map<String, PublicKey> keys;

    private ChangeKeys(Map<String, PublicKey> keys) {
        this.keys = keys;
    }

    /**
     * Parses public keys.
     *
     * @param keyTexts the keys by name, each the base64url of its 32 bytes
     * @throws IllegalArgumentException if a text is not a public key; the message names the key
     */
    public static ChangeKeys of(Map<String, String> keyTexts) {
        Map<String, PublicKey> keys = new LinkedHashMap<>();
        keyTexts.forEach((name, text) -> {
            try {
                keys.put(name, Ed25519.publicKey(text));
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(
                        name + ": an Ed25519 public key of 32 bytes in base64url is expected", e);
            }
        });
        return new ChangeKeys(keys);
    }

    /** Returns a document in canonical form (RFC 8785), in which documents are signed, stored and listed. */
    public static String canonical(JsonNode document) {
        try {
            return new JsonCanonicalizer(document.toString()).getEncodedString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the bytes that a signature covers. */
    private static byte[] signedBytes(JsonNode document) {
        ObjectNode unsignedDocument = document.deepCopy();
        unsignedDocument.remove("signature");
        return canonical(unsignedDocument).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the faults of a document's signature, each with its location; empty if the signature is valid. */
    List<String> signatureFaults(String name, JsonNode document) {
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
            return Ed25519.verify(key, value, signedBytes(document))
                    ? List.of()
                    : List.of(name + ": /signature/value: the key's signature of this document is expected");
        } catch (IllegalArgumentException e) {
            return List.of(name + ": /signature/value: an Ed25519 signature is expected");
        }
    }

    /**
     * Signs a document, replacing any signature that it has.
     *
     * @param keyName name of the key in the managers' settings
     * @param privateKey text of the private key as in {@link Ed25519.TextKeyPair}
     * @return the signed document, in canonical form
     * @throws IOException if the document is not JSON
     */
    public static String sign(String documentText, String keyName, String privateKey) throws IOException {
        ObjectNode document = (ObjectNode) Documents.MAPPER.readTree(documentText);
        byte[] signature = Ed25519.sign(Ed25519.privateKey(privateKey), signedBytes(document));
        document.putObject("signature").put("key", keyName).put("value", Ed25519.toBase64Url(signature));
        return canonical(document);
    }
}
