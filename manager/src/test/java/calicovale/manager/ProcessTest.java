package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.ManagerHarness.FakeBus;
import calicovale.manager.ManagerHarness.Peer;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the real process, as the platform starts it: SIGHUP, SIGTERM, few descriptors and invalid configurations. */
@Timeout(60)
class ProcessTest {
    private static final int FLOODING_CLIENTS = 100;
    private static final int SET_UPS_PER_CLIENT = 200;

    private static Process startProcess(Path config) throws IOException {
        return startProcess(config, "unlimited", System.getProperty("java.class.path"), "");
    }

    private static Process startProcess(Path config, String descriptorLimit, String classPath, String shellPrefix)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                shellPrefix + "[ $1 = unlimited ] || ulimit -n $1; shift; exec \"$@\"",
                "sh",
                descriptorLimit,
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx40m",
                "-XX:+UseSerialGC",
                "-cp",
                classPath,
                ManagerMain.class.getName());
        builder.environment().put(ManagerMain.CONFIG_VARIABLE, config.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(config.resolveSibling("log").toFile())
                .start();
    }

    @Test
    void sighupChangesTheBusAddressAndSigtermEndsTheIdleProcessWithStatusZero(@TempDir Path folder) throws Exception {
        Path config = folder.resolve("config.json");
        try (ManagerHarness configSource = new ManagerHarness(1);
                FakeBus first = new FakeBus();
                FakeBus newBus = new FakeBus()) {
            Files.writeString(config, configSource.config(first.port(), 256));
            Process process = startProcess(config);
            try {
                assertEquals("from 1", first.nextRequest());
                Files.writeString(config, configSource.config(newBus.port(), 256));
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                                .start()
                                .waitFor());
                assertEquals("from 1", newBus.nextRequest());
                assertTrue(process.isAlive());
                process.destroy();
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } catch (AssertionError e) {
                throw new AssertionError(Files.readString(folder.resolve("log")), e);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void aProcessStartedWithSighupIgnoredFindsTheNewBusAddressInTheFile(@TempDir Path folder) throws Exception {
        Path config = folder.resolve("config.json");
        try (ManagerHarness configSource = new ManagerHarness(1);
                FakeBus first = new FakeBus();
                FakeBus newBus = new FakeBus()) {
            Files.writeString(config, configSource.config(first.port(), 256));
            Process process = startProcess(config, "unlimited", System.getProperty("java.class.path"), "trap '' HUP; ");
            try {
                assertEquals("from 1", first.nextRequest());
                Files.writeString(config, configSource.config(newBus.port(), 256));
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                                .start()
                                .waitFor());
                first.disconnect();
                assertEquals("from 1", newBus.nextRequest());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void idleClientsThatUseAllDescriptorsWhileTheBusIsDownDoNotPreventItsReconnect(@TempDir Path folder)
            throws Exception {
        Path config = folder.resolve("config.json");
        int port;
        try (FakeBus closedBus = new FakeBus()) {
            port = closedBus.port();
        }
        List<Peer> idle = new ArrayList<>();
        try (ManagerHarness configSource = new ManagerHarness(1)) {
            String text = configSource.config(port, 1024);
            Files.writeString(config, text);
            int listen = Integer.parseInt(text.replaceAll("(?s).*\"listen\":\"127.0.0.1:(\\d+)\".*", "$1"));
            // the system allows far fewer descriptors than the configuration states, so the manager's own bound does
            // not apply
            Process process = startProcess(config, "200", classPathOfArchives(folder), "");
            try {
                configSource.waitUntil(() -> answers(listen));
                for (int i = 0; i < 220; i++) {
                    idle.add(new Peer(new Socket(InetAddress.getLoopbackAddress(), listen)));
                    idle.get(i).send(Message.of(MessageType.UPT, i + 1));
                }
                configSource.waitUntil(() -> openDescriptors(process.pid()) >= 200);
                try (FakeBus bus = new FakeBus(port)) {
                    for (Peer peer : idle) {
                        peer.disconnect();
                    }
                    assertEquals("from 1", bus.nextRequest());
                }
                assertTrue(process.isAlive());
            } catch (AssertionError e) {
                throw new AssertionError(Files.readString(folder.resolve("log")), e);
            } finally {
                process.destroyForcibly();
                for (Peer peer : idle) {
                    peer.close();
                }
            }
        }
    }

    /**
     * Returns the class path with archives instead of folders, as in service: an archive stays open, while each class
     * loaded from a folder needs a descriptor.
     */
    private static String classPathOfArchives(Path folder) throws IOException {
        List<String> entries = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            Path from = Path.of(entry);
            if (!Files.isDirectory(from)) {
                entries.add(entry);
                continue;
            }
            Path archive = folder.resolve(entries.size() + ".jar");
            try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(archive));
                    Stream<Path> files = Files.walk(from)) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    out.putNextEntry(new ZipEntry(from.relativize(file).toString()));
                    Files.copy(file, out);
                }
            }
            entries.add(archive.toString());
        }
        return String.join(File.pathSeparator, entries);
    }

    /** Guards against set-ups that wait being bounded by their number only, so that large ones exhaust the memory. */
    @Test
    void largeSetUpsOfManyClientsAtOnceDoNotEndTheProcess(@TempDir Path folder) throws Exception {
        Path config = folder.resolve("config.json");
        List<Peer> clients = new ArrayList<>();
        try (ManagerHarness configSource = new ManagerHarness(1)) {
            String text = configSource.config(configSource.bus.port(), 1024);
            Files.writeString(config, text);
            int listen = Integer.parseInt(text.replaceAll("(?s).*\"listen\":\"127.0.0.1:(\\d+)\".*", "$1"));
            Process process = startProcess(config);
            try {
                configSource.waitUntil(() -> answers(listen));
                List<Thread> senders = new ArrayList<>();
                for (int i = 0; i < FLOODING_CLIENTS; i++) {
                    Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), listen));
                    clients.add(client);
                    long firstId = 1L + i * SET_UPS_PER_CLIENT;
                    senders.add(inBackground(client::awaitEnd));
                    senders.add(inBackground(() -> {
                        for (int n = 0; n < SET_UPS_PER_CLIENT; n++) {
                            client.send(largeSetUp(firstId + n));
                        }
                        client.halfClose();
                    }));
                }
                for (Thread sender : senders) {
                    sender.join();
                }
                assertTrue(answers(listen), "the process does not answer");
                assertTrue(process.isAlive(), "the process has ended");
            } catch (AssertionError e) {
                throw new AssertionError(Files.readString(folder.resolve("log")), e);
            } finally {
                process.destroyForcibly();
                for (Peer client : clients) {
                    client.close();
                }
            }
        }
    }

    /** Returns a set-up of nearly the largest size that the protocol allows. */
    private static Message largeSetUp(long id) {
        return Message.of(MessageType.IAM, id)
                .with(Parameter.CLASS, "talk")
                .with(Parameter.WAIT, "4000")
                .with(Parameter.TITLE, "7f3a")
                .with(Parameter.DESCRIPTION, new byte[16_000]);
    }

    private interface ClientTask {
        void run() throws IOException;
    }

    private static Thread inBackground(ClientTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the process has ended or closed the connection
                return;
            }
        });
        thread.start();
        return thread;
    }

    private static boolean answers(int port) {
        try (Peer peer = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
            peer.send(Message.of(MessageType.UPT, 1));
            return peer.next() != null;
        } catch (IOException e) {
            return false;
        }
    }

    private static int openDescriptors(long pid) {
        String[] open = new File("/proc/" + pid + "/fd").list();
        return open == null ? 0 : open.length;
    }

    @Test
    void anInvalidConfigurationEndsTheProcessWithStatusTwoAndAllFaults(@TempDir Path folder) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{\"listen\":\"here\"}");
        Process process = startProcess(config);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        String log = Files.readString(folder.resolve("log"));
        assertTrue(log.contains("'listen'") && log.contains("'bus'") && log.contains("limits.sockets"), log);
    }
}
