package calicovale.manager.servers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class ServerReportParserTest {
    @Test
    void invalidValuesInALoadReportAreLeftOut() {
        assertEquals(
                Map.of("x0", 12.0, "queue", 3.5),
                ServerReportParser.loadReport("x0:12;x1:NaN;;:4;util:-1;queue:3.5;eps:many"));
        assertEquals(Map.of(), ServerReportParser.loadReport(null));
        assertTrue(Double.isNaN(ServerReportParser.nonNegativeNumber("Infinity")));
    }

    @Test
    void numbersDependOnNamesOnlyAndAreUnique() {
        ServerNumbers numbers = new ServerNumbers();
        ServerNumbers otherNumbers = new ServerNumbers();
        otherNumbers.numberOf("s-other");
        assertEquals(numbers.numberOf("s-19023c84"), otherNumbers.numberOf("s-19023c84"));
        // two names with the same checksum
        assertNotEquals(numbers.numberOf("plumless"), numbers.numberOf("buckeroo"));
        numbers.forget("s-19023c84");
        assertEquals(2, numbers.size());
    }
}
