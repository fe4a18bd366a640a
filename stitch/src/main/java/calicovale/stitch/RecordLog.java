package calicovale.stitch;

import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A durable, append-only log of text records, with a snapshot that replaces the log when it has grown. Each record is
 * framed by its length and its checksum and is forced to disk before {@link #append} returns. A torn tail is truncated
 * and reported. A damaged record before the end is an error, because the records after it cannot be trusted.
 *
 * <p>Only one process may open a log at a time. The log adds no timestamps or sequence numbers to the records.
 */
public final class RecordLog implements AutoCloseable {
    /** Bytes before a record's text, which hold its length and its CRC-32C. */
    private static final int HEADER_BYTES = 8;
    /** Maximum bytes of a record's text. Well above the largest document that the schema permits. */
    private static final int MAX_RECORD_BYTES = 1 << 20;

    /**
     * What was read when a log was opened.
     *
     * @param records all records, those of the snapshot first
     * @param snapshotRecords number of records that came from the snapshot
     * @param truncatedBytes bytes of a torn tail that were truncated
     */
    public record Recovery(List<String> records, int snapshotRecords, long truncatedBytes) {}

    private final Path log;
    private final Path snapshot;
    private FileChannel channel;
    private long lengthBytes;

    private RecordLog(Path folder, String name) {
        log = folder.resolve(name + ".log");
        snapshot = folder.resolve(name + ".snapshot");
    }

    /**
     * Opens or creates a log and reads its records.
     *
     * @param name file name of the log without its extension
     * @throws IOException if the files cannot be read, or if they are damaged other than by a torn tail
     */
    public static Opened open(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        RecordLog result = new RecordLog(folder, name);
        List<String> records = new ArrayList<>();
        if (Files.exists(result.snapshot)) {
            byte[] bytes = Files.readAllBytes(result.snapshot);
            if (readRecords(bytes, records) != bytes.length) {
                // a snapshot is moved into place only when complete, so a torn tail means damage
                throw new IOException(result.snapshot + " is damaged after " + records.size() + " records");
            }
        }
        int snapshotRecords = records.size();
        result.channel = FileChannel.open(
                result.log, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        byte[] bytes = Files.readAllBytes(result.log);
        int validBytes = readRecords(bytes, records);
        if (validBytes < bytes.length && hasIntactRecordAfter(bytes, validBytes)) {
            result.channel.close();
            throw new IOException(result.log + " is damaged at byte " + validBytes + ", with intact records after it");
        }
        result.channel.truncate(validBytes);
        result.channel.position(validBytes);
        result.channel.force(true);
        result.lengthBytes = validBytes;
        return new Opened(result, new Recovery(List.copyOf(records), snapshotRecords, bytes.length - validBytes));
    }

    /**
     * Returns why a log could not be opened, written or closed, in words for operators. The messages of the exceptions
     * below name only a file or classes, or there is no message.
     */
    public static String failureReason(IOException e) {
        if (e instanceof JsonProcessingException notJson) {
            return "a record is not valid (" + Documents.notJsonReason(notJson) + ")";
        }
        if (e instanceof NoSuchFileException) {
            return "the folder or a file in it does not exist";
        }
        if (e instanceof FileAlreadyExistsException) {
            return "a file has the name of the folder";
        }
        if (e instanceof ClosedChannelException) {
            return "the log is closed";
        }
        return e.getMessage() == null ? "input or output failed" : Documents.unreadableReason(e);
    }

    /** An open log, and what was read from it. */
    public record Opened(RecordLog log, Recovery recovery) {}

    /** Adds all records up to the first incomplete or damaged one. Returns the offset after the last added record. */
    private static int readRecords(byte[] bytes, List<String> records) {
        int offset = 0;
        String record;
        while ((record = readRecord(bytes, offset)) != null) {
            records.add(record);
            offset += HEADER_BYTES + ByteBuffer.wrap(bytes).getInt(offset);
        }
        return offset;
    }

    /** Returns the record at an offset, or null if there is none or it is incomplete or damaged. */
    private static String readRecord(byte[] bytes, int offset) {
        if (bytes.length - offset < HEADER_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int size = buffer.getInt(offset);
        if (size <= 0
                || size > MAX_RECORD_BYTES
                || size > bytes.length - offset - HEADER_BYTES
                || buffer.getInt(offset + 4) != checksum(bytes, offset + HEADER_BYTES, size)) {
            return null;
        }
        return new String(bytes, offset + HEADER_BYTES, size, StandardCharsets.UTF_8);
    }

    /** Returns whether any intact record follows a damaged one, in which case the damage is not a torn tail. */
    private static boolean hasIntactRecordAfter(byte[] bytes, int damagedOffset) {
        for (int offset = damagedOffset + 1; offset + HEADER_BYTES < bytes.length; offset++) {
            if (readRecord(bytes, offset) != null) {
                return true;
            }
        }
        return false;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    private static ByteBuffer encodeRecord(String record) {
        byte[] text = record.getBytes(StandardCharsets.UTF_8);
        if (text.length == 0 || text.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("a record has 1 to " + MAX_RECORD_BYTES + " bytes, not " + text.length);
        }
        return ByteBuffer.allocate(HEADER_BYTES + text.length)
                .putInt(text.length)
                .putInt(checksum(text, 0, text.length))
                .put(text)
                .flip();
    }

    /** Appends a record. It is on disk when this method returns. */
    public void append(String record) throws IOException {
        append(List.of(record));
    }

    /**
     * Appends records and forces them to disk together. They are on disk when this method returns.
     *
     * @throws IOException if writing fails. None of the records is then part of the log, because any bytes written are
     *     truncated again. If the truncation fails too, the next {@link #open} truncates them.
     */
    public void append(List<String> records) throws IOException {
        try {
            ByteBuffer buffer = encodeRecords(records);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(false);
            lengthBytes = channel.position();
        } catch (IOException e) {
            try {
                channel.truncate(lengthBytes);
                channel.position(lengthBytes);
            } catch (IOException truncateFailure) {
                e.addSuppressed(truncateFailure);
            }
            throw e;
        }
    }

    private static ByteBuffer encodeRecords(List<String> records) {
        List<ByteBuffer> encoded = new ArrayList<>(records.size());
        int totalBytes = 0;
        for (String record : records) {
            encoded.add(encodeRecord(record));
            totalBytes += encoded.get(encoded.size() - 1).remaining();
        }
        ByteBuffer buffer = ByteBuffer.allocate(totalBytes);
        encoded.forEach(buffer::put);
        return buffer.flip();
    }

    /** Returns the length of the log since the last snapshot, in bytes. */
    public long length() {
        return lengthBytes;
    }

    /**
     * Replaces the snapshot and the log by a snapshot with these records. The complete snapshot is moved into
     * place before the log is emptied. After a crash in between, both are read, so applying a record twice must
     * have no further effect.
     */
    public void snapshot(List<String> records) throws IOException {
        Path newSnapshot = snapshot.resolveSibling(snapshot.getFileName() + ".next");
        try (FileChannel out = FileChannel.open(
                newSnapshot,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE)) {
            ByteBuffer bytes = encodeRecords(records);
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(newSnapshot, snapshot, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        channel.truncate(0);
        channel.position(0);
        channel.force(true);
        lengthBytes = 0;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
