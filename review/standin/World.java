package standin;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What every case needs: the loop, the record, the event bus, and the session manager as a separate process. */
abstract class World {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    /** Time in ms after which a case ends as one that could not run. */
    private static final double LONGEST_MS = 114_000;
    /** Most starts of a session manager whose port another program takes. */
    private static final int MOST_STARTS = 4;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Loop loop = new Loop();
    private final long startNanos = System.nanoTime();
    private final BufferedWriter record;
    private final Path folder = Files.createTempDirectory("review-");
    Process manager;
    InetSocketAddress listen;
    Bus bus;
    private int verdict = COULD_NOT_RUN;
    private Runnable startAgain;
    private int starts;

    World(String caseFolder) throws IOException {
        record = Files.newBufferedWriter(Path.of(caseFolder, "record.txt"));
        record("run with TROUBLE=" + (trouble ? 1 : 0));
    }

    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to the record, with the ms since the start of the case. */
    void record(String line) {
        try {
            record.write(String.format("%9.1f %s%n", nowMs(), line));
            record.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the case with a verdict. */
    void end(int newVerdict, String reason) {
        verdict = newVerdict;
        record("verdict " + newVerdict + ": " + reason);
        System.out.println((newVerdict == HELD ? "held: " : newVerdict == BROKEN ? "broken: " : "could not run: ")
                + reason);
        loop.stopped = true;
    }

    /** Runs the case; returns the exit status. */
    int play() throws Exception {
        Thread killer = new Thread(() -> {
            if (manager != null) {
                manager.destroyForcibly();
            }
        });
        Runtime.getRuntime().addShutdownHook(killer);
        try {
            bus = new Bus(loop, this);
            loop.after(LONGEST_MS, () -> end(COULD_NOT_RUN, "time is up"));
            begin();
            loop.run();
        } finally {
            if (manager != null) {
                manager.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
                record("session manager ended by the case if it still ran");
            }
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
            record.close();
        }
        return verdict;
    }

    /** Plays a case and exits with its verdict; one that fails itself could not run. */
    static void run(World world) {
        int status = COULD_NOT_RUN;
        try {
            status = world.play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Sets up the stand-ins and starts the session manager. */
    abstract void begin() throws Exception;

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /**
     * Starts a session manager with the deploy file's {@code run}, on a free port. If another program takes the port
     * before it listens, {@link #whenReady} starts it again on another one.
     *
     * @param entries the whole list of video servers
     * @param settings a JSON object
     */
    void startManager(int memoryMb, int sockets, List<String> entries, String settings) throws IOException {
        startAgain = () -> {
            try {
                startManager(memoryMb, sockets, entries, settings);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        starts++;
        int port = freePort();
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no line 'run'");
        }
        listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        String address = "127.0.0.1:" + port;
        String known = bus.first(entries);
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                ("{\"name\":\"n0\",\"listen\":\"%s\",\"seed\":\"8c1f30d27a5be964\","
                                + "\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\"bus\":\"127.0.0.1:%d\","
                                + "\"known\":{\"offset\":%d,\"batch\":[%s]},\"settings\":%s}")
                        .formatted(
                                address,
                                memoryMb,
                                sockets,
                                bus.port(),
                                bus.last(),
                                known,
                                settings));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().put("PROXY_NAME", "n0");
        builder.environment().put("PROXY_LISTEN", address);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true);
        Path log = folder.resolve("manager.log");
        builder.redirectOutput(log.toFile());
        manager = builder.start();
        record("started: " + run.group(1));
    }

    /** Returns the last lines of the session manager's log. */
    List<String> logTail(int lines) {
        try {
            List<String> all = Files.readAllLines(folder.resolve("manager.log"), StandardCharsets.UTF_8);
            return all.subList(Math.max(0, all.size() - lines), all.size());
        } catch (IOException e) {
            return List.of("no log: " + e);
        }
    }

    /** Connects again until the session manager passes a test, as the platform's front does; then runs {@code then}. */
    void whenReady(Runnable then) {
        whenReady(then, nowMs() + 30_000);
    }

    private void whenReady(Runnable then, double untilMs) {
        Loop.Conn conn = loop.connect(listen);
        boolean[] passed = new boolean[1];
        conn.onMessage = message -> {
            if (message.type == Wire.TESTED && message.cause() == 1) {
                passed[0] = true;
                record("the session manager passed a test");
                conn.close();
                then.run();
            }
        };
        conn.onClosed = () -> {
            if (!passed[0] && nowMs() < untilMs && manager.isAlive()) {
                loop.after(50, () -> whenReady(then, untilMs));
            } else if (!passed[0] && starts < MOST_STARTS && logTail(50).toString().contains("Address already in use")) {
                record("the port was taken by another program");
                startAgain.run();
                whenReady(then, untilMs);
            } else if (!passed[0]) {
                end(COULD_NOT_RUN, "the session manager did not start: " + logTail(5));
            }
        };
        conn.send(new Wire.Message(Wire.TEST, 1).cause(0));
    }

    static String entry(String id, int port, int cell, String state, double weight, long startedAtMs) {
        return ("{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"ops-center\",\"machineType\":"
                        + "\"two-core\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%s,\"startedAtMs\":%d}")
                .formatted(id, port, cell, state, weight, startedAtMs);
    }

    /** The event bus: events with numbers from 1, and each second a line with the last number. */
    static final class Bus {
        private final Loop.Listener listener;
        private final List<String> events = new ArrayList<>();
        private final List<Loop.Conn> followers = new ArrayList<>();

        Bus(Loop loop, World world) throws IOException {
            listener = loop.listen(64, conn -> {
                StringBuilder line = new StringBuilder();
                conn.onBytes = bytes -> {
                    while (bytes.hasRemaining()) {
                        char next = (char) bytes.get();
                        if (next != '\n') {
                            line.append(next);
                            continue;
                        }
                        int from = Integer.parseInt(line.toString().trim().replace("from ", ""));
                        line.setLength(0);
                        for (String event : events.subList(Math.min(from, events.size()), events.size())) {
                            conn.send((event + "\n").getBytes(StandardCharsets.UTF_8));
                        }
                        conn.send((events.size() + "\n").getBytes(StandardCharsets.UTF_8));
                        followers.add(conn);
                    }
                };
                conn.onClosed = () -> followers.remove(conn);
            });
            beat(loop);
        }

        private void beat(Loop loop) {
            loop.after(1000, () -> beat(loop));
            for (Loop.Conn follower : List.copyOf(followers)) {
                follower.send((events.size() + "\n").getBytes(StandardCharsets.UTF_8));
            }
        }

        int port() {
            return listener.port();
        }

        int last() {
            return events.size();
        }

        private String event(boolean whole, List<String> entries) {
            int number = events.size() + 1;
            return "{\"offset\":%d,\"topology\":{\"generation\":%d,\"reset\":%b,\"instances\":[%s]}}"
                    .formatted(number, number, whole, String.join(",", entries));
        }

        /** Returns the event with the whole list, which the configuration holds under {@code known}. */
        private String first(List<String> entries) {
            events.clear();
            events.add(event(true, entries));
            return events.get(0);
        }

        /** Tells a change of the list. */
        void tell(String... entries) {
            events.add(event(false, List.of(entries)));
            for (Loop.Conn follower : List.copyOf(followers)) {
                follower.send((events.get(events.size() - 1) + "\n").getBytes(StandardCharsets.UTF_8));
            }
        }
    }
}
