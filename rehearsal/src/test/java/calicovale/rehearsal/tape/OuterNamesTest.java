package calicovale.rehearsal.tape;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.protocols.net.Clock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Names that a recording file holds: the members of an entry's JSON object and the kinds of entries. */
class OuterNamesTest {
    @TempDir
    Path folder;

    @Test
    void membersOfAnEntry() throws IOException {
        Entry entry =
                new Entry(1.5, "manager:0", "box:1", 7, 2, Entry.Kind.RESPONSE, "POST", "/v1/sessions", 201, "{}", 3);
        TrafficRecording recording = new TrafficRecording(Clock.system());
        recording.add(entry);
        Path file = folder.resolve("recording");
        recording.write(file);
        assertEquals("""
                {"atMs":1.5,"end":"manager:0","peer":"box:1","conn":7,"exchange":2,"kind":"RESPONSE","method":"POST",\
                "target":"/v1/sessions","status":201,"body":"{}","bytes":3}
                """, Files.readString(file));
        assertEquals(List.of(entry), TrafficRecording.read(file));
    }

    @Test
    void kindsOfEntries() {
        assertEquals(
                List.of("OPENED", "REQUEST", "HEAD", "RESPONSE", "EVENT", "ENDED", "CLOSED", "MALFORMED", "MARK"),
                Arrays.stream(Entry.Kind.values()).map(Enum::name).toList());
    }
}
