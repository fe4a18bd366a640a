package calicovale.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.front.settings.FrontSettings;
import calicovale.front.settings.FrontSettings.Interstitials;
import calicovale.protocols.json.InvalidDocumentException;
import org.junit.jupiter.api.Test;

/** Values of the key {@code interstitials} in the front's settings, which are names of enum constants in lower case. */
class OuterNamesTest {
    private static Interstitials parseInterstitials(String value) throws InvalidDocumentException {
        String text = FrontSettingsTest.VALID_SETTINGS.replaceFirst("\\{", "{\"interstitials\": \"" + value + "\", ");
        return FrontSettings.parse("f", text).interstitials();
    }

    @Test
    void interstitials() throws InvalidDocumentException {
        assertEquals(Interstitials.NEVER, parseInterstitials("never"));
        assertEquals(Interstitials.ASKED, parseInterstitials("asked"));
        assertEquals(Interstitials.ALWAYS, parseInterstitials("always"));
        assertEquals(3, Interstitials.values().length);
    }
}
