package calicovale.front.operators;

import calicovale.front.settings.FrontSettings;
import calicovale.host.Counters;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.Change;
import calicovale.stitch.ChangeBook;
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
 * Owns what operators tell of programme changes, by their endpoint and by a watched folder: a change counts once it is on
 * disk, and is answered then. The disk is used by one thread of its own, in order; the book is touched on the loop only.
 */
public final class ChangeDesk implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeDesk.class);
    private static final String PREFIX = "/v1/changes";
    /** Messages of operators that may wait for the disk. */
    private static final int MOST_WAITING = 64;
    /** Bytes of the log from which it is replaced by a snapshot. */
    private static final long SNAPSHOT_BYTES = 1 << 20;
    /** Times that a watched document is tried again while too much waits for the disk: one in each look until it is in. */
    private static final double AGAIN_MS = 200;

    private final EventLoop loop;
    private final ChangeBook book;
    private final DoubleSupplier nowMs;
    private final FrontSettings settings;
    private final Runnable changed;
    private final Function<String, ObjectNode> tally;
    private final Counters counters;
    private final ThreadPoolExecutor disk;
    private final ChangeStore store;
    private final FolderWatch watch;
    /** Ids of changes by the watched file that they came from. */
    private final Map<String, String> byFile = new HashMap<>();

    /**
     * Reads what the settings' folder holds into the book.
     *
     * @param nowMs the common time
     * @param changed runs after the book is another
     * @param tally how a change fared with this manager's sessions
     */
    public ChangeDesk(
            EventLoop loop,
            ChangeBook book,
            DoubleSupplier nowMs,
            FrontSettings settings,
            Runnable changed,
            Function<String, ObjectNode> tally,
            Counters counters)
            throws IOException {
        this.loop = loop;
        this.nowMs = nowMs;
        this.book = book;
        this.settings = settings;
        this.changed = changed;
        this.tally = tally;
        this.counters = counters;
        disk = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MOST_WAITING), body -> {
            Thread thread = new Thread(body, "changes-log");
            thread.setDaemon(true);
            return thread;
        });
        watch = settings.changesWatch() == null
                ? null
                : new FolderWatch(settings.changesWatch(), settings.bounds().watched());
        store = settings.changesFolder() == null ? null : new ChangeStore(settings.changesFolder(), SNAPSHOT_BYTES);
        if (store != null) {
            recover();
        }
        if (watch != null) {
            watch.knew(byFile.keySet());
        }
        loop.execute(this::look);
    }

    private void recover() throws IOException {
        for (String document : store.documents()) {
            try {
                // its signature was checked when it was told; the keys may have been changed since
                book.add(Change.parse("changes.log", document));
            } catch (InvalidDocumentException e) {
                throw new IOException("a record is no change: " + e.getMessage());
            }
        }
        store.files().forEach((id, file) -> byFile.put(file, id));
        RecordLog.Recovery found = store.recovery();
        LOG.info(
                "changes: {} records read, {} of them of the snapshot, {} bytes of a torn tail cut",
                found.records().size(),
                found.ofSnapshot(),
                found.bytesCut());
        if (found.bytesCut() > 0) {
            counters.increment("changes-log-torn");
        }
    }

    private interface Keeping {
        void run() throws IOException;
    }

    /** Who hears what became of a telling; once. */
    private interface Reply {
        void done(boolean counts, Change change);

        void refused(int status, String title, List<String> faults);
    }

    // --- The endpoint ---

    /** Takes one exchange of an operator. */
    public void handle(Exchange x) {
        expire();
        String path = x.head().path();
        String method = x.head().method();
        String id = path.startsWith(PREFIX + "/") ? path.substring(PREFIX.length() + 1) : null;
        if (path.equals(PREFIX) && method.equals("GET")) {
            list(x);
        } else if (path.equals(PREFIX) && method.equals("POST")) {
            add(new String(x.body(), StandardCharsets.UTF_8), "change", null, reply(x));
        } else if (id != null && method.equals("GET")) {
            one(x, id);
        } else if (id != null && method.equals("DELETE")) {
            withdraw(id, reply(x));
        } else {
            x.problem(404, "Not Found", "GET and POST " + PREFIX + ", GET and DELETE " + PREFIX + "/ID are expected");
        }
    }

    private void expire() {
        long before = book.version();
        book.expire(nowMs.getAsDouble());
        if (book.version() != before) {
            changed.run();
        }
    }

    private Reply reply(Exchange x) {
        return new Reply() {
            @Override
            public void done(boolean counts, Change change) {
                if (change == null) {
                    x.respond(204);
                } else {
                    x.respond(counts ? 201 : 202, "application/json", change.json());
                }
            }

            @Override
            public void refused(int status, String title, List<String> faults) {
                ArrayNode all = Documents.MAPPER.createArrayNode();
                faults.forEach(all::add);
                Headers headers = status == 503 ? new Headers().add("Retry-After", "1") : new Headers();
                x.problem(status, headers, title, faults.get(0), ",\"faults\":" + all);
            }
        };
    }

    private void list(Exchange x) {
        ArrayNode all = Documents.MAPPER.createArrayNode();
        try {
            for (Change change : book.changes()) {
                all.add(Documents.MAPPER.readTree(change.json()));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        x.respond(200, "application/json", all.toString());
    }

    private void one(Exchange x, String id) {
        Change change = book.get(id);
        if (change == null) {
            x.problem(404, "Not Found", "no change " + id);
            return;
        }
        x.respond(200, "application/json", "{\"change\":" + change.json() + ",\"sessions\":" + tally.apply(id) + "}");
    }

    // --- What is told ---

    private void add(String text, String name, String file, Reply reply) {
        Change change;
        try {
            change = Change.parse(name, text, settings.changeKeys());
        } catch (InvalidDocumentException e) {
            counters.increment("changes-refused");
            reply.refused(422, "Unprocessable Content", e.faults());
            return;
        }
        Change known = book.get(change.id());
        if (known != null && known.json().equals(change.json())) {
            // told again word by word: nothing is changed
            reply.done(true, known);
            return;
        }
        if (!book.accepts(change)) {
            counters.increment("changes-refused");
            reply.refused(
                    409,
                    "Conflict",
                    List.of(
                            known != null
                                    ? name + ": /id: another id is expected, this change was shown already"
                                    : name + ": /: no more than "
                                            + settings.bounds().changes() + " changes are expected (bounds.changes)"));
            return;
        }
        keep(reply, () -> store.add(change.id(), change.json(), file), () -> {
            // while it was written another may have taken the last place: what is on disk then counts at the next start
            boolean counts = book.add(change);
            if (file != null) {
                byFile.put(file, change.id());
            }
            counters.increment(counts ? "changes-told" : "changes-told-late");
            LOG.info("change {} told{}", change.id(), counts ? "" : ", it counts after the next start");
            changed.run();
            reply.done(counts, change);
        });
    }

    private void withdraw(String id, Reply reply) {
        if (book.get(id) == null) {
            reply.refused(404, "Not Found", List.of("no change " + id));
            return;
        }
        keep(reply, () -> store.withdraw(id), () -> {
            book.withdraw(id);
            byFile.values().remove(id);
            counters.increment("changes-withdrawn");
            LOG.info("change {} withdrawn", id);
            changed.run();
            reply.done(true, null);
        });
    }

    /** Keeps what was told and then, on the loop, does it. */
    private void keep(Reply reply, Keeping keeping, Runnable then) {
        if (store == null) {
            then.run();
            return;
        }
        Supplier<Boolean> write = () -> {
            try {
                keeping.run();
                return true;
            } catch (IOException e) {
                LOG.error("the changes' log can't be written: {}", e.toString());
                return false;
            }
        };
        boolean taken = onDisk(write, kept -> {
            if (kept) {
                then.run();
            } else {
                counters.increment("changes-log-failed");
                reply.refused(503, "Service Unavailable", List.of("the change could not be kept; nothing was changed"));
            }
        });
        if (!taken) {
            counters.increment("bound-changes-waiting-hit");
            reply.refused(503, "Service Unavailable", List.of("too much waits for the disk"));
        }
    }

    private interface Then<T> {
        void accept(T result);
    }

    /** Runs something on the disk's thread and what follows on the loop; false at the bound. */
    private <T> boolean onDisk(Supplier<T> body, Then<T> then) {
        try {
            disk.execute(() -> {
                T result = body.get();
                try {
                    loop.execute(() -> then.accept(result));
                } catch (RejectedExecutionException e) {
                    LOG.info("changes: the loop has ended");
                }
            });
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    // --- In its time ---

    /** What is over is forgotten, and the folder looked at, where there is one. */
    private void look() {
        expire();
        if (watch == null) {
            loop.schedule(settings.times().watch(), this::look);
            return;
        }
        boolean taken = onDisk(
                () -> {
                    try {
                        return watch.look();
                    } catch (IOException e) {
                        return null;
                    }
                },
                look -> {
                    if (look == null) {
                        counters.increment("changes-watch-failed");
                    } else {
                        found(look);
                    }
                    loop.schedule(settings.times().watch(), this::look);
                });
        if (!taken) {
            loop.schedule(settings.times().watch(), this::look);
        }
    }

    private void found(FolderWatch.Look look) {
        for (int i = 0; i < look.overBound(); i++) {
            counters.increment("bound-watched-hit");
        }
        for (String file : look.gone()) {
            String id = byFile.remove(file);
            if (id != null && book.get(id) != null) {
                told(file, () -> withdraw(id, heard(file, () -> {})));
            }
        }
        for (FolderWatch.Came came : look.came()) {
            if (came.text() == null) {
                counters.increment("changes-refused");
                LOG.warn("watched {}", came.fault());
                continue;
            }
            told(came.file(), () -> add(came.text(), came.file(), came.file(), heard(came.file(), () -> again(came))));
        }
    }

    private void again(FolderWatch.Came came) {
        loop.schedule(
                AGAIN_MS, () -> add(came.text(), came.file(), came.file(), heard(came.file(), () -> again(came))));
    }

    private void told(String file, Runnable telling) {
        LOG.info("watched {}", file);
        telling.run();
    }

    private Reply heard(String file, Runnable again) {
        return new Reply() {
            @Override
            public void done(boolean counts, Change change) {
                if (change != null) {
                    byFile.put(file, change.id());
                }
            }

            @Override
            public void refused(int status, String title, List<String> faults) {
                if (status == 503) {
                    again.run();
                } else {
                    faults.forEach(fault -> LOG.warn("watched {}", fault));
                }
            }
        };
    }

    @Override
    public void close() {
        disk.shutdown();
        try {
            if (!disk.awaitTermination(5, TimeUnit.SECONDS)) {
                LOG.warn("changes: the disk does not end");
            }
            if (store != null) {
                store.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.warn("changes: {}", e.toString());
        }
    }
}
