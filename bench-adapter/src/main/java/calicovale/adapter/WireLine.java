package calicovale.adapter;

import calicovale.host.InvalidValueException;
import calicovale.host.KeyedValues;
import java.util.HashMap;
import java.util.Map;

/** One line of the bench's wire: a message name followed by key=value parts. Keys that are never read are ignored. */
final class WireLine extends KeyedValues {
    /** Name of the only message in which a key may occur more than once; the last value counts. */
    private static final String MESSAGE_WITH_REPEATABLE_KEYS = "NEW_INSTANCE";

    private final String rawLine;
    private final String messageName;

    private WireLine(String rawLine, String messageName, Map<String, String> values) {
        super(values);
        this.rawLine = rawLine;
        this.messageName = messageName;
    }

    /** Splits a line into its message name and parts. In NEW_INSTANCE, the settings are parts like all others. */
    static WireLine parse(String rawLine) throws InvalidWireLineException {
        int separator = rawLine.indexOf(' ');
        String messageName = separator < 0 ? rawLine : rawLine.substring(0, separator);
        Map<String, String> values = new HashMap<>();
        while (separator >= 0 && separator < rawLine.length()) {
            int partStart = separator + 1;
            int nextSpace = rawLine.indexOf(' ', partStart);
            int partEnd = nextSpace < 0 ? rawLine.length() : nextSpace;
            int equalsSign = rawLine.indexOf('=', partStart);
            if (partEnd > partStart) {
                if (equalsSign <= partStart || equalsSign >= partEnd) {
                    throw new InvalidWireLineException(
                            "'" + rawLine.substring(partStart, partEnd) + "' is not of the form name=value", rawLine);
                }
                String key = rawLine.substring(partStart, equalsSign);
                if (values.put(key, rawLine.substring(equalsSign + 1, partEnd)) != null
                        && !messageName.equals(MESSAGE_WITH_REPEATABLE_KEYS)) {
                    throw new InvalidWireLineException("'" + key + "' occurs more than once", rawLine);
                }
            }
            separator = nextSpace;
        }
        return new WireLine(rawLine, messageName, values);
    }

    String messageName() {
        return messageName;
    }

    String rawLine() {
        return rawLine;
    }

    @Override
    protected void reportFault(String message) throws InvalidValueException {
        throw new InvalidWireLineException(message, rawLine);
    }

    /** Returns a load report, name:value pairs separated by commas; empty if it is missing. */
    Map<String, Double> loadReport(String key) throws InvalidValueException {
        if (!has(key)) {
            return Map.of();
        }
        Map<String, Double> result = new HashMap<>();
        for (String pair : list(key)) {
            int colon = pair.indexOf(':');
            if (colon <= 0) {
                throw new InvalidWireLineException(
                        "'" + key + "' holds '" + pair + "', which is not of the form name:value", rawLine);
            }
            result.put(pair.substring(0, colon), parseNumber(key, pair.substring(colon + 1)));
        }
        return result;
    }
}
