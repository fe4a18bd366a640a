package calicovale.stitch;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Owns records on disk: an append-only log, each record with its length and checksum and forced before it counts, and a
 * snapshot that replaces the log when it has grown. A torn tail is cut off and reported; a record that is
 * damaged before the end is an error, since what follows it can't be trusted.
 *
 * <p>Not for two processes at once. Times and order are the records' own; the log knows no clock.
 */
public final class RecordLog implements AutoCloseable {
    /** Bytes before a record's text: its length and its CRC-32C. */
    private static final int HEAD = 8;
    /** Most bytes of one record: well above the largest document that the schema permits. */
    private static final int MOST_BYTES = 1 << 20;

    /** What opening found. */
    public record Recovery(List<String> records, int ofSnapshot, long bytesCut) {}

    private final Path log;
    private final Path snapshot;
    private FileChannel channel;
    private long length;

    private RecordLog(Path folder, String name) {
        log = folder.resolve(name + ".log");
        snapshot = folder.resolve(name + ".snapshot");
    }

    /** Opens a log of a folder by its name and reads what it holds, the snapshot's records first. */
    public static Opened open(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        RecordLog result = new RecordLog(folder, name);
        List<String> records = new ArrayList<>();
        if (Files.exists(result.snapshot)) {
            byte[] bytes = Files.readAllBytes(result.snapshot);
            if (read(bytes, records) != bytes.length) {
                // it was moved into place whole, so a tear is damage
                throw new IOException(result.snapshot + " is damaged after " + records.size() + " records");
            }
        }
        int ofSnapshot = records.size();
        result.channel = FileChannel.open(
                result.log, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        byte[] bytes = Files.readAllBytes(result.log);
        int good = read(bytes, records);
        if (good < bytes.length && whole(bytes, good)) {
            result.channel.close();
            throw new IOException(result.log + " is damaged at byte " + good + ", with whole records after it");
        }
        result.channel.truncate(good);
        result.channel.position(good);
        result.channel.force(true);
        result.length = good;
        return new Opened(result, new Recovery(List.copyOf(records), ofSnapshot, bytes.length - good));
    }

    /** A log and what it held. */
    public record Opened(RecordLog log, Recovery recovery) {}

    /** Reads whole records and gives the place after the last of them. */
    private static int read(byte[] bytes, List<String> into) {
        int at = 0;
        String record;
        while ((record = record(bytes, at)) != null) {
            into.add(record);
            at += HEAD + ByteBuffer.wrap(bytes).getInt(at);
        }
        return at;
    }

    private static String record(byte[] bytes, int at) {
        if (bytes.length - at < HEAD) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int size = in.getInt(at);
        if (size <= 0
                || size > MOST_BYTES
                || size > bytes.length - at - HEAD
                || in.getInt(at + 4) != sum(bytes, at + HEAD, size)) {
            return null;
        }
        return new String(bytes, at + HEAD, size, StandardCharsets.UTF_8);
    }

    /** Whether a whole record stands anywhere after a damaged one: then it is no torn tail. */
    private static boolean whole(byte[] bytes, int from) {
        for (int at = from + 1; at + HEAD < bytes.length; at++) {
            if (record(bytes, at) != null) {
                return true;
            }
        }
        return false;
    }

    private static int sum(byte[] bytes, int from, int size) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, size);
        return (int) crc.getValue();
    }

    private static ByteBuffer frame(String record) {
        byte[] text = record.getBytes(StandardCharsets.UTF_8);
        if (text.length == 0 || text.length > MOST_BYTES) {
            throw new IllegalArgumentException("a record has 1 to " + MOST_BYTES + " bytes, not " + text.length);
        }
        return ByteBuffer.allocate(HEAD + text.length)
                .putInt(text.length)
                .putInt(sum(text, 0, text.length))
                .put(text)
                .flip();
    }

    /** Appends a record; it is on disk when this returns. */
    public void append(String record) throws IOException {
        append(List.of(record));
    }

    /**
     * Appends records with one force for all of them; they are on disk when this returns. If it fails none of them counts:
     * what was written of them is cut off again, and where that fails too the next opening does so.
     */
    public void append(List<String> records) throws IOException {
        try {
            ByteBuffer out = frames(records);
            while (out.hasRemaining()) {
                channel.write(out);
            }
            channel.force(false);
            length = channel.position();
        } catch (IOException e) {
            try {
                channel.truncate(length);
                channel.position(length);
            } catch (IOException second) {
                e.addSuppressed(second);
            }
            throw e;
        }
    }

    private static ByteBuffer frames(List<String> records) {
        List<ByteBuffer> each = new ArrayList<>(records.size());
        int bytes = 0;
        for (String record : records) {
            each.add(frame(record));
            bytes += each.get(each.size() - 1).remaining();
        }
        ByteBuffer out = ByteBuffer.allocate(bytes);
        each.forEach(out::put);
        return out.flip();
    }

    /** Bytes of the log since the last snapshot. */
    public long length() {
        return length;
    }

    /**
     * Replaces everything by these records: the snapshot is moved into place whole before the log is emptied. A crash in
     * between leaves both, so records must be such that telling one twice changes nothing.
     */
    public void snapshot(List<String> records) throws IOException {
        Path next = snapshot.resolveSibling(snapshot.getFileName() + ".next");
        try (FileChannel out = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = frames(records);
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(next, snapshot, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        channel.truncate(0);
        channel.position(0);
        channel.force(true);
        length = 0;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
