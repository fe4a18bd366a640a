package calicovale.manager.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicovale.protocols.json.InvalidDocumentException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ManagerConfigTest {
    private static final String GOOD = """
            {"name":"n3","listen":"127.0.0.1:3868","seed":"8c1f30d27a5be964","limits":{"memory_mb":128,"sockets":256},"bus":"127.0.0.1:9092",
             "known":{"offset":3,"batch":[{"offset":3,"topology":{"generation":2,"reset":true,"instances":[
               {"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"terminating","cell":4,"weight":2.5,"startedAtMs":17}]}}]},
             "settings":{"me":1,"replicasOfMe":3,"profiles":[{"name":"talk","gain":2.0,"effect":"token","deadlineMs":1500}],
               "limits":{"retryAfter":true,"maxRetryAfterMs":900,"connectTimeoutMs":250},"dcs":["a","b"],
               "specifics":{"levelKb":[1,2],"ladderWorth":[0.5,1],"kindStreams":[7],"lowestRung":[1],"seeMs":384.7}}}""";

    @Test
    void readsAllValues() throws InvalidDocumentException {
        ManagerConfig config = ManagerConfig.read("config", GOOD);
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(256, config.descriptorLimit());
        assertEquals(3, config.knownOffset());
        assertEquals(17, config.knownEvents().get(0).entries().get(0).startedAtMs());
        assertEquals(List.of("a", "b"), config.platform().zones());
        assertEquals(List.of("talk"), config.platform().classes());
        var settings = config.platform().controller();
        assertEquals(1, settings.self());
        assertEquals(3, settings.controllers());
        assertEquals(900, settings.limits().retryAfterMs());
        assertEquals(List.of(1.0, 2.0), settings.media().rungKb());
        assertEquals(384.7, settings.media().noteDelayMs());
        assertEquals(1, settings.classes().get(0).lowestRung());
        assertEquals(
                calicovale.ControllerApi.Effect.TOKEN, settings.classes().get(0).effect());
    }

    @Test
    void reportsAllFaultsTogether() {
        String bad = GOOD.replace("127.0.0.1:3868", "host:3868")
                .replace("\"sockets\":256", "\"sockets\":-1")
                .replace("8c1f", "xyz")
                .replace("\"gain\":2.0", "\"gain\":\"much\"")
                .replace("terminating", "gone")
                .replace("token", "half");
        InvalidDocumentException e =
                assertThrows(InvalidDocumentException.class, () -> ManagerConfig.read("config", bad));
        assertEquals(6, e.faults().size(), e.faults().toString());
    }

    @Test
    void rejectsTextThatIsNotJson() {
        assertThrows(InvalidDocumentException.class, () -> ManagerConfig.read("config", "{"));
    }

    private static void assertFault(String expected, Path file) {
        InvalidDocumentException e = assertThrows(InvalidDocumentException.class, () -> ManagerConfig.read(file));
        assertEquals(List.of(file + ": " + expected), e.faults());
    }

    @Test
    void faultsOfUnreadableFilesNameFileAndReason(@TempDir Path folder) throws IOException {
        assertFault(
                "a readable text file in UTF-8 is expected (the file does not exist)", folder.resolve("missing.json"));
        Path file = folder.resolve("config.json");
        Files.write(file, new byte[] {'"', (byte) 0xe9, '"'});
        assertFault("a readable text file in UTF-8 is expected (the text is not UTF-8)", file);
        Files.writeString(file, GOOD + "\n{}");
        assertFault("line 7: JSON is expected (more text follows the document)", file);
        Files.writeString(file, "{");
        assertFault(
                "line 1: JSON is expected (Unexpected end-of-input: expected close marker for Object"
                        + " (start marker at line: 1, column: 1))",
                file);
    }
}
