package calicovale.host;

import java.util.Map;

/** Values by name, as text; what is unknown is never asked for. A fault is thrown, unless a subclass collects them. */
public class Values {
    private final Map<String, String> values;

    /** Reads from {@code values}, which stays the caller's. */
    public Values(Map<String, String> values) {
        this.values = values;
    }

    /** Hears of a fault; where this returns, the value counts as absent or 0. */
    protected void fault(String what) throws BadValueException {
        throw new BadValueException(what);
    }

    /** Whether there is a value. */
    public boolean has(String key) {
        String value = values.get(key);
        return value != null && !value.isEmpty();
    }

    /** A text that must be there. */
    public String text(String key) throws BadValueException {
        if (!has(key)) {
            fault("'" + key + "' is missing");
        }
        return values.getOrDefault(key, "");
    }

    /** A text. */
    public String text(String key, String absent) {
        return has(key) ? values.get(key) : absent;
    }

    /** A finite number that must be there. */
    public double number(String key) throws BadValueException {
        String value = text(key);
        return value.isEmpty() ? 0 : toNumber(key, value);
    }

    /** A finite number. */
    public double number(String key, double absent) throws BadValueException {
        return has(key) ? toNumber(key, values.get(key)) : absent;
    }

    /** A whole number from 0 that must be there. */
    public int integer(String key) throws BadValueException {
        return toInt(key, number(key));
    }

    /** A whole number from 0. */
    public int integer(String key, int absent) throws BadValueException {
        return has(key) ? toInt(key, number(key)) : absent;
    }

    /** A whole number from 0 that must be there, as long. */
    public long whole(String key) throws BadValueException {
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
            // told below
        }
        fault("'" + key + "' must be a whole number from 0, not '" + value + "'");
        return 0;
    }

    /** Whether a flag is set; absent means no. */
    public boolean flag(String key) throws BadValueException {
        String value = values.get(key);
        if (value == null || value.isEmpty() || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        fault("'" + key + "' must be 1 or 0, not '" + value + "'");
        return false;
    }

    /** A list of texts, set apart by commas. */
    public String[] list(String key) {
        return has(key) ? values.get(key).split(",") : new String[0];
    }

    /** A list of numbers. */
    public double[] numbers(String key) throws BadValueException {
        String[] parts = list(key);
        double[] result = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            result[i] = toNumber(key, parts[i]);
        }
        return result;
    }

    /** Reads one number of a value. */
    protected final double toNumber(String key, String value) throws BadValueException {
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        fault("'" + key + "' must be a number, not '" + value + "'");
        return 0;
    }

    private int toInt(String key, double value) throws BadValueException {
        if (value != Math.rint(value) || value < 0 || value > Integer.MAX_VALUE) {
            fault("'" + key + "' must be a whole number from 0, not '" + values.get(key) + "'");
            return 0;
        }
        return (int) value;
    }
}
