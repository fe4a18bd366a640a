package calicovale.front.box;

import calicovale.protocols.http.HttpHead;
import java.util.HashMap;
import java.util.Map;

/** Owns the reading of a box's load from its answers: ORCA's {@code endpoint-load-metrics} header in its TEXT form. */
public final class LoadReport {
    private static final String NAMED = "named_metrics.";

    private LoadReport() {}

    /** Named metrics of an answer; empty where there are none. What is malformed is left out. */
    public static Map<String, Double> of(HttpHead head) {
        String value = head == null ? null : head.headers().get("endpoint-load-metrics");
        return value == null ? Map.of() : parse(value);
    }

    /** Reads a header's value. */
    public static Map<String, Double> parse(String value) {
        if (!value.regionMatches(true, 0, "TEXT", 0, 4)) {
            return Map.of();
        }
        Map<String, Double> result = new HashMap<>();
        for (String part : value.substring(4).split(",")) {
            int eq = part.indexOf('=');
            String name = eq < 0 ? "" : part.substring(0, eq).trim();
            if (name.startsWith(NAMED)) {
                try {
                    double number = Double.parseDouble(part.substring(eq + 1).trim());
                    if (Double.isFinite(number) && number >= 0) {
                        result.put(name.substring(NAMED.length()), number);
                    }
                } catch (NumberFormatException e) {
                    continue;
                }
            }
        }
        return result;
    }
}
