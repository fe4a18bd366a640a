package calicovale.manager.servers;

import java.util.HashMap;
import java.util.Map;

/** Parses numbers and load reports in messages of video servers. Values that are not valid are left out. */
final class ServerReportParser {
    /** Upper bound of the parts into which a load report is split. */
    private static final int MAX_VALUES = 16;

    private ServerReportParser() {}

    /** Returns a finite number from 0, or NaN if {@code text} is null or not such a number. */
    static double nonNegativeNumber(String text) {
        try {
            double number = text == null ? Double.NaN : Double.parseDouble(text);
            return Double.isFinite(number) && number >= 0 ? number : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /**
     * Returns the valid values of a load report such as {@code x0:12;x1:40}, by name; empty if {@code text} is null.
     */
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
