package calicovale.rehearsal.judge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Owns what was found of one run: for each rule how often it was tried and broken, and the first breaks in words. */
public final class Verdict {
    /** The rules, by the names of the report. */
    public static final List<String> RULES = List.of(
            "no-session-lost", "no-setup-twice", "drains-kept", "cold-paced", "terms-kept", "attempts-rationed");
    /** Breaks told in words; all are counted. */
    private static final int MOST_TOLD = 20;

    private final Map<String, long[]> rules = new LinkedHashMap<>();
    private final List<String> breaks = new ArrayList<>();
    private final Map<String, Long> requests = new LinkedHashMap<>();
    private double asked;
    private double inTime;

    /** A verdict without findings. */
    public Verdict() {
        RULES.forEach(rule -> rules.put(rule, new long[2]));
        for (String name : List.of("taken", "played", "refused", "failed", "unanswered", "answeredTwice")) {
            requests.put(name, 0L);
        }
    }

    void checked(String rule) {
        rules.get(rule)[0]++;
    }

    void broken(String rule, double atMs, String how) {
        rules.get(rule)[1]++;
        if (breaks.size() < MOST_TOLD) {
            breaks.add(rule + " at " + Math.round(atMs) + " ms: " + how);
        }
    }

    void request(String name) {
        requests.merge(name, 1L, Long::sum);
    }

    void worth(double asks, double gets) {
        asked += asks;
        inTime += gets;
    }

    /** How often a rule was tried. */
    public long checkedOf(String rule) {
        return rules.get(rule)[0];
    }

    /** How often a rule was broken. */
    public long brokenOf(String rule) {
        return rules.get(rule)[1];
    }

    /** Whether no rule was broken. */
    public boolean kept() {
        return rules.values().stream().allMatch(r -> r[1] == 0);
    }

    /** The first breaks, in words. */
    public List<String> breaks() {
        return breaks;
    }

    /** Counts of requests by how they ended. */
    public Map<String, Long> requests() {
        return requests;
    }

    /** Worth of all wishes. */
    public double asked() {
        return asked;
    }

    /** Worth of the wishes that came to play in time. */
    public double inTime() {
        return inTime;
    }
}
