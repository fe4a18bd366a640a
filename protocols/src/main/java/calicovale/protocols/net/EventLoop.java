package calicovale.protocols.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns one thread, its selector, its timers and its connections. Whatever belongs to a loop is touched by its thread alone;
 * other threads send messages by {@link #execute}.
 *
 * <p>A turn has phases: what is ready is read, connection by connection and each until nothing more is there (bounded); new
 * connections are accepted; then come {@link Phase#ENDS}, then {@link Phase#DECISIONS} and the timers that fell due, in their
 * order; then sockets that were full are written to. So an answer that was in time at the socket is not overtaken by its own
 * time-out after a stall, and nothing is decided past the news of a peer that has gone.
 */
public final class EventLoop implements Executor, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int MESSAGES_PER_TURN = 4096;
    private static final long IDLE_SELECT_MS = 200;
    /** Reads of one connection in one turn: what it sends beyond waits, so that one peer cannot hold up the others. */
    private static final int READS_PER_TURN = 4;
    /** Nanoseconds of decisions after which the sockets are read again: news must not wait behind a long queue. */
    private static final long DECIDE_NANOS = 10_000_000;
    /** Decisions that may wait before nothing more is read: peers are then held back by their own full windows. */
    private static final int MOST_WAITING = 1 << 14;
    /** Timers called off that may be kept until they fall due; beyond it, and half of all, they are thrown out. */
    private static final int KEPT_CANCELLED = 64;
    /** Ms for which nothing is accepted after an accept call failed: a descriptor may be free then. */
    private static final double ACCEPT_PAUSE_MS = 50;

    /** When what is put off in a turn comes, once all that was ready has been read. */
    public enum Phase {
        /** What is over: a peer has closed, or has given up. */
        ENDS,
        /** Whatever may send something new. */
        DECISIONS
    }

    /** Takes new connections of a listener. */
    public interface Acceptor {
        /** Gives the owner of a new connection; null closes it at once. */
        Connection.Handler accept(Connection c);
    }

    private final String name;
    private final Clock clock;
    private final LoopLimits limits;
    private final Tap tap;
    private final Selector selector;
    private final MpscAtomicArrayQueue<Runnable> mailbox;
    private final PriorityQueue<Scheduled> timers = new PriorityQueue<>();
    private final ArrayDeque<Runnable> ends = new ArrayDeque<>();
    private final ArrayDeque<Runnable> decisions = new ArrayDeque<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final LoopCounters counters = new LoopCounters();
    private final ByteBuffer readBuffer;
    private final long originNanos;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private volatile Thread thread;
    private long timerNumber;
    private int cancelledTimers;
    private int closing;
    private Comparator<Connection> readOrder;
    private volatile boolean stopping;
    private volatile boolean killed;

    /** Makes a loop that runs once {@link #start()} is called. */
    public EventLoop(String name, Clock clock, LoopLimits limits, Tap tap) {
        this.name = name;
        this.clock = clock;
        this.limits = limits;
        this.tap = tap;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mailbox = new MpscAtomicArrayQueue<>(limits.mailbox());
        originNanos = clock.nanos();
        readBuffer = ByteBuffer.allocateDirect(limits.readBytes());
    }

    /** A loop with the usual bounds and no tap. */
    public EventLoop(String name, Clock clock) {
        this(name, clock, LoopLimits.DEFAULT, Tap.NONE);
    }

    /** Starts the thread. */
    public EventLoop start() {
        thread = new Thread(this::run, name);
        thread.start();
        return this;
    }

    /** The clock of all that runs here. */
    public Clock clock() {
        return clock;
    }

    /** The bounds. */
    public LoopLimits limits() {
        return limits;
    }

    /** The counters. */
    public LoopCounters counters() {
        return counters;
    }

    Tap tap() {
        return tap;
    }

    /** Connections that are open or being established. */
    public int connectionCount() {
        return connections.size();
    }

    /** Whether the caller runs on this loop. */
    public boolean inLoop() {
        return Thread.currentThread() == thread;
    }

    /**
     * Runs a message on the loop's thread, after those sent before it.
     *
     * @throws RejectedExecutionException if the mailbox is full or the loop has ended
     */
    @Override
    public void execute(Runnable message) {
        if (stopping) {
            throw new RejectedExecutionException(name + " has ended");
        }
        if (!mailbox.offer(message)) {
            counters.mailboxOverflows++;
            throw new RejectedExecutionException(name + ": mailbox full");
        }
        if (!inLoop()) {
            selector.wakeup();
        }
    }

    /** Runs a call on the loop and waits for its value; not to be called on a loop. */
    public <T> T call(Callable<T> body) {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> {
            try {
                result.complete(body.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return CompletableFuture.anyOf(result, ended)
                    .thenApply(x -> result.getNow(null))
                    .join();
        } catch (java.util.concurrent.CompletionException e) {
            throw new IllegalStateException(name + ": " + e.getCause().getMessage(), e.getCause());
        }
    }

    /** Calls {@code body} after {@code delayMs}, on the loop; to be called on the loop. */
    public Timer schedule(double delayMs, Runnable body) {
        Scheduled timer =
                new Scheduled(clock.nanos() - originNanos + Math.max(0, (long) (delayMs * 1e6)), timerNumber++, body);
        timers.add(timer);
        return timer;
    }

    /** Timers that are kept, those called off included. */
    public int timersKept() {
        return timers.size();
    }

    /** Puts something off until all that was ready in this turn has been read; to be called on the loop. */
    public void defer(Phase phase, Runnable body) {
        (phase == Phase.ENDS ? ends : decisions).addLast(body);
    }

    /** For tests and rehearsals: the order in which connections that are ready together are read. */
    public void readOrder(Comparator<Connection> order) {
        readOrder = order;
    }

    /** Listens on a loopback address; port 0 takes any. Returns the address bound. To be called on the loop. */
    public Listener listen(InetSocketAddress address, String what, Acceptor acceptor) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.configureBlocking(false);
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, limits.backlog());
            Listener listener = new Listener(server, what, acceptor);
            listener.key = server.register(selector, SelectionKey.OP_ACCEPT, listener);
            return listener;
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    /** Binds a UDP socket to a loopback address; port 0 takes any. To be called on the loop. */
    public Datagrams datagrams(InetSocketAddress address, Datagrams.Handler handler) throws IOException {
        DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
        try {
            channel.configureBlocking(false);
            channel.bind(address);
            Datagrams result = new Datagrams(this, channel, handler);
            result.key = channel.register(selector, SelectionKey.OP_READ, result);
            return result;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Connects; the handler hears of the outcome later, never during this call. A connection that does not stand within
     * {@code timeoutMs}, or for which no descriptor is left, closes with a {@link ConnectFailedException}. To be called on the
     * loop.
     */
    public Connection connect(InetSocketAddress address, String what, double timeoutMs, Connection.Handler handler) {
        counters.connects++;
        releaseClosed();
        SocketChannel channel = null;
        Connection c = null;
        try {
            channel = SocketChannel.open();
            c = new Connection(this, channel, what, false, handler);
            channel.configureBlocking(false);
            c.key = channel.register(selector, SelectionKey.OP_CONNECT, c);
            channel.connect(address);
        } catch (IOException e) {
            // an outcome like any other: thrown here it would end whoever tries again by a timer
            counters.connectErrors++;
            boolean local = c == null || c.key == null;
            Connection failed = c != null ? c : new Connection(this, null, what, false, handler);
            connections.add(failed);
            failed.connectTimer = schedule(0, () -> failed.fail(new ConnectFailedException(e, local)));
            return failed;
        }
        Connection opening = c;
        connections.add(opening);
        opening.connectTimer = schedule(timeoutMs, () -> {
            opening.connectTimer = null;
            opening.fail(new ConnectFailedException("not connected within " + (long) timeoutMs + " ms"));
        });
        return opening;
    }

    /** A closed channel keeps its descriptor until the selector has let go of it: before another is opened it must. */
    private void releaseClosed() {
        if (closing > 0) {
            closing = 0;
            try {
                selector.selectNow();
            } catch (IOException e) {
                counters.closeErrors++;
            }
        }
    }

    void closed(Connection c) {
        closing += c.key == null ? 0 : 1;
    }

    void forget(Connection c) {
        connections.remove(c);
    }

    private void run() {
        try {
            while (!stopping) {
                turn();
            }
        } catch (IOException | RuntimeException e) {
            LOG.error("loop {} ends", name, e);
        } finally {
            stopping = true;
            for (Connection c : new ArrayList<>(connections)) {
                c.shut(killed);
                tap.closed(c);
            }
            for (SelectionKey key : selector.keys()) {
                try {
                    key.channel().close();
                } catch (IOException e) {
                    counters.closeErrors++;
                }
            }
            try {
                selector.close();
            } catch (IOException e) {
                counters.closeErrors++;
            }
            ended.complete(null);
        }
    }

    private void turn() throws IOException {
        Runnable message;
        for (int i = 0; i < MESSAGES_PER_TURN && (message = mailbox.poll()) != null; i++) {
            guarded(message);
        }
        closing = 0;
        long wait = waitMs();
        if (wait == 0) {
            selector.selectNow();
        } else {
            selector.select(wait);
        }
        // copied, since a channel that is closed and opened in between needs the selector
        List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
        selector.selectedKeys().clear();
        if (decisions.size() < MOST_WAITING) {
            read(ready);
        }
        for (SelectionKey key : ready) {
            if (key.isValid() && key.attachment() instanceof Listener listener) {
                listener.accept();
            }
        }
        expire();
        decide();
        for (SelectionKey key : ready) {
            if (key.isValid() && key.attachment() instanceof Connection c && key.isWritable()) {
                handle(c, c::writable);
            }
        }
    }

    private long waitMs() {
        if (!mailbox.isEmpty() || !ends.isEmpty() || !decisions.isEmpty()) {
            return 0;
        }
        Scheduled next = timers.peek();
        if (next == null) {
            return IDLE_SELECT_MS;
        }
        long nanos = next.dueNanos - (clock.nanos() - originNanos);
        return Math.max(0, Math.min(IDLE_SELECT_MS, (nanos + 999_999) / 1_000_000));
    }

    private void read(List<SelectionKey> ready) {
        List<Connection> connections = new ArrayList<>(ready.size());
        for (SelectionKey key : ready) {
            if (key.attachment() instanceof Connection c) {
                connections.add(c);
            } else if (key.isValid() && key.attachment() instanceof Datagrams datagrams) {
                guarded(() -> datagrams.readable(readBuffer));
            }
        }
        if (readOrder != null) {
            connections.sort(readOrder);
        }
        for (Connection c : connections) {
            if (c.isClosed() || !c.key.isValid()) {
                continue;
            }
            // a look at the selector in between may leave a key behind as ready to connect that has long stood
            if (c.key.isConnectable() && !c.isOpen()) {
                c.key.interestOps(0);
                handle(c, c::connectable);
            } else if (c.isOpen()) {
                handle(c, () -> {
                    // to the end: a close may lie behind what is asked
                    for (int i = 0; i < READS_PER_TURN && c.readable(readBuffer); i++) {
                        counters.reads++;
                    }
                });
            }
        }
    }

    /** Timers that fell due come after what was read before. */
    private void expire() {
        long now = clock.nanos() - originNanos;
        Scheduled timer;
        while ((timer = timers.peek()) != null && timer.dueNanos <= now) {
            timers.poll();
            if (timer.state == Scheduled.CANCELLED) {
                cancelledTimers--;
            } else {
                timer.state = Scheduled.EXPIRED;
                decisions.addLast(timer);
            }
        }
    }

    private void decide() {
        long until = clock.nanos() + DECIDE_NANOS;
        while (!stopping && !(ends.isEmpty() && decisions.isEmpty())) {
            guarded(ends.isEmpty() ? decisions.pollFirst() : ends.pollFirst());
            if (clock.nanos() - until > 0) {
                return;
            }
        }
    }

    private void guarded(Runnable body) {
        try {
            body.run();
        } catch (RuntimeException e) {
            counters.handlerErrors++;
            LOG.error("loop {}: a message or timer failed", name, e);
        }
    }

    private void handle(Connection c, Runnable body) {
        try {
            body.run();
        } catch (RuntimeException e) {
            counters.handlerErrors++;
            LOG.error("loop {}: handling {} failed; it is closed", name, c.name(), e);
            c.fail(new IOException("internal error", e));
        }
    }

    /** Runs something, on the loop's thread, once the loop has ended, for whatever reason. */
    public void whenEnded(Runnable body) {
        ended.thenRun(body);
    }

    /** Ends the loop as a killed process would: all sockets reset, nobody told here. Waits until it is over. */
    public void kill() {
        killed = true;
        close();
    }

    /** Ends the loop and closes what is open. Waits until it is over, unless called on the loop. */
    @Override
    public void close() {
        stopping = true;
        selector.wakeup();
        if (thread == null) {
            ended.complete(null);
        }
        if (!inLoop()) {
            ended.join();
        }
    }

    /** One listening socket. */
    public final class Listener {
        private final ServerSocketChannel server;
        private final String what;
        private final Acceptor acceptor;
        private SelectionKey key;
        private boolean caughtUp = true;

        private Listener(ServerSocketChannel server, String what, Acceptor acceptor) {
            this.server = server;
            this.what = what;
            this.acceptor = acceptor;
        }

        /** The address bound. */
        public InetSocketAddress address() {
            try {
                return (InetSocketAddress) server.getLocalAddress();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void accept() {
            for (int i = 0; i < limits.acceptsPerTurn(); i++) {
                SocketChannel channel;
                releaseClosed();
                try {
                    channel = server.accept();
                    caughtUp = channel == null;
                    if (caughtUp) {
                        return;
                    }
                    channel.configureBlocking(false);
                } catch (IOException e) {
                    // no descriptor left, or the peer is gone: the others must not notice, nor the loop spin on it
                    counters.acceptErrors++;
                    key.interestOps(0);
                    schedule(ACCEPT_PAUSE_MS, () -> {
                        if (key.isValid()) {
                            key.interestOps(SelectionKey.OP_ACCEPT);
                        }
                    });
                    return;
                }
                counters.accepted++;
                Connection c = new Connection(EventLoop.this, channel, what, true, NOBODY);
                connections.add(c);
                Connection.Handler owner = acceptor.accept(c);
                if (owner == null) {
                    c.shut(false);
                    continue;
                }
                c.handler(owner);
                try {
                    c.key = channel.register(selector, SelectionKey.OP_READ, c);
                } catch (IOException e) {
                    c.fail(e);
                    continue;
                }
                c.opened();
            }
        }

        /** Whether all connections that came by the last turn have been accepted. */
        public boolean caughtUp() {
            return caughtUp;
        }

        /** Stops listening; connections stay. */
        public void close() {
            key.cancel();
            try {
                server.close();
                // the port is free once the selector lets go of the key
                selector.selectNow();
            } catch (IOException e) {
                counters.closeErrors++;
            }
        }
    }

    private static final Connection.Handler NOBODY = (c, bytes) -> bytes.position(bytes.limit());

    /** Closes all connections whose name is {@code what}, each with a reset. To be called on the loop. */
    public void resetAll(String what) {
        List<Connection> all =
                connections.stream().filter(c -> c.name().equals(what)).toList();
        for (Connection c : all) {
            c.reset(new IOException("reset from here"));
        }
    }

    private final class Scheduled implements Timer, Runnable, Comparable<Scheduled> {
        static final int WAITING = 0;
        static final int EXPIRED = 1;
        static final int CANCELLED = 2;
        private final long dueNanos;
        private final long number;
        private Runnable body;
        private int state = WAITING;

        Scheduled(long dueNanos, long number, Runnable body) {
            this.dueNanos = dueNanos;
            this.number = number;
            this.body = body;
        }

        @Override
        public void cancel() {
            body = null;
            if (state == WAITING && ++cancelledTimers > KEPT_CANCELLED && cancelledTimers > timers.size() / 2) {
                state = CANCELLED;
                timers.removeIf(timer -> timer.state == CANCELLED);
                cancelledTimers = 0;
            }
            state = CANCELLED;
        }

        @Override
        public void run() {
            if (state == EXPIRED) {
                counters.timersFired++;
                body.run();
            }
        }

        @Override
        public int compareTo(Scheduled other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(number, other.number);
        }
    }
}
