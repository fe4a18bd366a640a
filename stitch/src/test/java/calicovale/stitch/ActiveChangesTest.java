package calicovale.stitch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.json.InvalidDocumentException;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ActiveChangesTest {
    private static final String PIECE = "\"piece\":{\"title\":\"storm\",\"renditions\":["
            + "{\"rung\":0,\"rateKb\":10,\"durationsS\":[2,2,1.5]},{\"rung\":1,\"rateKb\":20,\"durationsS\":[2,2,1.5]},"
            + "{\"rung\":3,\"rateKb\":60,\"durationsS\":[2,2,1.5]}]}";

    private static Change change(String id, String otherMembers) throws InvalidDocumentException {
        return Change.parse(
                "c", "{\"schema\":\"calicovale/change/1\",\"id\":\"" + id + "\"," + PIECE + "," + otherMembers + "}");
    }

    private static ActiveChanges.SessionFacts facts(String session, String viewer, int lowestRung, double rateKb) {
        return new ActiveChanges.SessionFacts(session, viewer, "t1", "course", "north", lowestRung, rateKb, 1, false);
    }

    private static ActiveChanges.Decision decide(
            ActiveChanges activeChanges, ActiveChanges.SessionFacts session, double boundaryS, double boundaryMs) {
        return activeChanges.chooseAt(activeChanges.candidates(session), session, boundaryS, boundaryMs);
    }

    private static String chosenChangeId(
            ActiveChanges activeChanges, ActiveChanges.SessionFacts session, double boundaryS, double boundaryMs) {
        ActiveChanges.Choice choice =
                decide(activeChanges, session, boundaryS, boundaryMs).choice();
        return choice == null ? null : choice.change().id();
    }

    @Test
    void changeIsDueFromItsTimeOrPlaceUntilItExpires() throws InvalidDocumentException {
        ActiveChanges activeChanges = new ActiveChanges(10, 1000);
        assertTrue(activeChanges.add(change("clock", "\"start\":{\"atMs\":1000},\"validUntilMs\":5000")));
        assertTrue(activeChanges.add(change("place", "\"start\":{\"lectureS\":60},\"validUntilMs\":9000")));
        ActiveChanges.SessionFacts session = facts("s", "v", 0, 100);
        assertNull(chosenChangeId(activeChanges, session, 0, 999));
        assertEquals("clock", chosenChangeId(activeChanges, session, 0, 1000));
        assertEquals("clock", chosenChangeId(activeChanges, session, 0, 5000), "late, but before it expires");
        assertNull(chosenChangeId(activeChanges, session, 0, 5001), "not shown after it expired");
        assertEquals("place", chosenChangeId(activeChanges, session, 60, 6000));
        activeChanges.removeExpired(5001);
        assertEquals(
                List.of("place"),
                activeChanges.changes().stream().map(Change::id).toList());
    }

    @Test
    void higherPriorityIsChosenFirstAndEachChangeOnce() throws InvalidDocumentException {
        ActiveChanges activeChanges = new ActiveChanges(10, 1000);
        activeChanges.add(change("b", "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"priority\":1"));
        activeChanges.add(change("a", "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"priority\":1"));
        activeChanges.add(
                change("urgent", "\"start\":{\"atMs\":900},\"validUntilMs\":5000,\"priority\":9,\"once\":\"viewer\""));
        ActiveChanges.SessionFacts session = facts("s", "v", 0, 100);
        for (String expected : List.of("urgent", "a", "b")) {
            ActiveChanges.Choice choice =
                    decide(activeChanges, session, 0, 1000).choice();
            assertEquals(expected, choice.change().id());
            activeChanges.recordShowing(choice.change(), session);
        }
        assertNull(chosenChangeId(activeChanges, session, 0, 1000));
        assertEquals(
                "a",
                chosenChangeId(activeChanges, facts("other", "v", 0, 100), 0, 1000),
                "once per viewer applies across sessions");
        assertEquals("urgent", chosenChangeId(activeChanges, facts("other", "w", 0, 100), 0, 1000));
    }

    @Test
    void changeWaitsUntilARenditionKeepsTheClassFloor() throws InvalidDocumentException {
        ActiveChanges activeChanges = new ActiveChanges(10, 1000);
        activeChanges.add(change("c", "\"start\":{\"atMs\":0},\"validUntilMs\":5000"));
        assertEquals(
                10,
                decide(activeChanges, facts("s", "v", 0, 15), 0, 1)
                        .choice()
                        .rendition()
                        .rateKb());
        ActiveChanges.Decision decision = decide(activeChanges, facts("s", "v", 1, 15), 0, 1);
        assertNull(decision.choice());
        assertEquals(List.of("c"), decision.withoutRendition());
        assertEquals(
                20,
                decide(activeChanges, facts("s", "v", 1, 59), 0, 1)
                        .choice()
                        .rendition()
                        .rateKb());
        assertEquals(
                60,
                decide(activeChanges, facts("s", "v", 1, 60), 0, 1)
                        .choice()
                        .rendition()
                        .rateKb());
    }

    @Test
    void changeIsShownToItsAudienceOnlyAndNotAfterWithdrawal() throws InvalidDocumentException {
        ActiveChanges activeChanges = new ActiveChanges(1, 1000);
        assertTrue(activeChanges.add(change(
                "c",
                "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"for\":{\"classes\":[\"course\"],"
                        + "\"tenants\":[\"north\"],\"titles\":[\"t1\",\"t2\"]}")));
        assertFalse(
                activeChanges.add(change("d", "\"start\":{\"atMs\":0},\"validUntilMs\":5000")),
                "the maximum number of changes is reached");
        assertEquals("c", chosenChangeId(activeChanges, facts("s", "v", 0, 100), 0, 1));
        assertNull(chosenChangeId(
                activeChanges,
                new ActiveChanges.SessionFacts("s", "v", "t3", "course", "north", 0, 100, 1, false),
                0,
                1));
        assertNull(chosenChangeId(
                activeChanges,
                new ActiveChanges.SessionFacts("s", "v", "t1", "talk", "north", 0, 100, 1, false),
                0,
                1));
        assertTrue(activeChanges.withdraw("c"));
        assertFalse(activeChanges.withdraw("c"));
        assertNull(chosenChangeId(activeChanges, facts("s", "v", 0, 100), 0, 1));
    }

    @Test
    void allFaultsOfADocumentAreReportedAtOnce() {
        List<String> schemaFaults = assertThrows(
                        InvalidDocumentException.class, () -> change("", "\"start\":{},\"validUntilMs\":0"))
                .faults();
        for (String location : List.of("/id", "/start", "/validUntilMs")) {
            assertTrue(
                    schemaFaults.stream().anyMatch(f -> f.startsWith("c: " + location)),
                    location + " in " + schemaFaults);
        }
        String invalid = "{\"schema\":\"calicovale/change/1\",\"id\":\"x\",\"piece\":{\"title\":\"p\",\"renditions\":["
                + "{\"rung\":1,\"rateKb\":10,\"durationsS\":[2]},{\"rung\":1,\"rateKb\":9,\"durationsS\":[3]}]},"
                + "\"start\":{\"atMs\":10},\"validUntilMs\":10}";
        List<String> consistencyFaults = assertThrows(InvalidDocumentException.class, () -> Change.parse("c", invalid))
                .faults();
        assertEquals(4, consistencyFaults.size(), consistencyFaults.toString());
    }

    @Property(tries = 500, seed = "1")
    void renditionIsNeverBelowTheFloorOrAboveTheCurrentRungsRate(
            @ForAll @IntRange(max = 4) int lowestRung,
            @ForAll @DoubleRange(min = 1, max = 100) double rateKb,
            @ForAll @DoubleRange(min = 0.5, max = 2) double scale)
            throws InvalidDocumentException {
        Change change = change("c", "\"start\":{\"atMs\":0},\"validUntilMs\":5000");
        Change.Rendition rendition = ActiveChanges.selectRendition(
                change, new ActiveChanges.SessionFacts("s", "v", "t", "k", "n", lowestRung, rateKb, scale, false));
        boolean possible =
                change.renditions().stream().anyMatch(x -> x.rung() >= lowestRung && x.rateKb() * scale <= rateKb);
        assertEquals(possible, rendition != null);
        assertTrue(rendition == null || rendition.rung() >= lowestRung && rendition.rateKb() * scale <= rateKb);
    }
}
