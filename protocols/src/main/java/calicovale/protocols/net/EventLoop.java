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
 * Single-threaded event loop with a selector, timers and connections. Only the loop's thread accesses its state;
 * other threads pass it messages through {@link #execute}.
 *
 * <p>A turn is one pass of the loop and has these phases:
 *
 * <ol>
 *   <li>The queued messages run.
 *   <li>The ready connections are read one after the other, each until no more data is available or a limit is reached.
 *   <li>New connections are accepted.
 *   <li>The deferred tasks run, first those of {@link Phase#TERMINATIONS}, then those of {@link Phase#DECISIONS} with
 *       the expired timers in their order.
 *   <li>Connections with queued bytes that have become writable are written to.
 * </ol>
 *
 * <p>Because reads come before timers, a response that reached the socket in time is not overtaken by its own timeout
 * after a stall of the process. Because the tasks for closed connections run before decisions, a decision takes every
 * close into account that had been read by then.
 */
public final class EventLoop implements Executor, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    /** Upper bound of the messages from other threads that run in one turn. */
    private static final int MESSAGES_PER_TURN = 4096;
    /** Upper bound of the time in ms that the selector waits when no timer is due earlier. */
    private static final long IDLE_SELECT_MS = 200;
    /** Upper bound of the read calls on one connection in one turn. */
    private static final int READS_PER_TURN = 4;
    /**
     * Time in ns for deferred tasks in one turn; then sockets are read again, so that input doesn't wait until a long
     * queue is empty.
     */
    private static final long DEFERRED_TASKS_BUDGET_NANOS = 10_000_000;
    /**
     * Number of waiting decisions from which on sockets are not read. TCP flow control then slows the peers down, and
     * datagrams wait in the socket's buffer or are lost.
     */
    private static final int MAX_WAITING_DECISIONS = 1 << 14;
    /** Bytes kept by waiting decisions from which on sockets are not read either. */
    private static final int MAX_WAITING_DECISION_BYTES = 1 << 20;
    /**
     * Number of cancelled timers that are kept. When there are more, and more than half of all timers are cancelled,
     * all cancelled ones are removed.
     */
    private static final int MAX_CANCELLED_TIMERS = 64;
    /** Time in ms without accepting after a failed accept call, in which a file descriptor may become free. */
    private static final double ACCEPT_PAUSE_MS = 50;

    /** Phase in which a deferred task runs, after all ready connections of the turn have been read. */
    public enum Phase {
        /** Tasks that handle the end of a connection or session, because the peer closed it or gave up. */
        TERMINATIONS,
        /** Tasks that may send something. */
        DECISIONS
    }

    /** Receiver of the connections that a listener accepts. */
    public interface Acceptor {
        /** Returns the handler of a new connection; null closes the connection at once. */
        Connection.Handler accept(Connection connection);
    }

    private final String name;
    private final Clock clock;
    private final LoopLimits limits;
    private final Tap tap;
    private final Selector selector;
    private final MpscAtomicArrayQueue<Runnable> mailbox;
    private final PriorityQueue<ScheduledTimer> timers = new PriorityQueue<>();
    private final ArrayDeque<Runnable> terminations = new ArrayDeque<>();
    private final ArrayDeque<Runnable> decisions = new ArrayDeque<>();
    /** Bytes that are kept by the tasks in {@link #decisions}. */
    private int waitingDecisionBytes;

    /** Connections in whose sockets input may lie. */
    private final Set<Connection> unread = new LinkedHashSet<>();

    private final ReadFairness readFairness;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final LoopCounters counters = new LoopCounters();
    /** Bytes that wait to be written to all peers. */
    private final ByteBudget pendingBytes;

    private final ByteBuffer readBuffer;
    private final long originNanos;
    private final CompletableFuture<Void> termination = new CompletableFuture<>();
    private volatile Thread thread;
    private long nextTimerSequence;
    private int cancelledTimers;
    private int closedSinceSelect;
    private Comparator<Connection> readOrder;
    private volatile boolean stopping;
    private volatile boolean killed;

    /** Creates a loop; {@link #start()} starts its thread. */
    public EventLoop(String name, Clock clock, LoopLimits limits, Tap tap) {
        this.name = name;
        this.clock = clock;
        this.limits = limits;
        this.tap = tap;
        readFairness = new ReadFairness(clock);
        pendingBytes = new ByteBudget(limits.totalPendingBytes());
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mailbox = new MpscAtomicArrayQueue<>(limits.mailbox());
        originNanos = clock.nanos();
        readBuffer = ByteBuffer.allocateDirect(limits.readBytes());
    }

    /** Creates a loop with the default limits and no tap. */
    public EventLoop(String name, Clock clock) {
        this(name, clock, LoopLimits.DEFAULT, Tap.NONE);
    }

    /** Starts the loop's thread. */
    public EventLoop start() {
        thread = new Thread(this::run, name);
        thread.start();
        return this;
    }

    /** Returns the clock of this loop. */
    public Clock clock() {
        return clock;
    }

    /** Returns the limits of this loop. */
    public LoopLimits limits() {
        return limits;
    }

    /** Returns the counters of this loop. */
    public LoopCounters counters() {
        return counters;
    }

    Tap tap() {
        return tap;
    }

    /** Returns the budget of the bytes that wait to be written to all peers. */
    public ByteBudget pendingBytes() {
        return pendingBytes;
    }

    /** Returns the number of connections that are open or being established. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns whether the caller runs on this loop's thread. */
    public boolean inLoop() {
        return Thread.currentThread() == thread;
    }

    /**
     * Queues a message that runs on the loop's thread, after those queued before it.
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

    /**
     * Runs a task on the loop's thread and waits for its result, which is null if the loop ends first. Must not be
     * called on a loop's thread.
     *
     * @throws IllegalStateException if the task fails
     */
    public <T> T call(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return CompletableFuture.anyOf(result, termination)
                    .thenApply(x -> result.getNow(null))
                    .join();
        } catch (java.util.concurrent.CompletionException e) {
            throw new IllegalStateException(name + ": " + e.getCause().getMessage(), e.getCause());
        }
    }

    /** Runs {@code task} on the loop's thread after {@code delayMs}. Must be called on the loop's thread. */
    public Timer schedule(double delayMs, Runnable task) {
        ScheduledTimer timer = new ScheduledTimer(
                clock.nanos() - originNanos + Math.max(0, (long) (delayMs * 1e6)), nextTimerSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Returns the number of timers in the queue, including cancelled ones that were not removed yet. */
    public int queuedTimers() {
        return timers.size();
    }

    /**
     * Defers a task until all ready connections of this turn have been read. Must be called on the loop's thread.
     */
    public void defer(Phase phase, Runnable task) {
        (phase == Phase.TERMINATIONS ? terminations : decisions).addLast(task);
    }

    /**
     * Defers a decision that keeps {@code bytes} bytes of input until it has run. Sockets are not read while waiting
     * decisions keep too many. Must be called on the loop's thread.
     */
    public void deferDecision(int bytes, Runnable task) {
        waitingDecisionBytes += bytes;
        decisions.addLast(() -> {
            waitingDecisionBytes -= bytes;
            task.run();
        });
    }

    private boolean mayRead() {
        return decisions.size() < MAX_WAITING_DECISIONS && waitingDecisionBytes < MAX_WAITING_DECISION_BYTES;
    }

    /** Sets the order in which connections that are ready in the same turn are read, for tests and rehearsals. */
    public void readOrder(Comparator<Connection> order) {
        readOrder = order;
    }

    /**
     * Opens a listening socket on a loopback address; with port 0 the system selects a free port. Must be called on the
     * loop's thread.
     */
    public Listener listen(InetSocketAddress address, String connectionName, Acceptor acceptor) throws IOException {
        ServerSocketChannel serverChannel = ServerSocketChannel.open();
        try {
            serverChannel.configureBlocking(false);
            serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            serverChannel.bind(address, limits.backlog());
            Listener listener = new Listener(serverChannel, connectionName, acceptor);
            listener.key = serverChannel.register(selector, SelectionKey.OP_ACCEPT, listener);
            return listener;
        } catch (IOException e) {
            serverChannel.close();
            throw e;
        }
    }

    /** Binds a UDP socket to a loopback address; port 0 selects a free port. Must be called on the loop's thread. */
    public UdpSocket bindUdp(InetSocketAddress address, UdpSocket.Handler handler) throws IOException {
        DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
        try {
            channel.configureBlocking(false);
            channel.bind(address);
            UdpSocket datagrams = new UdpSocket(this, channel, handler);
            datagrams.key = channel.register(selector, SelectionKey.OP_READ, datagrams);
            return datagrams;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Opens a connection. The handler is called with the outcome later, never during this call. A connection that is
     * not established within {@code timeoutMs}, or for which no file descriptor is available, is closed with a
     * {@link ConnectFailedException}. Must be called on the loop's thread.
     */
    public Connection connect(
            InetSocketAddress address, String connectionName, double timeoutMs, Connection.Handler handler) {
        counters.connects++;
        deregisterClosed();
        SocketChannel channel = null;
        Connection connection = null;
        try {
            channel = SocketChannel.open();
            connection = new Connection(this, channel, connectionName, false, handler);
            channel.configureBlocking(false);
            connection.key = channel.register(selector, SelectionKey.OP_CONNECT, connection);
            channel.connect(address);
        } catch (IOException e) {
            // reported to the handler like any other outcome; an exception thrown here would end the retries of
            // callers that reconnect from a timer
            counters.connectErrors++;
            boolean notAttempted = connection == null || connection.key == null;
            Connection failed =
                    connection != null ? connection : new Connection(this, null, connectionName, false, handler);
            connections.add(failed);
            failed.connectTimer = schedule(0, () -> failed.fail(new ConnectFailedException(e, notAttempted)));
            return failed;
        }
        Connection opening = connection;
        connections.add(opening);
        opening.connectTimer = schedule(timeoutMs, () -> {
            opening.connectTimer = null;
            opening.fail(new ConnectFailedException("not connected within " + (long) timeoutMs + " ms"));
        });
        return opening;
    }

    /**
     * Deregisters closed channels from the selector. A closed channel keeps its file descriptor until the selector
     * has removed its key, so this must happen before another channel is opened.
     */
    private void deregisterClosed() {
        if (closedSinceSelect > 0) {
            closedSinceSelect = 0;
            try {
                selector.selectNow();
            } catch (IOException e) {
                counters.closeErrors++;
            }
        }
    }

    void countClosed(Connection connection) {
        closedSinceSelect += connection.key == null ? 0 : 1;
    }

    void remove(Connection connection) {
        connections.remove(connection);
        unread.remove(connection);
    }

    boolean isUnread(Connection connection) {
        return unread.contains(connection);
    }

    /** Has a connection read in the next turn, whether or not the selector reports it. */
    void markUnread(Connection connection) {
        if (connection.isReading() && connection.isEstablished()) {
            unread.add(connection);
        }
    }

    private void run() {
        try {
            while (!stopping) {
                runTurn();
            }
        } catch (IOException | RuntimeException e) {
            LOG.error("event loop {} failed and stops", name, e);
        } finally {
            stopping = true;
            for (Connection c : new ArrayList<>(connections)) {
                c.closeSocket(killed);
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
            termination.complete(null);
        }
    }

    private void runTurn() throws IOException {
        Runnable message;
        for (int i = 0; i < MESSAGES_PER_TURN && (message = mailbox.poll()) != null; i++) {
            runGuarded(message);
        }
        closedSinceSelect = 0;
        long timeoutMs = selectTimeoutMs();
        if (timeoutMs == 0) {
            selector.selectNow();
        } else {
            selector.select(timeoutMs);
        }
        // copied, because deregisterClosed() selects again while these keys are processed
        List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
        selector.selectedKeys().clear();
        readReady(ready);
        for (SelectionKey key : ready) {
            if (key.isValid() && key.attachment() instanceof Listener listener) {
                listener.accept();
            }
        }
        queueExpiredTimers();
        runDeferred();
        for (SelectionKey key : ready) {
            if (key.isValid() && key.attachment() instanceof Connection connection && key.isWritable()) {
                runForConnection(connection, connection::handleWritable);
            }
        }
    }

    private long selectTimeoutMs() {
        if (!mailbox.isEmpty() || !terminations.isEmpty() || !decisions.isEmpty() || !unread.isEmpty()) {
            return 0;
        }
        ScheduledTimer next = timers.peek();
        if (next == null) {
            return IDLE_SELECT_MS;
        }
        long untilDueNanos = next.dueNanos - (clock.nanos() - originNanos);
        return Math.max(0, Math.min(IDLE_SELECT_MS, (untilDueNanos + 999_999) / 1_000_000));
    }

    private void readReady(List<SelectionKey> ready) {
        for (SelectionKey key : ready) {
            if (!key.isValid()) {
                continue;
            }
            if (key.attachment() instanceof UdpSocket datagrams && mayRead()) {
                runGuarded(() -> datagrams.handleReadable(readBuffer));
            } else if (key.attachment() instanceof Connection connection) {
                // a select call during a turn may leave the key of an established connection marked as connectable
                if (key.isConnectable() && !connection.isEstablished()) {
                    key.interestOps(0);
                    runForConnection(connection, connection::handleConnectable);
                } else {
                    markUnread(connection);
                }
            }
        }
        readUnread();
    }

    private void readUnread() {
        List<Connection> inOrder = new ArrayList<>(unread);
        readFairness.beginTurn(inOrder);
        if (readOrder != null) {
            inOrder.sort(readOrder);
        }
        for (Connection connection : inOrder) {
            if (!connection.isReading()) {
                unread.remove(connection);
            } else {
                runForConnection(connection, () -> readConnection(connection));
            }
        }
    }

    /** Reads on after the first read call, because the peer's close may follow its request. */
    private void readConnection(Connection connection) {
        for (int i = 0; i < READS_PER_TURN && mayRead() && readFairness.mayRead(connection); i++) {
            long startedAtNanos = clock.nanos();
            boolean wasRead = connection.handleReadable(readBuffer);
            readFairness.charge(connection, startedAtNanos);
            if (!wasRead) {
                unread.remove(connection);
                return;
            }
            counters.reads++;
        }
    }

    /** Appends the expired timers to the decisions, behind those that were deferred while reading. */
    private void queueExpiredTimers() {
        long nowNanos = clock.nanos() - originNanos;
        ScheduledTimer timer;
        while ((timer = timers.peek()) != null && timer.dueNanos <= nowNanos) {
            timers.poll();
            if (timer.state == ScheduledTimer.CANCELLED) {
                cancelledTimers--;
            } else {
                timer.state = ScheduledTimer.EXPIRED;
                decisions.addLast(timer);
            }
        }
    }

    private void runDeferred() {
        long deadlineNanos = clock.nanos() + DEFERRED_TASKS_BUDGET_NANOS;
        while (!stopping && !(terminations.isEmpty() && decisions.isEmpty())) {
            runGuarded(terminations.isEmpty() ? decisions.pollFirst() : terminations.pollFirst());
            if (clock.nanos() - deadlineNanos > 0) {
                return;
            }
        }
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            counters.handlerErrors++;
            LOG.error("event loop {}: a message, timer or deferred task failed", name, e);
        }
    }

    private void runForConnection(Connection connection, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            counters.handlerErrors++;
            LOG.error(
                    "event loop {}: the handler of connection {} failed; closing the connection",
                    name,
                    connection.name(),
                    e);
            connection.fail(new IOException("internal error", e));
        }
    }

    /**
     * Runs {@code task} on the loop's thread once the loop has ended for any reason. If the loop has already ended, the
     * task runs at once on the calling thread.
     */
    public void whenEnded(Runnable task) {
        termination.thenRun(task);
    }

    /**
     * Ends the loop as if its process had been killed. All connections are reset and no handler is called. Waits until
     * the loop has ended, unless called on its thread.
     */
    public void kill() {
        killed = true;
        close();
    }

    /** Ends the loop and closes its sockets. Waits until the loop has ended, unless called on its thread. */
    @Override
    public void close() {
        stopping = true;
        selector.wakeup();
        if (thread == null) {
            termination.complete(null);
        }
        if (!inLoop()) {
            termination.join();
        }
    }

    /** A listening TCP socket. */
    public final class Listener {
        private final ServerSocketChannel serverChannel;
        private final String connectionName;
        private final Acceptor acceptor;
        private SelectionKey key;
        private boolean acceptQueueDrained = true;

        private Listener(ServerSocketChannel serverChannel, String connectionName, Acceptor acceptor) {
            this.serverChannel = serverChannel;
            this.connectionName = connectionName;
            this.acceptor = acceptor;
        }

        /** Returns the local address that the socket is bound to. */
        public InetSocketAddress address() {
            try {
                return (InetSocketAddress) serverChannel.getLocalAddress();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void accept() {
            for (int i = 0; i < limits.acceptsPerTurn(); i++) {
                SocketChannel channel;
                deregisterClosed();
                try {
                    channel = serverChannel.accept();
                    acceptQueueDrained = channel == null;
                    if (acceptQueueDrained) {
                        return;
                    }
                    channel.configureBlocking(false);
                } catch (IOException e) {
                    // no file descriptor is available or the peer has gone; pause accepting, so that other
                    // connections are served and the loop does not spin
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
                Connection connection =
                        new Connection(EventLoop.this, channel, connectionName, true, DISCARDING_HANDLER);
                connections.add(connection);
                Connection.Handler handler = acceptor.accept(connection);
                if (handler == null) {
                    connection.closeSocket(false);
                    continue;
                }
                connection.handler(handler);
                try {
                    connection.key = channel.register(selector, SelectionKey.OP_READ, connection);
                } catch (IOException e) {
                    connection.fail(e);
                    continue;
                }
                connection.completeOpen();
            }
        }

        /** Returns whether the last turn accepted all connections that were waiting. */
        public boolean acceptQueueDrained() {
            return acceptQueueDrained;
        }

        /** Stops listening; accepted connections stay open. */
        public void close() {
            key.cancel();
            try {
                serverChannel.close();
                // the port is released only when the selector has removed the key
                selector.selectNow();
            } catch (IOException e) {
                counters.closeErrors++;
            }
        }
    }

    private static final Connection.Handler DISCARDING_HANDLER = (c, bytes) -> bytes.position(bytes.limit());

    /** Resets all connections with the name {@code connectionName}. Must be called on the loop's thread. */
    public void resetAll(String connectionName) {
        List<Connection> matching = connections.stream()
                .filter(c -> c.name().equals(connectionName))
                .toList();
        for (Connection c : matching) {
            c.reset(new IOException("reset locally"));
        }
    }

    private final class ScheduledTimer implements Timer, Runnable, Comparable<ScheduledTimer> {
        static final int WAITING = 0;
        static final int EXPIRED = 1;
        static final int CANCELLED = 2;
        private final long dueNanos;
        private final long sequence;
        private Runnable task;
        private int state = WAITING;

        ScheduledTimer(long dueNanos, long sequence, Runnable task) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
            if (state == WAITING && ++cancelledTimers > MAX_CANCELLED_TIMERS && cancelledTimers > timers.size() / 2) {
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
                task.run();
            }
        }

        @Override
        public int compareTo(ScheduledTimer other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(sequence, other.sequence);
        }
    }
}
