package calicovale.gossip.net;

import calicovale.gossip.wire.Certificate;
import calicovale.gossip.wire.Roster;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.keys.Ed25519;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.util.Base64;
import java.util.List;

/** Reads and writes JSON documents of keys: a member's key pair, a listed key, a certificate, a revocation. */
public final class KeyDocuments {

    /** Key pair of a member; {@code publicKey} is in raw form. */
    public record MemberKeyPair(String member, byte[] publicKey, PrivateKey privateKey) {}

    private KeyDocuments() {}

    private static byte[] decodeBytes(JsonNode document, String field) {
        return Base64.getUrlDecoder().decode(document.get(field).asText());
    }

    private static String toJson(Object... fieldsAndValues) {
        var document = Documents.MAPPER.createObjectNode();
        for (int i = 0; i < fieldsAndValues.length; i += 2) {
            document.putPOJO((String) fieldsAndValues[i], fieldsAndValues[i + 1]);
        }
        return document.toPrettyString();
    }

    /**
     * Generates a key pair for a member. Returns two documents: the key pair, to be kept secret, and the public key for
     * the roster.
     */
    public static List<String> generate(String member) throws GeneralSecurityException {
        Ed25519.TextKeyPair pair = Ed25519.TextKeyPair.generate();
        return List.of(
                toJson(
                        "schema",
                        "calicovale/key/1",
                        "member",
                        member,
                        "publicKey",
                        pair.publicKey(),
                        "privateKey",
                        pair.privateKey()),
                toJson("schema", "calicovale/member-key/1", "member", member, "key", pair.publicKey()));
    }

    /** Reads a key pair document. */
    public static MemberKeyPair readKeyPair(Path file) throws InvalidDocumentException {
        JsonNode document = Documents.read(file, KeyDocuments.class, "key.schema.json");
        try {
            Ed25519.publicKey(document.get("publicKey").asText());
        } catch (IllegalArgumentException e) {
            throw new InvalidDocumentException(List.of(file + ": /publicKey: " + e.getMessage()));
        }
        try {
            MemberKeyPair pair = new MemberKeyPair(
                    document.get("member").asText(),
                    decodeBytes(document, "publicKey"),
                    Ed25519.privateKey(document.get("privateKey").asText()));
            byte[] sample = {1};
            if (!Ed25519.verify(Ed25519.publicKey(pair.publicKey()), Ed25519.sign(pair.privateKey(), sample), sample)) {
                throw new IllegalArgumentException("the private key that belongs to /publicKey is expected");
            }
            return pair;
        } catch (IllegalArgumentException e) {
            throw new InvalidDocumentException(List.of(file + ": /privateKey: " + e.getMessage()));
        }
    }

    /** Parses a listed key; it is valid without a time limit. */
    static Roster.Entry parseMemberKey(String name, String json) throws InvalidDocumentException {
        JsonNode document = Documents.check(name, json, KeyDocuments.class, "member-key.schema.json");
        return new Roster.Entry(
                document.get("member").asText(),
                parsePublicKey(name, document),
                Double.NEGATIVE_INFINITY,
                Double.POSITIVE_INFINITY);
    }

    private static PublicKey parsePublicKey(String name, JsonNode document) throws InvalidDocumentException {
        try {
            return Ed25519.publicKey(document.get("key").asText());
        } catch (IllegalArgumentException e) {
            throw new InvalidDocumentException(List.of(name + ": /key: " + e.getMessage()));
        }
    }

    /** Returns the document of a new certificate, signed by {@code authority}. */
    public static String certificate(
            PrivateKey authority, String group, String member, byte[] key, long fromMs, long untilMs) {
        Certificate certificate = Certificate.sign(authority, group, member, key, fromMs, untilMs);
        return toJson(
                "schema",
                "calicovale/certificate/1",
                "group",
                group,
                "member",
                member,
                "key",
                Ed25519.toBase64Url(key),
                "fromMs",
                fromMs,
                "untilMs",
                untilMs,
                "signature",
                Ed25519.toBase64Url(certificate.signature()));
    }

    /** Parses a certificate; its signature is verified by the roster. */
    static Certificate certificate(String name, String json) throws InvalidDocumentException {
        JsonNode document = Documents.check(name, json, KeyDocuments.class, "certificate.schema.json");
        parsePublicKey(name, document);
        return new Certificate(
                document.get("member").asText(),
                decodeBytes(document, "key"),
                document.get("fromMs").asLong(),
                document.get("untilMs").asLong(),
                decodeBytes(document, "signature"));
    }

    private static byte[] revocationBytes(String keyText) {
        return ("calicovale-revocation-1\0" + keyText).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the document of a revocation; {@code authority} is null in a group without an operators' key. */
    public static String revocation(PrivateKey authority, byte[] key) {
        String text = Ed25519.toBase64Url(key);
        return authority == null
                ? toJson("schema", "calicovale/revocation/1", "key", text)
                : toJson(
                        "schema",
                        "calicovale/revocation/1",
                        "key",
                        text,
                        "signature",
                        Ed25519.toBase64Url(Ed25519.sign(authority, revocationBytes(text))));
    }

    /**
     * Parses a revocation and returns the id of the revoked key. If {@code authority} is not null, the document must be
     * signed by it.
     */
    static long revocation(String name, String text, PublicKey authority) throws InvalidDocumentException {
        JsonNode document = Documents.check(name, text, KeyDocuments.class, "revocation.schema.json");
        if (authority != null
                && !(document.has("signature")
                        && Ed25519.verify(
                                authority,
                                decodeBytes(document, "signature"),
                                revocationBytes(document.get("key").asText())))) {
            throw new InvalidDocumentException(List.of(name + ": /signature: the operators' signature is expected"));
        }
        return Ed25519.keyId(decodeBytes(document, "key"));
    }
}
