package calicovale.host;

import java.util.Map;

/**
 * Typed access to text values by key. Keys that are never read are ignored. An invalid value is reported to
 * {@link #reportFault(String)}, which throws unless a subclass collects the messages.
 */
public class KeyedValues {
    private final Map<String, String> values;

    /** Reads from {@code values}, which is not copied. */
    public KeyedValues(Map<String, String> values) {
        this.values = values;
    }

    /** Reports an invalid value. If this returns normally, the value is read as empty, false or 0. */
    protected void reportFault(String message) throws InvalidValueException {
        throw new InvalidValueException(message);
    }

    /** Returns whether the key has a value that is not empty. */
    public boolean has(String key) {
        String value = values.get(key);
        return value != null && !value.isEmpty();
    }

    /** Returns a required text; empty after a reported fault. */
    public String text(String key) throws InvalidValueException {
        if (!has(key)) {
            reportFault("'" + key + "' is missing");
        }
        return values.getOrDefault(key, "");
    }

    /** Returns a text, or {@code defaultValue} if it is missing. */
    public String text(String key, String defaultValue) {
        return has(key) ? values.get(key) : defaultValue;
    }

    /** Returns a required finite number. */
    public double number(String key) throws InvalidValueException {
        String value = text(key);
        return value.isEmpty() ? 0 : parseNumber(key, value);
    }

    /** Returns a finite number, or {@code defaultValue} if it is missing. */
    public double number(String key, double defaultValue) throws InvalidValueException {
        return has(key) ? parseNumber(key, values.get(key)) : defaultValue;
    }

    /** Returns a required whole number from 0. */
    public int nonNegativeInt(String key) throws InvalidValueException {
        return toNonNegativeInt(key, number(key));
    }

    /** Returns a whole number from 0, or {@code defaultValue} if it is missing. */
    public int nonNegativeInt(String key, int defaultValue) throws InvalidValueException {
        return has(key) ? toNonNegativeInt(key, number(key)) : defaultValue;
    }

    /** Returns a required whole number from 0 that may exceed the range of an int. */
    public long nonNegativeLong(String key) throws InvalidValueException {
        String value = text(key);
        if (value.isEmpty()) {
            return 0;
        }
        try {
            long parsed = Long.parseLong(value);
            if (parsed >= 0) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        reportFault("'" + key + "' must be a whole number from 0 to 9223372036854775807, not '" + value + "'");
        return 0;
    }

    /** Returns whether a flag is set: 1 or true; a missing value means false. */
    public boolean flag(String key) throws InvalidValueException {
        String value = values.get(key);
        if (value == null || value.isEmpty() || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        reportFault("'" + key + "' must be 1, true, 0 or false, not '" + value + "'");
        return false;
    }

    /** Returns a list of texts separated by commas; empty if it is missing. */
    public String[] list(String key) {
        return has(key) ? values.get(key).split(",") : new String[0];
    }

    /** Returns a list of finite numbers separated by commas; empty if it is missing. */
    public double[] numbers(String key) throws InvalidValueException {
        String[] parts = list(key);
        double[] result = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            result[i] = parseNumber(key, parts[i]);
        }
        return result;
    }

    /** Parses a finite number; {@code key} names it in the message. */
    protected final double parseNumber(String key, String value) throws InvalidValueException {
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        reportFault("'" + key + "' must be a finite number, not '" + value + "'");
        return 0;
    }

    private int toNonNegativeInt(String key, double value) throws InvalidValueException {
        if (value != Math.rint(value) || value < 0 || value > Integer.MAX_VALUE) {
            reportFault("'" + key + "' must be a whole number from 0 to 2147483647, not '" + values.get(key) + "'");
            return 0;
        }
        return (int) value;
    }
}
