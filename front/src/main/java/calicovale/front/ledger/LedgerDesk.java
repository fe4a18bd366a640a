package calicovale.front.ledger;

import calicovale.host.Counters;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.SessionLedger;
import calicovale.stitch.SessionLedger.Entry;
import calicovale.stitch.SessionLedger.Showing;
import calicovale.stitch.SessionLedger.Steps;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the ledger's writing between the loop and the disk: steps gather on the loop while one write is under way and go out
 * together with the next (group commit), so that one force serves however many sessions came meanwhile. What waits is bounded
 * by the sessions held, since a session's later step replaces its earlier one. A disk that fails is told of and counted; the
 * front goes on without it, and the steps are tried again with the next write.
 */
public final class LedgerDesk implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LedgerDesk.class);
    /** Bytes of the log from which it is replaced by a snapshot: some 20,000 steps. */
    private static final long SNAPSHOT_BYTES = 4 << 20;
    /** Wait after a write that failed, in ms: a full disk is not hammered. */
    private static final double AFTER_FAILURE_MS = 1000;

    /** What a disk can be told to do wrong, for rehearsals; runs on the disk's thread before each write. */
    public interface DiskFault {
        /** A disk without a fault. */
        DiskFault NONE = () -> {};

        /** Waits or throws. */
        void beforeWrite() throws IOException;
    }

    private final EventLoop loop;
    private final Supplier<Set<String>> changes;
    private final DoubleSupplier nowMs;
    private final Counters counters;
    private final SessionLedger ledger;
    private final ExecutorService disk;
    private volatile DiskFault fault = DiskFault.NONE;
    private Map<String, Entry> entries = new LinkedHashMap<>();
    private Set<String> over = new LinkedHashSet<>();
    private List<Showing> showings = new ArrayList<>();
    private List<Runnable> waiting = new ArrayList<>();
    private boolean alive;
    private boolean writing;
    private boolean failed;

    /**
     * Opens the ledger of a folder; null: nothing is kept, and everything counts as kept at once.
     *
     * @param changes the ids of changes that count now: showings of others are forgotten with a snapshot
     * @param nowMs the common time
     * @param aliveEveryMs between two notes that this process still runs
     */
    public LedgerDesk(
            EventLoop loop,
            Path folder,
            Supplier<Set<String>> changes,
            DoubleSupplier nowMs,
            double aliveEveryMs,
            Counters counters)
            throws IOException {
        this.loop = loop;
        this.changes = changes;
        this.nowMs = nowMs;
        this.counters = counters;
        ledger = folder == null ? null : new SessionLedger(folder, SNAPSHOT_BYTES);
        disk = folder == null
                ? null
                : Executors.newSingleThreadExecutor(body -> {
                    Thread thread = new Thread(body, "sessions-log");
                    thread.setDaemon(true);
                    return thread;
                });
        if (ledger != null) {
            if (ledger.recovery().bytesCut() > 0) {
                counters.increment("sessions-log-torn");
            }
            LOG.info(
                    "sessions: {} found, {} bytes of a torn tail cut",
                    ledger.entries().size(),
                    ledger.recovery().bytesCut());
            loop.execute(() -> note(aliveEveryMs));
        }
    }

    private void note(double everyMs) {
        if (!failed) {
            alive = true;
            write();
        }
        loop.schedule(everyMs, () -> note(everyMs));
    }

    /** Whether anything is kept. */
    public boolean on() {
        return ledger != null;
    }

    /** Sessions found at the start; to be asked before the first step is told. */
    public Collection<Entry> foundEntries() {
        return ledger == null ? List.of() : ledger.entries();
    }

    /** Showings found at the start. */
    public List<Showing> foundShowings() {
        return ledger == null ? List.of() : ledger.showings();
    }

    /** The last common time at which the process before is known to have run. */
    public double foundAliveMs() {
        return ledger == null ? 0 : ledger.aliveMs();
    }

    /** Sets what the disk does wrong. */
    public void fault(DiskFault what) {
        fault = what;
    }

    /** Tells a session's step. */
    public void keep(Entry entry) {
        if (on()) {
            over.remove(entry.token());
            entries.put(entry.token(), entry);
        }
    }

    /** Tells that a session is over; it is written with what comes next. */
    public void over(String token) {
        if (on()) {
            entries.remove(token);
            over.add(token);
        }
    }

    /** Tells that a change is shown. */
    public void shown(String change, Collection<String> names) {
        if (on()) {
            names.forEach(name -> showings.add(new Showing(change, name)));
        }
    }

    /** Calls {@code body} on the loop once all that was told until now is on disk, or the disk failed with it. */
    public void whenKept(Runnable body) {
        if (!on()) {
            body.run();
            return;
        }
        if (failed) {
            body.run();
            return;
        }
        waiting.add(body);
        write();
    }

    private void write() {
        // after a failure only the next try, in its time, goes out: until then what waits is served without the disk
        if (writing || !alive && waiting.isEmpty()) {
            return;
        }
        Map<String, Entry> ofEntries = entries;
        Set<String> ofOver = over;
        List<Showing> ofShowings = showings;
        List<Runnable> kept = waiting;
        entries = new LinkedHashMap<>();
        over = new LinkedHashSet<>();
        showings = new ArrayList<>();
        waiting = new ArrayList<>();
        alive = false;
        writing = true;
        Steps steps = new Steps(ofEntries.values(), ofOver, ofShowings, nowMs.getAsDouble());
        Set<String> counting = changes.get();
        try {
            disk.execute(() -> {
                IOException error = null;
                try {
                    fault.beforeWrite();
                    ledger.write(steps, counting);
                } catch (IOException e) {
                    error = e;
                }
                IOException result = error;
                try {
                    loop.execute(() -> {
                        writing = false;
                        if (result == null) {
                            counters.increment("sessions-log-writes");
                            if (failed) {
                                LOG.warn("sessions: the disk is written again");
                            }
                            failed = false;
                        } else {
                            failed(result, ofEntries, ofOver, ofShowings);
                        }
                        kept.forEach(Runnable::run);
                        if (result == null) {
                            write();
                        }
                    });
                } catch (RejectedExecutionException e) {
                    LOG.info("sessions: the loop has ended");
                }
            });
        } catch (RejectedExecutionException e) {
            // it was closed: what waits is served without the disk
            writing = false;
            kept.forEach(Runnable::run);
        }
    }

    private void failed(IOException error, Map<String, Entry> ofEntries, Set<String> ofOver, List<Showing> ofShowings) {
        counters.increment("sessions-log-failed");
        if (!failed) {
            LOG.error("sessions: the disk can't be written, the front goes on without it: {}", error.toString());
        }
        failed = true;
        // a newer step of the same session stands
        ofEntries.forEach((token, entry) -> {
            if (!over.contains(token)) {
                entries.putIfAbsent(token, entry);
            }
        });
        ofOver.stream().filter(token -> !entries.containsKey(token)).forEach(over::add);
        showings.addAll(0, ofShowings);
        alive = false;
        loop.schedule(AFTER_FAILURE_MS, () -> {
            alive = true;
            write();
        });
    }

    /** Whether the last write failed. */
    public boolean failing() {
        return failed;
    }

    /** Ends the writing as a killed process would: what is under way may be torn. */
    public void kill() {
        if (on()) {
            disk.shutdownNow();
            end();
        }
    }

    @Override
    public void close() {
        if (on()) {
            disk.shutdown();
            end();
        }
    }

    private void end() {
        try {
            if (!disk.awaitTermination(5, TimeUnit.SECONDS)) {
                LOG.warn("sessions: the disk does not end");
            }
            ledger.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.warn("sessions: {}", e.toString());
        }
    }
}
