package calicovale.rehearsal.bench;

import calicovale.front.FrontProcess;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Tap;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;

/**
 * Benchmarks of programme changes, through the manager's sockets: the cost of pending changes for a reload, the time
 * until a change is planned for all sessions, the duration of reloads meanwhile, and the heap that it takes.
 */
final class ProgrammeChangeBenchmark {
    /** Numbers of pending changes that are compared; the first is the reference. */
    private static final int[] CHANGE_COUNTS = {0, 1, 10};

    private static final int ROUNDS = 5;
    /** Duration of a measurement, in ms. */
    private static final long MEASURED_MS = 1500;

    private static final int SESSIONS = 20_000;
    private static final int CLIENT_THREADS = 6;

    /** Receiver of the figures. */
    interface FigureSink {
        void report(String figure, double value);
    }

    private final FigureSink figures;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    ProgrammeChangeBenchmark(FigureSink figures) {
        this.figures = figures;
    }

    /** Creates settings of a manager; they must have an address for operators. */
    interface SettingsFactory {
        FrontSettings create(InetSocketAddress directory, int boxes, int sessions) throws InvalidDocumentException;
    }

    private static String change(String id, double atMs) {
        StringBuilder renditions = new StringBuilder();
        int[] rates = {12, 20, 30, 45, 70, 110};
        for (int rung = 0; rung < rates.length; rung++) {
            renditions
                    .append(rung == 0 ? "" : ",")
                    .append("{\"rung\":")
                    .append(rung)
                    .append(",\"rateKb\":")
                    .append(rates[rung])
                    .append(",\"durationsS\":[4,4,4]}");
        }
        return "{\"schema\":\"calicovale/change/1\",\"id\":\"" + id
                + "\",\"piece\":{\"title\":\"piece\",\"renditions\":[" + renditions + "]},\"start\":{\"atMs\":"
                + (long) atMs + "},\"validUntilMs\":9000000000000}";
    }

    private void send(FrontProcess front, String method, String path, String body)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + front.operatorsAddress().getPort() + "/v1/changes" + path);
        HttpResponse<String> response = client.send(
                HttpRequest.newBuilder(uri)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() >= 300) {
            throw new IllegalStateException(response.statusCode() + " " + response.body());
        }
    }

    private HttpResponse<String> get(InetSocketAddress address, String path) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Starts sessions from several threads; returns the paths of their media playlists. */
    private List<String> startSessions(InetSocketAddress address, int count) throws Exception {
        String[] mediaPaths = new String[count];
        runConcurrently(count, n -> {
            for (int i = 0; mediaPaths[n] == null && i < 1000; i++) {
                HttpResponse<String> response = get(
                        address, "/v1/lectures/t" + n % 20 + "/index.m3u8?class=" + (n % 3 == 0 ? "course" : "talk"));
                if (response.statusCode() == 200) {
                    mediaPaths[n] = response.body()
                            .lines()
                            .filter(line -> line.startsWith("/s/"))
                            .findFirst()
                            .orElseThrow();
                } else {
                    Thread.sleep(20);
                }
            }
        });
        return Arrays.asList(mediaPaths);
    }

    private interface IndexedTask {
        void run(int index) throws IOException, InterruptedException;
    }

    private static void runConcurrently(int count, IndexedTask task) throws InterruptedException {
        AtomicInteger nextIndex = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int threadNumber = 0; threadNumber < CLIENT_THREADS; threadNumber++) {
            Thread thread = new Thread(
                    () -> {
                        try {
                            for (int n; (n = nextIndex.getAndIncrement()) < count; ) {
                                task.run(n);
                            }
                        } catch (IOException | InterruptedException e) {
                            throw new IllegalStateException(e);
                        }
                    },
                    "each-" + threadNumber);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Reloads a second with no, one and ten changes that are not due yet; the rounds alternate. */
    void reloads(SettingsFactory settings) throws Exception {
        try (InstantBoxes boxes = new InstantBoxes(10, 900);
                FrontProcess front = new FrontProcess(
                        settings.create(boxes.directoryAddress(), 10, 200),
                        Clock.system(),
                        new SplittableRandom(1),
                        Tap.NONE)) {
            List<String> mediaPaths = startSessions(front.address(), 60);
            double[][] rates = new double[CHANGE_COUNTS.length][ROUNDS];
            for (int round = -1; round < ROUNDS; round++) {
                for (int variant = 0; variant < CHANGE_COUNTS.length; variant++) {
                    for (int i = 0; i < CHANGE_COUNTS[variant]; i++) {
                        send(front, "POST", "", change("c" + i, System.currentTimeMillis() + 3_600_000.0));
                    }
                    ClosedLoopClient client = new ClosedLoopClient(
                                    front.address(),
                                    3,
                                    48,
                                    Long.MAX_VALUE,
                                    n -> mediaPaths.get((int) (n % mediaPaths.size())))
                            .start();
                    Thread.sleep(MEASURED_MS / 4);
                    long responsesBefore = client.responses();
                    long startNanos = System.nanoTime();
                    Thread.sleep(MEASURED_MS);
                    if (round >= 0) {
                        // the first round warms up
                        rates[variant][round] =
                                (client.responses() - responsesBefore) * 1e9 / (System.nanoTime() - startNanos);
                    }
                    client.stop();
                    for (int i = 0; i < CHANGE_COUNTS[variant]; i++) {
                        send(front, "DELETE", "/c" + i, "");
                    }
                }
            }
            for (int variant = 0; variant < CHANGE_COUNTS.length; variant++) {
                double[] costRatios = new double[ROUNDS];
                for (int r = 0; r < ROUNDS; r++) {
                    costRatios[r] = rates[0][r] / rates[variant][r];
                }
                Arrays.sort(costRatios);
                Arrays.sort(rates[variant]);
                figures.report(
                        "reloads a second with " + CHANGE_COUNTS[variant] + " changes", rates[variant][ROUNDS / 2]);
                if (variant > 0) {
                    figures.report(
                            "cost of " + CHANGE_COUNTS[variant] + " changes, times none (median of rounds)",
                            costRatios[ROUNDS / 2]);
                }
            }
        }
    }

    private static long usedHeapBytes() {
        var memory = java.lang.management.ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < 3; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    private void reloadEachOnce(FrontProcess front, List<String> mediaPaths, Histogram histogram)
            throws InterruptedException {
        runConcurrently(mediaPaths.size(), n -> {
            long startNanos = System.nanoTime();
            HttpResponse<String> response = get(front.address(), mediaPaths.get(n));
            long elapsedNanos = System.nanoTime() - startNanos;
            if (response.statusCode() != 200) {
                throw new IllegalStateException(response.statusCode() + " " + response.body());
            }
            synchronized (histogram) {
                histogram.recordValue(elapsedNanos);
            }
        });
    }

    private void reportPercentiles(String description, Histogram histogram) {
        figures.report("ms of a reload " + description + ", p50", histogram.getValueAtPercentile(50) / 1e6);
        figures.report("ms of a reload " + description + ", p99", histogram.getValueAtPercentile(99) / 1e6);
    }

    private static Histogram newHistogram() {
        return new Histogram(60_000_000_000L, 3);
    }

    /**
     * Submits one change that starts at once for all sessions of a manager, and measures planning, reloads and heap.
     *
     * @param ledgerDescription says in the names of the figures whether the manager writes a session ledger to disk
     */
    void changeForAllSessions(SettingsFactory settings, String ledgerDescription) throws Exception {
        try (InstantBoxes boxes = new InstantBoxes(60, 900);
                FrontProcess front = new FrontProcess(
                        settings.create(boxes.directoryAddress(), 60, SESSIONS),
                        Clock.system(),
                        new SplittableRandom(1),
                        Tap.NONE)) {
            List<String> mediaPaths = startSessions(front.address(), SESSIONS);
            reloadEachOnce(front, mediaPaths, newHistogram());
            Histogram beforeChange = newHistogram();
            reloadEachOnce(front, mediaPaths, beforeChange);
            long heapBefore = usedHeapBytes();
            double passBefore = front.loop().call(() -> front.manager().lastChangePass()[0]);
            long submittedNanos = System.nanoTime();
            send(front, "POST", "", change("all", 1));
            Histogram duringPlanning = newHistogram();
            while (front.loop().call(() -> front.manager().lastChangePass()[0]) == passBefore) {
                long startNanos = System.nanoTime();
                get(front.address(), mediaPaths.get(0));
                duringPlanning.recordValue(System.nanoTime() - startNanos);
            }
            figures.report(
                    ledgerDescription + ": ms from telling to the last of 20,000 sessions planned",
                    (System.nanoTime() - submittedNanos) / 1e6);
            Histogram firstReloads = newHistogram();
            reloadEachOnce(front, mediaPaths, firstReloads);
            // the first session on a box makes the manager ask it for the piece; sessions deferred meanwhile get the
            // piece now
            reloadEachOnce(front, mediaPaths, newHistogram());
            long shown = front.loop().call(() -> front.counters().snapshot().getOrDefault("changes-shown", 0L));
            reportPercentiles(ledgerDescription + " before it was told", beforeChange);
            figures.report(
                    "ms of a reload " + ledgerDescription + " while it is planned, most",
                    duringPlanning.getMaxValue() / 1e6);
            reportPercentiles(ledgerDescription + " that begins it", firstReloads);
            figures.report(ledgerDescription + ": sessions shown it after two reloads", shown);
            figures.report(
                    ledgerDescription + ": heap bytes a session for it",
                    (usedHeapBytes() - heapBefore) / (double) SESSIONS);
        }
    }
}
