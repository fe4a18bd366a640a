package calicovale.gossip.member;

/**
 * Settings of the membership protocol; all members of a group should use the same.
 *
 * @param probeIntervalMs time between two probes (SWIM's protocol period)
 * @param probeTimeoutMs time to wait for an ack before other members are asked to probe
 * @param indirectProbes number of members asked for an indirect probe
 * @param suspicionMultiplier the shortest suspicion timeout is this, times max(1, log10(present members)), times
 *     {@code probeIntervalMs}
 * @param maxSuspicionTimeoutMultiplier factor by which the timeout of a suspicion without independent confirmation is
 *     longer than the shortest
 * @param retransmitMultiplier the number of times that each member sends an update is this, times
 *     log10(present members + 1), rounded up
 * @param disseminationIntervalMs time between two sendings of updates that are not piggybacked on probes
 * @param disseminationFanout number of members that each of those sendings goes to
 * @param antiEntropyIntervalMs mean time between two anti-entropy rounds: a digest to a present member and the full
 *     state to one that is taken for dead
 * @param maxHealthMultiplier largest local health multiplier, that is, health score plus 1; with 1 a member never slows
 *     its own probes
 * @param buddySystem whether each ping to a suspected member carries the suspicion (Lifeguard's buddy system)
 * @param maxUpdatesPerMessage largest number of updates in one message other than a push-pull
 * @param maxMembers largest number of members known, and of indirect probes made for others at a time
 * @param maxFalseSuspicions number of refuted suspicions, raised by a member alone, at which its further suspicions
 *     need a second reporter
 * @param deadRetentionMs time for which a member that is dead or has left is remembered
 */
public record MemberSettings(
        double probeIntervalMs,
        double probeTimeoutMs,
        int indirectProbes,
        double suspicionMultiplier,
        double maxSuspicionTimeoutMultiplier,
        double retransmitMultiplier,
        double disseminationIntervalMs,
        int disseminationFanout,
        double antiEntropyIntervalMs,
        int maxHealthMultiplier,
        boolean buddySystem,
        int maxUpdatesPerMessage,
        int maxMembers,
        int maxFalseSuspicions,
        double deadRetentionMs) {
    /** Settings for a local network: those of memberlist, with its push-pull interval for anti-entropy. */
    public static final MemberSettings LAN =
            new MemberSettings(1000, 500, 3, 4, 6, 4, 200, 3, 30_000, 8, true, 8, 1000, 6, 3_600_000);

    /** Returns the same settings without Lifeguard's extensions, that is plain SWIM, for comparison. */
    public MemberSettings withoutLifeguard() {
        return new MemberSettings(
                probeIntervalMs,
                probeTimeoutMs,
                indirectProbes,
                suspicionMultiplier,
                1,
                retransmitMultiplier,
                disseminationIntervalMs,
                disseminationFanout,
                antiEntropyIntervalMs,
                1,
                false,
                maxUpdatesPerMessage,
                maxMembers,
                maxFalseSuspicions,
                deadRetentionMs);
    }
}
