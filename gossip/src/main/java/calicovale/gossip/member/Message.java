package calicovale.gossip.member;

import calicovale.gossip.claims.Statement;
import java.util.List;

/** One message between members; each carries updates on its back (SWIM, 4.1). */
public sealed interface Message {
    /** The updates that it carries. */
    List<Update> updates();

    /** Asks the receiver whether it is there; {@code target} is whom the sender takes it for. */
    record Ping(long number, String target, List<Update> updates) implements Message {}

    /** Asks the receiver to ask another: an indirect probe. */
    record PingReq(long number, String target, String targetAddress, List<Update> updates) implements Message {}

    /** The asked one is there. */
    record Ack(long number, List<Update> updates) implements Message {}

    /** The asker of an indirect probe is heard, the one it asks about was not (Lifeguard, 4.A). */
    record Nack(long number, List<Update> updates) implements Message {}

    /** News alone. */
    record News(List<Update> updates) implements Message {}

    /**
     * A sum over the members that the sender takes for present: one that has another sum answers with all that it knows. It is
     * what keeps exchanges of a group that agrees as small as any message, however many members there are.
     */
    record Digest(long sum, List<Update> updates) implements Message {}

    /** All that the sender knows of the group; {@code answer}: it answers one, and is not answered itself. */
    record Exchange(boolean answer, List<Update> updates) implements Message {}

    /** What members say of boxes. */
    record Claims(List<Statement> statements) implements Message {
        @Override
        public List<Update> updates() {
            return List.of();
        }
    }
}
