package calicovale.protocols.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parser of Common Media Client Data (CTA-5004) in a request: its four headers and the query parameter {@code CMCD}.
 * Malformed data is skipped, because it must never make a request fail.
 */
public final class Cmcd {
    private static final String[] HEADERS = {"CMCD-Request", "CMCD-Object", "CMCD-Status", "CMCD-Session"};
    /** Maximum number of characters parsed of one header or parameter. */
    private static final int MAX_FIELD_CHARACTERS = 2000;

    private Cmcd() {}

    /**
     * Returns all keys with their values. Strings are returned without quotes; a key without a value has the value
     * {@code true}.
     */
    public static Map<String, String> of(HttpHead head) {
        Map<String, String> result = new LinkedHashMap<>();
        String query = head.queryParameter("CMCD");
        if (query != null) {
            readPairs(query, result);
        }
        for (String name : HEADERS) {
            String value = head.headers().get(name);
            if (value != null) {
                readPairs(value, result);
            }
        }
        return result;
    }

    private static void readPairs(String text, Map<String, String> result) {
        int start = 0;
        int end = Math.min(text.length(), MAX_FIELD_CHARACTERS);
        while (start < end) {
            int stop = start;
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
            addPair(text.substring(start, stop).strip(), quoted, result);
            start = stop + 1;
        }
    }

    private static void addPair(String pair, boolean unterminatedQuote, Map<String, String> result) {
        int equalsSign = pair.indexOf('=');
        String key = equalsSign < 0 ? pair : pair.substring(0, equalsSign);
        if (unterminatedQuote || !key.matches("[a-z][A-Za-z0-9.-]{0,63}")) {
            return;
        }
        String value = equalsSign < 0 ? "true" : pair.substring(equalsSign + 1);
        if (value.startsWith("\"")) {
            if (value.length() < 2 || !value.endsWith("\"")) {
                return;
            }
            value = value.substring(1, value.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
        }
        result.put(key, value);
    }
}
