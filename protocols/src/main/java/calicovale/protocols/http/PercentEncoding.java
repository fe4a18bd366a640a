package calicovale.protocols.http;

import java.nio.charset.StandardCharsets;

/** Percent-encoding of URI parts (RFC 3986, 2.1). */
public final class PercentEncoding {
    private static final String UNRESERVED = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

    private PercentEncoding() {}

    /** Decodes percent-encoded UTF-8. Malformed escapes are kept unchanged, because there is no right decoding. */
    public static String decode(String text) {
        if (text.indexOf('%') < 0) {
            return text;
        }
        byte[] decoded = new byte[text.length()];
        int count = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            int high = c == '%' && i + 2 < text.length() ? Character.digit(text.charAt(i + 1), 16) : -1;
            int low = high >= 0 ? Character.digit(text.charAt(i + 2), 16) : -1;
            if (low >= 0) {
                decoded[count++] = (byte) (high << 4 | low);
                i += 2;
            } else {
                decoded[count++] = (byte) c;
            }
        }
        return new String(decoded, 0, count, StandardCharsets.UTF_8);
    }

    /** Encodes all characters other than the unreserved ones, as UTF-8. */
    public static String encode(String text) {
        StringBuilder encoded = new StringBuilder(text.length());
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            if (UNRESERVED.indexOf(b) >= 0) {
                encoded.append((char) b);
            } else {
                encoded.append('%')
                        .append(Character.toUpperCase(Character.forDigit(b >> 4 & 15, 16)))
                        .append(Character.toUpperCase(Character.forDigit(b & 15, 16)));
            }
        }
        return encoded.toString();
    }
}
