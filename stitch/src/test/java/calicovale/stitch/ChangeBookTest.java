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

class ChangeBookTest {
    private static final String PIECE = "\"piece\":{\"title\":\"storm\",\"renditions\":["
            + "{\"rung\":0,\"rateKb\":10,\"durationsS\":[2,2,1.5]},{\"rung\":1,\"rateKb\":20,\"durationsS\":[2,2,1.5]},"
            + "{\"rung\":3,\"rateKb\":60,\"durationsS\":[2,2,1.5]}]}";

    private static Change change(String id, String more) throws InvalidDocumentException {
        return Change.parse(
                "c", "{\"schema\":\"calicovale/change/1\",\"id\":\"" + id + "\"," + PIECE + "," + more + "}");
    }

    private static ChangeBook.Facts facts(String session, String viewer, int floor, double rateKb) {
        return new ChangeBook.Facts(session, viewer, "t1", "course", "north", floor, rateKb, 1, false);
    }

    private static ChangeBook.Decision at(ChangeBook book, ChangeBook.Facts s, double placeS, double ms) {
        return book.at(book.candidates(s), s, placeS, ms);
    }

    private static String shownAt(ChangeBook book, ChangeBook.Facts s, double placeS, double ms) {
        ChangeBook.Choice choice = at(book, s, placeS, ms).choice();
        return choice == null ? null : choice.change().id();
    }

    @Test
    void isDueFromItsTimeOrPlaceUntilItsEnd() throws InvalidDocumentException {
        ChangeBook book = new ChangeBook(10, 1000);
        assertTrue(book.add(change("clock", "\"start\":{\"atMs\":1000},\"validUntilMs\":5000")));
        assertTrue(book.add(change("place", "\"start\":{\"lectureS\":60},\"validUntilMs\":9000")));
        ChangeBook.Facts s = facts("s", "v", 0, 100);
        assertNull(shownAt(book, s, 0, 999));
        assertEquals("clock", shownAt(book, s, 0, 1000));
        assertEquals("clock", shownAt(book, s, 0, 5000), "late, within its time");
        assertNull(shownAt(book, s, 0, 5001), "after its time not at all");
        assertEquals("place", shownAt(book, s, 60, 6000));
        book.expire(5001);
        assertEquals(List.of("place"), book.changes().stream().map(Change::id).toList());
    }

    @Test
    void ofTwoTheHigherPriorityComesFirstAndEachOnce() throws InvalidDocumentException {
        ChangeBook book = new ChangeBook(10, 1000);
        book.add(change("b", "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"priority\":1"));
        book.add(change("a", "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"priority\":1"));
        book.add(change("urgent", "\"start\":{\"atMs\":900},\"validUntilMs\":5000,\"priority\":9,\"once\":\"viewer\""));
        ChangeBook.Facts s = facts("s", "v", 0, 100);
        for (String expected : List.of("urgent", "a", "b")) {
            ChangeBook.Choice choice = at(book, s, 0, 1000).choice();
            assertEquals(expected, choice.change().id());
            book.shown(choice.change(), s);
        }
        assertNull(shownAt(book, s, 0, 1000));
        assertEquals("a", shownAt(book, facts("other", "v", 0, 100), 0, 1000), "once a viewer holds over sessions");
        assertEquals("urgent", shownAt(book, facts("other", "w", 0, 100), 0, 1000));
    }

    @Test
    void aClassesFloorHoldsForThePieceOrItWaits() throws InvalidDocumentException {
        ChangeBook book = new ChangeBook(10, 1000);
        book.add(change("c", "\"start\":{\"atMs\":0},\"validUntilMs\":5000"));
        assertEquals(
                10, at(book, facts("s", "v", 0, 15), 0, 1).choice().rendition().rateKb());
        ChangeBook.Decision weak = at(book, facts("s", "v", 1, 15), 0, 1);
        assertNull(weak.choice());
        assertEquals(List.of("c"), weak.withoutRendition());
        assertEquals(
                20, at(book, facts("s", "v", 1, 59), 0, 1).choice().rendition().rateKb());
        assertEquals(
                60, at(book, facts("s", "v", 1, 60), 0, 1).choice().rendition().rateKb());
    }

    @Test
    void isForItsAudienceAloneAndGoneOnceWithdrawn() throws InvalidDocumentException {
        ChangeBook book = new ChangeBook(1, 1000);
        assertTrue(book.add(change(
                "c",
                "\"start\":{\"atMs\":0},\"validUntilMs\":5000,\"for\":{\"classes\":[\"course\"],"
                        + "\"tenants\":[\"north\"],\"titles\":[\"t1\",\"t2\"]}")));
        assertFalse(book.add(change("d", "\"start\":{\"atMs\":0},\"validUntilMs\":5000")), "the bound");
        assertEquals("c", shownAt(book, facts("s", "v", 0, 100), 0, 1));
        assertNull(shownAt(book, new ChangeBook.Facts("s", "v", "t3", "course", "north", 0, 100, 1, false), 0, 1));
        assertNull(shownAt(book, new ChangeBook.Facts("s", "v", "t1", "talk", "north", 0, 100, 1, false), 0, 1));
        assertTrue(book.withdraw("c"));
        assertFalse(book.withdraw("c"));
        assertNull(shownAt(book, facts("s", "v", 0, 100), 0, 1));
    }

    @Test
    void allFaultsOfADocumentAreToldAtOnce() {
        List<String> schema = assertThrows(
                        InvalidDocumentException.class, () -> change("", "\"start\":{},\"validUntilMs\":0"))
                .faults();
        for (String place : List.of("/id", "/start", "/validUntilMs")) {
            assertTrue(schema.stream().anyMatch(f -> f.startsWith("c: " + place)), place + " in " + schema);
        }
        String two = "{\"schema\":\"calicovale/change/1\",\"id\":\"x\",\"piece\":{\"title\":\"p\",\"renditions\":["
                + "{\"rung\":1,\"rateKb\":10,\"durationsS\":[2]},{\"rung\":1,\"rateKb\":9,\"durationsS\":[3]}]},"
                + "\"start\":{\"atMs\":10},\"validUntilMs\":10}";
        List<String> sense = assertThrows(InvalidDocumentException.class, () -> Change.parse("c", two))
                .faults();
        assertEquals(4, sense.size(), sense.toString());
    }

    @Property(tries = 500, seed = "1")
    void noRenditionIsEverUnderTheFloorOrOverTheRungInForce(
            @ForAll @IntRange(max = 4) int floor,
            @ForAll @DoubleRange(min = 1, max = 100) double rateKb,
            @ForAll @DoubleRange(min = 0.5, max = 2) double scale)
            throws InvalidDocumentException {
        Change c = change("c", "\"start\":{\"atMs\":0},\"validUntilMs\":5000");
        Change.Rendition r =
                ChangeBook.rendition(c, new ChangeBook.Facts("s", "v", "t", "k", "n", floor, rateKb, scale, false));
        boolean possible = c.renditions().stream().anyMatch(x -> x.rung() >= floor && x.rateKb() * scale <= rateKb);
        assertEquals(possible, r != null);
        assertTrue(r == null || r.rung() >= floor && r.rateKb() * scale <= rateKb);
    }
}
