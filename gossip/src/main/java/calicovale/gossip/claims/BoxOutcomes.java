package calicovale.gossip.claims;

import calicovale.gossip.claims.Claim.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent outcomes that this member observed at boxes, from which it makes its claims. All times are in ms of one
 * monotonic clock.
 */
public final class BoxOutcomes {
    /** Number of outcomes kept for each box, enough for a strength in steps of a few per cent. */
    private static final int MAX_OUTCOMES_PER_BOX = 64;

    private record Outcome(double atMs, Kind kind) {}

    private final ClaimSettings settings;
    private final int maxBoxes;
    private final Map<Long, ArrayDeque<Outcome>> boxes = new LinkedHashMap<>();
    private long rejectedOverBound;

    /** Creates an empty record of at most {@code maxBoxes} boxes at a time. */
    public BoxOutcomes(ClaimSettings settings, int maxBoxes) {
        this.settings = settings;
        this.maxBoxes = maxBoxes;
    }

    /** Records an outcome; {@code kind} is null for a success. */
    public void recordOutcome(double nowMs, long box, Kind kind) {
        ArrayDeque<Outcome> outcomes = boxes.get(box);
        if (outcomes == null) {
            if (boxes.size() >= maxBoxes) {
                rejectedOverBound++;
                return;
            }
            outcomes = new ArrayDeque<>();
            boxes.put(box, outcomes);
        }
        if (outcomes.size() >= MAX_OUTCOMES_PER_BOX) {
            outcomes.removeFirst();
        }
        outcomes.addLast(new Outcome(nowMs, kind));
    }

    /** Returns the number of outcomes not recorded because {@code maxBoxes} boxes are recorded already. */
    public long rejectedOverBound() {
        return rejectedOverBound;
    }

    /** Returns the claims that hold now, the strongest first. */
    public List<Claim> claims(double nowMs) {
        List<Claim> result = new ArrayList<>();
        for (Iterator<Map.Entry<Long, ArrayDeque<Outcome>>> iterator =
                        boxes.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<Long, ArrayDeque<Outcome>> entry = iterator.next();
            ArrayDeque<Outcome> outcomes = entry.getValue();
            while (!outcomes.isEmpty() && nowMs - outcomes.peekFirst().atMs() > settings.outcomeWindowMs()) {
                outcomes.removeFirst();
            }
            if (outcomes.isEmpty()) {
                iterator.remove();
                continue;
            }
            Claim claim = claim(nowMs, entry.getKey(), outcomes);
            if (claim != null) {
                result.add(claim);
            }
        }
        result.sort(
                Comparator.comparingDouble((Claim claim) -> -claim.strength()).thenComparingLong(Claim::box));
        return List.copyOf(result.subList(0, Math.min(settings.maxClaimsPerStatement(), result.size())));
    }

    private Claim claim(double nowMs, long box, ArrayDeque<Outcome> outcomes) {
        int[] countByKind = new int[Kind.values().length];
        int failures = 0;
        Outcome lastFailure = null;
        for (Outcome outcome : outcomes) {
            if (outcome.kind() != null) {
                countByKind[outcome.kind().ordinal()]++;
                failures++;
                lastFailure = outcome;
            }
        }
        double strength = failures / (double) outcomes.size();
        // No claim is made on a box that has worked since its last failure.
        if (lastFailure == null
                || strength < settings.minStrength()
                || outcomes.peekLast().kind() == null) {
            return null;
        }
        int mostFrequent = 0;
        for (int kind = 1; kind < countByKind.length; kind++) {
            mostFrequent = countByKind[kind] > countByKind[mostFrequent] ? kind : mostFrequent;
        }
        return new Claim(
                box, Kind.values()[mostFrequent], strength, nowMs - lastFailure.atMs(), settings.claimValidityMs());
    }
}
