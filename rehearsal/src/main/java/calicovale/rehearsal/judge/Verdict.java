package calicovale.rehearsal.judge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Result of judging one run: for each rule how often it was checked and broken, descriptions of the first violations,
 * the requests by outcome, and the worth requested and played.
 */
public final class Verdict {
    /** Names of the rules, as they stand in the report. */
    public static final List<String> RULES = List.of(
            "no-session-lost", "no-setup-twice", "drains-kept", "cold-paced", "terms-kept", "attempts-rationed");
    /** Largest number of violations that are described in words; further ones are only counted. */
    private static final int MAX_DESCRIBED_VIOLATIONS = 20;

    /** By rule name: the number of checks and the number of violations. */
    private final Map<String, long[]> checksAndViolationsByRule = new LinkedHashMap<>();

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> requestsByOutcome = new LinkedHashMap<>();
    private double requestedWorth;
    private double worthInTime;

    /** Creates a verdict without checks and violations. */
    public Verdict() {
        RULES.forEach(rule -> checksAndViolationsByRule.put(rule, new long[2]));
        for (String name : List.of("taken", "played", "refused", "failed", "unanswered", "answeredTwice")) {
            requestsByOutcome.put(name, 0L);
        }
    }

    /** Counts one check of a rule. */
    void recordCheck(String rule) {
        checksAndViolationsByRule.get(rule)[0]++;
    }

    /** Counts one violation of a rule; {@code atMs} is the time of the recording at which it was found, in ms. */
    void recordViolation(String rule, double atMs, String description) {
        checksAndViolationsByRule.get(rule)[1]++;
        if (violations.size() < MAX_DESCRIBED_VIOLATIONS) {
            violations.add(rule + " at " + Math.round(atMs) + " ms: " + description);
        }
    }

    /** Counts one request with this outcome. */
    void countRequest(String outcome) {
        requestsByOutcome.merge(outcome, 1L, Long::sum);
    }

    /** Adds the worth of one request, and the part of it that came to play in time. */
    void addWorth(double requested, double playedInTime) {
        requestedWorth += requested;
        worthInTime += playedInTime;
    }

    /** Returns how often a rule was checked. */
    public long checkCount(String rule) {
        return checksAndViolationsByRule.get(rule)[0];
    }

    /** Returns how often a rule was broken. */
    public long violationCount(String rule) {
        return checksAndViolationsByRule.get(rule)[1];
    }

    /** Returns whether no rule was broken. */
    public boolean allRulesKept() {
        return checksAndViolationsByRule.values().stream().allMatch(r -> r[1] == 0);
    }

    /** Returns descriptions of the first violations, in the order in which they were found. */
    public List<String> violations() {
        return violations;
    }

    /** Returns the numbers of requests by outcome. */
    public Map<String, Long> requestsByOutcome() {
        return requestsByOutcome;
    }

    /** Returns the worth of all requests of viewers. */
    public double requestedWorth() {
        return requestedWorth;
    }

    /** Returns the worth of the requests that came to play in time. */
    public double worthInTime() {
        return worthInTime;
    }
}
