package calicovale.protocols.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Owns the reading of Common Media Client Data (CTA-5004) from a request: its four headers, or the query argument
 * {@code CMCD}. What is malformed is left out, since players' data must never fail a request.
 */
public final class Cmcd {
    private static final String[] HEADERS = {"CMCD-Request", "CMCD-Object", "CMCD-Status", "CMCD-Session"};
    /** Most characters that are read of one field. */
    private static final int MOST = 2000;

    private Cmcd() {}

    /** All keys with their values; strings without quotes, a key without a value as {@code true}. */
    public static Map<String, String> of(HttpHead head) {
        Map<String, String> result = new LinkedHashMap<>();
        String query = head.query("CMCD");
        if (query != null) {
            read(query, result);
        }
        for (String name : HEADERS) {
            String value = head.headers().get(name);
            if (value != null) {
                read(value, result);
            }
        }
        return result;
    }

    private static void read(String text, Map<String, String> into) {
        int at = 0;
        int end = Math.min(text.length(), MOST);
        while (at < end) {
            int stop = at;
            boolean quoted = false;
            while (stop < end && (quoted || text.charAt(stop) != ',')) {
                if (text.charAt(stop) == '\\' && quoted) {
                    stop++;
                } else if (text.charAt(stop) == '"') {
                    quoted = !quoted;
                }
                stop++;
            }
            stop = Math.min(stop, end);
            pair(text.substring(at, stop).strip(), quoted, into);
            at = stop + 1;
        }
    }

    private static void pair(String pair, boolean open, Map<String, String> into) {
        int eq = pair.indexOf('=');
        String key = eq < 0 ? pair : pair.substring(0, eq);
        if (open || !key.matches("[a-z][A-Za-z0-9.-]{0,63}")) {
            return;
        }
        String value = eq < 0 ? "true" : pair.substring(eq + 1);
        if (value.startsWith("\"")) {
            if (value.length() < 2 || !value.endsWith("\"")) {
                return;
            }
            value = value.substring(1, value.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
        }
        into.put(key, value);
    }
}
