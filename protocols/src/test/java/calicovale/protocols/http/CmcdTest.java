package calicovale.protocols.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class CmcdTest {

    private static Map<String, String> query(String text) {
        return Cmcd.of(new HttpHead("GET", "/x?CMCD=" + PercentEncoding.encode(text), 0, null, 1, new Headers()));
    }

    @Test
    void readsTheQueryAndTheHeaders() {
        assertEquals(Map.of("sid", "a,\"b\"", "br", "3200", "bs", "true"), query("br=3200,bs,sid=\"a,\\\"b\\\"\""));
        Headers headers = new Headers().add("CMCD-Session", "sid=\"s\",st=v").add("CMCD-Request", "bl=2100, mtp=25400");
        assertEquals(
                Map.of("sid", "s", "st", "v", "bl", "2100", "mtp", "25400"),
                Cmcd.of(new HttpHead("GET", "/", 0, null, 1, headers)));
    }

    @Test
    void omitsMalformedPairs() {
        assertEquals(Map.of("br", "1"), query("=3,BR=2,br=1,sid=\"open"));
        assertEquals(Map.of(), query("sid=\"a\"b"));
    }

    @Property(tries = 500, seed = "1")
    void arbitraryTextIsAccepted(@ForAll String text) {
        assertFalse(query(text).containsKey(""));
    }
}
