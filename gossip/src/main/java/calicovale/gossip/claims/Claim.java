package calicovale.gossip.claims;

/**
 * What one member saw at one box.
 *
 * @param box number of the box
 * @param kind what it saw
 * @param strength part of its attempts there that went so, above 0 up to 1
 * @param ageMs how long before the statement it was last seen; clocks of members may differ, so no time is told
 * @param lastsMs from the statement on for which it holds
 */
public record Claim(long box, Kind kind, double strength, double ageMs, double lastsMs) {

    /** What can go wrong at a box. */
    public enum Kind {
        FAILED,
        TIMEOUT,
        RESET,
        SHORT
    }
}
