package calicovale.gossip.claims;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Evaluates the statements of all members into evidence from 0 to 1 against each box. Evidence begins when a quorum of
 * members claims trouble at the box, and is kept until fewer than half of the quorum do. Toward the quorum of a box a
 * member counts with its weight, at most 1, however many statements it sends; the evidence that it contributes is
 * divided among the boxes that it has claims on. A recent success of this member at a box overrides all claims. A
 * member whose claims are contradicted by this member's observations loses weight, which it recovers over time.
 */
public final class ClaimEvaluator {
    /**
     * Factor by which a contradiction lowers a reporter's weight. After two contradictions each, three false reporters
     * among four members are below the quorum.
     */
    private static final double CONTRADICTION_FACTOR = 0.5;
    /**
     * Consecutive successful set-ups that contradict a claim. A single one does not, because it may be luck at a box
     * that fails half of its set-ups.
     */
    private static final int SUCCESSES_TO_CONTRADICT = 2;
    /**
     * Least time between two contradictions of one member's claims on one box, in ms. Without it one claim would be
     * counted against its reporter at each of many set-ups.
     */
    private static final double CONTRADICTION_INTERVAL_MS = 2000;
    /** Weight that a reporter recovers per second; the whole weight takes about a minute. */
    private static final double WEIGHT_RECOVERY_PER_S = 0.015;
    /**
     * Lower bound of a reporter's weight, so that a member that was wrong still counts when it is right together with
     * other members.
     */
    private static final double MIN_WEIGHT = 0.05;
    /**
     * Fraction of a claim's validity after which its part of the evidence fades, so that the members that rely on it
     * do not all return to the box at the same moment.
     */
    private static final double FADE_START_FRACTION = 0.5;
    /**
     * Fraction of the quorum that keeps existing evidence valid. Evidence reduces the attempts at the box and therefore
     * the new claims, which would end it at once if the full quorum were needed.
     */
    private static final double RETENTION_QUORUM_FRACTION = 0.5;
    /**
     * Time in ms in which evidence halves once its claims are gone. Members that failed together stop claiming
     * together, and if all came back to the box at once, all would fail together again.
     */
    private static final double EVIDENCE_HALF_LIFE_MS = 3000;
    /** Decayed evidence below this is dropped. */
    private static final double MIN_EVIDENCE = 0.05;

    private static final class OwnOutcomes {
        double lastSuccessMs = Double.NEGATIVE_INFINITY;
        double lastFailureMs = Double.NEGATIVE_INFINITY;
        int consecutiveSuccesses;
    }

    /** Weights and evidence of the valid claims on one box, each summed over the reporters. */
    private static final class BoxClaims {
        double weight;
        double evidence;
    }

    private static final class ReporterState {
        double weight = 1;
        double updatedMs;
        final Map<Long, Double> lastContradictionMs = new HashMap<>();
    }

    private final ClaimSettings settings;
    private final String self;
    private final int maxBoxes;
    private final Map<Long, OwnOutcomes> ownOutcomes = new LinkedHashMap<>();
    private final Map<String, ReporterState> reporterStates = new HashMap<>();
    /** Boxes whose claims have reached the quorum and not fallen below its retained fraction since. */
    private final Set<Long> boxesWithQuorum = new HashSet<>();

    private final Map<Long, Double> fadingEvidence = new TreeMap<>();
    private double lastDecayMs;
    private long contradictions;

    /**
     * Creates the evaluation of one member; {@code self} is its id, {@code maxBoxes} the largest number of boxes whose
     * outcomes at this member are remembered.
     */
    public ClaimEvaluator(ClaimSettings settings, String self, int maxBoxes) {
        this.settings = settings;
        this.self = self;
        this.maxBoxes = maxBoxes;
    }

    /** Returns the number of other members' claims that this member's observations contradicted. */
    public long contradictions() {
        return contradictions;
    }

    /** Returns the weight of a member's claims at this time, from 0 to 1. */
    public double reporterWeight(String member, double nowMs) {
        ReporterState state = reporterStates.get(member);
        return state == null ? 1 : recoveredWeight(state, nowMs);
    }

    private static double recoveredWeight(ReporterState state, double nowMs) {
        state.weight = Math.min(1, state.weight + WEIGHT_RECOVERY_PER_S * (nowMs - state.updatedMs) / 1000);
        state.updatedMs = nowMs;
        return state.weight;
    }

    /**
     * Records a set-up of this member that succeeded or failed; repeated success lowers the weight of the members that
     * claim trouble at the box.
     */
    public void recordOutcome(
            double nowMs, long box, boolean success, Collection<StatementStore.StoredStatement> statements) {
        if (!ownOutcomes.containsKey(box) && ownOutcomes.size() >= maxBoxes) {
            ownOutcomes.remove(ownOutcomes.keySet().iterator().next());
        }
        OwnOutcomes outcomes = ownOutcomes.computeIfAbsent(box, key -> new OwnOutcomes());
        if (!success) {
            outcomes.lastFailureMs = nowMs;
            outcomes.consecutiveSuccesses = 0;
            return;
        }
        outcomes.lastSuccessMs = nowMs;
        if (++outcomes.consecutiveSuccesses < SUCCESSES_TO_CONTRADICT) {
            return;
        }
        for (StatementStore.StoredStatement stored : statements) {
            String reporter = stored.statement().reporter();
            if (reporter.equals(self)) {
                continue;
            }
            for (Claim claim : stored.statement().claims()) {
                double ageMs = nowMs - stored.receivedMs();
                if (claim.box() == box && ageMs < claim.validityMs()) {
                    contradict(reporter, box, nowMs);
                }
            }
        }
    }

    /** Decays earlier evidence and merges it into {@code current}, the larger of the two for each box. */
    private void mergeFadingEvidence(double nowMs, Map<Long, Double> current) {
        double remainingFraction = Math.pow(0.5, (nowMs - lastDecayMs) / EVIDENCE_HALF_LIFE_MS);
        lastDecayMs = nowMs;
        fadingEvidence.replaceAll((box, strength) -> strength * remainingFraction);
        fadingEvidence.keySet().removeIf(box -> {
            OwnOutcomes outcomes = ownOutcomes.get(box);
            return fadingEvidence.get(box) < MIN_EVIDENCE
                    || outcomes != null
                            && outcomes.lastSuccessMs > outcomes.lastFailureMs
                            && nowMs - outcomes.lastSuccessMs < settings.ownSuccessPriorityMs();
        });
        current.forEach((box, strength) -> fadingEvidence.merge(box, strength, Math::max));
        current.putAll(fadingEvidence);
    }

    private void contradict(String reporter, long box, double nowMs) {
        if (!reporterStates.containsKey(reporter) && reporterStates.size() >= settings.maxMembers()) {
            return;
        }
        ReporterState state = reporterStates.computeIfAbsent(reporter, key -> new ReporterState());
        if (nowMs - state.lastContradictionMs.getOrDefault(box, Double.NEGATIVE_INFINITY) < CONTRADICTION_INTERVAL_MS) {
            return;
        }
        state.lastContradictionMs.values().removeIf(at -> nowMs - at >= CONTRADICTION_INTERVAL_MS);
        state.lastContradictionMs.put(box, nowMs);
        state.weight = Math.max(MIN_WEIGHT, recoveredWeight(state, nowMs) * CONTRADICTION_FACTOR);
        contradictions++;
    }

    /** Returns the evidence against each box for which there is any, in a group of {@code presentMembers}. */
    public Map<Long, Double> evidence(
            double nowMs, int presentMembers, Collection<StatementStore.StoredStatement> statements) {
        Map<Long, BoxClaims> claimsByBox = new TreeMap<>();
        for (StatementStore.StoredStatement stored : statements) {
            String reporter = stored.statement().reporter();
            double ageMs = nowMs - stored.receivedMs();
            double weight = reporter.equals(self) ? 1 : reporterWeight(reporter, nowMs);
            long validClaims = stored.statement().claims().stream()
                    .filter(claim -> ageMs < claim.validityMs())
                    .count();
            for (Claim claim : stored.statement().claims()) {
                if (ageMs >= claim.validityMs()) {
                    continue;
                }
                double freshness =
                        Math.min(1, (claim.validityMs() - ageMs) / ((1 - FADE_START_FRACTION) * claim.validityMs()));
                BoxClaims boxClaims = claimsByBox.computeIfAbsent(claim.box(), key -> new BoxClaims());
                boxClaims.weight += weight;
                boxClaims.evidence += weight * claim.strength() * freshness / validClaims;
            }
        }
        int quorum = settings.quorum(presentMembers);
        boxesWithQuorum.retainAll(claimsByBox.keySet());
        Map<Long, Double> result = new TreeMap<>();
        claimsByBox.forEach((box, boxClaims) -> {
            OwnOutcomes outcomes = ownOutcomes.get(box);
            boolean recentlyWorked = outcomes != null
                    && outcomes.lastSuccessMs > outcomes.lastFailureMs
                    && nowMs - outcomes.lastSuccessMs < settings.ownSuccessPriorityMs();
            if (boxClaims.weight
                    < (boxesWithQuorum.contains(box) ? RETENTION_QUORUM_FRACTION * quorum : quorum) - 1e-9) {
                boxesWithQuorum.remove(box);
                return;
            }
            boxesWithQuorum.add(box);
            if (!recentlyWorked) {
                result.put(box, Math.min(1, boxClaims.evidence / quorum));
            }
        });
        mergeFadingEvidence(nowMs, result);
        return result;
    }
}
