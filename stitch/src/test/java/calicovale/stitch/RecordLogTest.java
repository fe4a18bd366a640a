package calicovale.stitch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordLogTest {
    @TempDir
    private Path folder;

    private RecordLog.Recovery openAndAppend(String... records) throws IOException {
        RecordLog.Opened opened = RecordLog.open(folder, "changes");
        try (RecordLog log = opened.log()) {
            for (String record : records) {
                log.append(record);
            }
        }
        return opened.recovery();
    }

    @Test
    void appendedRecordsAreReadAfterReopening() throws IOException {
        assertEquals(List.of(), openAndAppend("one", "two").records());
        assertEquals(List.of("one", "two"), openAndAppend("three").records());
        assertEquals(List.of("one", "two", "three"), openAndAppend().records());
    }

    @Test
    void changeStoreKeepsActiveDocumentsAcrossSnapshots() throws IOException {
        java.util.Map<String, String> expected = new java.util.LinkedHashMap<>();
        for (int round = 0; round < 8; round++) {
            try (ChangeStore store = new ChangeStore(folder, 200)) {
                assertEquals(List.copyOf(expected.values()), store.documents());
                for (int i = 0; i < 7; i++) {
                    String id = "c" + (round * 3 + i);
                    String json = "{\"id\":\"" + id + "\",\"round\":" + round + "}";
                    store.add(id, json, null);
                    expected.put(id, json);
                    if (i % 3 == 2) {
                        store.withdraw("c" + (round * 3 + i - 1));
                        expected.remove("c" + (round * 3 + i - 1));
                    }
                }
            }
        }
        org.junit.jupiter.api.Assertions.assertTrue(Files.size(folder.resolve("changes.snapshot")) > 0);
    }

    @Test
    void tornTailIsTruncatedAtAnyByteAndTheLogStaysUsable() throws IOException {
        openAndAppend("one", "two");
        byte[] completeLog = Files.readAllBytes(folder.resolve("changes.log"));
        int secondRecordOffset = 8 + 3;
        for (int cut = secondRecordOffset + 1; cut < completeLog.length; cut++) {
            Files.write(folder.resolve("changes.log"), java.util.Arrays.copyOf(completeLog, cut));
            RecordLog.Recovery recovery = openAndAppend("after");
            assertEquals(List.of("one"), recovery.records());
            assertEquals(cut - secondRecordOffset, recovery.truncatedBytes());
            assertEquals(List.of("one", "after"), openAndAppend().records());
        }
    }

    @Test
    void damageBeforeTheEndFailsToOpenAndLeavesTheFileUnchanged() throws IOException {
        openAndAppend("one", "two", "three");
        Path file = folder.resolve("changes.log");
        byte[] bytes = Files.readAllBytes(file);
        bytes[9] ^= 1;
        Files.write(file, bytes);
        assertThrows(IOException.class, () -> RecordLog.open(folder, "changes"));
        assertEquals(bytes.length, Files.size(file));
    }

    @Test
    void crashBetweenSnapshotAndTruncationLosesNoRecord() throws IOException {
        openAndAppend("one", "two");
        byte[] logBeforeSnapshot = Files.readAllBytes(folder.resolve("changes.log"));
        try (RecordLog log = RecordLog.open(folder, "changes").log()) {
            log.snapshot(List.of("both"));
            assertEquals(0, log.length());
            log.append("three");
        }
        RecordLog.Recovery recovery = openAndAppend();
        assertEquals(List.of("both", "three"), recovery.records());
        assertEquals(1, recovery.snapshotRecords());
        // state after a crash: the snapshot is in place and the log is not yet emptied
        Files.write(folder.resolve("changes.log"), logBeforeSnapshot);
        assertEquals(List.of("both", "one", "two"), openAndAppend().records());
        byte[] snapshot = Files.readAllBytes(folder.resolve("changes.snapshot"));
        Files.write(folder.resolve("changes.snapshot"), java.util.Arrays.copyOf(snapshot, snapshot.length - 1));
        assertThrows(IOException.class, () -> RecordLog.open(folder, "changes"));
    }
}
