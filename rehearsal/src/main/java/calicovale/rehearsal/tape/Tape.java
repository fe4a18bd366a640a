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

/** Owns the records of one rehearsal, from all ends, in the order of the one clock. */
public final class Tape {
    /** Most entries kept: a bound against a day that is larger than memory. */
    private static final int MOST = 20_000_000;

    private final Clock clock;
    private final List<Entry> entries = new ArrayList<>();
    private boolean overrun;

    /** {@code clock} is the one clock by which all entries are dated. */
    public Tape(Clock clock) {
        this.clock = clock;
    }

    /** The time now. */
    public double nowMs() {
        return clock.nanos() / 1e6;
    }

    /** Adds an entry, from any thread. */
    public synchronized void add(Entry entry) {
        if (entries.size() < MOST) {
            entries.add(entry);
        } else {
            overrun = true;
        }
    }

    /** Adds a mark of the script. */
    public void mark(String what, String concerned, String detail) {
        add(new Entry(nowMs(), "script", concerned, 0, 0, Entry.Kind.MARK, what, null, 0, detail, 0));
    }

    /** Whether entries were dropped at the bound: the run can't be judged then. */
    public synchronized boolean overrun() {
        return overrun;
    }

    /** All entries, in the order of their time. */
    public synchronized List<Entry> entries() {
        List<Entry> result = new ArrayList<>(entries);
        result.sort(Comparator.comparingDouble(Entry::atMs));
        return result;
    }

    /** Writes all entries, a JSON line each. */
    public void write(Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Entry entry : entries()) {
                out.write(Documents.MAPPER.writeValueAsString(entry));
                out.write('\n');
            }
        }
    }

    /** Reads entries as written. */
    public static List<Entry> read(Path file) throws IOException {
        List<Entry> result = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            result.add(Documents.MAPPER.readValue(line, Entry.class));
        }
        return result;
    }
}
