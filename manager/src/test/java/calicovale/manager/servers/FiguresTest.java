package calicovale.manager.servers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class FiguresTest {
    @Test
    void whatCannotBeReadInAReportIsLeftOut() {
        assertEquals(Map.of("x0", 12.0, "queue", 3.5), Figures.report("x0:12;x1:NaN;;:4;util:-1;queue:3.5;eps:many"));
        assertEquals(Map.of(), Figures.report(null));
        assertTrue(Double.isNaN(Figures.number("Infinity")));
    }

    @Test
    void numbersFollowFromNamesAndAreGivenOnce() {
        ServerNumbers one = new ServerNumbers();
        ServerNumbers two = new ServerNumbers();
        two.of("s-other");
        assertEquals(one.of("s-19023c84"), two.of("s-19023c84"));
        // two names of one checksum
        assertNotEquals(one.of("plumless"), one.of("buckeroo"));
        one.forget("s-19023c84");
        assertEquals(2, one.size());
    }
}
