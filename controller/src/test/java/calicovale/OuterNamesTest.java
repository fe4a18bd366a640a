package calicovale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.Effect;
import calicovale.ControllerApi.Group;
import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.ReportMode;
import calicovale.ControllerApi.ServerState;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Names and orders of enum constants that settings, the list of servers, metrics and the simulator's wire use, and
 * the timer names that the bench adapter passes on.
 */
class OuterNamesTest {
    private static void assertNames(Enum<?>[] constants, String... expectedNames) {
        assertEquals(
                List.of(expectedNames), Arrays.stream(constants).map(Enum::name).toList());
    }

    @Test
    void effect() {
        assertNames(Effect.values(), "PURE", "TOKEN", "SIDE_EFFECT");
    }

    @Test
    void group() {
        assertNames(Group.values(), "ALL", "ZONE", "CELL");
    }

    @Test
    void reportMode() {
        assertNames(ReportMode.values(), "WITH_OUTCOMES", "WITH_PROBES", "NONE");
    }

    @Test
    void noteKind() {
        assertNames(NoteKind.values(), "DELIVERED_SHARE", "RUNG", "LINK_USE", "UPLINK_USE");
    }

    @Test
    void serverState() {
        assertNames(ServerState.values(), "READY", "DRAINING", "GONE");
    }

    @Test
    void listScope() {
        assertNames(ListScope.values(), "CHANGES", "COMPLETE", "SAVED", "FAILED");
    }

    @Test
    void outcome() {
        assertNames(Outcome.values(), "OK", "ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "MOOT");
    }

    @Test
    void tickTimer() {
        ControllerHarness harness = new ControllerHarness().start();
        assertTrue(harness.actions.lines.contains("timer tick"), harness.actions.lines.toString());
        harness.actions.lines.clear();
        harness.tick(1000);
        assertTrue(harness.actions.lines.contains("timer tick"), harness.actions.lines.toString());
    }

    @Test
    void listTimer() {
        ControllerHarness harness = new ControllerHarness();
        harness.askForList = true;
        harness.start();
        harness.actions.lines.clear();
        harness.sendList(ListScope.FAILED, List.of());
        assertEquals(List.of("timer list"), harness.actions.lines);
        harness.actions.lines.clear();
        harness.controller.handle(harness.now, new ControllerApi.TimerFired("list"));
        assertEquals(List.of("subscribe"), harness.actions.lines);
    }
}
