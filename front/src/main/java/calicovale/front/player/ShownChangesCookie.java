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
 * Writes and reads the cookie (RFC 6265) that tells another manager which programme changes a viewer was shown, because
 * managers share no state. It is signed (HMAC-SHA-256) with a key from the settings and valid for one viewer only. A
 * cookie that is forged, of another viewer or malformed is ignored.
 */
final class ShownChangesCookie {
    private static final String NAME = "calicovale-shown";
    /**
     * Upper bound of the value of an accepted cookie, in characters; browsers keep at least 4096 bytes (RFC 6265, 6.1).
     */
    private static final int MAX_COOKIE_CHARS = 4096;
    /** Number of showings that a cookie keeps at most, the last ones; 12 with the longest names take about 3 kB. */
    private static final int MAX_SHOWINGS = 12;

    /** Lifetime of the cookie, in seconds. */
    private static final int MAX_AGE_S = 86_400;

    private final SecretKeySpec key;

    /** Creates the cookie's writer and reader; {@code key} has at least 16 bytes. */
    ShownChangesCookie(byte[] key) {
        this.key = new SecretKeySpec(key, "HmacSHA256");
    }

    /** Returns the signature of a text, in base64url without padding. */
    private String sign(String text) {
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

    /** Returns the value of the Set-Cookie header for the showings of a viewer. */
    String toSetCookie(String viewer, Collection<Showing> showings) {
        ObjectNode root = Documents.MAPPER.createObjectNode().put("v", viewer);
        ArrayNode list = root.putArray("s");
        showings.stream()
                .skip(Math.max(0, showings.size() - MAX_SHOWINGS))
                .forEach(s -> list.addArray().add(s.changeId()).add(s.key()));
        String text = Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(root.toString().getBytes(StandardCharsets.UTF_8));
        return NAME + "=" + text + "." + sign(text) + "; Path=/; Max-Age=" + MAX_AGE_S + "; HttpOnly; SameSite=Lax";
    }

    /**
     * Returns the showings in a viewer's cookies, empty without a cookie of this name; null if that cookie is invalid.
     */
    List<Showing> read(String viewer, List<String> cookieHeaders) {
        for (String header : cookieHeaders) {
            for (String part : header.split(";")) {
                String pair = part.trim();
                if (pair.startsWith(NAME + "=")) {
                    return parseValue(viewer, pair.substring(NAME.length() + 1));
                }
            }
        }
        return List.of();
    }

    private List<Showing> parseValue(String viewer, String value) {
        int dot = value.indexOf('.');
        if (dot < 0 || value.length() > MAX_COOKIE_CHARS) {
            return null;
        }
        String text = value.substring(0, dot);
        if (!MessageDigest.isEqual(
                sign(text).getBytes(StandardCharsets.US_ASCII),
                value.substring(dot + 1).getBytes(StandardCharsets.ISO_8859_1))) {
            return null;
        }
        try {
            JsonNode root = Documents.MAPPER.readTree(Base64.getUrlDecoder().decode(text));
            if (!root.path("v").asText().equals(viewer)) {
                return null;
            }
            List<Showing> result = new ArrayList<>();
            root.path("s")
                    .forEach(s ->
                            result.add(new Showing(s.path(0).asText(), s.path(1).asText())));
            return result;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }
}
