package calicovale.gossip.claims;

/**
 * The figures of claims; all members should have the same.
 *
 * @param claimsMost claims in one statement
 * @param membersMost members whose statements are held
 * @param lastsMs for which a claim holds without being said again
 * @param refreshMs after which a statement that still holds is said again
 * @param windowMs by which a statement's number may differ from the clock here: clocks differ, and old ones are replayed
 * @param perMessage statements that one message carries
 * @param seenMs for which outcomes at a box count
 * @param leastStrength part of the outcomes that must be bad for a claim
 * @param shortShare share delivered below which a delivery is a symptom
 * @param quorumLeast members that must say so before anything is believed
 * @param quorumPart the same as a part of the members present; the larger counts
 * @param ownMs for which a set-up that worked here outranks whatever others say
 * @param believedMs between two looks at what is to be believed
 */
public record ClaimSettings(
        int claimsMost,
        int membersMost,
        double lastsMs,
        double refreshMs,
        double windowMs,
        int perMessage,
        double seenMs,
        double leastStrength,
        double shortShare,
        int quorumLeast,
        double quorumPart,
        double ownMs,
        double believedMs) {
    /** Figures for a local network. */
    public static final ClaimSettings LAN =
            new ClaimSettings(8, 1000, 8000, 2000, 30_000, 2, 8000, 0.3, 0.5, 2, 0.2, 4000, 250);

    /** Members that must say so in a group of so many. */
    public int quorum(int present) {
        return Math.max(quorumLeast, (int) Math.ceil(quorumPart * present));
    }
}
