package calicovale.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.Effect;
import calicovale.front.box.LoadReport;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.json.InvalidDocumentException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FrontSettingsTest {
    static final String VALID_SETTINGS = """
            {"schema": "calicovale/front/1", "manager": {"number": 1, "of": 3}, "listen": {"host": "127.0.0.1", "port": 0},
             "directory": {"host": "127.0.0.1", "port": 9},
             "classes": [{"name": "course", "worth": 3, "aimMs": 800, "deadlineMs": 5000, "lowestRung": 1, "highestRung": 2,
               "effect": "side_effect"}],
             "limits": {"attempts": 4, "retryAfterMs": 2000},
             "rules": {"coldFrom": 0.3, "warmAfterMs": 6000, "tipMultiple": 4, "tipMs": 1000, "drainGraceMs": 2000},
             "media": {"rungKb": [10, 20, 30], "rungWorth": [0.3, 0.6, 1], "linkKbPerWeight": 900, "kindStreams": [40],
               "noteDelayMs": 700, "noteEveryMs": 3000}}
            """;

    @Test
    void validSettingsReachTheController() throws InvalidDocumentException {
        FrontSettings settings = FrontSettings.parse("f", VALID_SETTINGS);
        assertEquals(1, settings.controller().self());
        assertEquals(3, settings.controller().controllers());
        assertEquals(Effect.SIDE_EFFECT, settings.controller().classes().get(0).effect());
        assertEquals(-1, settings.controller().rules().extraFree(), "no budget is stated");
        assertTrue(settings.controller().limits().cancel());
    }

    private static List<String> faults(String text) {
        return assertThrows(InvalidDocumentException.class, () -> FrontSettings.parse("f", text))
                .faults();
    }

    @Test
    void allFaultsAreReportedTogetherWithTheirPlace() {
        List<String> schemaFaults = faults(VALID_SETTINGS
                .replace("\"worth\": 3", "\"worth\": 0")
                .replace("\"port\": 9", "\"port\": 70000")
                .replace("\"of\": 3", "\"off\": 3")
                .replace("127.0.0.1\", \"port\": 0", "10.0.0.1\", \"port\": 0"));
        for (String location : List.of("/classes/0/worth", "/directory/port", "/manager", "/listen/host")) {
            assertTrue(
                    schemaFaults.stream().anyMatch(f -> f.startsWith("f: " + location)),
                    location + " in " + schemaFaults);
        }
        List<String> contradictions = faults(VALID_SETTINGS
                .replace("\"number\": 1", "\"number\": 3")
                .replace("[0.3, 0.6, 1]", "[0.3, 0.6]")
                .replace("[10, 20, 30]", "[10, 10, 30]")
                .replace("\"highestRung\": 2", "\"highestRung\": 3")
                .replace("\"lowestRung\": 1", "\"lowestRung\": 4"));
        for (String location : List.of(
                "/manager/number",
                "/media/rungWorth",
                "/media/rungKb/1",
                "/classes/0/highestRung",
                "/classes/0/lowestRung")) {
            assertTrue(
                    contradictions.stream().anyMatch(f -> f.startsWith("f: " + location)),
                    location + " in " + contradictions);
        }
    }

    @Test
    void contradictingSettingsAreReportedTogether() {
        List<String> faults = faults(VALID_SETTINGS.replaceFirst(
                "\\{",
                "{\"changesWatch\": \"w\", \"changeKeys\": {\"ops\": \"" + "_".repeat(43)
                        + "\"}, \"crossOrigin\": {\"origins\": [\"*\"], \"credentials\": true},"));
        for (String location : List.of("/operators", "/crossOrigin/origins")) {
            assertTrue(faults.stream().anyMatch(f -> f.startsWith("f: " + location)), location + " in " + faults);
        }
        assertTrue(faults(VALID_SETTINGS.replaceFirst("\\{", "{\"crossOrigin\": {\"origins\": [\"page\", \"*\"]},"))
                        .size()
                >= 2);
    }

    @Test
    void malformedJsonIsReportedWithItsLine() {
        assertTrue(faults("{\n\"a\": }").get(0).startsWith("f: line 2"));
        assertTrue(faults("{\"a\":1,\"a\":2}").get(0).contains("Duplicate"));
    }

    @Test
    void loadReportsAreParsedAndInvalidMetricsIgnored() {
        assertEquals(
                Map.of("util", 0.5, "x1", 1.25),
                LoadReport.parse(
                        "TEXT named_metrics.util=0.5, named_metrics.x1=1.25,cpu_utilization=0.1,named_metrics.a=NaN,b"));
        assertEquals(Map.of(), LoadReport.parse("BIN abc"));
        assertEquals(Map.of(), LoadReport.parse("TEXT named_metrics.util=-1,named_metrics.x=y"));
    }
}
