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

/** Owns the measurements by name; each gives lines for people and figures for programs. */
public final class Bench {
    /** All measurements, in the order in which they run. */
    public static final List<String> NAMES =
            List.of("reloads", "setups", "decisions", "sessions", "stitch", "gossip", "liars", "members");

    private static final int ROUNDS = 5;
    private static final long ROUND_MS = 2000;
    private static final int CLIENT_THREADS = 3;
    private static final int CONNECTIONS = 48;
    private static final long NO_END = Long.MAX_VALUE;

    private final ObjectNode figures = Documents.MAPPER.createObjectNode().put("schema", "calicovale/bench/1");
    private final StringBuilder table = new StringBuilder();

    /** Runs one measurement. */
    public void run(String name) throws Exception {
        switch (name) {
            case "reloads" -> reloads();
            case "setups" -> setUps();
            case "decisions" -> decisions();
            case "sessions" -> sessions();
            case "stitch" -> stitch();
            case "gossip" -> new GossipBench((what, value) -> tell("gossip", what, value)).run();
            case "liars" -> new GossipBench((what, value) -> tell("liars", what, value)).liars();
            case "members" -> {
                for (int size : new int[] {8, 32}) {
                    new MembersBench((what, value) -> tell("members", what, value)).run(size);
                }
            }
            default -> throw new IllegalArgumentException("no measurement " + name + ", one of " + NAMES);
        }
    }

    /** The figures so far. */
    public ObjectNode figures() {
        return figures;
    }

    /** The figures so far, for people. */
    public String table() {
        return table.toString();
    }

    private void tell(String measurement, String what, double value) {
        figures.withObject("/" + measurement).put(what, value);
        table.append(String.format(Locale.ROOT, "%-12s%-52s%14.3f%n", measurement, what, value));
    }

    private static FrontSettings settings(InetSocketAddress directory, int boxes, int sessions)
            throws InvalidDocumentException {
        return settings(directory, boxes, sessions, "");
    }

    private static FrontSettings settings(InetSocketAddress directory, int boxes, int sessions, String more)
            throws InvalidDocumentException {
        double streams = Math.max(200, 4.0 * sessions / boxes);
        // a link that carries the sessions at the middle rate with room to spare
        double link = streams * 30;
        return FrontSettings.parse("bench", """
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
                """.formatted(directory.getPort(), link, link * boxes, streams, more));
    }

    private void stitch() throws Exception {
        String operators = ", \"operators\": {\"host\": \"127.0.0.1\", \"port\": 0}";
        Path folder = Files.createTempDirectory("calicovale-bench");
        String kept = operators + ", \"sessionsFolder\": \"" + folder + "\"";
        StitchBench bench = new StitchBench((what, value) -> tell("stitch", what, value));
        bench.reloads((directory, boxes, sessions) -> settings(directory, boxes, sessions, operators));
        bench.all((directory, boxes, sessions) -> settings(directory, boxes, sessions, operators), "without a ledger");
        bench.all((directory, boxes, sessions) -> settings(directory, boxes, sessions, kept), "with a ledger");
    }

    private static HttpResponse<String> get(InetSocketAddress at, String path)
            throws IOException, InterruptedException {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at.getPort() + path))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    /** Asks until a session plays and gives its playlist's path. */
    private static String playing(InetSocketAddress at, int number) throws IOException, InterruptedException {
        for (int i = 0; i < 1000; i++) {
            HttpResponse<String> answer = get(at, "/v1/lectures/t" + number % 20 + "/index.m3u8?class=course");
            if (answer.statusCode() == 200) {
                return answer.body()
                        .lines()
                        .filter(line -> line.startsWith("/s/"))
                        .findFirst()
                        .orElseThrow();
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("no session plays");
    }

    private static double rate(LoadClient load, long ms) throws InterruptedException {
        long before = load.answers();
        long from = System.nanoTime();
        Thread.sleep(ms);
        return (load.answers() - before) * 1e9 / (System.nanoTime() - from);
    }

    private static double median(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    /** Reloads a second of one loop beside the floor; rounds alternate, so that noise falls on both. */
    private void reloads() throws Exception {
        try (InstantBoxes boxes = new InstantBoxes(10, 900);
                FrontProcess front = new FrontProcess(
                        settings(boxes.directory(), 10, 200), Clock.system(), new SplittableRandom(1), Tap.NONE)) {
            InetSocketAddress at = front.address();
            List<String> media = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                media.add(playing(at, i));
            }
            HttpResponse<String> one = get(at, media.get(0));
            int length = one.body().getBytes(StandardCharsets.UTF_8).length;
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            one.headers().map().forEach((name, values) -> {
                // the client finds the length by its usual spelling
                String spelt = name.equalsIgnoreCase("content-length") ? "Content-Length" : name;
                head.append(spelt).append(": ").append(values.get(0)).append("\r\n");
            });
            byte[] answer = (head + "\r\n" + "x".repeat(length)).getBytes(StandardCharsets.US_ASCII);
            try (BareLoop bare = new BareLoop(answer)) {
                beside(
                        "reloads",
                        at,
                        n -> media.get((int) (n % media.size())),
                        front.loop().call(Thread::currentThread).getId(),
                        bare,
                        media.get(0));
            }
            tell("reloads", "bytes of an answer", answer.length);
        }
    }

    private void beside(
            String name,
            InetSocketAddress at,
            java.util.function.LongFunction<String> target,
            long frontThread,
            BareLoop bare,
            String bareTarget)
            throws Exception {
        List<Double> front = new ArrayList<>();
        List<Double> floor = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        List<Double> cpu = new ArrayList<>();
        var threads = ManagementFactory.getThreadMXBean();
        var memory = (com.sun.management.ThreadMXBean) threads;
        double allocated = 0;
        for (int round = 0; round < ROUNDS + 1; round++) {
            LoadClient onBare =
                    new LoadClient(bare.address(), CLIENT_THREADS, CONNECTIONS, NO_END, n -> bareTarget).start();
            rate(onBare, ROUND_MS / 4);
            long bareCpu = threads.getThreadCpuTime(bare.threadId());
            long bareAnswers = onBare.answers();
            double b = rate(onBare, ROUND_MS);
            double bareEach =
                    (threads.getThreadCpuTime(bare.threadId()) - bareCpu) / (double) (onBare.answers() - bareAnswers);
            onBare.stop();
            LoadClient onFront = new LoadClient(at, CLIENT_THREADS, CONNECTIONS, NO_END, target).start();
            rate(onFront, ROUND_MS / 4);
            long frontCpu = threads.getThreadCpuTime(frontThread);
            long frontBytes = memory.getThreadAllocatedBytes(frontThread);
            long frontAnswers = onFront.answers();
            double f = rate(onFront, ROUND_MS);
            double each =
                    (threads.getThreadCpuTime(frontThread) - frontCpu) / (double) (onFront.answers() - frontAnswers);
            allocated = (memory.getThreadAllocatedBytes(frontThread) - frontBytes)
                    / (double) (onFront.answers() - frontAnswers);
            onFront.stop();
            if (onFront.others() > 0) {
                throw new IllegalStateException(onFront.others() + " answers were not 200");
            }
            if (round > 0) {
                // the first round warms up
                front.add(f);
                floor.add(b);
                ratios.add(f / b);
                cpu.add(bareEach / each);
            }
        }
        tell(name, "answers a second of the front", median(front));
        tell(name, "answers a second of the bare loop", median(floor));
        tell(name, "ratio of the two (median of rounds)", median(ratios));
        tell(name, "ratio by CPU time an answer of the loop's thread", median(cpu));
        tell(name, "bytes allocated an answer", allocated);
    }

    /** Set-ups a second of one loop, boxes that answer at once; a bounded number, since each session stays. */
    private void setUps() throws Exception {
        byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: 180\r\n\r\n" + "x".repeat(180))
                .getBytes(StandardCharsets.US_ASCII);
        try (InstantBoxes boxes = new InstantBoxes(20, 900);
                BareLoop bare = new BareLoop(answer)) {
            List<Double> front = new ArrayList<>();
            List<Double> floor = new ArrayList<>();
            List<Double> ratios = new ArrayList<>();
            for (int round = 0; round < ROUNDS + 1; round++) {
                LoadClient onBare =
                        new LoadClient(bare.address(), CLIENT_THREADS, CONNECTIONS, NO_END, n -> "/").start();
                rate(onBare, ROUND_MS / 4);
                double b = rate(onBare, ROUND_MS);
                onBare.stop();
                try (FrontProcess manager = new FrontProcess(
                        settings(boxes.directory(), 20, 20_000),
                        Clock.system(),
                        new SplittableRandom(round),
                        Tap.NONE)) {
                    InetSocketAddress at = manager.address();
                    playing(at, 0);
                    // until a manager is sure that no box is cold it sends little to each
                    Thread.sleep(4500);
                    LoadClient onFront = new LoadClient(
                            at,
                            CLIENT_THREADS,
                            CONNECTIONS,
                            4000,
                            n -> "/v1/lectures/t" + n % 20 + "/index.m3u8?class=" + (n % 3 == 0 ? "course" : "talk"));
                    long from = System.nanoTime();
                    onFront.start().join();
                    double f = 4000 * 1e9 / (System.nanoTime() - from);
                    if (onFront.others() > 0) {
                        tell("setups", "requests refused in round " + round, onFront.others());
                    }
                    if (round > 0) {
                        front.add(f);
                        floor.add(b);
                        ratios.add(f / b);
                    }
                }
            }
            tell("setups", "set-ups a second of the front", median(front));
            tell("setups", "answers a second of the bare loop", median(floor));
            tell("setups", "ratio of the two (median of rounds)", median(ratios));
        }
    }

    /** What a decision costs with 210 boxes: the controller alone, fed as its host feeds it. */
    private void decisions() throws Exception {
        int boxes = 210;
        FrontSettings s = settings(new InetSocketAddress("127.0.0.1", 9), boxes, 3000);
        ArrayDeque<String> attempts = new ArrayDeque<>();
        double[] now = {1_000_000};
        List<Double> ticks = new ArrayList<>();
        long[] servers = new long[1];
        int[] refused = new int[1];
        SessionController controller = new SessionController(s.controller(), 1, now[0], new Actions() {
            @Override
            public void attempt(String id, long server, double timeoutMs) {
                attempts.add(id);
                servers[0] = server;
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
                ticks.add(now[0] + delayMs);
            }

            @Override
            public void log(String text) {}
        });
        List<ServerEntry> list = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            list.add(new ServerEntry(i, ServerState.READY, 0, 0, i % 8, 0, 0.8 + 0.4 * (i % 10) / 10));
        }
        controller.handle(now[0], new ServerList(ListScope.COMPLETE, 1, list));
        now[0] += 5000;
        Histogram deciding = new Histogram(10_000_000_000L, 3);
        Histogram all = new Histogram(10_000_000_000L, 3);
        var memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        ArrayDeque<String[]> playing = new ArrayDeque<>();
        SplittableRandom random = new SplittableRandom(1);
        int warm = 60_000;
        int measured = 60_000;
        long bytes = 0;
        for (int n = 0; n < warm + measured; n++) {
            now[0] += 20;
            while (!ticks.isEmpty() && ticks.get(0) <= now[0]) {
                ticks.remove(0);
                long from = System.nanoTime();
                controller.handle(now[0], new TimerFired("tick"));
                record(all, n >= warm, from);
            }
            String id = "r" + n;
            Request request = new Request(
                    id,
                    n % 4 == 0 ? 1 : 0,
                    0,
                    "v",
                    "t" + random.nextInt(100),
                    now[0] + 20_000,
                    0,
                    0,
                    Integer.MAX_VALUE,
                    5,
                    false,
                    false,
                    false);
            long before = memory.getThreadAllocatedBytes(thread);
            long from = System.nanoTime();
            controller.handle(now[0], request);
            record(deciding, n >= warm, from);
            bytes += n >= warm ? memory.getThreadAllocatedBytes(thread) - before : 0;
            while (!attempts.isEmpty()) {
                String started = attempts.poll();
                controller.handle(now[0], new Started(started, 0, servers[0], 20));
                playing.add(new String[] {started, Long.toString(servers[0])});
            }
            if (playing.size() > 3000) {
                String[] last = playing.poll();
                from = System.nanoTime();
                controller.handle(
                        now[0],
                        new AttemptEnded(
                                last[0],
                                0,
                                Long.parseLong(last[1]),
                                Outcome.OK,
                                60_000,
                                true,
                                Map.of("util", 0.3 + 0.4 * random.nextDouble(), "x1", 0.4)));
                record(all, n >= warm, from);
            }
            if (n % 5 == 0 && !playing.isEmpty()) {
                String[] some = playing.peek();
                from = System.nanoTime();
                controller.handle(
                        now[0],
                        new Note(
                                some[0],
                                0,
                                Long.parseLong(some[1]),
                                NoteKind.LINK_USE,
                                0.3 + 0.4 * random.nextDouble()));
                record(all, n >= warm, from);
            }
        }
        for (double p : new double[] {50, 99, 99.9}) {
            tell("decisions", "us of a request at 210 boxes, p" + p, deciding.getValueAtPercentile(p) / 1000.0);
        }
        for (double p : new double[] {50, 99, 99.9}) {
            tell("decisions", "us of the other events, p" + p, all.getValueAtPercentile(p) / 1000.0);
        }
        tell("decisions", "bytes allocated a request", bytes / (double) measured);
        tell("decisions", "sessions held meanwhile", playing.size());
        tell("decisions", "requests refused", refused[0]);
    }

    private static void record(Histogram histogram, boolean counts, long from) {
        if (counts) {
            histogram.recordValue(Math.max(1, System.nanoTime() - from));
        }
    }

    private static long heap() {
        var memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < 3; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    /** Heap that 20,000 sessions of one manager take; the boxes remember nothing. */
    private void sessions() throws Exception {
        int count = 20_000;
        try (InstantBoxes boxes = new InstantBoxes(60, 900);
                FrontProcess manager = new FrontProcess(
                        settings(boxes.directory(), 60, count), Clock.system(), new SplittableRandom(1), Tap.NONE)) {
            InetSocketAddress at = manager.address();
            List<String> media = new ArrayList<>(List.of(playing(at, 0)));
            Thread.sleep(4500);
            long before = heap();
            LoadClient load = new LoadClient(
                    at,
                    CLIENT_THREADS,
                    CONNECTIONS,
                    count,
                    n -> "/v1/lectures/t" + n % 20 + "/index.m3u8?class=" + (n % 3 == 0 ? "course" : "talk"));
            long from = System.nanoTime();
            load.start().join();
            double seconds = (System.nanoTime() - from) / 1e9;
            int held = manager.loop().call(() -> manager.manager().sessionCount());
            long after = heap();
            tell("sessions", "sessions held", held);
            tell("sessions", "requests that were refused", load.others());
            tell("sessions", "heap bytes a session", (after - before) / (double) held);
            tell("sessions", "heap in use with all, MB", after / 1e6);
            tell(
                    "sessions",
                    "heap bound of this process, MB",
                    Runtime.getRuntime().maxMemory() / 1e6);
            tell("sessions", "seconds until all played", seconds);
            LoadClient reloads = new LoadClient(at, CLIENT_THREADS, CONNECTIONS, NO_END, n -> media.get(0)).start();
            rate(reloads, ROUND_MS / 4);
            tell("sessions", "reloads a second with all held", rate(reloads, ROUND_MS));
            reloads.stop();
        }
    }
}
