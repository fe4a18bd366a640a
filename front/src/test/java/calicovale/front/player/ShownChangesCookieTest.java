package calicovale.front.player;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.stitch.SessionLedger.Showing;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShownChangesCookieTest {
    private final ShownChangesCookie cookie = new ShownChangesCookie(new byte[16]);

    /** Returns the name and value of a Set-Cookie header, without its attributes. */
    private static String pair(String setCookie) {
        return setCookie.substring(0, setCookie.indexOf(';'));
    }

    @Test
    void onlyTheSameViewerAndKeyReadTheShowings() {
        List<Showing> showings = List.of(new Showing("storm", "v ann"), new Showing("rebate", "r t1 ann"));
        String pair = pair(cookie.toSetCookie("ann", showings));
        assertEquals(showings, cookie.read("ann", List.of("a=b; " + pair + "; c=d")));
        assertEquals(List.of(), cookie.read("ann", List.of("a=b")));
        assertNull(cookie.read("bob", List.of(pair)));
        assertNull(
                new ShownChangesCookie("another key of 20 b.".getBytes(java.nio.charset.StandardCharsets.US_ASCII))
                        .read("ann", List.of(pair)),
                "signed with another key");
    }

    @Test
    void alteredOrMalformedCookiesAreRejected() {
        String pair = pair(cookie.toSetCookie("ann", List.of(new Showing("storm", "v ann"))));
        for (int i = "calicovale-shown=".length(); i < pair.length(); i++) {
            char other = pair.charAt(i) == 'A' ? 'Q' : 'A';
            assertNull(
                    cookie.read("ann", List.of(pair.substring(0, i) + other + pair.substring(i + 1))),
                    "altered at " + i);
        }
        for (String malformed : List.of("", ".", "x", "x.y", "a".repeat(5000))) {
            assertNull(cookie.read("ann", List.of("calicovale-shown=" + malformed)), malformed);
        }
    }

    @Test
    void theCookieKeepsTheLastShowingsWithinTheSizeThatBrowsersStore() {
        List<Showing> many = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            many.add(new Showing("c".repeat(97) + (100 + i), "v ann"));
        }
        String setCookie = cookie.toSetCookie("ann", many);
        assertTrue(pair(setCookie).length() <= 4096, pair(setCookie).length() + " characters");
        assertEquals(many.subList(38, 50), cookie.read("ann", List.of(pair(setCookie))));
    }
}
