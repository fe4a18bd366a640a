package calicovale.front.operators;

import calicovale.front.settings.FrontSettings;
import calicovale.host.Counters;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.ActiveChanges;
import calicovale.stitch.Change;
import calicovale.stitch.ChangeStore;
import calicovale.stitch.RecordLog;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes programme changes from operators, over HTTP and from a watched folder. A change takes effect, and its request
 * is answered, once it is on disk; without a folder for the log it takes effect at once. One thread does all disk
 * work, in order. The active changes are used on the loop's thread only.
 */
public final class ChangeService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeService.class);
    private static final String CHANGES_PATH = "/v1/changes";
    /** Upper bound of the tasks that wait for the disk thread. */
    private static final int MAX_QUEUED_DISK_TASKS = 64;
    /** Length of the log, in bytes, above which it is replaced by a snapshot. */
    private static final long SNAPSHOT_MIN_LOG_BYTES = 1 << 20;
    /**
     * Delay, in ms, after which a document of the watched folder that could not be written to disk is tried again. This
     * is repeated until it is written.
     */
    private static final double RETRY_DELAY_MS = 200;

    private final EventLoop loop;
    private final ActiveChanges activeChanges;
    private final DoubleSupplier nowMs;
    private final FrontSettings settings;
    private final Runnable onChange;
    private final Function<String, ObjectNode> changeCounts;
    private final Counters counters;
    private final ThreadPoolExecutor diskExecutor;
    private final ChangeStore store;
    private final FolderScanner folderScanner;
    /** Ids of changes, by the name of the watched file that they came from. */
    private final Map<String, String> changeIdsByFile = new HashMap<>();

    /**
     * Adds the changes in the log of the settings' /changesFolder to the active ones and starts to scan the watched
     * folder, if there is one.
     *
     * @param nowMs returns the common time, in ms since 1970
     * @param onChange runs after each modification of the active changes
     * @param changeCounts returns, for a change's id, how many of this manager's sessions were shown the change, wait
     *     for it, left it out, or had it cut short
     * @throws IOException if the log cannot be opened or holds an invalid record
     */
    public ChangeService(
            EventLoop loop,
            ActiveChanges activeChanges,
            DoubleSupplier nowMs,
            FrontSettings settings,
            Runnable onChange,
            Function<String, ObjectNode> changeCounts,
            Counters counters)
            throws IOException {
        this.loop = loop;
        this.nowMs = nowMs;
        this.activeChanges = activeChanges;
        this.settings = settings;
        this.onChange = onChange;
        this.changeCounts = changeCounts;
        this.counters = counters;
        diskExecutor = new ThreadPoolExecutor(
                1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_DISK_TASKS), task -> {
                    Thread thread = new Thread(task, "changes-log");
                    thread.setDaemon(true);
                    return thread;
                });
        folderScanner = settings.changesWatch() == null
                ? null
                : new FolderScanner(settings.changesWatch(), settings.bounds().watched());
        store = settings.changesFolder() == null
                ? null
                : new ChangeStore(settings.changesFolder(), SNAPSHOT_MIN_LOG_BYTES);
        if (store != null) {
            recover();
        }
        if (folderScanner != null) {
            folderScanner.addKnownFiles(changeIdsByFile.keySet());
        }
        loop.execute(this::runPeriodicWork);
    }

    /** Adds the changes in the log to the active ones. */
    private void recover() throws IOException {
        for (String document : store.documents()) {
            try {
                // parsed without keys, because the signature was checked when the change was accepted, and the keys in
                // the settings may have been replaced since
                activeChanges.add(Change.parse("changes.log", document));
            } catch (InvalidDocumentException e) {
                throw new IOException(
                        "the log of programme changes has a record that is not a valid change: " + e.getMessage());
            }
        }
        store.sourceFiles().forEach((id, file) -> changeIdsByFile.put(file, id));
        RecordLog.Recovery recovery = store.recovery();
        LOG.info(
                "log of programme changes: {} records ({} of the snapshot); cut {} bytes of an incomplete record",
                recovery.records().size(),
                recovery.snapshotRecords(),
                recovery.truncatedBytes());
        if (recovery.truncatedBytes() > 0) {
            counters.increment("changes-log-torn");
        }
    }

    /** A write to the log of changes, run on the disk thread. */
    private interface DiskWrite {
        void write() throws IOException;
    }

    /** Receives the outcome of an addition or a withdrawal. One of its methods is called, once. */
    private interface Reply {
        /**
         * The addition or withdrawal is on disk.
         *
         * @param active whether it is in effect; false if the change takes effect after the next start
         * @param change the change added, or null after a withdrawal
         */
        void accepted(boolean active, Change change);

        /** It was refused, with the HTTP status and title of the response; {@code faults} has at least one entry. */
        void refused(int status, String title, List<String> faults);
    }

    // --- HTTP endpoint ---

    /** Handles one HTTP exchange of an operator. */
    public void handle(Exchange exchange) {
        removeExpiredChanges();
        String path = exchange.head().path();
        String method = exchange.head().method();
        String id = path.startsWith(CHANGES_PATH + "/") ? path.substring(CHANGES_PATH.length() + 1) : null;
        if (path.equals(CHANGES_PATH) && method.equals("GET")) {
            respondWithAllChanges(exchange);
        } else if (path.equals(CHANGES_PATH) && method.equals("POST")) {
            add(new String(exchange.body(), StandardCharsets.UTF_8), "change", null, httpReply(exchange));
        } else if (id != null && method.equals("GET")) {
            respondWithChange(exchange, id);
        } else if (id != null && method.equals("DELETE")) {
            withdraw(id, httpReply(exchange));
        } else {
            exchange.problem(
                    404,
                    "Not Found",
                    "GET and POST " + CHANGES_PATH + ", GET and DELETE " + CHANGES_PATH + "/ID are expected");
        }
    }

    /** Removes changes whose time of validity is over. */
    private void removeExpiredChanges() {
        long versionBefore = activeChanges.version();
        activeChanges.removeExpired(nowMs.getAsDouble());
        if (activeChanges.version() != versionBefore) {
            onChange.run();
        }
    }

    /** Returns a reply that responds to an exchange. */
    private Reply httpReply(Exchange exchange) {
        return new Reply() {
            @Override
            public void accepted(boolean active, Change change) {
                if (change == null) {
                    exchange.respond(204);
                } else {
                    exchange.respond(active ? 201 : 202, "application/json", change.json());
                }
            }

            @Override
            public void refused(int status, String title, List<String> faults) {
                ArrayNode all = Documents.MAPPER.createArrayNode();
                faults.forEach(all::add);
                Headers headers = status == 503 ? new Headers().add("Retry-After", "1") : new Headers();
                exchange.problem(status, headers, title, faults.get(0), ",\"faults\":" + all);
            }
        };
    }

    private void respondWithAllChanges(Exchange exchange) {
        ArrayNode all = Documents.MAPPER.createArrayNode();
        try {
            for (Change change : activeChanges.changes()) {
                all.add(Documents.MAPPER.readTree(change.json()));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        exchange.respond(200, "application/json", all.toString());
    }

    private void respondWithChange(Exchange exchange, String id) {
        Change change = activeChanges.get(id);
        if (change == null) {
            exchange.problem(404, "Not Found", "no change " + id);
            return;
        }
        exchange.respond(
                200,
                "application/json",
                "{\"change\":" + change.json() + ",\"sessions\":" + changeCounts.apply(id) + "}");
    }

    // --- Additions and withdrawals ---

    /**
     * Adds or replaces a change.
     *
     * @param document the change as JSON
     * @param name name of the document, with which each fault begins
     * @param file name of the watched file that it came from, or null
     */
    private void add(String document, String name, String file, Reply reply) {
        Change change;
        try {
            change = Change.parse(name, document, settings.changeKeys());
        } catch (InvalidDocumentException e) {
            counters.increment("changes-refused");
            reply.refused(422, "Unprocessable Content", e.faults());
            return;
        }
        Change existing = activeChanges.get(change.id());
        if (existing != null && existing.json().equals(change.json())) {
            // the same document again: the request is idempotent
            reply.accepted(true, existing);
            return;
        }
        if (!activeChanges.canAdd(change)) {
            counters.increment("changes-refused");
            reply.refused(
                    409,
                    "Conflict",
                    List.of(
                            existing != null
                                    ? name + ": /id: another id is expected, this change was shown already"
                                    : name + ": /: no more than "
                                            + settings.bounds().changes() + " changes are expected (bounds.changes)"));
            return;
        }
        writeThen(reply, () -> store.add(change.id(), change.json(), file), () -> {
            // another change may have reached bounds.changes during the write; this one is on disk by then and takes
            // effect after the next start
            boolean active = activeChanges.add(change);
            if (file != null) {
                changeIdsByFile.put(file, change.id());
            }
            counters.increment(active ? "changes-told" : "changes-told-late");
            LOG.info("change {} accepted{}", change.id(), active ? "" : "; it takes effect after the next start");
            onChange.run();
            reply.accepted(active, change);
        });
    }

    private void withdraw(String id, Reply reply) {
        if (activeChanges.get(id) == null) {
            reply.refused(404, "Not Found", List.of("no change " + id));
            return;
        }
        writeThen(reply, () -> store.withdraw(id), () -> {
            activeChanges.withdraw(id);
            changeIdsByFile.values().remove(id);
            counters.increment("changes-withdrawn");
            LOG.info("change {} withdrawn", id);
            onChange.run();
            reply.accepted(true, null);
        });
    }

    /**
     * Does a write on the disk thread and then, on the loop, runs {@code afterWrite}, or refuses if the write failed or
     * could not be queued. Without a store only {@code afterWrite} runs, at once.
     */
    private void writeThen(Reply reply, DiskWrite diskWrite, Runnable afterWrite) {
        if (store == null) {
            afterWrite.run();
            return;
        }
        Supplier<Boolean> write = () -> {
            try {
                diskWrite.write();
                return true;
            } catch (IOException e) {
                LOG.error(
                        "cannot write the log of programme changes in {}: {}",
                        settings.changesFolder(),
                        RecordLog.failureReason(e));
                return false;
            }
        };
        boolean queued = runOnDiskThread(write, written -> {
            if (written) {
                afterWrite.run();
            } else {
                counters.increment("changes-log-failed");
                reply.refused(503, "Service Unavailable", List.of("the change could not be kept; nothing was changed"));
            }
        });
        if (!queued) {
            counters.increment("bound-changes-waiting-hit");
            reply.refused(503, "Service Unavailable", List.of("too much waits for the disk"));
        }
    }

    /** Receives the result of a disk task, on the loop. */
    private interface ResultHandler<T> {
        void accept(T result);
    }

    /** Runs a task on the disk thread and its result handler on the loop; returns false if the queue is full. */
    private <T> boolean runOnDiskThread(Supplier<T> task, ResultHandler<T> resultHandler) {
        try {
            diskExecutor.execute(() -> {
                T result = task.get();
                try {
                    loop.execute(() -> resultHandler.accept(result));
                } catch (RejectedExecutionException e) {
                    LOG.info("the result of a disk task on programme changes is dropped: the event loop has stopped");
                }
            });
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    // --- Periodic work ---

    /** Removes expired changes and scans the watched folder, if there is one; runs every /times/watchMs. */
    private void runPeriodicWork() {
        removeExpiredChanges();
        if (folderScanner == null) {
            loop.schedule(settings.times().watchMs(), this::runPeriodicWork);
            return;
        }
        boolean queued = runOnDiskThread(
                () -> {
                    try {
                        return folderScanner.scan();
                    } catch (IOException e) {
                        return null;
                    }
                },
                scan -> {
                    if (scan == null) {
                        counters.increment("changes-watch-failed");
                    } else {
                        applyScan(scan);
                    }
                    loop.schedule(settings.times().watchMs(), this::runPeriodicWork);
                });
        if (!queued) {
            loop.schedule(settings.times().watchMs(), this::runPeriodicWork);
        }
    }

    /** Withdraws the changes of removed files and adds those of new and changed files. */
    private void applyScan(FolderScanner.Scan scan) {
        for (int i = 0; i < scan.overBound(); i++) {
            counters.increment("bound-watched-hit");
        }
        for (String file : scan.removed()) {
            String id = changeIdsByFile.remove(file);
            if (id != null && activeChanges.get(id) != null) {
                processWatchedFile(file, () -> withdraw(id, watchedFileReply(file, () -> {})));
            }
        }
        for (FolderScanner.ChangedFile changedFile : scan.changed()) {
            if (changedFile.text() == null) {
                counters.increment("changes-refused");
                LOG.warn("watched folder: {}", changedFile.fault());
                continue;
            }
            processWatchedFile(
                    changedFile.file(),
                    () -> add(
                            changedFile.text(),
                            changedFile.file(),
                            changedFile.file(),
                            watchedFileReply(changedFile.file(), () -> scheduleRetry(changedFile))));
        }
    }

    /** Adds a watched document again after a delay. */
    private void scheduleRetry(FolderScanner.ChangedFile changedFile) {
        loop.schedule(
                RETRY_DELAY_MS,
                () -> add(
                        changedFile.text(),
                        changedFile.file(),
                        changedFile.file(),
                        watchedFileReply(changedFile.file(), () -> scheduleRetry(changedFile))));
    }

    /** Processes a watched file that was added, changed or removed: logs its name and runs the action for it. */
    private void processWatchedFile(String file, Runnable action) {
        LOG.info("watched folder: processing {}", file);
        action.run();
    }

    /** Returns the reply for a watched file; {@code retry} runs if the disk write failed or could not be queued. */
    private Reply watchedFileReply(String file, Runnable retry) {
        return new Reply() {
            @Override
            public void accepted(boolean active, Change change) {
                if (change != null) {
                    changeIdsByFile.put(file, change.id());
                }
            }

            @Override
            public void refused(int status, String title, List<String> faults) {
                if (status == 503) {
                    retry.run();
                } else {
                    faults.forEach(fault -> LOG.warn("watched folder: {}", fault));
                }
            }
        };
    }

    @Override
    public void close() {
        diskExecutor.shutdown();
        try {
            if (!diskExecutor.awaitTermination(5, TimeUnit.SECONDS)) {
                LOG.warn("log of programme changes: disk work did not finish within 5 s");
            }
            if (store != null) {
                store.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.warn(
                    "cannot close the log of programme changes in {}: {}",
                    settings.changesFolder(),
                    RecordLog.failureReason(e));
        }
    }
}
