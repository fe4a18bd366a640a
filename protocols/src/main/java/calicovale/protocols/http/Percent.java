package calicovale.protocols.http;

import java.nio.charset.StandardCharsets;

/** Owns percent-encoding of URI parts (RFC 3986, 2.1). */
public final class Percent {
    private static final String PLAIN = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

    private Percent() {}

    /** Decodes; a malformed escape is kept as it stands, so that nothing is made up. */
    public static String decode(String text) {
        if (text.indexOf('%') < 0) {
            return text;
        }
        byte[] out = new byte[text.length()];
        int count = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            int high = c == '%' && i + 2 < text.length() ? Character.digit(text.charAt(i + 1), 16) : -1;
            int low = high >= 0 ? Character.digit(text.charAt(i + 2), 16) : -1;
            if (low >= 0) {
                out[count++] = (byte) (high << 4 | low);
                i += 2;
            } else {
                out[count++] = (byte) c;
            }
        }
        return new String(out, 0, count, StandardCharsets.UTF_8);
    }

    /** Encodes all but unreserved characters. */
    public static String encode(String text) {
        StringBuilder out = new StringBuilder(text.length());
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            if (PLAIN.indexOf(b) >= 0) {
                out.append((char) b);
            } else {
                out.append('%')
                        .append(Character.toUpperCase(Character.forDigit(b >> 4 & 15, 16)))
                        .append(Character.toUpperCase(Character.forDigit(b & 15, 16)));
            }
        }
        return out.toString();
    }
}
