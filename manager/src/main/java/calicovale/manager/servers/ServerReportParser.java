package calicovale.manager.servers;

import java.util.HashMap;
import java.util.Map;

/** Owns the reading of figures in servers' messages; what cannot be read is left out. */
final class ServerReportParser {
    private static final int MAX_VALUES = 16;

    private ServerReportParser() {}

    /** A finite number from 0; NaN: it is none. */
    static double nonNegativeNumber(String text) {
        try {
            double number = text == null ? Double.NaN : Double.parseDouble(text);
            return Double.isFinite(number) && number >= 0 ? number : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** A load report, as in {@code x0:12;x1:40}. */
    static Map<String, Double> loadReport(String text) {
        if (text == null || text.isEmpty()) {
            return Map.of();
        }
        Map<String, Double> result = new HashMap<>();
        for (String part : text.split(";", MAX_VALUES)) {
            int colon = part.indexOf(':');
            double value = colon < 1 ? Double.NaN : nonNegativeNumber(part.substring(colon + 1));
            if (!Double.isNaN(value)) {
                result.put(part.substring(0, colon), value);
            }
        }
        return result;
    }
}
