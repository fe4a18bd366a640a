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

class ChangeSelectorTest {
    private static final String PIECE = "\"piece\":{\"title\":\"storm\",\"renditions\":["
            + "{\"rung\":0,\"rateKb\":10,\"durationsS\":[2,2,1.5]},{\"rung\":1,\"rateKb\":20,\"durationsS\":[2,2,1.5]},"
            + "{\"rung\":3,\"rateKb\":60,\"durationsS\":[2,2,1.5]}]}";

    private static Change change(String id, String otherMembers) throws InvalidDocumentException {
        return Change.parse(
                "c", "{\"schema\":\"calicovale/change/1\",\"id\":\"" + id + "\"," + PIECE + "," + otherMembers + "}");
    }

    private static ChangeSelector.SessionState facts(String session, String viewer, int lowestRung, double rateKb) {
        return new ChangeSelector.SessionState(session, viewer, "t1", "course", "north", lowestRung, rateKb, 1, false);
    }

    private static ChangeSelector.Decision decide(
            ChangeSelector book, ChangeSelector.SessionState session, double placeS, double atMs) {
        return book.chooseAt(book.candidates(session), session, placeS, atMs);
    }

    private static String chosenChangeId(
            ChangeSelector book, ChangeSelector.SessionState session, double placeS, double atMs) {
        ChangeSelector.Choice choice = decide(book, session, placeS, atMs).choice();
        return choice == null ? null : choice.change().id();
    }

    @Test
    void changeIsDueFromItsTimeOrPlaceUntilItExpires() throws InvalidDocumentException {
        ChangeSelector book = new ChangeSelector(10, 1000);
        assertTrue(book.add(change("clock", "\"start\":{\"atMs\":1000},\"validUntilMs\":5000")));
        assertTrue(book.add(change("place", "\"start\":{\"lectureS\":60},\"validUntilMs\":9000")));
        ChangeSelector.SessionState session = facts("s", "v", 0, 100);
        assertNull(chosenChangeId(book, session, 0, 999));
        assertEquals("clock", chosenChangeId(book, session, 0, 1000));
        assertEquals("clock", chosenChangeId(book, session, 0, 5000), "late, but before it expires");
        assertNull(chosenChangeId(book, session, 0, 5001), "not shown after it expired");
        assertEquals("place", chosenChangeId(book, session, 60, 6000));
        book.removeExpired(5001);
        assertEquals(List.of("place"), book.changes().stream().map(Change::id).toList());
    }

    @Test
    void higherPriorityIsChosenFirstAndEachChangeOnce() throws InvalidDocumentException {
        ChangeSelector book = new ChangeSelector(10, 1000);
        book.add(change("b", "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"priority\":1"));
        book.add(change("a", "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"priority\":1"));
        book.add(change("urgent", "\"start\":{\"atMs\":900},\"validUntilMs\":5000,\"priority\":9,\"once\":\"viewer\""));
        ChangeSelector.SessionState session = facts("s", "v", 0, 100);
        for (String expected : List.of("urgent", "a", "b")) {
            ChangeSelector.Choice choice = decide(book, session, 0, 1000).choice();
            assertEquals(expected, choice.change().id());
            book.recordShowing(choice.change(), session);
        }
        assertNull(chosenChangeId(book, session, 0, 1000));
        assertEquals(
                "a",
                chosenChangeId(book, facts("other", "v", 0, 100), 0, 1000),
                "once per viewer applies across sessions");
        assertEquals("urgent", chosenChangeId(book, facts("other", "w", 0, 100), 0, 1000));
    }

    @Test
    void changeWaitsUntilARenditionKeepsTheClassFloor() throws InvalidDocumentException {
        ChangeSelector book = new ChangeSelector(10, 1000);
        book.add(change("c", "\"start\":{\"atMs\":0},\"validUntilMs\":5000"));
        assertEquals(
                10,
                decide(book, facts("s", "v", 0, 15), 0, 1).choice().rendition().rateKb());
        ChangeSelector.Decision decision = decide(book, facts("s", "v", 1, 15), 0, 1);
        assertNull(decision.choice());
        assertEquals(List.of("c"), decision.withoutRendition());
        assertEquals(
                20,
                decide(book, facts("s", "v", 1, 59), 0, 1).choice().rendition().rateKb());
        assertEquals(
                60,
                decide(book, facts("s", "v", 1, 60), 0, 1).choice().rendition().rateKb());
    }

    @Test
    void changeIsShownToItsAudienceOnlyAndNotAfterWithdrawal() throws InvalidDocumentException {
        ChangeSelector book = new ChangeSelector(1, 1000);
        assertTrue(book.add(change(
                "c",
                "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"for\":{\"classes\":[\"course\"],"
                        + "\"tenants\":[\"north\"],\"titles\":[\"t1\",\"t2\"]}")));
        assertFalse(
                book.add(change("d", "\"start\":{\"atMs\":0},\"validUntilMs\":5000")),
                "the maximum number of changes is reached");
        assertEquals("c", chosenChangeId(book, facts("s", "v", 0, 100), 0, 1));
        assertNull(chosenChangeId(
                book, new ChangeSelector.SessionState("s", "v", "t3", "course", "north", 0, 100, 1, false), 0, 1));
        assertNull(chosenChangeId(
                book, new ChangeSelector.SessionState("s", "v", "t1", "talk", "north", 0, 100, 1, false), 0, 1));
        assertTrue(book.withdraw("c"));
        assertFalse(book.withdraw("c"));
        assertNull(chosenChangeId(book, facts("s", "v", 0, 100), 0, 1));
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
        Change.Rendition rendition = ChangeSelector.selectRendition(
                change, new ChangeSelector.SessionState("s", "v", "t", "k", "n", lowestRung, rateKb, scale, false));
        boolean possible =
                change.renditions().stream().anyMatch(x -> x.rung() >= lowestRung && x.rateKb() * scale <= rateKb);
        assertEquals(possible, rendition != null);
        assertTrue(rendition == null || rendition.rung() >= lowestRung && rendition.rateKb() * scale <= rateKb);
    }
}
