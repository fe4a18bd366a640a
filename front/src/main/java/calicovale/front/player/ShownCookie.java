package calicovale.front.player;

import calicovale.protocols.json.Documents;
import calicovale.stitch.SessionLedger.Showing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Owns the cookie (RFC 6265) by which a viewer itself carries to another manager what it was shown, since managers share
 * nothing: signed (HMAC-SHA-256) with a key that only the settings share, and good for that viewer alone. One that is
 * forged, foreign or malformed counts as none.
 */
final class ShownCookie {
    private static final String NAME = "calicovale-shown";
    /** Bytes of the largest cookie taken: what browsers keep at least (RFC 6265, 6.1). */
    private static final int MOST_CHARS = 4096;
    /** Showings that a cookie carries: the last ones, about 3 kB of the longest names. */
    private static final int MOST_SHOWINGS = 12;

    private static final int MAX_AGE_S = 86_400;

    private final SecretKeySpec key;

    /** {@code key} at least 16 bytes. */
    ShownCookie(byte[] key) {
        this.key = new SecretKeySpec(key, "HmacSHA256");
    }

    private String mac(String text) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(key);
            return Base64.getUrlEncoder()
                    .withoutPadding()
                    .encodeToString(mac.doFinal(text.getBytes(StandardCharsets.US_ASCII)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The value of Set-Cookie for what a viewer was shown. */
    String set(String viewer, Collection<Showing> showings) {
        ObjectNode n = Documents.MAPPER.createObjectNode().put("v", viewer);
        ArrayNode list = n.putArray("s");
        showings.stream()
                .skip(Math.max(0, showings.size() - MOST_SHOWINGS))
                .forEach(s -> list.addArray().add(s.change()).add(s.name()));
        String text = Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(n.toString().getBytes(StandardCharsets.UTF_8));
        return NAME + "=" + text + "." + mac(text) + "; Path=/; Max-Age=" + MAX_AGE_S + "; HttpOnly; SameSite=Lax";
    }

    /** What a viewer's cookies say that it was shown; null: a cookie of this name is no good. */
    List<Showing> read(String viewer, List<String> cookieHeaders) {
        for (String header : cookieHeaders) {
            for (String part : header.split(";")) {
                String pair = part.trim();
                if (pair.startsWith(NAME + "=")) {
                    return value(viewer, pair.substring(NAME.length() + 1));
                }
            }
        }
        return List.of();
    }

    private List<Showing> value(String viewer, String value) {
        int dot = value.indexOf('.');
        if (dot < 0 || value.length() > MOST_CHARS) {
            return null;
        }
        String text = value.substring(0, dot);
        if (!MessageDigest.isEqual(
                mac(text).getBytes(StandardCharsets.US_ASCII),
                value.substring(dot + 1).getBytes(StandardCharsets.ISO_8859_1))) {
            return null;
        }
        try {
            JsonNode n = Documents.MAPPER.readTree(Base64.getUrlDecoder().decode(text));
            if (!n.path("v").asText().equals(viewer)) {
                return null;
            }
            List<Showing> result = new ArrayList<>();
            n.path("s")
                    .forEach(s ->
                            result.add(new Showing(s.path(0).asText(), s.path(1).asText())));
            return result;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }
}
