package calicovale.gossip.member;

/** Creates and verifies proofs of who reported an update; supplied by the layer that carries the messages. */
public interface UpdateProofs {
    /** Returns this member's proof of an update that it reports. */
    byte[] prove(Update update);

    /** Returns whether the reporter of an update has made it. */
    boolean verify(Update update);
}
