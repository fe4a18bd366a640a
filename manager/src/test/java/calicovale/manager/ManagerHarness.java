package calicovale.manager;

import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import calicovale.protocols.signal.SignalException;
import calicovale.protocols.signal.SignalParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A manager on loopback between stand-ins: video servers, the event bus and viewers, all told what to say by the test. */
final class ManagerHarness implements AutoCloseable {
    static final byte[] VIEWER_DESCRIPTION = "wanted".getBytes(StandardCharsets.US_ASCII);
    static final byte[] SERVER_DESCRIPTION = "given".getBytes(StandardCharsets.US_ASCII);
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long TIMEOUT_S = 10;
    private static final int DRAIN_GRACE_MS = 2000;

    final List<FakeServer> servers = new ArrayList<>();
    final FakeBus bus = new FakeBus();
    final ShiftedClock clock = new ShiftedClock();
    private long bytesReadAtMark;
    final ManagerProcess process;

    ManagerHarness(int serverCount) throws IOException, InvalidDocumentException {
        this(serverCount, 256);
    }

    ManagerHarness(int serverCount, int sockets) throws IOException, InvalidDocumentException {
        this(serverCount, sockets, DRAIN_GRACE_MS);
    }

    ManagerHarness(int serverCount, int sockets, int graceMs) throws IOException, InvalidDocumentException {
        for (int i = 0; i < serverCount; i++) {
            servers.add(new FakeServer());
        }
        process = new ManagerProcess(
                ManagerConfig.read(
                        "config",
                        config(bus.port(), sockets)
                                .replace("\"drainGraceMs\":" + DRAIN_GRACE_MS, "\"drainGraceMs\":" + graceMs)),
                clock);
        // the worst order: what may start an attempt is read before the news of viewers
        process.loop().execute(() -> process.loop().readOrder(Comparator.comparing(Connection::accepted)));
    }

    /** What peers do while the loop stands still. */
    interface PeerAction {
        void run() throws Exception;
    }

    /** The loop stands still while the peers act: all that they did is ready in its next turn. */
    void inOneLoopTurn(PeerAction action) throws Exception {
        LoopPause pause = new LoopPause();
        process.loop().execute(pause);
        pause.runWhilePaused(action);
    }

    /**
     * What peers did in {@code before} is read and decided in one turn; in the same turn, before timers that fall due within
     * {@code thenMs}, the loop stands still again while they act.
     */
    void afterDecisions(PeerAction firstAction, double advanceMs, PeerAction action) throws Exception {
        LoopPause firstPause = new LoopPause();
        LoopPause secondPause = new LoopPause();
        process.loop().execute(firstPause);
        firstPause.runWhilePaused(() -> {
            firstAction.run();
            firstPause.afterwards = () -> {
                process.loop().schedule(0, secondPause);
                clock.advance(advanceMs);
            };
        });
        secondPause.runWhilePaused(action);
    }

    /** A message or timer at which the loop stands still. */
    private static final class LoopPause implements Runnable {
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);
        private volatile Runnable afterwards = () -> {};

        @Override
        public void run() {
            reached.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            afterwards.run();
        }

        void runWhilePaused(PeerAction action) throws Exception {
            reached.await();
            try {
                action.run();
            } finally {
                released.countDown();
            }
        }
    }

    /** The system's clock, which a test may stop and put forward: on a busy machine no time-out then falls due by itself. */
    static final class ShiftedClock implements Clock {
        private final Clock systemClock = Clock.system();
        private final long startNanos = systemClock.nanos();
        private final double startMs = systemClock.millis();
        private volatile double advancedMs;
        private volatile double stoppedAtMs = Double.NaN;

        void advance(double ms) {
            advancedMs += ms;
        }

        void stop() {
            stoppedAtMs = elapsedMs();
        }

        private double elapsedMs() {
            return Double.isNaN(stoppedAtMs) ? (systemClock.nanos() - startNanos) / 1e6 : stoppedAtMs;
        }

        @Override
        public long nanos() {
            return startNanos + (long) ((elapsedMs() + advancedMs) * 1e6);
        }

        @Override
        public double millis() {
            return startMs + elapsedMs() + advancedMs;
        }
    }

    String config(int busPort, int sockets) {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            entries.append(i == 0 ? "" : ",")
                    .append(entry("s-" + i, servers.get(i).port(), "in_service", 0));
        }
        return """
                {"name":"n0","listen":"127.0.0.1:%d","seed":"6444882f5c620abb","limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                 "bus":"127.0.0.1:%d","known":{"offset":1,"batch":[{"offset":1,"topology":{"generation":1,"reset":true,"instances":[%s]}}]},
                 "settings":{"me":0,"replicasOfMe":1,"az":0,"dcs":["here"],"kinds":["std"],"discovery":"push",
                  "profiles":[{"name":"talk","aimMs":400,"deadlineMs":2000,"effect":"pure","gain":1.0},
                              {"name":"course","aimMs":4000,"deadlineMs":2000,"effect":"pure","gain":3.0}],
                  "limits":{"sendCap":4,"retryAfter":true,"maxRetryAfterMs":2000,"cancelling":true,"connectTimeoutMs":250,
                            "connIdleMs":30000,"mostHeld":60000},
                  "report":{"how":"piggyback","fields":["util","x1"]},
                  "rules":{"coldFrom":0.4,"warmAfterMs":1,"tipMultiple":4,"fallMs":1000,"drainGraceMs":2000},
                  "specifics":{"levelKb":[100,200,400],"ladderWorth":[0.3,0.6,1.0],"positions":12,"racks":1,"linkUnitKb":100000,
                               "rackLinkKb":1000000,"kindStreams":[1000],"lowestRung":[0,1],"highestRung":[2,2],"scaleByClass":[1,1],
                               "classLive":[false,false],"seats":[0,0],"join":1,"fullFrom":1,"seeMs":300,"tellMs":600}}}
                """.formatted(freePort(), sockets, busPort, entries);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String entry(String id, int port, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"here\",\"machineType\":\"std\",\"cell\":0,"
                        .formatted(id, port)
                + "\"lifecycle\":\"%s\",\"weight\":1,\"startedAtMs\":%d}".formatted(lifecycle, startedAtMs);
    }

    static String event(long offset, String... entries) {
        return "{\"offset\":%d,\"topology\":{\"generation\":%d,\"reset\":false,\"instances\":[%s]}}"
                .formatted(offset, offset, String.join(",", entries));
    }

    Peer viewer() throws IOException {
        return new Peer(new Socket(LOOPBACK, process.address().getPort()));
    }

    /** A viewer whose connection has been accepted. */
    Peer acceptedViewer() throws IOException {
        Peer peer = viewer();
        peer.send(Message.of(MessageType.UPT, 9));
        if (peer.next().type() != MessageType.UPA) {
            throw new IOException("no test was passed");
        }
        return peer;
    }

    static Message setUp(long id, String sessionClass, String extras) {
        return Message.of(MessageType.IAM, id)
                .with(Parameter.CLASS, sessionClass)
                .with(Parameter.WAIT, "1500")
                .with(Parameter.TITLE, "7f3a")
                .with(Parameter.EXTRAS, extras)
                .with(Parameter.DESCRIPTION, VIEWER_DESCRIPTION);
    }

    static Message setUp(long id) {
        return setUp(id, "talk", "home:0;copies:12;top:2;viewer:00a1");
    }

    /** Waits until a count has come so far. */
    void awaitCount(String counter, long minimum) throws InterruptedException {
        waitUntil(() -> process.counts().getOrDefault(counter, 0L) >= minimum);
    }

    /** Counts what is read from here on. */
    void markBytesRead() {
        bytesReadAtMark = bytesRead();
    }

    /** Waits until so many bytes have been read. */
    void awaitBytesRead(long bytes) throws InterruptedException {
        waitUntil(() -> bytesRead() >= bytesReadAtMark + bytes);
    }

    private long bytesRead() {
        return process.loop().call(() -> process.loop().counters().bytesRead);
    }

    /** Waits for a state, with a generous bound. */
    void waitUntil(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("it did not come to that: " + process.counts());
            }
            Thread.sleep(2);
        }
    }

    /** The server to which something has come. */
    FakeServer serverWithMessage() throws InterruptedException {
        waitUntil(() -> servers.stream().anyMatch(b -> !b.received.isEmpty()));
        return servers.stream().filter(b -> !b.received.isEmpty()).findFirst().orElseThrow();
    }

    @Override
    public void close() throws IOException {
        process.close();
        bus.close();
        for (FakeServer box : servers) {
            box.close();
        }
    }

    /** One connection, read message by message. */
    static final class Peer implements AutoCloseable {
        private final Socket socket;
        private volatile CountDownLatch readerEnded;
        private final SignalParser parser = new SignalParser();
        private final Queue<Message> received = new ArrayDeque<>();

        Peer(Socket socket) throws SocketException {
            this.socket = socket;
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            // what is sent is there when the call returns, not when the other side has acknowledged what came before
            socket.setTcpNoDelay(true);
        }

        void send(Message... messages) throws IOException {
            for (Message message : messages) {
                sendBytes(message.encode().array());
            }
        }

        void sendBytes(byte... bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** The next message; null at the end. */
        Message next() throws IOException {
            byte[] buffer = new byte[4096];
            while (received.isEmpty()) {
                int length;
                try {
                    length = socket.getInputStream().read(buffer);
                } catch (SocketException e) {
                    length = -1;
                }
                if (length < 0) {
                    return null;
                }
                try {
                    parser.feed(ByteBuffer.wrap(buffer, 0, length), received::add);
                } catch (SignalException e) {
                    throw new IOException(e);
                }
            }
            return received.poll();
        }

        /** The next message of a type, past others. */
        Message next(int type) throws IOException {
            Message message;
            do {
                message = next();
            } while (message != null && message.type() != type);
            return message;
        }

        /** Closes; the other side has it once this returns: the system closes no socket that a thread still reads. */
        void disconnect() throws IOException {
            socket.close();
            try {
                if (readerEnded != null && !readerEnded.await(TIMEOUT_S, TimeUnit.SECONDS)) {
                    throw new IOException("the reader does not end");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            disconnect();
        }

        void halfClose() throws IOException {
            socket.shutdownOutput();
        }

        /** Reads to the end of the connection; a reset throws. */
        void awaitEnd() throws IOException {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        }

        @Override
        public void close() throws IOException {
            disconnect();
        }
    }

    /** A video server: what comes in is kept, the test answers. */
    static final class FakeServer implements AutoCloseable {
        record Received(Peer peer, Message message) {}

        final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
        final List<Peer> peers = new CopyOnWriteArrayList<>();
        private final ServerSocket listeningSocket;

        FakeServer() throws IOException {
            this(0);
        }

        FakeServer(int port) throws IOException {
            listeningSocket = new ServerSocket(port, 50, LOOPBACK);
            startDaemon(() -> {
                while (true) {
                    Peer peer = new Peer(listeningSocket.accept());
                    peer.socket.setSoTimeout(0);
                    peer.readerEnded = new CountDownLatch(1);
                    peers.add(peer);
                    startDaemon(() -> {
                        try {
                            Message message;
                            while ((message = peer.next()) != null) {
                                if (message.type() != MessageType.RLC) {
                                    received.add(new Received(peer, message));
                                }
                            }
                        } finally {
                            peer.readerEnded.countDown();
                        }
                    });
                }
            });
        }

        int port() {
            return listeningSocket.getLocalPort();
        }

        Received next() throws InterruptedException {
            Received next = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (next == null) {
                throw new AssertionError("nothing came to the server");
            }
            return next;
        }

        /** Takes the next set-up and answers that it stands. */
        Received acceptSetUp() throws InterruptedException, IOException {
            Received setUp = next();
            setUp.peer()
                    .send(Message.of(MessageType.ANM, setUp.message().session())
                            .with(Parameter.DESCRIPTION, SERVER_DESCRIPTION));
            return setUp;
        }

        /** Waits until a connection has come. */
        void awaitConnection() throws InterruptedException {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (peers.isEmpty()) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new AssertionError("no connection came");
                }
                Thread.sleep(1);
            }
        }

        /** New connections are refused from now on, open ones stay. */
        void stopListening() throws IOException {
            listeningSocket.close();
        }

        /** Stops listening and resets all connections, as a killed process does. */
        void kill() throws IOException {
            listeningSocket.close();
            for (Peer peer : peers) {
                if (!peer.socket.isClosed()) {
                    peer.socket.setSoLinger(true, 0);
                    peer.disconnect();
                }
            }
        }

        @Override
        public void close() throws IOException {
            kill();
        }
    }

    /** The event bus: keeps what it is asked, writes what the test says to the newest connection. */
    static final class FakeBus implements AutoCloseable {
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final ServerSocket listeningSocket;
        private volatile Socket newestConnection;
        /** Written whenever it is asked. */
        volatile String answer = "";

        volatile long answerDelayMs;

        FakeBus() throws IOException {
            this(0);
        }

        FakeBus(int port) throws IOException {
            listeningSocket = new ServerSocket(port, 50, LOOPBACK);
            startDaemon(() -> {
                while (true) {
                    Socket socket = listeningSocket.accept();
                    InputStream in = socket.getInputStream();
                    StringBuilder line = new StringBuilder();
                    for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
                        line.append((char) c);
                    }
                    newestConnection = socket;
                    if (!answer.isEmpty()) {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(answerDelayMs));
                        write(answer);
                    }
                    requests.add(line.toString());
                }
            });
        }

        int port() {
            return listeningSocket.getLocalPort();
        }

        String nextRequest() throws InterruptedException {
            String line = requests.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (line == null) {
                throw new AssertionError("the bus was not asked");
            }
            return line;
        }

        void write(String text) throws IOException {
            newestConnection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        void disconnect() throws IOException {
            newestConnection.close();
        }

        @Override
        public void close() throws IOException {
            listeningSocket.close();
            if (newestConnection != null) {
                newestConnection.close();
            }
        }
    }

    /** What a stand-in's thread does until its socket is closed. */
    private interface SocketTask {
        void run() throws IOException;
    }

    private static void startDaemon(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
