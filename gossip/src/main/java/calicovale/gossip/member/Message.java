package calicovale.gossip.member;

import calicovale.gossip.claims.Statement;
import java.util.List;

/** One message between members; each may carry piggybacked updates (SWIM, section 4.1). */
public sealed interface Message {
    /** Returns the updates that the message carries. */
    List<Update> updates();

    /** A direct probe; {@code target} is the member that the sender expects at the address. */
    record Ping(long sequenceNumber, String target, List<Update> updates) implements Message {}

    /** Asks the receiver to probe {@code target} for the sender (ping-req, an indirect probe). */
    record PingReq(long sequenceNumber, String target, String targetAddress, List<Update> updates) implements Message {}

    /** Answers a ping or, once the target has answered, a ping-req. */
    record Ack(long sequenceNumber, List<Update> updates) implements Message {}

    /**
     * Answers a ping-req whose target has not answered so far, so that the requester knows that it is heard itself
     * (Lifeguard, section 4.A).
     */
    record Nack(long sequenceNumber, List<Update> updates) implements Message {}

    /** Updates alone, without a probe. */
    record Dissemination(List<Update> updates) implements Message {}

    /**
     * A hash of the sender's view of the present members. A receiver whose own hash differs answers with its full
     * state. This keeps anti-entropy in a converged group as small as any message, regardless of the number of members.
     */
    record Digest(long hash, List<Update> updates) implements Message {}

    /** The sender's full state; {@code reply} is true if it answers another full state, and is not answered in turn. */
    record PushPull(boolean reply, List<Update> updates) implements Message {}

    /** Statements of members about boxes. */
    record Claims(List<Statement> statements) implements Message {
        @Override
        public List<Update> updates() {
            return List.of();
        }
    }
}
