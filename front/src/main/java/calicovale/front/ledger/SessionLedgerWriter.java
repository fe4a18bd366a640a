package calicovale.front.ledger;

import calicovale.host.Counters;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.RecordLog;
import calicovale.stitch.SessionLedger;
import calicovale.stitch.SessionLedger.Entry;
import calicovale.stitch.SessionLedger.Showing;
import calicovale.stitch.SessionLedger.Update;
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
 * Writes the session ledger from the loop to the disk with group commit: updates that are recorded while a write is in
 * progress are written together by the next one, so that one force to disk serves all of them. The number of pending
 * entries is bounded by the number of sessions held, because a later entry of a session replaces its earlier one. When
 * a write fails, the failure is logged and counted, the front continues without the ledger, and the updates are written
 * again with the next attempt. Only for use on the loop's thread or before the loop starts, except {@link
 * #setDiskFault}, {@link #kill} and {@link #close}.
 */
public final class SessionLedgerWriter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(SessionLedgerWriter.class);
    /** Length of the log, in bytes, above which it is replaced by a snapshot; about 20,000 entries. */
    private static final long SNAPSHOT_MIN_LOG_BYTES = 4 << 20;
    /**
     * Delay before the next attempt after a failed write, in ms, so that a full disk is not written to continuously.
     */
    private static final double RETRY_DELAY_MS = 1000;

    /** A disk fault that rehearsals inject. It runs on the disk thread before each write. */
    public interface DiskFault {
        /** No fault. */
        DiskFault NONE = () -> {};

        /** Delays the write, or throws to make it fail. */
        void beforeWrite() throws IOException;
    }

    private final EventLoop loop;
    private final Supplier<Set<String>> activeChangeIds;
    private final DoubleSupplier nowMs;
    private final Counters counters;
    private final SessionLedger ledger;
    private final ExecutorService diskExecutor;
    private volatile DiskFault diskFault = DiskFault.NONE;
    private Map<String, Entry> entries = new LinkedHashMap<>();
    private Set<String> endedTokens = new LinkedHashSet<>();
    private List<Showing> showings = new ArrayList<>();
    private List<Runnable> pendingCallbacks = new ArrayList<>();
    private boolean aliveNoteDue;
    private boolean writeInProgress;
    private boolean lastWriteFailed;

    /**
     * Opens the ledger of a folder.
     *
     * @param folder folder of the ledger, or null to keep nothing; callbacks of {@link #whenWritten} then run at once
     * @param activeChangeIds returns the ids of the changes in effect; a snapshot drops the showings of all others
     * @param nowMs returns the common time, in ms since 1970
     * @param aliveEveryMs interval between two notes in the ledger that this process is running, in ms
     * @throws IOException if the ledger cannot be opened
     */
    public SessionLedgerWriter(
            EventLoop loop,
            Path folder,
            Supplier<Set<String>> activeChangeIds,
            DoubleSupplier nowMs,
            double aliveEveryMs,
            Counters counters)
            throws IOException {
        this.loop = loop;
        this.activeChangeIds = activeChangeIds;
        this.nowMs = nowMs;
        this.counters = counters;
        ledger = folder == null ? null : new SessionLedger(folder, SNAPSHOT_MIN_LOG_BYTES);
        diskExecutor = folder == null
                ? null
                : Executors.newSingleThreadExecutor(task -> {
                    Thread thread = new Thread(task, "sessions-log");
                    thread.setDaemon(true);
                    return thread;
                });
        if (ledger != null) {
            if (ledger.recovery().truncatedBytes() > 0) {
                counters.increment("sessions-log-torn");
            }
            LOG.info(
                    "session ledger: {} sessions found; cut {} bytes of an incomplete record",
                    ledger.entries().size(),
                    ledger.recovery().truncatedBytes());
            loop.execute(() -> scheduleAliveNotes(aliveEveryMs));
        }
    }

    /** Notes now, and then at each interval, that this process is running. */
    private void scheduleAliveNotes(double everyMs) {
        if (!lastWriteFailed) {
            aliveNoteDue = true;
            writePending();
        }
        loop.schedule(everyMs, () -> scheduleAliveNotes(everyMs));
    }

    /** Returns whether there is a ledger. */
    public boolean isEnabled() {
        return ledger != null;
    }

    /** Returns the sessions read from the ledger at the start. Must be called before the first entry is recorded. */
    public Collection<Entry> recoveredEntries() {
        return ledger == null ? List.of() : ledger.entries();
    }

    /** Returns the showings of changes read from the ledger at the start. */
    public List<Showing> recoveredShowings() {
        return ledger == null ? List.of() : ledger.showings();
    }

    /**
     * Returns the last common time, in ms since 1970, at which the previous process is known to have run; 0 if none is.
     */
    public double recoveredAliveMs() {
        return ledger == null ? 0 : ledger.aliveMs();
    }

    /** Sets the fault of the disk, from any thread. */
    public void setDiskFault(DiskFault fault) {
        diskFault = fault;
    }

    /** Records a session's entry, which replaces its pending one. It is written by the next write. */
    public void recordEntry(Entry entry) {
        if (isEnabled()) {
            endedTokens.remove(entry.token());
            entries.put(entry.token(), entry);
        }
    }

    /** Records that a session has ended. It is written by the next write. */
    public void recordEnd(String token) {
        if (isEnabled()) {
            entries.remove(token);
            endedTokens.add(token);
        }
    }

    /** Records that a change is shown, under the keys of the showing. */
    public void recordShowings(String changeId, Collection<String> keys) {
        if (isEnabled()) {
            keys.forEach(key -> showings.add(new Showing(changeId, key)));
        }
    }

    /**
     * Runs a callback on the loop once everything recorded so far is on disk or its write has failed. While the last
     * write has failed, or without a ledger, the callback runs at once.
     */
    public void whenWritten(Runnable callback) {
        if (!isEnabled()) {
            callback.run();
            return;
        }
        if (lastWriteFailed) {
            callback.run();
            return;
        }
        pendingCallbacks.add(callback);
        writePending();
    }

    /**
     * Writes everything pending as one batch, unless a write is in progress or neither a callback nor a note is due.
     */
    private void writePending() {
        // after a failed write, whenWritten runs callbacks at once, so nothing is written before the retry sets
        // aliveNoteDue
        if (writeInProgress || !aliveNoteDue && pendingCallbacks.isEmpty()) {
            return;
        }
        Map<String, Entry> batchEntries = entries;
        Set<String> batchEndedTokens = endedTokens;
        List<Showing> batchShowings = showings;
        List<Runnable> batchCallbacks = pendingCallbacks;
        entries = new LinkedHashMap<>();
        endedTokens = new LinkedHashSet<>();
        showings = new ArrayList<>();
        pendingCallbacks = new ArrayList<>();
        aliveNoteDue = false;
        writeInProgress = true;
        Update update = new Update(batchEntries.values(), batchEndedTokens, batchShowings, nowMs.getAsDouble());
        Set<String> activeIds = activeChangeIds.get();
        try {
            diskExecutor.execute(() -> {
                IOException error = null;
                try {
                    diskFault.beforeWrite();
                    ledger.write(update, activeIds);
                } catch (IOException e) {
                    error = e;
                }
                IOException result = error;
                try {
                    loop.execute(() -> {
                        writeInProgress = false;
                        if (result == null) {
                            counters.increment("sessions-log-writes");
                            if (lastWriteFailed) {
                                LOG.warn("session ledger: writing to the folder in /sessionsFolder works again");
                            }
                            lastWriteFailed = false;
                        } else {
                            onWriteFailed(result, batchEntries, batchEndedTokens, batchShowings);
                        }
                        batchCallbacks.forEach(Runnable::run);
                        if (result == null) {
                            writePending();
                        }
                    });
                } catch (RejectedExecutionException e) {
                    LOG.info("session ledger: the result of a write is dropped: the event loop has stopped");
                }
            });
        } catch (RejectedExecutionException e) {
            // the writer was closed: the callbacks run without a write
            writeInProgress = false;
            batchCallbacks.forEach(Runnable::run);
        }
    }

    /** Makes the updates of a failed batch pending again and schedules the next attempt. */
    private void onWriteFailed(
            IOException error,
            Map<String, Entry> batchEntries,
            Set<String> batchEndedTokens,
            List<Showing> batchShowings) {
        counters.increment("sessions-log-failed");
        if (!lastWriteFailed) {
            LOG.error(
                    "cannot write the session ledger in the folder of the setting /sessionsFolder; sessions continue"
                            + " without it, and the write is tried again every {} ms: {}",
                    (long) RETRY_DELAY_MS,
                    RecordLog.failureReason(error));
        }
        lastWriteFailed = true;
        // updates of the failed batch are pending again, except where a newer one of the same session was recorded
        batchEntries.forEach((token, entry) -> {
            if (!endedTokens.contains(token)) {
                entries.putIfAbsent(token, entry);
            }
        });
        batchEndedTokens.stream().filter(token -> !entries.containsKey(token)).forEach(endedTokens::add);
        showings.addAll(0, batchShowings);
        aliveNoteDue = false;
        loop.schedule(RETRY_DELAY_MS, () -> {
            aliveNoteDue = true;
            writePending();
        });
    }

    /** Returns whether the last write failed. */
    public boolean isFailing() {
        return lastWriteFailed;
    }

    /** Stops abruptly, like a killed process: pending updates are lost, and a write in progress may be incomplete. */
    public void kill() {
        if (isEnabled()) {
            diskExecutor.shutdownNow();
            closeLedger();
        }
    }

    @Override
    public void close() {
        if (isEnabled()) {
            diskExecutor.shutdown();
            closeLedger();
        }
    }

    private void closeLedger() {
        try {
            if (!diskExecutor.awaitTermination(5, TimeUnit.SECONDS)) {
                LOG.warn("session ledger: the last write did not finish within 5 s");
            }
            ledger.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.warn(
                    "cannot close the session ledger in the folder of the setting /sessionsFolder: {}",
                    RecordLog.failureReason(e));
        }
    }
}
