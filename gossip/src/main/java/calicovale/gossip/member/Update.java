package calicovale.gossip.member;

/**
 * What is told of one member.
 *
 * @param id of the member that it is about
 * @param address where it is reached
 * @param incarnation its own number, raised only by itself: it refutes what was told at a lower or the same one
 * @param state what it is said to be
 * @param from id of the member that says so: independent suspicions are counted by it
 */
public record Update(String id, String address, long incarnation, State state, String from) {

    /** What a member is taken for. */
    public enum State { ALIVE, SUSPECT, DEAD, LEFT }
}
