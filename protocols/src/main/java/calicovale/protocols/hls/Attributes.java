package calicovale.protocols.hls;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** An attribute list (RFC 8216, 4.2): names with their values as written, including quotes, in order. */
public final class Attributes {
    private final Map<String, String> values = new LinkedHashMap<>();

    /**
     * Parses a list; {@code lineNumber}, from 1, is the line named in error messages.
     *
     * @throws HlsException if the list is malformed or has an attribute twice
     */
    public static Attributes parse(String text, int lineNumber) throws HlsException {
        Attributes result = new Attributes();
        int position = 0;
        while (position < text.length()) {
            int equalsSign = text.indexOf('=', position);
            if (equalsSign <= position) {
                throw new HlsException(lineNumber, "an attribute must have the form NAME=value");
            }
            String name = text.substring(position, equalsSign).strip();
            if (!name.matches("[A-Z0-9-]+")) {
                throw new HlsException(
                        lineNumber, "'" + name + "' is not an attribute name (A-Z, 0-9 and '-' are accepted)");
            }
            int end;
            if (equalsSign + 1 < text.length() && text.charAt(equalsSign + 1) == '"') {
                int closingQuote = text.indexOf('"', equalsSign + 2);
                if (closingQuote < 0) {
                    throw new HlsException(lineNumber, "the quoted value of " + name + " has no closing quote");
                }
                end = closingQuote + 1;
                if (end < text.length() && text.charAt(end) != ',') {
                    throw new HlsException(lineNumber, "a comma is expected after the value of " + name);
                }
            } else {
                int comma = text.indexOf(',', equalsSign);
                end = comma < 0 ? text.length() : comma;
            }
            if (result.values.put(name, text.substring(equalsSign + 1, end)) != null) {
                throw new HlsException(lineNumber, "attribute " + name + " occurs more than once");
            }
            position = end + 1;
        }
        return result;
    }

    /** Returns a value without its quotes, or null if the attribute is missing. */
    public String get(String name) {
        String value = values.get(name);
        return value != null && value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
    }

    /** Returns the names in order, as an unmodifiable view. */
    public Set<String> names() {
        return Collections.unmodifiableSet(values.keySet());
    }

    /** Returns an independent copy. */
    public Attributes copy() {
        Attributes result = new Attributes();
        result.values.putAll(values);
        return result;
    }

    /** Sets a value that is written without quotes, and returns this list. */
    public Attributes setUnquoted(String name, String value) {
        values.put(name, value);
        return this;
    }

    /**
     * Sets a value that is written in quotes, and returns this list.
     *
     * @throws IllegalArgumentException if the value contains a quote or a line break
     */
    public Attributes setQuoted(String name, String value) {
        if (value.indexOf('"') >= 0 || value.indexOf('\n') >= 0 || value.indexOf('\r') >= 0) {
            throw new IllegalArgumentException("a quoted value must not contain quotes or line breaks");
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
