package calicovale.protocols.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of the phases of a turn, timers, and the use of file descriptors. */
@Timeout(30)
class EventLoopTest {
    private static final Connection.Handler DISCARDING_HANDLER = (c, bytes) -> bytes.position(bytes.limit());

    private static int openDescriptorCount() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? 0 : open.length;
    }

    @Test
    void deferredTasksRunTerminationsFirstAndExpiredTimersLast() {
        List<String> order = new ArrayList<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        try (EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            loop.execute(() -> {
                loop.schedule(0, () -> order.add("timer"));
                loop.schedule(0, () -> order.add("second timer")).cancel();
                loop.defer(EventLoop.Phase.DECISIONS, () -> {
                    order.add("decision");
                    loop.defer(EventLoop.Phase.TERMINATIONS, () -> order.add("end deferred by a decision"));
                });
                loop.defer(EventLoop.Phase.DECISIONS, () -> order.add("next decision"));
                loop.defer(EventLoop.Phase.TERMINATIONS, () -> order.add("end"));
                loop.schedule(20, () -> done.complete(null));
            });
            done.join();
        }
        assertEquals(List.of("end", "decision", "end deferred by a decision", "next decision", "timer"), order);
    }

    @Test
    void cancelledTimersDoNotAccumulate() {
        try (EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            int kept = loop.call(() -> {
                for (int i = 0; i < 100_000; i++) {
                    loop.schedule(3_600_000, () -> {}).cancel();
                }
                return loop.queuedTimers();
            });
            assertTrue(kept <= 128, kept + " timers are still queued");
        }
    }

    /** Guards against input of fast peers that waits for its decision being bounded by its number only. */
    @Test
    void socketsAreNotReadWhileWaitingDecisionsKeepTooManyBytes() throws Exception {
        int sentBytes = 8 << 20;
        AtomicLong waitingBytes = new AtomicLong();
        AtomicLong mostWaitingBytes = new AtomicLong();
        AtomicLong decidedBytes = new AtomicLong();
        CompletableFuture<Void> done = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            loop.call(() -> loop.connect(address, "test", 10_000, (c, bytes) -> {
                int count = bytes.remaining();
                bytes.position(bytes.limit());
                mostWaitingBytes.accumulateAndGet(waitingBytes.addAndGet(count), Math::max);
                loop.deferDecision(count, () -> {
                    // one decision takes all the time of a turn
                    long untilNanos = System.nanoTime() + 11_000_000;
                    while (System.nanoTime() < untilNanos) {
                        Thread.onSpinWait();
                    }
                    waitingBytes.addAndGet(-count);
                    if (decidedBytes.addAndGet(count) == sentBytes) {
                        done.complete(null);
                    }
                });
            }));
            try (Socket peer = server.accept()) {
                peer.getOutputStream().write(new byte[sentBytes]);
                done.get(20, TimeUnit.SECONDS);
            }
        }
        assertTrue(mostWaitingBytes.get() <= (1 << 20) + (1 << 16), mostWaitingBytes + " bytes waited");
    }

    /** Guards against output that peers do not read being bounded for each peer only, and not for all together. */
    @Test
    void outputThatManyPeersDoNotReadIsBoundedInAll() throws Exception {
        int peerCount = 40;
        int totalBytes = 1 << 20;
        LoopLimits limits = new LoopLimits(64, 4096, 1 << 18, totalBytes, 64, 64, 1);
        try (ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system(), limits, Tap.NONE).start()) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            List<Connection> connections = new ArrayList<>();
            // not connected yet, so that all output waits
            int waitingBytes = loop.call(() -> {
                for (int i = 0; i < peerCount; i++) {
                    Connection connection = loop.connect(address, "test", 10_000, DISCARDING_HANDLER);
                    connections.add(connection);
                    for (int n = 0; n < 15; n++) {
                        connection.write(ByteBuffer.allocate(1 << 14));
                    }
                }
                return connections.stream().mapToInt(Connection::pendingBytes).sum();
            });
            assertTrue(waitingBytes <= totalBytes, waitingBytes + " bytes wait");
            loop.call(() -> {
                connections.forEach(Connection::close);
                return null;
            });
            assertEquals(0, loop.call(() -> loop.pendingBytes().used()));
        }
    }

    /** Guards against small answers taking many times their size while their peer does not read them. */
    @Test
    void smallWritesThatWaitTakeLittleMoreMemoryThanTheirBytes() throws Exception {
        int waitingBytes = 8 << 20;
        int writeBytes = 11;
        LoopLimits limits = new LoopLimits(64, 4096, waitingBytes, 4L * waitingBytes, 64, 64, 1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system(), limits, Tap.NONE).start()) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            long heapBefore = usedHeap();
            Connection connection = loop.call(() -> {
                Connection unread = loop.connect(address, "test", 10_000, DISCARDING_HANDLER);
                for (int i = 0; i < waitingBytes / writeBytes; i++) {
                    unread.write(ByteBuffer.allocate(writeBytes));
                }
                unread.pause();
                return unread;
            });
            long heapBytes = usedHeap() - heapBefore;
            assertTrue(heapBytes <= 2L * waitingBytes, heapBytes + " bytes for " + connection.pendingBytes());
        }
    }

    private static long usedHeap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Guards against peers at full speed that keep the input of usual peers waiting. */
    @Test
    void peersAtFullSpeedDoNotDelayTheInputOfOthers() throws Exception {
        int floodingPeers = 50;
        int readsBefore = 4 * floodingPeers;
        ManualClock clock = new ManualClock();
        AtomicLong sentAtNanos = new AtomicLong();
        CompletableFuture<Long> readAtNanos = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", clock).start()) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            List<Socket> peers = new ArrayList<>();
            loop.call(() -> loop.connect(address, "usual", 10_000, (c, bytes) -> {
                bytes.position(bytes.limit());
                readAtNanos.complete(clock.nanos());
            }));
            Socket usualPeer = server.accept();
            peers.add(usualPeer);
            AtomicLong reads = new AtomicLong();
            for (int i = 0; i < floodingPeers; i++) {
                loop.call(() -> loop.connect(address, "flood", 10_000, (c, bytes) -> {
                    bytes.position(bytes.limit());
                    clock.advance(3_000_000);
                    if (reads.incrementAndGet() == readsBefore) {
                        sentAtNanos.set(clock.nanos());
                        sendByte(usualPeer);
                    }
                }));
                Socket peer = server.accept();
                peers.add(peer);
                Thread writer = new Thread(() -> sendWithoutEnd(peer));
                writer.setDaemon(true);
                writer.start();
            }
            long delayMs = (readAtNanos.get(20, TimeUnit.SECONDS) - sentAtNanos.get()) / 1_000_000;
            assertTrue(delayMs <= 50, "read after " + delayMs + " ms");
            for (Socket peer : peers) {
                peer.close();
            }
        }
    }

    private static void sendByte(Socket socket) {
        try {
            socket.getOutputStream().write(1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void sendWithoutEnd(Socket socket) {
        byte[] bytes = new byte[1 << 16];
        try {
            while (true) {
                socket.getOutputStream().write(bytes);
            }
        } catch (IOException e) {
            // the test has ended
            return;
        }
    }

    /** A clock that only the test moves. */
    private static final class ManualClock implements Clock {
        private final AtomicLong nanos = new AtomicLong();

        void advance(long byNanos) {
            nanos.addAndGet(byNanos);
        }

        @Override
        public long nanos() {
            return nanos.get();
        }

        @Override
        public double millis() {
            return nanos.get() / 1e6;
        }
    }

    @Test
    void closedConnectionReleasesItsDescriptorBeforeTheNextOpens() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            loop.call(() -> 0);
            int before = openDescriptorCount();
            int peak = loop.call(() -> {
                int highest = 0;
                for (int i = 0; i < 200; i++) {
                    loop.connect(address, "test", 1000, DISCARDING_HANDLER).close();
                    highest = Math.max(highest, openDescriptorCount());
                }
                return highest;
            });
            assertTrue(peak - before < 8, peak - before + " additional descriptors in one turn");
        }
    }

    @Test
    void onOpenIsCalledOnceWhenOtherConnectionsOpenInTheSameTurn() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            int[] opened = new int[20];
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> {
                for (int i = 0; i < opened.length; i++) {
                    int index = i;
                    loop.connect(address, "test", 1000, new Connection.Handler() {
                        @Override
                        public void onOpen(Connection connection) {
                            opened[index]++;
                            // closes one connection and opens another while the ready keys of this turn are processed
                            loop.connect(address, "other", 1000, DISCARDING_HANDLER)
                                    .close();
                            loop.connect(address, "other", 1000, DISCARDING_HANDLER);
                        }

                        @Override
                        public void onBytes(Connection connection, ByteBuffer bytes) {
                            bytes.position(bytes.limit());
                        }
                    });
                }
                loop.schedule(300, () -> done.complete(null));
            });
            done.get(20, TimeUnit.SECONDS);
            for (int times : opened) {
                assertEquals(1, times);
            }
        }
    }

    @Test
    void connectWithoutFreeDescriptorFailsAsynchronouslyAndALaterConnectSucceeds() throws Exception {
        Process process = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "ulimit -n 80; exec \"$@\"",
                        "sh",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        DescriptorExhaustionMain.class.getName())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(output.contains("failed, established, not attempted, established"), output);
    }

    @Test
    void refusedConnectIsReportedAfterConnectReturns() throws Exception {
        int unusedPort;
        try (ServerSocket probe = new ServerSocket(0)) {
            unusedPort = probe.getLocalPort();
        }
        CompletableFuture<IOException> closeCause = new CompletableFuture<>();
        try (EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            boolean closedDuringCall = loop.call(() -> {
                loop.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), unusedPort),
                        "test",
                        1000,
                        new Connection.Handler() {
                            @Override
                            public void onBytes(Connection connection, ByteBuffer bytes) {
                                bytes.position(bytes.limit());
                            }

                            @Override
                            public void onClosed(Connection connection, IOException cause) {
                                closeCause.complete(cause);
                            }
                        });
                return closeCause.isDone();
            });
            assertEquals(false, closedDuringCall);
            ConnectFailedException failed = (ConnectFailedException) closeCause.get(20, TimeUnit.SECONDS);
            assertEquals(false, failed.notAttempted());
            assertEquals(false, failed.timedOut());
        }
    }
}
