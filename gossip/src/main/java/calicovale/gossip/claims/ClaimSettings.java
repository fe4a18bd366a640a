package calicovale.gossip.claims;

/**
 * Settings of claims; all members of a group should use the same.
 *
 * @param maxClaimsPerStatement largest number of claims in one statement
 * @param maxMembers largest number of members whose statements are stored
 * @param claimValidityMs time for which a claim holds without being refreshed
 * @param refreshIntervalMs time after which a statement that still holds is sent again
 * @param maxClockSkewMs largest difference between a statement's version and the local clock; above 0 because clocks
 *     differ, and bounded because old statements may be replayed
 * @param statementsPerMessage number of statements in one message
 * @param outcomeWindowMs time for which an outcome at a box counts
 * @param minStrength fraction of the outcomes at a box that must be failures for a claim
 * @param shortDeliveryShare delivered share below which a delivery counts as a failure
 * @param minQuorum least number of members that must claim trouble at a box before there is evidence
 * @param quorumFraction the same as a fraction of the present members; the larger of the two counts
 * @param ownSuccessPriorityMs time for which this member's own successful set-up at a box overrides the claims of all
 *     other members
 * @param evaluationIntervalMs time between two evaluations of the claims
 */
public record ClaimSettings(
        int maxClaimsPerStatement,
        int maxMembers,
        double claimValidityMs,
        double refreshIntervalMs,
        double maxClockSkewMs,
        int statementsPerMessage,
        double outcomeWindowMs,
        double minStrength,
        double shortDeliveryShare,
        int minQuorum,
        double quorumFraction,
        double ownSuccessPriorityMs,
        double evaluationIntervalMs) {
    /** Settings for a local network. */
    public static final ClaimSettings LAN =
            new ClaimSettings(8, 1000, 8000, 2000, 30_000, 2, 8000, 0.3, 0.5, 2, 0.2, 4000, 250);

    /** Returns the number of members that must claim trouble at a box in a group of {@code presentMembers}. */
    public int quorum(int presentMembers) {
        return Math.max(minQuorum, (int) Math.ceil(quorumFraction * presentMembers));
    }
}
