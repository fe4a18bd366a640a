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

/** Owns the documents of keys: a member's pair, a listed key, a certificate, a revocation. */
public final class KeyDocuments {

    /** A member's pair. */
    public record Pair(String member, byte[] publicKey, PrivateKey privateKey) {}

    private KeyDocuments() {}

    private static byte[] bytes(JsonNode n, String member) {
        return Base64.getUrlDecoder().decode(n.get(member).asText());
    }

    private static String text(Object... members) {
        var n = Documents.MAPPER.createObjectNode();
        for (int i = 0; i < members.length; i += 2) {
            n.putPOJO((String) members[i], members[i + 1]);
        }
        return n.toPrettyString();
    }

    /** A new pair for a member; of the two texts the first is to be kept secret, the second lists its key. */
    public static List<String> make(String member) throws GeneralSecurityException {
        Ed25519.TextKeyPair pair = Ed25519.TextKeyPair.generate();
        return List.of(
                text(
                        "schema",
                        "calicovale/key/1",
                        "member",
                        member,
                        "publicKey",
                        pair.publicKey(),
                        "privateKey",
                        pair.privateKey()),
                text("schema", "calicovale/member-key/1", "member", member, "key", pair.publicKey()));
    }

    /** Reads a pair. */
    public static Pair pair(Path file) throws InvalidDocumentException {
        JsonNode n = Documents.read(file, KeyDocuments.class, "key.schema.json");
        try {
            Ed25519.publicKey(n.get("publicKey").asText());
            Pair pair = new Pair(
                    n.get("member").asText(),
                    bytes(n, "publicKey"),
                    Ed25519.privateKey(n.get("privateKey").asText()));
            byte[] probe = {1};
            if (!Ed25519.verify(Ed25519.publicKey(pair.publicKey()), Ed25519.sign(pair.privateKey(), probe), probe)) {
                throw new IllegalArgumentException("halves of one pair are expected");
            }
            return pair;
        } catch (IllegalArgumentException e) {
            throw new InvalidDocumentException(List.of(file + ": /privateKey: " + e.getMessage()));
        }
    }

    /** A listed key. */
    static Roster.Entry listed(String name, String text) throws InvalidDocumentException {
        JsonNode n = Documents.check(name, text, KeyDocuments.class, "member-key.schema.json");
        return new Roster.Entry(
                n.get("member").asText(), key(name, n), Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY);
    }

    private static PublicKey key(String name, JsonNode n) throws InvalidDocumentException {
        try {
            return Ed25519.publicKey(n.get("key").asText());
        } catch (IllegalArgumentException e) {
            throw new InvalidDocumentException(List.of(name + ": /key: " + e.getMessage()));
        }
    }

    /** A certificate as a document. */
    public static String certificate(
            PrivateKey authority, String group, String member, byte[] key, long fromMs, long untilMs) {
        Certificate c = Certificate.sign(authority, group, member, key, fromMs, untilMs);
        return text(
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
                Ed25519.toBase64Url(c.signature()));
    }

    /** Reads a certificate; whether it is the operators' is for the roster to say. */
    static Certificate certificate(String name, String text) throws InvalidDocumentException {
        JsonNode n = Documents.check(name, text, KeyDocuments.class, "certificate.schema.json");
        key(name, n);
        return new Certificate(
                n.get("member").asText(),
                bytes(n, "key"),
                n.get("fromMs").asLong(),
                n.get("untilMs").asLong(),
                bytes(n, "signature"));
    }

    private static byte[] revoked(String key) {
        return ("calicovale-revocation-1\0" + key).getBytes(StandardCharsets.UTF_8);
    }

    /** A revocation as a document; {@code authority} null: for a group without an operators' key. */
    public static String revocation(PrivateKey authority, byte[] key) {
        String text = Ed25519.toBase64Url(key);
        return authority == null
                ? text("schema", "calicovale/revocation/1", "key", text)
                : text(
                        "schema",
                        "calicovale/revocation/1",
                        "key",
                        text,
                        "signature",
                        Ed25519.toBase64Url(Ed25519.sign(authority, revoked(text))));
    }

    /** The id of a revoked key; with an operators' key only what that signed counts. */
    static long revocation(String name, String text, PublicKey authority) throws InvalidDocumentException {
        JsonNode n = Documents.check(name, text, KeyDocuments.class, "revocation.schema.json");
        if (authority != null
                && !(n.has("signature")
                        && Ed25519.verify(
                                authority,
                                bytes(n, "signature"),
                                revoked(n.get("key").asText())))) {
            throw new InvalidDocumentException(List.of(name + ": /signature: the operators' signature is expected"));
        }
        return Ed25519.keyId(bytes(n, "key"));
    }
}
