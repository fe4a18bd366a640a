package calicovale.protocols.hls;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Owns one attribute list (RFC 8216, 4.2): names with values as written, quotes included, in their order. */
public final class Attributes {
    private final Map<String, String> values = new LinkedHashMap<>();

    /** Reads a list. */
    public static Attributes parse(String text, int line) throws HlsException {
        Attributes result = new Attributes();
        int at = 0;
        while (at < text.length()) {
            int eq = text.indexOf('=', at);
            if (eq <= at) {
                throw new HlsException(line, "an attribute needs a name and '='");
            }
            String name = text.substring(at, eq).strip();
            if (!name.matches("[A-Z0-9-]+")) {
                throw new HlsException(line, "'" + name + "' is no attribute name");
            }
            int end;
            if (eq + 1 < text.length() && text.charAt(eq + 1) == '"') {
                int close = text.indexOf('"', eq + 2);
                if (close < 0) {
                    throw new HlsException(line, "a quoted value of " + name + " without its end");
                }
                end = close + 1;
                if (end < text.length() && text.charAt(end) != ',') {
                    throw new HlsException(line, "a comma is due after the value of " + name);
                }
            } else {
                int comma = text.indexOf(',', eq);
                end = comma < 0 ? text.length() : comma;
            }
            if (result.values.put(name, text.substring(eq + 1, end)) != null) {
                throw new HlsException(line, "attribute " + name + " twice");
            }
            at = end + 1;
        }
        return result;
    }

    /** A value without its quotes, or null. */
    public String get(String name) {
        String raw = values.get(name);
        return raw != null && raw.startsWith("\"") ? raw.substring(1, raw.length() - 1) : raw;
    }

    /** The names, in their order. */
    public Set<String> names() {
        return Collections.unmodifiableSet(values.keySet());
    }

    /** A list of its own with the same attributes. */
    public Attributes copy() {
        Attributes result = new Attributes();
        result.values.putAll(values);
        return result;
    }

    /** Sets a value that is written without quotes. */
    public Attributes set(String name, String value) {
        values.put(name, value);
        return this;
    }

    /** Sets a value that is written in quotes. */
    public Attributes quoted(String name, String value) {
        if (value.indexOf('"') >= 0 || value.indexOf('\n') >= 0 || value.indexOf('\r') >= 0) {
            throw new IllegalArgumentException("a quoted value can't hold quotes or line ends");
        }
        values.put(name, '"' + value + '"');
        return this;
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        values.forEach((name, value) ->
                out.append(out.length() > 0 ? "," : "").append(name).append('=').append(value));
        return out.toString();
    }
}
