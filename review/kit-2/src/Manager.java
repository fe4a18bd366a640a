import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One session manager, started by the line "run" of the deploy file in a process of its own. */
final class Manager {
    private final Record record;
    private final Path root;
    private final Path folder;
    final String name;
    final int port;
    private Process process;

    /** Holds a name and an address; nothing is started yet. */
    Manager(Record record, Path root, Path folder, String name) throws IOException {
        this.record = record;
        this.root = root;
        this.folder = folder;
        this.name = name;
        port = freePort();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private Path configFile() {
        return folder.resolve("config-" + name + ".json");
    }

    /** Writes a configuration, with the settings of a small deployment. */
    void writeConfig(Bus bus, int memoryMb, int sockets, String settings) throws IOException {
        Files.writeString(
                configFile(),
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                        + "\",\"seed\":\"8c1f30d27a5be964\",\n \"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                        + ",\"sockets\":" + sockets + "},\n \"bus\":\"127.0.0.1:" + bus.port() + "\",\n \"known\":"
                        + bus.known() + ",\n \"settings\":" + settings + "}\n");
    }

    /** Starts the process and waits until a test passes. Returns false if that takes over 30 s. */
    boolean start() throws Exception {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        Path temporary = Files.createTempDirectory(folder, "tmp-" + name + "-");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().put("PROXY_NAME", name);
        builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("PROXY_CONFIG", configFile().toString());
        builder.environment().put("TMPDIR", temporary.toString());
        Path log = folder.resolve("log-" + name + ".txt");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        record.line(name + ": process " + process.pid() + " is started");
        long untilNanos = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < untilNanos && process.isAlive()) {
            try (Front test = new Front(record, name + " test", port)) {
                test.send(new Wire(Wire.TEST, 1).with(Wire.CAUSE, new byte[] {0}));
                Wire result = test.await(1, Wire.TEST_RESULT, 1000);
                if (result != null && result.cause() == 1) {
                    record.line(name + ": has passed a test");
                    return true;
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        return false;
    }

    /** Sends a signal, such as TERM, KILL, STOP, CONT or HUP. */
    void signal(String signal) throws Exception {
        record.line(name + ": signal " + signal);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit status, or -1 if the process has not ended in time. */
    int awaitEnd(long timeoutMs) throws InterruptedException {
        if (!process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) {
            return -1;
        }
        record.line(name + ": process has ended with status " + process.exitValue());
        return process.exitValue();
    }

    /** Ends the process. */
    void close() throws Exception {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }
}
