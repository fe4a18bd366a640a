package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.json.InvalidDocumentException;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.judge.Report;
import calicovale.rehearsal.judge.RuleChecker;
import calicovale.rehearsal.run.Rehearsal;
import calicovale.rehearsal.tape.TrafficRecording;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Plays whole scripted days with several faults through real sockets and asserts that no rule is broken. */
@Timeout(180)
class DaysTest {
    @TempDir
    private Path folder;

    private Report playAndAssertRulesKept(Day day) throws Exception {
        try (Rehearsal rehearsal = new Rehearsal(day, folder)) {
            rehearsal.start();
            rehearsal.play();
            rehearsal.stop();
            Report report = rehearsal.report();
            assertTrue(report.allRulesKept(), report.table());
            rehearsal.recording().write(folder.resolve("tape.jsonl"));
            // The verdict must depend on the recording alone: read back from the file, it gives the same verdict.
            var rejudged = RuleChecker.judge(
                    Rehearsal.ruleParameters(day), TrafficRecording.read(folder.resolve("tape.jsonl")));
            assertEquals(report.verdict().requestsByOutcome(), rejudged.requestsByOutcome());
            assertEquals(report.verdict().checkCount("no-session-lost"), rejudged.checkCount("no-session-lost"));
            return report;
        }
    }

    @Test
    void threeManagersWithSkewedClocksTogetherKeepColdPaceOfOneBox() throws Exception {
        Day day = RehearsalHarness.day(
                "/seconds",
                "9",
                "/managers",
                "{\"count\": 3, \"skewMs\": [0, 200, -150]}",
                "/viewers/perSecond",
                "40",
                "/boxes/count",
                "2",
                "/boxes/setUpMs",
                "5",
                "/service/rules",
                "{\"coldFrom\": 0.3, \"warmAfterMs\": 8000, \"tipMultiple\": 4, \"tipMs\": 1000,"
                        + "\"drainGraceMs\": 2000, \"extraFree\": 30, \"extraRatio\": 0.5, \"extraWindowMs\": 5000}",
                "/faults",
                "[{\"kind\": \"crash\", \"at\": 1, \"for\": 0.3, \"boxes\": [0]},"
                        + "{\"kind\": \"clock-step\", \"at\": 2, \"manager\": 1, \"value\": 500},"
                        + "{\"kind\": \"manager-kill\", \"at\": 4, \"for\": 0.2, \"manager\": 2},"
                        + "{\"kind\": \"errors\", \"at\": 2, \"for\": 3, \"boxes\": [1], \"value\": 0.5}]");
        Report report = playAndAssertRulesKept(day);
        assertTrue(report.verdict().checkCount("cold-paced") > 0, report.table());
        assertTrue(report.verdict().checkCount("drains-kept") > 0, report.table());
        assertEquals(0, report.verdict().requestsByOutcome().get("answeredTwice"));
    }

    @Test
    void dayOfHangsResetsAndSilentConnectionsLosesNoSession() throws Exception {
        Day day = RehearsalHarness.day(
                "/seconds",
                "8",
                "/viewers/perSecond",
                "12",
                "/viewers/impatient",
                "0.1",
                "/managers",
                "{\"count\": 2}",
                "/faults",
                "[{\"kind\": \"hang\", \"at\": 1, \"for\": 2, \"boxes\": [0], \"deaf\": true},"
                        + "{\"kind\": \"resets\", \"at\": 1.5, \"for\": 3, \"boxes\": [1], \"value\": 0.6},"
                        + "{\"kind\": \"half-open\", \"at\": 2, \"for\": 3, \"boxes\": [2]},"
                        + "{\"kind\": \"manager-stall\", \"at\": 3, \"for\": 1, \"manager\": 0},"
                        + "{\"kind\": \"directory-down\", \"at\": 4, \"for\": 2},"
                        + "{\"kind\": \"connections-reset\", \"at\": 5, \"boxes\": [1]}]");
        Report report = playAndAssertRulesKept(day);
        assertTrue(report.verdict().requestsByOutcome().get("played") > 20, report.table());
        assertTrue(report.faultTraces().stream().filter(f -> f.seen()).count() >= 5, report.table());
    }

    @Test
    void setUpWithSideEffectIsNeitherRepeatedNorRefusedOnceItMayHaveRun() throws Exception {
        Day day = RehearsalHarness.day(
                "/seconds",
                "7",
                "/viewers/perSecond",
                "15",
                "/service/classes/0/effect",
                "\"side_effect\"",
                "/faults",
                "[{\"kind\": \"resets\", \"at\": 0.5, \"for\": 3, \"boxes\": [0, 1, 2], \"value\": 0.4},"
                        + "{\"kind\": \"errors\", \"at\": 2, \"for\": 3, \"boxes\": [0, 1], \"value\": 0.4},"
                        + "{\"kind\": \"crash\", \"at\": 4, \"for\": 1, \"boxes\": [2]}]");
        Report report = playAndAssertRulesKept(day);
        assertTrue(report.verdict().requestsByOutcome().get("failed") > 0, report.table());
        assertTrue(report.verdict().checkCount("no-setup-twice") > 10, report.table());
    }

    @Test
    void allFaultsOfDayFileAreReportedTogether() {
        List<String> faults = assertThrows(
                        InvalidDocumentException.class,
                        () -> RehearsalHarness.day(
                                "/service/limits/attempts",
                                "0",
                                "/faults",
                                "[{\"kind\": \"crash\", \"at\": 1, \"boxes\": [9]}]",
                                "/viewers/classes",
                                "[{\"name\": \"none\", \"part\": 1, \"seconds\": [1, 2]}]",
                                "/service/manager",
                                "{}"))
                .faults();
        for (String pointer : List.of("/service: /limits/attempts", "/faults/0/boxes", "/service/manager")) {
            assertTrue(faults.stream().anyMatch(f -> f.contains(pointer)), pointer + " in " + faults);
        }
    }
}
