package calicovale.rehearsal.bench;

import calicovale.ControllerApi.Actions;
import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.Request;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.ControllerApi.Started;
import calicovale.ControllerApi.TimerFired;
import calicovale.SessionController;
import calicovale.front.FrontProcess;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Tap;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/** The benchmarks, by name. Each adds lines to a table for people and figures to a JSON document. */
public final class Benchmarks {
    /** Names of all benchmarks, in the order in which they run. */
    public static final List<String> NAMES =
            List.of("reloads", "setups", "decisions", "sessions", "stitch", "gossip", "liars", "members");

    /** Number of measured rounds; one more is run before them to warm up. */
    private static final int ROUNDS = 5;
    /** Duration of a measurement, in ms. */
    private static final long MEASURED_MS = 2000;

    private static final int CLIENT_THREADS = 3;
    private static final int CONNECTIONS = 48;
    private static final long UNLIMITED_REQUESTS = Long.MAX_VALUE;

    private final ObjectNode figures = Documents.MAPPER.createObjectNode().put("schema", "calicovale/bench/1");
    private final StringBuilder table = new StringBuilder();

    /**
     * Runs one benchmark.
     *
     * @throws IllegalArgumentException if the name is not in {@link #NAMES}
     */
    public void run(String name) throws Exception {
        switch (name) {
            case "reloads" -> reloads();
            case "setups" -> setUps();
            case "decisions" -> decisions();
            case "sessions" -> sessions();
            case "stitch" -> stitch();
            case "gossip" -> new GossipBenchmark((what, value) -> report("gossip", what, value)).run();
            case "liars" -> new GossipBenchmark((what, value) -> report("liars", what, value)).falseClaims();
            case "members" -> {
                for (int size : new int[] {8, 32}) {
                    new LoopbackGroupBenchmark((what, value) -> report("members", what, value)).run(size);
                }
            }
            default -> throw new IllegalArgumentException("unknown benchmark " + name + "; expected one of " + NAMES);
        }
    }

    /** Returns the figures of the benchmarks run so far, as JSON. */
    public ObjectNode figures() {
        return figures;
    }

    /** Returns the figures of the benchmarks run so far, as a table with a line for each figure. */
    public String table() {
        return table.toString();
    }

    private void report(String measurement, String figure, double value) {
        figures.withObject("/" + measurement).put(figure, value);
        table.append(String.format(Locale.ROOT, "%-12s%-52s%14.3f%n", measurement, figure, value));
    }

    private static FrontSettings settings(InetSocketAddress directory, int boxes, int sessions)
            throws InvalidDocumentException {
        return settings(directory, boxes, sessions, "");
    }

    private static FrontSettings settings(InetSocketAddress directory, int boxes, int sessions, String extraSettings)
            throws InvalidDocumentException {
        double streamsPerBox = Math.max(200, 4.0 * sessions / boxes);
        // enough link capacity for all sessions at a medium rate
        double linkKb = streamsPerBox * 30;
        return FrontSettings.parse(
                "bench", """
                {"manager": {"number": 0, "of": 1}, "listen": {"host": "127.0.0.1", "port": 0},
                 "directory": {"host": "127.0.0.1", "port": %d},
                 "classes": [{"name": "talk", "worth": 1, "aimMs": 8000, "deadlineMs": 20000, "lowestRung": 0, "highestRung": 5},
                   {"name": "course", "worth": 3, "aimMs": 8000, "deadlineMs": 20000, "lowestRung": 1, "highestRung": 5}],
                 "limits": {"attempts": 4, "retryAfterMs": 2000},
                 "rules": {"coldFrom": 1, "warmAfterMs": 1, "tipMultiple": 4, "tipMs": 1000, "drainGraceMs": 2000},
                 "media": {"rungKb": [12, 20, 30, 45, 70, 110], "rungWorth": [0.25, 0.45, 0.6, 0.75, 0.9, 1], "cells": 8,
                   "racks": 8, "linkKbPerWeight": %f, "uplinkKb": %f, "kindStreams": [%f], "noteDelayMs": 700,
                   "noteEveryMs": 3000},
                 "bounds": {"sessions": 100000, "pending": 100000, "connections": 100000, "perBox": 1024} %s}
                """.formatted(directory.getPort(), linkKb, linkKb * boxes, streamsPerBox, extraSettings));
    }

    private void stitch() throws Exception {
        String operatorsSetting = ", \"operators\": {\"host\": \"127.0.0.1\", \"port\": 0}";
        Path folder = Files.createTempDirectory("calicovale-bench");
        String ledgerSettings = operatorsSetting + ", \"sessionsFolder\": \"" + folder + "\"";
        ProgrammeChangeBenchmark benchmark =
                new ProgrammeChangeBenchmark((what, value) -> report("stitch", what, value));
        benchmark.reloads((directory, boxes, sessions) -> settings(directory, boxes, sessions, operatorsSetting));
        benchmark.changeForAllSessions(
                (directory, boxes, sessions) -> settings(directory, boxes, sessions, operatorsSetting),
                "without a ledger");
        benchmark.changeForAllSessions(
                (directory, boxes, sessions) -> settings(directory, boxes, sessions, ledgerSettings), "with a ledger");
    }

    private static HttpResponse<String> get(InetSocketAddress address, String path)
            throws IOException, InterruptedException {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Requests a lecture until a session plays; returns the path of its media playlist.
     *
     * @param lectureNumber selects the lecture
     * @throws IllegalStateException if no request succeeded within 1000 attempts
     */
    private static String awaitPlaylistPath(InetSocketAddress address, int lectureNumber)
            throws IOException, InterruptedException {
        for (int i = 0; i < 1000; i++) {
            HttpResponse<String> response =
                    get(address, "/v1/lectures/t" + lectureNumber % 20 + "/index.m3u8?class=course");
            if (response.statusCode() == 200) {
                return response.body()
                        .lines()
                        .filter(line -> line.startsWith("/s/"))
                        .findFirst()
                        .orElseThrow();
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("no session started within 1000 attempts");
    }

    private static double responsesPerSecond(ClosedLoopClient client, long durationMs) throws InterruptedException {
        long responsesBefore = client.responses();
        long startNanos = System.nanoTime();
        Thread.sleep(durationMs);
        return (client.responses() - responsesBefore) * 1e9 / (System.nanoTime() - startNanos);
    }

    private static double median(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    /** Playlist reloads a second on one event loop, compared with the baseline. */
    private void reloads() throws Exception {
        try (InstantBoxes boxes = new InstantBoxes(10, 900);
                FrontProcess front = new FrontProcess(
                        settings(boxes.directoryAddress(), 10, 200),
                        Clock.system(),
                        new SplittableRandom(1),
                        Tap.NONE)) {
            InetSocketAddress address = front.address();
            List<String> mediaPaths = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                mediaPaths.add(awaitPlaylistPath(address, i));
            }
            HttpResponse<String> sample = get(address, mediaPaths.get(0));
            int length = sample.body().getBytes(StandardCharsets.UTF_8).length;
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            sample.headers().map().forEach((name, values) -> {
                // the client finds the length only under this spelling of the header
                String headerName = name.equalsIgnoreCase("content-length") ? "Content-Length" : name;
                head.append(headerName).append(": ").append(values.get(0)).append("\r\n");
            });
            byte[] response = (head + "\r\n" + "x".repeat(length)).getBytes(StandardCharsets.US_ASCII);
            try (BaselineServer baseline = new BaselineServer(response)) {
                compareWithBaseline(
                        "reloads",
                        address,
                        n -> mediaPaths.get((int) (n % mediaPaths.size())),
                        front.loop().call(Thread::currentThread).getId(),
                        baseline,
                        mediaPaths.get(0));
            }
            report("reloads", "bytes of an answer", response.length);
        }
    }

    /**
     * Measures the throughput, CPU time and allocation of the front and those of the baseline. Their rounds
     * alternate, so that disturbances affect both.
     */
    private void compareWithBaseline(
            String name,
            InetSocketAddress address,
            java.util.function.LongFunction<String> target,
            long frontThread,
            BaselineServer baseline,
            String baselineTarget)
            throws Exception {
        List<Double> frontRates = new ArrayList<>();
        List<Double> baselineRates = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        List<Double> cpuRatios = new ArrayList<>();
        var threads = ManagementFactory.getThreadMXBean();
        var memory = (com.sun.management.ThreadMXBean) threads;
        double allocatedBytesPerResponse = 0;
        for (int round = 0; round < ROUNDS + 1; round++) {
            ClosedLoopClient baselineClient = new ClosedLoopClient(
                            baseline.address(), CLIENT_THREADS, CONNECTIONS, UNLIMITED_REQUESTS, n -> baselineTarget)
                    .start();
            responsesPerSecond(baselineClient, MEASURED_MS / 4);
            long baselineCpuBefore = threads.getThreadCpuTime(baseline.threadId());
            long baselineResponsesBefore = baselineClient.responses();
            double baselineRate = responsesPerSecond(baselineClient, MEASURED_MS);
            double baselineCpuPerResponse = (threads.getThreadCpuTime(baseline.threadId()) - baselineCpuBefore)
                    / (double) (baselineClient.responses() - baselineResponsesBefore);
            baselineClient.stop();
            ClosedLoopClient frontClient =
                    new ClosedLoopClient(address, CLIENT_THREADS, CONNECTIONS, UNLIMITED_REQUESTS, target).start();
            responsesPerSecond(frontClient, MEASURED_MS / 4);
            long frontCpuBefore = threads.getThreadCpuTime(frontThread);
            long frontBytesBefore = memory.getThreadAllocatedBytes(frontThread);
            long frontResponsesBefore = frontClient.responses();
            double frontRate = responsesPerSecond(frontClient, MEASURED_MS);
            double frontCpuPerResponse = (threads.getThreadCpuTime(frontThread) - frontCpuBefore)
                    / (double) (frontClient.responses() - frontResponsesBefore);
            allocatedBytesPerResponse = (memory.getThreadAllocatedBytes(frontThread) - frontBytesBefore)
                    / (double) (frontClient.responses() - frontResponsesBefore);
            frontClient.stop();
            if (frontClient.non200Responses() > 0) {
                throw new IllegalStateException(frontClient.non200Responses() + " answers were not 200");
            }
            if (round > 0) {
                // the first round warms up
                frontRates.add(frontRate);
                baselineRates.add(baselineRate);
                ratios.add(frontRate / baselineRate);
                cpuRatios.add(baselineCpuPerResponse / frontCpuPerResponse);
            }
        }
        report(name, "answers a second of the front", median(frontRates));
        report(name, "answers a second of the bare loop", median(baselineRates));
        report(name, "ratio of the two (median of rounds)", median(ratios));
        report(name, "ratio by CPU time an answer of the loop's thread", median(cpuRatios));
        report(name, "bytes allocated an answer", allocatedBytesPerResponse);
    }

    /**
     * Set-ups a second on one event loop, with boxes that respond at once. The number of set-ups is bounded because
     * the sessions stay.
     */
    private void setUps() throws Exception {
        byte[] response = ("HTTP/1.1 200 OK\r\nContent-Length: 180\r\n\r\n" + "x".repeat(180))
                .getBytes(StandardCharsets.US_ASCII);
        try (InstantBoxes boxes = new InstantBoxes(20, 900);
                BaselineServer baseline = new BaselineServer(response)) {
            List<Double> frontRates = new ArrayList<>();
            List<Double> baselineRates = new ArrayList<>();
            List<Double> ratios = new ArrayList<>();
            for (int round = 0; round < ROUNDS + 1; round++) {
                ClosedLoopClient baselineClient = new ClosedLoopClient(
                                baseline.address(), CLIENT_THREADS, CONNECTIONS, UNLIMITED_REQUESTS, n -> "/")
                        .start();
                responsesPerSecond(baselineClient, MEASURED_MS / 4);
                double baselineRate = responsesPerSecond(baselineClient, MEASURED_MS);
                baselineClient.stop();
                try (FrontProcess front = new FrontProcess(
                        settings(boxes.directoryAddress(), 20, 20_000),
                        Clock.system(),
                        new SplittableRandom(round),
                        Tap.NONE)) {
                    InetSocketAddress address = front.address();
                    awaitPlaylistPath(address, 0);
                    // wait until the manager considers all boxes warm, because it sends few set-ups to cold ones
                    Thread.sleep(4500);
                    ClosedLoopClient frontClient = new ClosedLoopClient(
                            address,
                            CLIENT_THREADS,
                            CONNECTIONS,
                            4000,
                            n -> "/v1/lectures/t" + n % 20 + "/index.m3u8?class=" + (n % 3 == 0 ? "course" : "talk"));
                    long startNanos = System.nanoTime();
                    frontClient.start().join();
                    double frontRate = 4000 * 1e9 / (System.nanoTime() - startNanos);
                    if (frontClient.non200Responses() > 0) {
                        report("setups", "requests refused in round " + round, frontClient.non200Responses());
                    }
                    if (round > 0) {
                        frontRates.add(frontRate);
                        baselineRates.add(baselineRate);
                        ratios.add(frontRate / baselineRate);
                    }
                }
            }
            report("setups", "set-ups a second of the front", median(frontRates));
            report("setups", "answers a second of the bare loop", median(baselineRates));
            report("setups", "ratio of the two (median of rounds)", median(ratios));
        }
    }

    /**
     * Time and allocation of a decision with 210 boxes. Only the controller runs; it receives the events that its host
     * would deliver.
     */
    private void decisions() throws Exception {
        int boxes = 210;
        FrontSettings settings = settings(new InetSocketAddress("127.0.0.1", 9), boxes, 3000);
        ArrayDeque<String> attempts = new ArrayDeque<>();
        double[] nowMs = {1_000_000};
        List<Double> tickTimesMs = new ArrayList<>();
        long[] lastServer = new long[1];
        int[] refused = new int[1];
        SessionController controller = new SessionController(settings.controller(), 1, nowMs[0], new Actions() {
            @Override
            public void attempt(String id, long server, double timeoutMs) {
                attempts.add(id);
                lastServer[0] = server;
            }

            @Override
            public void cancel(String id, int attempt) {}

            @Override
            public void rung(String id, int rung) {}

            @Override
            public void move(String id) {}

            @Override
            public void refuse(String id, double retryAfterMs) {
                refused[0]++;
            }

            @Override
            public void fail(String id) {}

            @Override
            public void probe(long server) {}

            @Override
            public void tellPeers(byte[] body) {}

            @Override
            public void subscribe() {}

            @Override
            public void timer(double delayMs, String name) {
                tickTimesMs.add(nowMs[0] + delayMs);
            }

            @Override
            public void log(String text) {}
        });
        List<ServerEntry> boxEntries = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            boxEntries.add(new ServerEntry(i, ServerState.READY, 0, 0, i % 8, 0, 0.8 + 0.4 * (i % 10) / 10));
        }
        controller.handle(nowMs[0], new ServerList(ListScope.COMPLETE, 1, boxEntries));
        nowMs[0] += 5000;
        Histogram requestNanos = new Histogram(10_000_000_000L, 3);
        Histogram otherEventNanos = new Histogram(10_000_000_000L, 3);
        var memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        ArrayDeque<String[]> playing = new ArrayDeque<>();
        SplittableRandom random = new SplittableRandom(1);
        int warmUpRequests = 60_000;
        int measuredRequests = 60_000;
        long allocatedBytes = 0;
        for (int n = 0; n < warmUpRequests + measuredRequests; n++) {
            nowMs[0] += 20;
            while (!tickTimesMs.isEmpty() && tickTimesMs.get(0) <= nowMs[0]) {
                tickTimesMs.remove(0);
                long startNanos = System.nanoTime();
                controller.handle(nowMs[0], new TimerFired("tick"));
                record(otherEventNanos, n >= warmUpRequests, startNanos);
            }
            String id = "r" + n;
            Request request = new Request(
                    id,
                    n % 4 == 0 ? 1 : 0,
                    0,
                    "v",
                    "t" + random.nextInt(100),
                    nowMs[0] + 20_000,
                    0,
                    0,
                    Integer.MAX_VALUE,
                    5,
                    false,
                    false,
                    false);
            long bytesBefore = memory.getThreadAllocatedBytes(threadId);
            long startNanos = System.nanoTime();
            controller.handle(nowMs[0], request);
            record(requestNanos, n >= warmUpRequests, startNanos);
            allocatedBytes += n >= warmUpRequests ? memory.getThreadAllocatedBytes(threadId) - bytesBefore : 0;
            while (!attempts.isEmpty()) {
                String started = attempts.poll();
                controller.handle(nowMs[0], new Started(started, 0, lastServer[0], 20));
                playing.add(new String[] {started, Long.toString(lastServer[0])});
            }
            if (playing.size() > 3000) {
                String[] ending = playing.poll();
                startNanos = System.nanoTime();
                controller.handle(
                        nowMs[0],
                        new AttemptEnded(
                                ending[0],
                                0,
                                Long.parseLong(ending[1]),
                                Outcome.OK,
                                60_000,
                                true,
                                Map.of("util", 0.3 + 0.4 * random.nextDouble(), "x1", 0.4)));
                record(otherEventNanos, n >= warmUpRequests, startNanos);
            }
            if (n % 5 == 0 && !playing.isEmpty()) {
                String[] reporting = playing.peek();
                startNanos = System.nanoTime();
                controller.handle(
                        nowMs[0],
                        new Note(
                                reporting[0],
                                0,
                                Long.parseLong(reporting[1]),
                                NoteKind.LINK_USE,
                                0.3 + 0.4 * random.nextDouble()));
                record(otherEventNanos, n >= warmUpRequests, startNanos);
            }
        }
        for (double percentile : new double[] {50, 99, 99.9}) {
            report(
                    "decisions",
                    "us of a request at 210 boxes, p" + percentile,
                    requestNanos.getValueAtPercentile(percentile) / 1000.0);
        }
        for (double percentile : new double[] {50, 99, 99.9}) {
            report(
                    "decisions",
                    "us of the other events, p" + percentile,
                    otherEventNanos.getValueAtPercentile(percentile) / 1000.0);
        }
        report("decisions", "bytes allocated a request", allocatedBytes / (double) measuredRequests);
        report("decisions", "sessions held meanwhile", playing.size());
        report("decisions", "requests refused", refused[0]);
    }

    private static void record(Histogram histogram, boolean measured, long startNanos) {
        if (measured) {
            histogram.recordValue(Math.max(1, System.nanoTime() - startNanos));
        }
    }

    private static long usedHeapBytes() {
        var memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < 3; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    /** Heap that 20,000 sessions of one manager take; the boxes run in the same process but keep no state. */
    private void sessions() throws Exception {
        int count = 20_000;
        try (InstantBoxes boxes = new InstantBoxes(60, 900);
                FrontProcess front = new FrontProcess(
                        settings(boxes.directoryAddress(), 60, count),
                        Clock.system(),
                        new SplittableRandom(1),
                        Tap.NONE)) {
            InetSocketAddress address = front.address();
            List<String> mediaPaths = new ArrayList<>(List.of(awaitPlaylistPath(address, 0)));
            Thread.sleep(4500);
            long heapBefore = usedHeapBytes();
            ClosedLoopClient setUpClient = new ClosedLoopClient(
                    address,
                    CLIENT_THREADS,
                    CONNECTIONS,
                    count,
                    n -> "/v1/lectures/t" + n % 20 + "/index.m3u8?class=" + (n % 3 == 0 ? "course" : "talk"));
            long startNanos = System.nanoTime();
            setUpClient.start().join();
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            int held = front.loop().call(() -> front.manager().sessionCount());
            long heapAfter = usedHeapBytes();
            report("sessions", "sessions held", held);
            report("sessions", "requests that were refused", setUpClient.non200Responses());
            report("sessions", "heap bytes a session", (heapAfter - heapBefore) / (double) held);
            report("sessions", "heap in use with all, MB", heapAfter / 1e6);
            report(
                    "sessions",
                    "heap bound of this process, MB",
                    Runtime.getRuntime().maxMemory() / 1e6);
            report("sessions", "seconds until all played", seconds);
            ClosedLoopClient reloadClient = new ClosedLoopClient(
                            address, CLIENT_THREADS, CONNECTIONS, UNLIMITED_REQUESTS, n -> mediaPaths.get(0))
                    .start();
            responsesPerSecond(reloadClient, MEASURED_MS / 4);
            report("sessions", "reloads a second with all held", responsesPerSecond(reloadClient, MEASURED_MS));
            reloadClient.stop();
        }
    }
}
