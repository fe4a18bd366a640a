package calicovale.front.box;

import calicovale.protocols.http.HttpHead;
import java.util.HashMap;
import java.util.Map;

/**
 * Parses the load that a box reports in its responses: ORCA's {@code endpoint-load-metrics} header in the TEXT format.
 */
public final class LoadReport {
    private static final String METRIC_NAME_PREFIX = "named_metrics.";

    private LoadReport() {}

    /** Returns the named metrics in a response's head, by name; empty if there are none. {@code head} may be null. */
    public static Map<String, Double> of(HttpHead head) {
        String value = head == null ? null : head.headers().get("endpoint-load-metrics");
        return value == null ? Map.of() : parse(value);
    }

    /**
     * Returns the named metrics in a header's value, by name. Malformed, negative and infinite metrics are ignored,
     * and so is a value in another format than TEXT.
     */
    public static Map<String, Double> parse(String value) {
        if (!value.regionMatches(true, 0, "TEXT", 0, 4)) {
            return Map.of();
        }
        Map<String, Double> result = new HashMap<>();
        for (String part : value.substring(4).split(",")) {
            int equalsAt = part.indexOf('=');
            String name = equalsAt < 0 ? "" : part.substring(0, equalsAt).trim();
            if (name.startsWith(METRIC_NAME_PREFIX)) {
                try {
                    double number =
                            Double.parseDouble(part.substring(equalsAt + 1).trim());
                    if (Double.isFinite(number) && number >= 0) {
                        result.put(name.substring(METRIC_NAME_PREFIX.length()), number);
                    }
                } catch (NumberFormatException e) {
                    continue;
                }
            }
        }
        return result;
    }
}
