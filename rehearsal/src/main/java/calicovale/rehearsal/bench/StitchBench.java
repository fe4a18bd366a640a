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
 * Owns the measurements of programme changes: what they cost a reload, how soon a change that is told has reached every
 * session, what reloads meanwhile take, and the heap of it. All through the manager's own sockets.
 */
final class StitchBench {
    private static final int[] CHANGES = {0, 1, 10};
    private static final int ROUNDS = 5;
    private static final long ROUND_MS = 1500;
    private static final int SESSIONS = 20_000;
    private static final int THREADS = 6;

    /** Where the figures go. */
    interface Sink {
        void tell(String what, double value);
    }

    private final Sink sink;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    StitchBench(Sink sink) {
        this.sink = sink;
    }

    /** Settings with an endpoint for operators. */
    interface Settings {
        FrontSettings of(InetSocketAddress directory, int boxes, int sessions) throws InvalidDocumentException;
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
        URI at = URI.create("http://127.0.0.1:" + front.operatorsAddress().getPort() + "/v1/changes" + path);
        HttpResponse<String> answer = client.send(
                HttpRequest.newBuilder(at)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() >= 300) {
            throw new IllegalStateException(answer.statusCode() + " " + answer.body());
        }
    }

    private HttpResponse<String> get(InetSocketAddress at, String path) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at.getPort() + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sessions that play, asked for by several threads; their playlists' paths. */
    private List<String> sessions(InetSocketAddress at, int count) throws Exception {
        String[] media = new String[count];
        each(count, n -> {
            for (int i = 0; media[n] == null && i < 1000; i++) {
                HttpResponse<String> answer =
                        get(at, "/v1/lectures/t" + n % 20 + "/index.m3u8?class=" + (n % 3 == 0 ? "course" : "talk"));
                if (answer.statusCode() == 200) {
                    media[n] = answer.body()
                            .lines()
                            .filter(line -> line.startsWith("/s/"))
                            .findFirst()
                            .orElseThrow();
                } else {
                    Thread.sleep(20);
                }
            }
        });
        return Arrays.asList(media);
    }

    private interface Each {
        void run(int n) throws IOException, InterruptedException;
    }

    private static void each(int count, Each body) throws InterruptedException {
        AtomicInteger next = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < THREADS; t++) {
            Thread thread = new Thread(
                    () -> {
                        try {
                            for (int n; (n = next.getAndIncrement()) < count; ) {
                                body.run(n);
                            }
                        } catch (IOException | InterruptedException e) {
                            throw new IllegalStateException(e);
                        }
                    },
                    "each-" + t);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Reloads a second with no, one and ten changes that wait for their time; rounds alternate. */
    void reloads(Settings settings) throws Exception {
        try (InstantBoxes boxes = new InstantBoxes(10, 900);
                FrontProcess front = new FrontProcess(
                        settings.of(boxes.directory(), 10, 200), Clock.system(), new SplittableRandom(1), Tap.NONE)) {
            List<String> media = sessions(front.address(), 60);
            double[][] rates = new double[CHANGES.length][ROUNDS];
            for (int round = -1; round < ROUNDS; round++) {
                for (int c = 0; c < CHANGES.length; c++) {
                    for (int i = 0; i < CHANGES[c]; i++) {
                        send(front, "POST", "", change("c" + i, System.currentTimeMillis() + 3_600_000.0));
                    }
                    LoadClient load = new LoadClient(
                                    front.address(), 3, 48, Long.MAX_VALUE, n -> media.get((int) (n % media.size())))
                            .start();
                    Thread.sleep(ROUND_MS / 4);
                    long before = load.answers();
                    long from = System.nanoTime();
                    Thread.sleep(ROUND_MS);
                    if (round >= 0) {
                        // the first round warms up
                        rates[c][round] = (load.answers() - before) * 1e9 / (System.nanoTime() - from);
                    }
                    load.stop();
                    for (int i = 0; i < CHANGES[c]; i++) {
                        send(front, "DELETE", "/c" + i, "");
                    }
                }
            }
            for (int c = 0; c < CHANGES.length; c++) {
                double[] cost = new double[ROUNDS];
                for (int r = 0; r < ROUNDS; r++) {
                    cost[r] = rates[0][r] / rates[c][r];
                }
                Arrays.sort(cost);
                Arrays.sort(rates[c]);
                sink.tell("reloads a second with " + CHANGES[c] + " changes", rates[c][ROUNDS / 2]);
                if (c > 0) {
                    sink.tell("cost of " + CHANGES[c] + " changes, times none (median of rounds)", cost[ROUNDS / 2]);
                }
            }
        }
    }

    private static long heap() {
        var memory = java.lang.management.ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < 3; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    private void reload(FrontProcess front, List<String> media, Histogram histogram) throws InterruptedException {
        each(media.size(), n -> {
            long from = System.nanoTime();
            HttpResponse<String> answer = get(front.address(), media.get(n));
            long took = System.nanoTime() - from;
            if (answer.statusCode() != 200) {
                throw new IllegalStateException(answer.statusCode() + " " + answer.body());
            }
            synchronized (histogram) {
                histogram.recordValue(took);
            }
        });
    }

    private void percentiles(String what, Histogram histogram) {
        sink.tell("ms of a reload " + what + ", p50", histogram.getValueAtPercentile(50) / 1e6);
        sink.tell("ms of a reload " + what + ", p99", histogram.getValueAtPercentile(99) / 1e6);
    }

    private static Histogram histogram() {
        return new Histogram(60_000_000_000L, 3);
    }

    /** One change for all sessions of one manager at one instant; {@code kept}: the showings go to a disk first. */
    void all(Settings settings, String kept) throws Exception {
        try (InstantBoxes boxes = new InstantBoxes(60, 900);
                FrontProcess front = new FrontProcess(
                        settings.of(boxes.directory(), 60, SESSIONS),
                        Clock.system(),
                        new SplittableRandom(1),
                        Tap.NONE)) {
            List<String> media = sessions(front.address(), SESSIONS);
            reload(front, media, histogram());
            Histogram before = histogram();
            reload(front, media, before);
            long heapBefore = heap();
            double planned = front.loop().call(() -> front.manager().lastChangePass()[0]);
            long told = System.nanoTime();
            send(front, "POST", "", change("all", 1));
            Histogram during = histogram();
            while (front.loop().call(() -> front.manager().lastChangePass()[0]) == planned) {
                long from = System.nanoTime();
                get(front.address(), media.get(0));
                during.recordValue(System.nanoTime() - from);
            }
            sink.tell(
                    kept + ": ms from telling to the last of 20,000 sessions planned",
                    (System.nanoTime() - told) / 1e6);
            Histogram first = histogram();
            reload(front, media, first);
            // a box is asked for the piece at the first of its sessions: whoever was put off then is shown it now
            reload(front, media, histogram());
            long shown = front.loop().call(() -> front.counters().snapshot().getOrDefault("changes-shown", 0L));
            percentiles(kept + " before it was told", before);
            sink.tell("ms of a reload " + kept + " while it is planned, most", during.getMaxValue() / 1e6);
            percentiles(kept + " that begins it", first);
            sink.tell(kept + ": sessions shown it after two reloads", shown);
            sink.tell(kept + ": heap bytes a session for it", (heap() - heapBefore) / (double) SESSIONS);
        }
    }
}
