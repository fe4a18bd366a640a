package calicovale.adapter;

import calicovale.host.BadValueException;
import calicovale.host.Values;
import java.util.HashMap;
import java.util.Map;

/** One line of the wire: a message name and name=value parts. Unknown parts are simply never asked for. */
final class Fields extends Values {
    /** Names whose text runs to the end of the line. */
    private static final String SETTINGS = "NEW_INSTANCE";

    private final String line;
    private final String name;

    private Fields(String line, String name, Map<String, String> values) {
        super(values);
        this.line = line;
        this.name = name;
    }

    /** Splits a line; settings stand in NEW_INSTANCE without a name of their own and are read alike. */
    static Fields parse(String line) throws WireException {
        int at = line.indexOf(' ');
        String name = at < 0 ? line : line.substring(0, at);
        Map<String, String> values = new HashMap<>();
        while (at >= 0 && at < line.length()) {
            int from = at + 1;
            int end = line.indexOf(' ', from);
            int stop = end < 0 ? line.length() : end;
            int equals = line.indexOf('=', from);
            if (stop > from) {
                if (equals <= from || equals >= stop) {
                    throw new WireException("'" + line.substring(from, stop) + "' is not name=value", line);
                }
                String key = line.substring(from, equals);
                if (values.put(key, line.substring(equals + 1, stop)) != null && !name.equals(SETTINGS)) {
                    throw new WireException("'" + key + "' stands twice", line);
                }
            }
            at = end;
        }
        return new Fields(line, name, values);
    }

    String name() {
        return name;
    }

    String line() {
        return line;
    }

    @Override
    protected void fault(String what) throws BadValueException {
        throw new WireException(what, line);
    }

    /** A load report: name:value pairs set apart by commas. */
    Map<String, Double> load(String key) throws BadValueException {
        if (!has(key)) {
            return Map.of();
        }
        Map<String, Double> result = new HashMap<>();
        for (String pair : list(key)) {
            int colon = pair.indexOf(':');
            if (colon <= 0) {
                throw new WireException("'" + key + "' holds '" + pair + "', which is not name:value", line);
            }
            result.put(pair.substring(0, colon), toNumber(key, pair.substring(colon + 1)));
        }
        return result;
    }
}
