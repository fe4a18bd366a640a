package calicovale.protocols.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * A TCP connection of an event loop, with a queue of bytes to be written that is bounded by
 * {@link LoopLimits#pendingBytes()} and, with those of all others, by {@link LoopLimits#totalPendingBytes()}. Reading can be paused to apply backpressure. All methods must be called on the
 * loop's thread.
 */
public final class Connection {

    /** Receiver of a connection's events; called on the loop's thread. */
    public interface Handler {
        /** Called when the connection is established. */
        default void onOpen(Connection connection) {}

        /** Called when bytes were read; the buffer belongs to the loop, so its content must be consumed or copied. */
        void onBytes(Connection connection, ByteBuffer bytes);

        /**
         * Called when the peer has closed its sending side (half-close). The handler decides when to close the
         * connection; the default closes it at once.
         */
        default void onEnd(Connection connection) {
            connection.close();
        }

        /** Called when all queued bytes have been written. */
        default void onDrained(Connection connection) {}

        /**
         * Called once when the connection is closed. {@code cause} is null when it was closed without an error or by
         * a call of {@link Connection#close()}.
         */
        default void onClosed(Connection connection, IOException cause) {}
    }

    /** Upper bound of the bytes that are written together after the handling of one read call's input. */
    private static final int MAX_BATCH_BYTES = 1 << 16;

    /** Size of a buffer into which small writes are copied while they wait. */
    private static final int CHUNK_BYTES = 4096;

    private final EventLoop loop;
    /** Null if no file descriptor was available for it; the connection then only fails. */
    private final SocketChannel channel;

    private final String name;
    private final boolean accepted;
    private final ArrayDeque<ByteBuffer> pending = new ArrayDeque<>();
    SelectionKey key;
    Timer connectTimer;
    /** Time in ns that reading took lately, see {@link ReadFairness}. */
    long recentReadNanos;
    /** Time of the loop's clock in ns when {@link #recentReadNanos} was last halved. */
    long recentReadSinceNanos;

    private Handler handler;
    private Object tapState;
    /** The last buffer of {@link #pending} if further bytes may be copied into it, else null. */
    private ByteBuffer lastChunk;

    private int pendingBytes;
    private boolean established;
    private boolean closed;
    private boolean reading = true;
    /** Whether the handler is called with input; what it writes meanwhile goes to the socket together. */
    private boolean handlingInput;

    private boolean closeWhenDrained;
    private boolean shutdownOutputWhenDrained;

    Connection(EventLoop loop, SocketChannel channel, String name, boolean accepted, Handler handler) {
        this.loop = loop;
        this.accepted = accepted;
        this.channel = channel;
        this.name = name;
        this.handler = handler;
    }

    /** Returns the name given to {@link EventLoop#listen} or {@link EventLoop#connect}. */
    public String name() {
        return name;
    }

    /** Returns whether the connection was accepted, that is, opened by the peer. */
    public boolean accepted() {
        return accepted;
    }

    /** Returns the loop that the connection belongs to. */
    public EventLoop loop() {
        return loop;
    }

    /** Replaces the handler; later events go to {@code next}. */
    public void handler(Handler next) {
        handler = next;
    }

    /** Returns the object that a {@link Tap} has attached to this connection, or null. */
    public Object tapState() {
        return tapState;
    }

    /** Attaches an object that {@link #tapState()} returns. */
    public void tapState(Object state) {
        tapState = state;
    }

    /** Returns whether the connection has been established at some time; it may have been closed since. */
    boolean isEstablished() {
        return established;
    }

    /** Returns whether the connection is closed. */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Returns whether input of the peer may lie unread in the socket, such as its close: the connection was not read to
     * the end in this turn of the loop, or reading is paused.
     */
    public boolean mayHaveUnreadInput() {
        return !reading || loop.isUnread(this);
    }

    /** Returns whether input is read, that is, reading is not paused and the peer has not ended its side. */
    boolean isReading() {
        return reading && !closed;
    }

    /** Returns the number of bytes waiting to be written. */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** Returns the peer's address, or null if it is no longer known. */
    public InetSocketAddress remoteAddress() {
        if (channel == null) {
            return null;
        }
        try {
            return (InetSocketAddress) channel.getRemoteAddress();
        } catch (IOException e) {
            return null;
        }
    }

    /** Returns the local address, or null if it is no longer known. */
    public InetSocketAddress localAddress() {
        if (channel == null) {
            return null;
        }
        try {
            return (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Writes as many bytes as the socket accepts now and queues the rest. The connection takes ownership of the buffer,
     * so the caller must not use it afterwards.
     *
     * @return false if the connection is closed or closing, or is closed now because the write failed; also if the
     *     limit on waiting bytes was exceeded, in which case the connection is reset and the bytes are dropped
     */
    public boolean write(ByteBuffer bytes) {
        if (closed || closeWhenDrained || shutdownOutputWhenDrained) {
            return false;
        }
        boolean batched = handlingInput && pendingBytes + bytes.remaining() <= MAX_BATCH_BYTES;
        if (handlingInput && !batched) {
            writePending();
        }
        if (established && !batched && !closed && pending.isEmpty() && !writeToSocket(bytes)) {
            return false;
        }
        if (closed || !bytes.hasRemaining()) {
            return !closed;
        }
        int count = bytes.remaining();
        if (pendingBytes + count > loop.limits().pendingBytes()
                || !loop.pendingBytes().reserve(pendingBytes, count)) {
            loop.counters().pendingOverflows++;
            reset(new IOException("too many bytes are waiting for a slow peer: " + pendingBytes + ", and "
                    + loop.pendingBytes().used() + " for all peers"));
            return false;
        }
        pendingBytes += count;
        queue(bytes);
        updateInterestOps();
        return true;
    }

    /** Queues bytes; few bytes are copied behind earlier ones, because many small buffers take a multiple of memory. */
    private void queue(ByteBuffer bytes) {
        int count = bytes.remaining();
        if (count > CHUNK_BYTES / 2) {
            pending.addLast(bytes);
            lastChunk = null;
            return;
        }
        if (lastChunk == null || lastChunk.capacity() - lastChunk.limit() < count) {
            lastChunk = ByteBuffer.allocate(CHUNK_BYTES).limit(0);
            pending.addLast(lastChunk);
        }
        int end = lastChunk.limit();
        lastChunk.limit(end + count).put(end, bytes, bytes.position(), count);
    }

    private boolean writeToSocket(ByteBuffer bytes) {
        int start = bytes.position();
        try {
            channel.write(bytes);
        } catch (IOException e) {
            fail(e);
            return false;
        }
        if (bytes.position() > start) {
            ByteBuffer written = bytes.duplicate();
            written.flip().position(start);
            loop.counters().bytesWritten += written.remaining();
            loop.tap().wrote(this, written);
        }
        return true;
    }

    /** Stops reading. TCP flow control then stops the peer once its send window is exhausted. */
    public void pause() {
        reading = false;
        updateInterestOps();
    }

    /** Resumes reading. */
    public void resume() {
        reading = true;
        loop.markUnread(this);
        updateInterestOps();
    }

    /** Closes the sending side after all queued bytes have been written (half-close). */
    public void shutdownOutputWhenDrained() {
        shutdownOutputWhenDrained = true;
        if (pending.isEmpty() && established) {
            shutdownOutput();
        }
    }

    /** Stops reading and closes the connection after all queued bytes have been written. */
    public void closeWhenDrained() {
        if (pending.isEmpty()) {
            close();
            return;
        }
        closeWhenDrained = true;
        pause();
    }

    /** Closes the connection at once, without a reset; queued bytes are dropped. */
    public void close() {
        if (handlingInput) {
            writePending();
        }
        closeAndNotify(null, false);
    }

    /** Closes the connection at once with a TCP reset, so that the peer sees an error instead of an end of stream. */
    public void reset(IOException cause) {
        closeAndNotify(cause, true);
    }

    void fail(IOException cause) {
        closeAndNotify(cause, false);
    }

    private void closeAndNotify(IOException cause, boolean withReset) {
        if (closed) {
            return;
        }
        closeSocket(withReset);
        loop.tap().closed(this);
        handler.onClosed(this, cause);
    }

    /** Closes the socket without calling the handler or the tap. */
    void closeSocket(boolean withReset) {
        closed = true;
        pending.clear();
        lastChunk = null;
        loop.pendingBytes().release(pendingBytes);
        pendingBytes = 0;
        if (connectTimer != null) {
            connectTimer.cancel();
        }
        loop.remove(this);
        if (channel == null) {
            return;
        }
        loop.countClosed(this);
        try {
            if (withReset) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            channel.close();
        } catch (IOException e) {
            loop.counters().closeErrors++;
        }
    }

    void completeOpen() {
        established = true;
        if (connectTimer != null) {
            connectTimer.cancel();
            connectTimer = null;
        }
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            fail(e);
            return;
        }
        loop.tap().opened(this);
        handler.onOpen(this);
        if (!closed && !pending.isEmpty()) {
            handleWritable();
        }
        if (!closed) {
            updateInterestOps();
        }
    }

    void handleConnectable() {
        try {
            if (!channel.finishConnect()) {
                return;
            }
            // connecting to a port in the ephemeral range on which no process listens can connect the socket to itself
            // (TCP simultaneous open)
            if (channel.getLocalAddress().equals(channel.getRemoteAddress())) {
                throw new IOException("no process listens on the port; the socket connected to itself");
            }
        } catch (IOException e) {
            fail(new ConnectFailedException(e));
            return;
        }
        completeOpen();
    }

    /** Reads once; returns whether more data may be available. */
    boolean handleReadable(ByteBuffer buffer) {
        if (!reading || closed) {
            return false;
        }
        buffer.clear();
        int count;
        try {
            count = channel.read(buffer);
        } catch (IOException e) {
            fail(e);
            return false;
        }
        if (count < 0) {
            reading = false;
            updateInterestOps();
            loop.tap().inputEnded(this);
            handler.onEnd(this);
        } else if (count > 0) {
            buffer.flip();
            loop.counters().bytesRead += count;
            loop.tap().read(this, buffer.asReadOnlyBuffer());
            handlingInput = true;
            try {
                handler.onBytes(this, buffer);
            } finally {
                handlingInput = false;
            }
            if (!closed && !pending.isEmpty()) {
                handleWritable();
            }
        }
        return count > 0;
    }

    /** Writes queued bytes as far as the socket accepts them. Closes the connection if that fails. */
    private void writePending() {
        while (!pending.isEmpty()) {
            ByteBuffer first = pending.peekFirst();
            int before = first.remaining();
            if (!writeToSocket(first)) {
                return;
            }
            pendingBytes -= before - first.remaining();
            loop.pendingBytes().release(before - first.remaining());
            if (first.hasRemaining()) {
                updateInterestOps();
                return;
            }
            pending.removeFirst();
            lastChunk = pending.isEmpty() ? null : lastChunk;
        }
    }

    void handleWritable() {
        writePending();
        if (closed || !pending.isEmpty()) {
            return;
        }
        if (closeWhenDrained) {
            close();
            return;
        }
        if (shutdownOutputWhenDrained) {
            shutdownOutput();
        }
        updateInterestOps();
        handler.onDrained(this);
    }

    private void shutdownOutput() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            fail(e);
        }
    }

    private void updateInterestOps() {
        if (closed || !established || key == null || !key.isValid()) {
            return;
        }
        int ops = (reading ? SelectionKey.OP_READ : 0) | (pending.isEmpty() ? 0 : SelectionKey.OP_WRITE);
        if (key.interestOps() != ops) {
            key.interestOps(ops);
        }
    }

    SocketChannel channel() {
        return channel;
    }

    @Override
    public String toString() {
        return name + " " + remoteAddress();
    }
}
