package calicovale.manager;

import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageFramingException;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
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
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/** Runs a manager on loopback with fake video servers, a fake event bus and viewers that the test controls. */
final class ManagerHarness implements AutoCloseable {
    /** Description that viewers send in a set-up. */
    static final byte[] VIEWER_DESCRIPTION = "wanted".getBytes(StandardCharsets.US_ASCII);
    /** Description that servers send in an answer. */
    static final byte[] SERVER_DESCRIPTION = "given".getBytes(StandardCharsets.US_ASCII);

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Upper bound of every wait, in s. */
    private static final long TIMEOUT_S = 10;
    /** Grace time of drains in the configuration, in ms. */
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
        this(
                serverCount,
                sockets,
                config -> config.replace("\"drainGraceMs\":" + DRAIN_GRACE_MS, "\"drainGraceMs\":" + graceMs));
    }

    /** Starts a manager with an edited configuration. */
    ManagerHarness(int serverCount, int sockets, UnaryOperator<String> configEdit)
            throws IOException, InvalidDocumentException {
        for (int i = 0; i < serverCount; i++) {
            servers.add(new FakeServer());
        }
        process =
                new ManagerProcess(ManagerConfig.read("config", configEdit.apply(config(bus.port(), sockets))), clock);
        // connections that may cause an attempt are read before those of viewers, which is the worst order
        process.loop().execute(() -> process.loop().readOrder(Comparator.comparing(Connection::accepted)));
    }

    /** An action of peers while the loop is paused. */
    interface PeerAction {
        void run() throws Exception;
    }

    /** Pauses the loop during {@code action}, so that all its effects are ready in the loop's next turn. */
    void inOneLoopTurn(PeerAction action) throws Exception {
        LoopPause pause = new LoopPause();
        process.loop().execute(pause);
        pause.runWhilePaused(action);
    }

    /**
     * Lets the loop read and decide the effects of {@code firstAction} in one turn. In the same turn, before the
     * timers that are due within {@code advanceMs}, the loop is paused again during {@code action}.
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

    /** A task or timer that pauses the loop. */
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

    /** The system clock, which a test may stop and advance, so that no timeout is due by itself on a busy machine. */
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

    /** Returns a configuration with the fake servers, a free port to listen on and the given bus. */
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

    /** Returns the JSON of a server in an event of the bus. */
    static String entry(String id, int port, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"here\",\"machineType\":\"std\",\"cell\":0,"
                        .formatted(id, port)
                + "\"lifecycle\":\"%s\",\"weight\":1,\"startedAtMs\":%d}".formatted(lifecycle, startedAtMs);
    }

    /** Returns the JSON of an event with changes of the list. */
    static String event(long offset, String... entries) {
        return "{\"offset\":%d,\"topology\":{\"generation\":%d,\"reset\":false,\"instances\":[%s]}}"
                .formatted(offset, offset, String.join(",", entries));
    }

    /** Opens a viewer's connection, which may not be accepted yet. */
    Peer viewer() throws IOException {
        return new Peer(new Socket(LOOPBACK, process.address().getPort()));
    }

    /** Opens a viewer's connection and waits until the manager has answered on it. */
    Peer acceptedViewer() throws IOException {
        Peer peer = viewer();
        peer.send(Message.of(MessageType.UPT, 9));
        if (peer.next().type() != MessageType.UPA) {
            throw new IOException("the manager did not pass the test message");
        }
        return peer;
    }

    /** Returns a set-up of the class and extras, with a wait of 1500 ms. */
    static Message setUp(long id, String sessionClass, String extras) {
        return Message.of(MessageType.IAM, id)
                .with(Parameter.CLASS, sessionClass)
                .with(Parameter.WAIT, "1500")
                .with(Parameter.TITLE, "7f3a")
                .with(Parameter.EXTRAS, extras)
                .with(Parameter.DESCRIPTION, VIEWER_DESCRIPTION);
    }

    /** Returns a valid set-up of class {@code talk}. */
    static Message setUp(long id) {
        return setUp(id, "talk", "home:0;copies:12;top:2;viewer:00a1");
    }

    /** Waits until a counter has reached {@code minimum}. */
    void awaitCount(String counter, long minimum) throws InterruptedException {
        waitUntil(() -> process.counts().getOrDefault(counter, 0L) >= minimum);
    }

    /** Marks the number of bytes read so far, for {@link #awaitBytesRead}. */
    void markBytesRead() {
        bytesReadAtMark = bytesRead();
    }

    /** Waits until the manager has read at least {@code bytes} bytes since {@link #markBytesRead}. */
    void awaitBytesRead(long bytes) throws InterruptedException {
        waitUntil(() -> bytesRead() >= bytesReadAtMark + bytes);
    }

    private long bytesRead() {
        return process.loop().call(() -> process.loop().counters().bytesRead);
    }

    /** Waits for a condition, for {@link #TIMEOUT_S} at most. */
    void waitUntil(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("the condition was not reached: " + process.counts());
            }
            Thread.sleep(2);
        }
    }

    /** Waits for a server that has received a message, and returns it. */
    FakeServer serverWithMessage() throws InterruptedException {
        waitUntil(() -> servers.stream().anyMatch(server -> !server.received.isEmpty()));
        return servers.stream()
                .filter(server -> !server.received.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() throws IOException {
        process.close();
        bus.close();
        for (FakeServer server : servers) {
            server.close();
        }
    }

    /** The test's side of one connection, which is read message by message. */
    static final class Peer implements AutoCloseable {
        private final Socket socket;
        /** Counted down when the thread that reads this connection ends; null: the test itself reads it. */
        private volatile CountDownLatch readerEnded;

        private final SignalParser parser = new SignalParser();
        private final Queue<Message> received = new ArrayDeque<>();

        Peer(Socket socket) throws SocketException {
            this.socket = socket;
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            // without this, sent bytes may wait until the other side has acknowledged earlier ones
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

        /** Returns the next message, or null at the end of the connection. */
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
                } catch (MessageFramingException e) {
                    throw new IOException(e);
                }
            }
            return received.poll();
        }

        /** Returns the next message of a type, skipping others, or null at the end of the connection. */
        Message next(int type) throws IOException {
            Message message;
            do {
                message = next();
            } while (message != null && message.type() != type);
            return message;
        }

        /**
         * Closes the connection and waits for its reader, because the system does not close a socket while a thread
         * reads it.
         */
        void disconnect() throws IOException {
            socket.close();
            try {
                if (readerEnded != null && !readerEnded.await(TIMEOUT_S, TimeUnit.SECONDS)) {
                    throw new IOException("the thread that reads the connection does not end");
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

        /** Reads to the end of the connection. Throws if the connection is reset. */
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

    /** A video server that keeps the messages it receives; the test answers them. */
    static final class FakeServer implements AutoCloseable {
        record Received(Peer peer, Message message) {}

        final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
        final List<Peer> peers = new CopyOnWriteArrayList<>();
        /** Releases that are sent on the next connection too. */
        private final Queue<Message> releasesForNextConnection = new ConcurrentLinkedQueue<>();

        /** Releases that are on their way when the manager closes a connection. */
        final Queue<Message> releasesAtEndOfInput = new ConcurrentLinkedQueue<>();
        /** Whether new connections are closed as soon as they are accepted. */
        volatile boolean closesNewConnections;

        private final ServerSocket listeningSocket;
        private final Thread acceptThread;

        FakeServer() throws IOException {
            this(0);
        }

        FakeServer(int port) throws IOException {
            listeningSocket = new ServerSocket(port, 50, LOOPBACK);
            acceptThread = startDaemon(() -> {
                while (true) {
                    Peer peer = new Peer(listeningSocket.accept());
                    peer.socket.setSoTimeout(0);
                    peer.readerEnded = new CountDownLatch(1);
                    Message release;
                    while ((release = releasesForNextConnection.poll()) != null) {
                        peer.send(release);
                    }
                    peers.add(peer);
                    if (closesNewConnections) {
                        peer.readerEnded.countDown();
                        peer.disconnect();
                        continue;
                    }
                    startDaemon(() -> {
                        try {
                            Message message;
                            while ((message = peer.next()) != null) {
                                if (message.type() != MessageType.RLC) {
                                    received.add(new Received(peer, message));
                                }
                            }
                            peer.send(releasesAtEndOfInput.toArray(Message[]::new));
                        } finally {
                            peer.readerEnded.countDown();
                            peer.socket.close();
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
                throw new AssertionError("the server received no message");
            }
            return next;
        }

        /** Waits for the next message, a set-up, and answers that the session plays. */
        Received acceptSetUp() throws InterruptedException, IOException {
            Received setUp = next();
            setUp.peer()
                    .send(Message.of(MessageType.ANM, setUp.message().sessionId())
                            .with(Parameter.DESCRIPTION, SERVER_DESCRIPTION));
            return setUp;
        }

        /** Returns the connections that the manager has not closed. */
        List<Peer> openPeers() {
            return peers.stream()
                    .filter(peer -> peer.readerEnded.getCount() > 0)
                    .toList();
        }

        /** Ends a playing session: sends its release on an open connection, if any, and on the next one. */
        void endSession(long sessionId) throws IOException {
            Message release = Message.release(sessionId, Cause.NORMAL);
            releasesForNextConnection.add(release);
            List<Peer> open = openPeers();
            if (!open.isEmpty()) {
                try {
                    open.get(open.size() - 1).send(release);
                } catch (SocketException e) {
                    // the manager has closed the connection meanwhile; the next one carries the release
                    return;
                }
            }
        }

        /** Ends a playing session whose release is lost with its connection: it is sent on the next one only. */
        void endSessionOnNextConnection(long sessionId) {
            releasesForNextConnection.add(Message.release(sessionId, Cause.NORMAL));
        }

        /** Waits for a first connection. */
        void awaitConnection() throws InterruptedException {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (peers.isEmpty()) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new AssertionError("the server got no connection");
                }
                Thread.sleep(1);
            }
        }

        /** Refuses further connections; open ones stay. */
        void stopListening() throws IOException {
            listeningSocket.close();
            awaitEnd(acceptThread);
        }

        /** Stops listening and resets all connections, as a killed process does. */
        void kill() throws IOException {
            stopListening();
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

    /** An event bus that keeps the requests it gets and writes the test's lines to the newest connection. */
    static final class FakeBus implements AutoCloseable {
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final ServerSocket listeningSocket;
        private final Thread acceptThread;
        private volatile Socket newestConnection;
        /** All connections, oldest first. */
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        /** Written after each request, with a delay of {@link #answerDelayMs}; empty: nothing is written. */
        volatile String answer = "";

        volatile long answerDelayMs;

        FakeBus() throws IOException {
            this(0);
        }

        FakeBus(int port) throws IOException {
            listeningSocket = new ServerSocket(port, 50, LOOPBACK);
            acceptThread = startDaemon(() -> {
                while (true) {
                    Socket socket = listeningSocket.accept();
                    InputStream input = socket.getInputStream();
                    StringBuilder line = new StringBuilder();
                    for (int c = input.read(); c >= 0 && c != '\n'; c = input.read()) {
                        line.append((char) c);
                    }
                    newestConnection = socket;
                    connections.add(socket);
                    if (!answer.isEmpty()) {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(answerDelayMs));
                        write(answer);
                    }
                    requests.add(line.toString());
                }
            });
        }

        /** Refuses further connections. Must be called after the request of the last connection was taken. */
        void stopListening() throws IOException {
            listeningSocket.close();
            awaitEnd(acceptThread);
        }

        int port() {
            return listeningSocket.getLocalPort();
        }

        String nextRequest() throws InterruptedException {
            String line = requests.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (line == null) {
                throw new AssertionError("the bus got no request");
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

    /** Waits for a thread that accepts connections, because the system listens until it has left its call. */
    private static void awaitEnd(Thread acceptThread) throws IOException {
        try {
            acceptThread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (acceptThread.isAlive()) {
            throw new IOException("the thread that accepts connections does not end");
        }
    }

    /** The task of a fake server's or bus's thread, which ends with an exception when its socket is closed. */
    private interface SocketTask {
        void run() throws IOException;
    }

    private static Thread startDaemon(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
