package calicovale.protocols.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * Owns one TCP connection: what waits to be written, up to its loop's bound, and whether it reads. All calls are made on
 * the loop's thread.
 */
public final class Connection {

    /** What a connection tells its owner, on the loop's thread. */
    public interface Handler {
        /** The connection stands. */
        default void onOpen(Connection c) {}

        /** Bytes came; the buffer is the loop's and must be consumed or copied. */
        void onBytes(Connection c, ByteBuffer bytes);

        /** The peer sends no more (half-close); closing is the owner's to do. */
        default void onEnd(Connection c) {
            c.close();
        }

        /** All that waited has been written. */
        default void onDrained(Connection c) {}

        /** It is over; {@code cause} is null when it was closed in order or from here. Called once. */
        default void onClosed(Connection c, IOException cause) {}
    }

    private final EventLoop loop;
    /** Null where no descriptor was left for it: it then fails, and nothing else becomes of it. */
    private final SocketChannel channel;

    private final String name;
    private final boolean accepted;
    private final ArrayDeque<ByteBuffer> pending = new ArrayDeque<>();
    SelectionKey key;
    Timer connectTimer;
    private Handler handler;
    private Object tapState;
    private int pendingBytes;
    private boolean open;
    private boolean closed;
    private boolean reading = true;
    private boolean closeWhenDrained;
    private boolean finWhenDrained;

    Connection(EventLoop loop, SocketChannel channel, String name, boolean accepted, Handler handler) {
        this.loop = loop;
        this.accepted = accepted;
        this.channel = channel;
        this.name = name;
        this.handler = handler;
    }

    /** What the owner called it when it listened or connected. */
    public String name() {
        return name;
    }

    /** Whether the peer opened it. */
    public boolean accepted() {
        return accepted;
    }

    /** The loop it belongs to. */
    public EventLoop loop() {
        return loop;
    }

    /** Hands later events to another owner. */
    public void handler(Handler next) {
        handler = next;
    }

    /** Anything that a tap wants to keep with this connection. */
    public Object tapState() {
        return tapState;
    }

    /** Sets what {@link #tapState()} returns. */
    public void tapState(Object state) {
        tapState = state;
    }

    /** Whether it has come to stand, and was not necessarily closed since. */
    boolean isOpen() {
        return open;
    }

    /** Whether it is closed. */
    public boolean isClosed() {
        return closed;
    }

    /** Bytes that wait to be written. */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** The peer's address, or null when it is not known any more. */
    public InetSocketAddress remote() {
        if (channel == null) {
            return null;
        }
        try {
            return (InetSocketAddress) channel.getRemoteAddress();
        } catch (IOException e) {
            return null;
        }
    }

    /** The address here, or null when it is not known any more. */
    public InetSocketAddress local() {
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
     * Writes what the socket takes now and keeps the rest, of which it becomes the owner.
     *
     * @return false if the bound on waiting bytes was hit: the connection is then reset and the bytes dropped
     */
    public boolean write(ByteBuffer bytes) {
        if (closed || closeWhenDrained || finWhenDrained) {
            return false;
        }
        if (open && pending.isEmpty() && !push(bytes)) {
            return false;
        }
        if (!bytes.hasRemaining()) {
            return true;
        }
        if (pendingBytes + bytes.remaining() > loop.limits().pendingBytes()) {
            loop.counters().pendingOverflows++;
            reset(new IOException("more than " + loop.limits().pendingBytes() + " bytes wait for a slow peer"));
            return false;
        }
        pending.addLast(bytes);
        pendingBytes += bytes.remaining();
        interest();
        return true;
    }

    private boolean push(ByteBuffer bytes) {
        int from = bytes.position();
        try {
            channel.write(bytes);
        } catch (IOException e) {
            fail(e);
            return false;
        }
        if (bytes.position() > from) {
            ByteBuffer view = bytes.duplicate();
            view.flip().position(from);
            loop.counters().bytesWritten += view.remaining();
            loop.tap().wrote(this, view);
        }
        return true;
    }

    /** Stops reading: the peer is held back by its own full window. */
    public void pause() {
        reading = false;
        interest();
    }

    /** Reads again. */
    public void resume() {
        reading = true;
        interest();
    }

    /** Ends the sending side after all that waits has been written (half-close). */
    public void finish() {
        finWhenDrained = true;
        if (pending.isEmpty() && open) {
            shutdownOutput();
        }
    }

    /** Closes after all that waits has been written; reads no more. */
    public void closeWhenDrained() {
        if (pending.isEmpty()) {
            close();
            return;
        }
        closeWhenDrained = true;
        pause();
    }

    /** Closes at once, in order. */
    public void close() {
        end(null, false);
    }

    /** Closes at once with a reset, so that the peer sees an error and not an end. */
    public void reset(IOException cause) {
        end(cause, true);
    }

    void fail(IOException cause) {
        end(cause, false);
    }

    private void end(IOException cause, boolean abrupt) {
        if (closed) {
            return;
        }
        shut(abrupt);
        loop.tap().closed(this);
        handler.onClosed(this, cause);
    }

    /** Closes the socket without telling anyone. */
    void shut(boolean abrupt) {
        closed = true;
        pending.clear();
        pendingBytes = 0;
        if (connectTimer != null) {
            connectTimer.cancel();
        }
        loop.forget(this);
        if (channel == null) {
            return;
        }
        loop.closed(this);
        try {
            if (abrupt) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            channel.close();
        } catch (IOException e) {
            loop.counters().closeErrors++;
        }
    }

    void opened() {
        open = true;
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
            writable();
        }
        if (!closed) {
            interest();
        }
    }

    void connectable() {
        try {
            if (!channel.finishConnect()) {
                return;
            }
            // a try to reach a port of the ephemeral range where nobody listens can meet itself (simultaneous open)
            if (channel.getLocalAddress().equals(channel.getRemoteAddress())) {
                throw new IOException("nobody listens: the connection met itself");
            }
        } catch (IOException e) {
            fail(new ConnectFailedException(e));
            return;
        }
        opened();
    }

    /** Reads once; whether more may be there. */
    boolean readable(ByteBuffer buffer) {
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
            interest();
            loop.tap().ended(this);
            handler.onEnd(this);
        } else if (count > 0) {
            buffer.flip();
            loop.counters().bytesRead += count;
            loop.tap().read(this, buffer.asReadOnlyBuffer());
            handler.onBytes(this, buffer);
        }
        return count > 0;
    }

    void writable() {
        while (!pending.isEmpty()) {
            ByteBuffer first = pending.peekFirst();
            int before = first.remaining();
            if (!push(first)) {
                return;
            }
            pendingBytes -= before - first.remaining();
            if (first.hasRemaining()) {
                interest();
                return;
            }
            pending.removeFirst();
        }
        if (closeWhenDrained) {
            close();
            return;
        }
        if (finWhenDrained) {
            shutdownOutput();
        }
        interest();
        handler.onDrained(this);
    }

    private void shutdownOutput() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            fail(e);
        }
    }

    private void interest() {
        if (closed || !open || key == null || !key.isValid()) {
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
        return name + " " + remote();
    }
}
