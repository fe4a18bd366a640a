package calicovale.gossip.claims;

/**
 * One kind of trouble that a member observed at one box.
 *
 * @param box number of the box
 * @param kind kind of the trouble
 * @param strength fraction of the member's attempts at the box that failed, above 0 and up to 1
 * @param ageMs time from the last such observation to the statement, in ms; a duration because the clocks of the
 *     members may differ
 * @param validityMs time for which the claim holds from the statement on, in ms
 */
public record Claim(long box, Kind kind, double strength, double ageMs, double validityMs) {

    /** Kind of trouble. The names are part of the status, and the order is part of the wire format. */
    public enum Kind {
        FAILED,
        TIMEOUT,
        RESET,
        SHORT
    }
}
