package calicovale.rehearsal.tape;

import calicovale.protocols.json.Documents;
import calicovale.protocols.net.Clock;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The recording of one rehearsal: the entries of all processes, dated by one clock. Thread-safe. */
public final class TrafficRecording {
    /** Maximum number of entries kept, so that the recording of a long day does not exhaust the heap. */
    private static final int MAX_ENTRIES = 20_000_000;

    private final Clock clock;
    private final List<Entry> entries = new ArrayList<>();
    private boolean truncated;

    /**
     * Creates an empty recording.
     *
     * @param clock the clock by which all entries are dated
     */
    public TrafficRecording(Clock clock) {
        this.clock = clock;
    }

    /** Returns the current time of the recording's clock, in ms. */
    public double nowMs() {
        return clock.nanos() / 1e6;
    }

    /** Adds an entry, or drops it if the maximum number of entries is reached. May be called from any thread. */
    public synchronized void add(Entry entry) {
        if (entries.size() < MAX_ENTRIES) {
            entries.add(entry);
        } else {
            truncated = true;
        }
    }

    /**
     * Adds a mark of the script, dated now.
     *
     * @param kind the kind of the mark
     * @param subject the process or fault that the mark is about
     * @param detail further data, or null
     */
    public void mark(String kind, String subject, String detail) {
        add(new Entry(nowMs(), "script", subject, 0, 0, Entry.Kind.MARK, kind, null, 0, detail, 0));
    }

    /** Returns whether entries were dropped at the maximum; the run cannot be judged then. */
    public synchronized boolean isTruncated() {
        return truncated;
    }

    /** Returns a copy of all entries, sorted by time. */
    public synchronized List<Entry> entries() {
        List<Entry> result = new ArrayList<>(entries);
        result.sort(Comparator.comparingDouble(Entry::atMs));
        return result;
    }

    /** Writes all entries to a file, one JSON object a line. */
    public void write(Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Entry entry : entries()) {
                out.write(Documents.MAPPER.writeValueAsString(entry));
                out.write('\n');
            }
        }
    }

    /** Reads the entries of a file written by {@link #write}. */
    public static List<Entry> read(Path file) throws IOException {
        List<Entry> result = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            result.add(Documents.MAPPER.readValue(line, Entry.class));
        }
        return result;
    }
}
