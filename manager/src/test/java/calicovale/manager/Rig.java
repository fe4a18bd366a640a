package calicovale.manager;

import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Connection;
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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A manager on loopback between stand-ins: video servers, the event bus and viewers, all told what to say by the test. */
final class Rig implements AutoCloseable {
    static final byte[] WANTED = "wanted".getBytes(StandardCharsets.US_ASCII);
    static final byte[] GIVEN = "given".getBytes(StandardCharsets.US_ASCII);
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final long WAIT_S = 10;
    private static final int GRACE_MS = 2000;

    final List<Box> boxes = new ArrayList<>();
    final Bus bus = new Bus();
    final ShiftedClock clock = new ShiftedClock();
    private long readBefore;
    final ManagerProcess process;

    Rig(int servers) throws IOException, InvalidDocumentException {
        this(servers, 256);
    }

    Rig(int servers, int sockets) throws IOException, InvalidDocumentException {
        this(servers, sockets, GRACE_MS);
    }

    Rig(int servers, int sockets, int graceMs) throws IOException, InvalidDocumentException {
        for (int i = 0; i < servers; i++) {
            boxes.add(new Box());
        }
        process = new ManagerProcess(
                ManagerConfig.read(
                        "config",
                        config(bus.port(), sockets)
                                .replace("\"drainGraceMs\":" + GRACE_MS, "\"drainGraceMs\":" + graceMs)),
                clock);
        // the worst order: what may start an attempt is read before the news of viewers
        process.loop().execute(() -> process.loop().readOrder(Comparator.comparing(Connection::accepted)));
    }

    /** What peers do while the loop stands still. */
    interface Act {
        void run() throws Exception;
    }

    /** The loop stands still while the peers act: all that they did is ready in its next turn. */
    void inOneTurn(Act act) throws Exception {
        Hold hold = new Hold();
        process.loop().execute(hold);
        hold.during(act);
    }

    /**
     * What peers did in {@code before} is read and decided in one turn; in the same turn, before timers that fall due within
     * {@code thenMs}, the loop stands still again while they act.
     */
    void afterDecisions(Act before, double thenMs, Act act) throws Exception {
        Hold hold = new Hold();
        Hold second = new Hold();
        process.loop().execute(hold);
        hold.during(() -> {
            before.run();
            hold.then = () -> {
                process.loop().schedule(0, second);
                clock.advance(thenMs);
            };
        });
        second.during(act);
    }

    /** A message or timer at which the loop stands still. */
    private static final class Hold implements Runnable {
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch go = new CountDownLatch(1);
        private volatile Runnable then = () -> {};

        @Override
        public void run() {
            reached.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            then.run();
        }

        void during(Act act) throws Exception {
            reached.await();
            try {
                act.run();
            } finally {
                go.countDown();
            }
        }
    }

    /** The system's clock, which a test may stop and put forward: on a busy machine no time-out then falls due by itself. */
    static final class ShiftedClock implements Clock {
        private final Clock real = Clock.system();
        private final long fromNanos = real.nanos();
        private final double fromMs = real.millis();
        private volatile double aheadMs;
        private volatile double stoppedAtMs = Double.NaN;

        void advance(double ms) {
            aheadMs += ms;
        }

        void stop() {
            stoppedAtMs = passedMs();
        }

        private double passedMs() {
            return Double.isNaN(stoppedAtMs) ? (real.nanos() - fromNanos) / 1e6 : stoppedAtMs;
        }

        @Override
        public long nanos() {
            return fromNanos + (long) ((passedMs() + aheadMs) * 1e6);
        }

        @Override
        public double millis() {
            return fromMs + passedMs() + aheadMs;
        }
    }

    String config(int busPort, int sockets) {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < boxes.size(); i++) {
            known.append(i == 0 ? "" : ",").append(entry("s-" + i, boxes.get(i).port(), "in_service", 0));
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
                """.formatted(freePort(), sockets, busPort, known);
    }

    private static int freePort() {
        try (ServerSocket any = new ServerSocket(0, 1, HERE)) {
            return any.getLocalPort();
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
        return new Peer(new Socket(HERE, process.address().getPort()));
    }

    /** A viewer whose connection has been accepted. */
    Peer viewerWithin() throws IOException {
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
                .with(Parameter.DESCRIPTION, WANTED);
    }

    static Message setUp(long id) {
        return setUp(id, "talk", "home:0;copies:12;top:2;viewer:00a1");
    }

    /** Waits until a count has come so far. */
    void await(String count, long least) throws InterruptedException {
        until(() -> process.counts().getOrDefault(count, 0L) >= least);
    }

    /** Counts what is read from here on. */
    void readFrom() {
        readBefore = bytesRead();
    }

    /** Waits until so many bytes have been read. */
    void awaitRead(long bytes) throws InterruptedException {
        until(() -> bytesRead() >= readBefore + bytes);
    }

    private long bytesRead() {
        return process.loop().call(() -> process.loop().counters().bytesRead);
    }

    /** Waits for a state, with a generous bound. */
    void until(BooleanSupplier state) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (!state.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("it did not come to that: " + process.counts());
            }
            Thread.sleep(2);
        }
    }

    /** The server to which something has come. */
    Box asked() throws InterruptedException {
        until(() -> boxes.stream().anyMatch(b -> !b.came.isEmpty()));
        return boxes.stream().filter(b -> !b.came.isEmpty()).findFirst().orElseThrow();
    }

    @Override
    public void close() throws IOException {
        process.close();
        bus.close();
        for (Box box : boxes) {
            box.close();
        }
    }

    /** One connection, read message by message. */
    static final class Peer implements AutoCloseable {
        private final Socket socket;
        private volatile CountDownLatch reader;
        private final SignalParser parser = new SignalParser();
        private final Queue<Message> read = new ArrayDeque<>();

        Peer(Socket socket) throws SocketException {
            this.socket = socket;
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_S));
            // what is sent is there when the call returns, not when the other side has acknowledged what came before
            socket.setTcpNoDelay(true);
        }

        void send(Message... messages) throws IOException {
            for (Message m : messages) {
                raw(m.encode().array());
            }
        }

        void raw(byte... bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** The next message; null at the end. */
        Message next() throws IOException {
            byte[] buffer = new byte[4096];
            while (read.isEmpty()) {
                int n;
                try {
                    n = socket.getInputStream().read(buffer);
                } catch (SocketException e) {
                    n = -1;
                }
                if (n < 0) {
                    return null;
                }
                try {
                    parser.feed(ByteBuffer.wrap(buffer, 0, n), read::add);
                } catch (MessageFramingException e) {
                    throw new IOException(e);
                }
            }
            return read.poll();
        }

        /** The next message of a type, past others. */
        Message next(int type) throws IOException {
            Message m;
            do {
                m = next();
            } while (m != null && m.type() != type);
            return m;
        }

        /** Closes; the other side has it once this returns: the system closes no socket that a thread still reads. */
        void hangUp() throws IOException {
            socket.close();
            try {
                if (reader != null && !reader.await(WAIT_S, TimeUnit.SECONDS)) {
                    throw new IOException("the reader does not end");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            hangUp();
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
            hangUp();
        }
    }

    /** A video server: what comes in is kept, the test answers. */
    static final class Box implements AutoCloseable {
        record Came(Peer peer, Message message) {}

        final BlockingQueue<Came> came = new LinkedBlockingQueue<>();
        final List<Peer> peers = new CopyOnWriteArrayList<>();
        private final ServerSocket server;

        Box() throws IOException {
            this(0);
        }

        Box(int port) throws IOException {
            server = new ServerSocket(port, 50, HERE);
            start(() -> {
                while (true) {
                    Peer peer = new Peer(server.accept());
                    peer.socket.setSoTimeout(0);
                    peer.reader = new CountDownLatch(1);
                    peers.add(peer);
                    start(() -> {
                        try {
                            Message m;
                            while ((m = peer.next()) != null) {
                                if (m.type() != MessageType.RLC) {
                                    came.add(new Came(peer, m));
                                }
                            }
                        } finally {
                            peer.reader.countDown();
                        }
                    });
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        Came next() throws InterruptedException {
            Came next = came.poll(WAIT_S, TimeUnit.SECONDS);
            if (next == null) {
                throw new AssertionError("nothing came to the server");
            }
            return next;
        }

        /** Takes the next set-up and answers that it stands. */
        Came serve() throws InterruptedException, IOException {
            Came set = next();
            set.peer()
                    .send(Message.of(MessageType.ANM, set.message().sessionId()).with(Parameter.DESCRIPTION, GIVEN));
            return set;
        }

        /** Waits until a connection has come. */
        void awaitPeer() throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
            while (peers.isEmpty()) {
                if (System.nanoTime() > end) {
                    throw new AssertionError("no connection came");
                }
                Thread.sleep(1);
            }
        }

        /** New connections are refused from now on, open ones stay. */
        void listenNoMore() throws IOException {
            server.close();
        }

        /** Stops listening and resets all connections, as a killed process does. */
        void die() throws IOException {
            server.close();
            for (Peer peer : peers) {
                if (!peer.socket.isClosed()) {
                    peer.socket.setSoLinger(true, 0);
                    peer.hangUp();
                }
            }
        }

        @Override
        public void close() throws IOException {
            die();
        }
    }

    /** The event bus: keeps what it is asked, writes what the test says to the newest connection. */
    static final class Bus implements AutoCloseable {
        final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        final ServerSocket server;
        private volatile Socket newest;
        /** Written whenever it is asked. */
        volatile String answer = "";

        volatile long answerAfterMs;

        Bus() throws IOException {
            this(0);
        }

        Bus(int port) throws IOException {
            server = new ServerSocket(port, 50, HERE);
            start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    InputStream in = socket.getInputStream();
                    StringBuilder line = new StringBuilder();
                    for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
                        line.append((char) c);
                    }
                    newest = socket;
                    if (!answer.isEmpty()) {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(answerAfterMs));
                        write(answer);
                    }
                    asked.add(line.toString());
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        String nextAsked() throws InterruptedException {
            String line = asked.poll(WAIT_S, TimeUnit.SECONDS);
            if (line == null) {
                throw new AssertionError("the bus was not asked");
            }
            return line;
        }

        void write(String text) throws IOException {
            newest.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        void breakOff() throws IOException {
            newest.close();
        }

        @Override
        public void close() throws IOException {
            server.close();
            if (newest != null) {
                newest.close();
            }
        }
    }

    /** What a stand-in's thread does until its socket is closed. */
    private interface Body {
        void run() throws IOException;
    }

    private static void start(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
