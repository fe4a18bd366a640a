package calicovale.gossip.member;

/**
 * What is told of one member. It is relayed by others, so it carries a proof that {@code from} said it: without one a single
 * member could speak for all.
 *
 * @param id of the member that it is about
 * @param address where it is reached; empty in a suspicion
 * @param incarnation its own number, raised only by itself: it refutes what was told at the same one
 * @param state what it is said to be; {@link State#DEAD} is each member's own conclusion and is never told
 * @param from id of the member that says so; only a member itself says that it is alive or has left
 * @param proof by {@link Proofs}
 */
public record Update(String id, String address, long incarnation, State state, String from, byte[] proof) {

    /** What a member is taken for. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** One that is not proved yet. */
    public static Update unproved(String id, String address, long incarnation, State state, String from) {
        return new Update(id, address, incarnation, state, from, new byte[0]);
    }

    /** The same with its proof. */
    public Update with(byte[] made) {
        return new Update(id, address, incarnation, state, from, made);
    }
}
