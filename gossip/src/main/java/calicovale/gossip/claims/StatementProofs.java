package calicovale.gossip.claims;

/** Creates and verifies proofs of statements; supplied by the layer that carries the messages. */
public interface StatementProofs {
    /** Returns this member's proof of its own statement. */
    byte[] prove(Statement statement);

    /** Returns whether the member that a statement names as its author made it. */
    boolean verify(Statement statement);
}
