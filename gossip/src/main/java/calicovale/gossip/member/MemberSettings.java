package calicovale.gossip.member;

/**
 * The figures of a group; all members should have the same.
 *
 * @param probeMs between two probes (SWIM's protocol period)
 * @param timeoutMs for an answer to a probe, before others are asked to probe
 * @param indirect members asked to probe in one's place
 * @param suspicionMult a suspicion lasts at least this times log10 of the members times {@code probeMs}
 * @param suspicionMaxMult without independent confirmation it lasts so many times longer
 * @param retransmitMult an update is sent this times log10 of the members, by each member
 * @param newsMs between two sendings of news alone
 * @param newsTo members that each of them goes to
 * @param exchangeMs between two exchanges of all that is known; also with one that is taken for dead
 * @param healthMost bound of the local health score; 1: the member never slows itself
 * @param buddy a suspected member is told so with each probe of it
 * @param updatesMost updates that one message carries
 * @param membersMost members known
 * @param falseAlarmsMost suspicions that one member raised alone and that were refuted, after which it needs a second voice
 * @param deadKeptMs for which a member that is dead or has left is remembered
 */
public record MemberSettings(
        double probeMs,
        double timeoutMs,
        int indirect,
        double suspicionMult,
        double suspicionMaxMult,
        double retransmitMult,
        double newsMs,
        int newsTo,
        double exchangeMs,
        int healthMost,
        boolean buddy,
        int updatesMost,
        int membersMost,
        int falseAlarmsMost,
        double deadKeptMs) {
    /** Figures for a local network: those of memberlist, exchanges included. */
    public static final MemberSettings LAN =
            new MemberSettings(1000, 500, 3, 4, 6, 4, 200, 3, 30_000, 8, true, 8, 1000, 6, 3_600_000);

    /** The same group without Lifeguard's parts: SWIM alone, for comparison. */
    public MemberSettings withoutLifeguard() {
        return new MemberSettings(
                probeMs,
                timeoutMs,
                indirect,
                suspicionMult,
                1,
                retransmitMult,
                newsMs,
                newsTo,
                exchangeMs,
                1,
                false,
                updatesMost,
                membersMost,
                falseAlarmsMost,
                deadKeptMs);
    }
}
