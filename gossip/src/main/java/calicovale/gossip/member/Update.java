package calicovale.gossip.member;

/**
 * What one member reports about a member. Because updates are relayed by others, each carries a proof that
 * {@code reporter} made it; otherwise a single member could report in the name of all.
 *
 * @param memberId id of the member that the update is about
 * @param address address at which that member is reached; empty in a suspicion
 * @param incarnation incarnation of that member, raised only by itself; a higher one refutes suspicions at lower ones
 * @param state the reported state; {@link State#DEAD} is each member's own conclusion and is never sent
 * @param reporter id of the member that reports; only a member itself reports that it is alive or has left
 * @param proof proof made by {@link UpdateProofs}
 */
public record Update(String memberId, String address, long incarnation, State state, String reporter, byte[] proof) {

    /** State of a member. The names are part of metrics and the status, and the order is part of the wire format. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** Returns an update that has no proof yet. */
    public static Update withoutProof(String memberId, String address, long incarnation, State state, String reporter) {
        return new Update(memberId, address, incarnation, state, reporter, new byte[0]);
    }

    /** Returns the same update with a proof. */
    public Update withProof(byte[] newProof) {
        return new Update(memberId, address, incarnation, state, reporter, newProof);
    }
}
