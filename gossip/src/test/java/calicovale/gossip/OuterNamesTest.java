package calicovale.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.gossip.claims.Claim;
import calicovale.gossip.member.Update;
import calicovale.gossip.wire.Envelopes.Drop;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Names of enum constants that metrics and the status use, and their order, which is their code on the wire. */
class OuterNamesTest {
    private static void assertNames(Enum<?>[] constants, String... expectedNames) {
        assertEquals(
                List.of(expectedNames), Arrays.stream(constants).map(Enum::name).toList());
    }

    @Test
    void memberState() {
        assertNames(Update.State.values(), "ALIVE", "SUSPECT", "DEAD", "LEFT");
    }

    @Test
    void claimKind() {
        assertNames(Claim.Kind.values(), "FAILED", "TIMEOUT", "RESET", "SHORT");
    }

    @Test
    void reasonOfDrop() {
        assertNames(
                Drop.values(),
                "MALFORMED",
                "VERSION",
                "UNKNOWN_KEY",
                "SKEWED",
                "REPLAYED",
                "RATE",
                "SIGNATURE",
                "BOUND");
    }
}
