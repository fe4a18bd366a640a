package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** One thread with a selector and timers, on which all stand-ins of a case run. */
final class Loop {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private record Due(long nanos, long order, Runnable task) {}

    private final Selector selector;
    private final PriorityQueue<Due> timers = new PriorityQueue<>((a, b) ->
            a.nanos != b.nanos ? Long.compare(a.nanos, b.nanos) : Long.compare(a.order, b.order));
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(1 << 16);
    private long order;
    boolean stopped;
    /** Connections accepted so far. */
    long accepted;

    Loop() throws IOException {
        selector = Selector.open();
    }

    /** Runs a task after a delay. */
    void after(double ms, Runnable task) {
        timers.add(new Due(System.nanoTime() + (long) (ms * 1e6), order++, task));
    }

    /** Runs until {@link #stopped} is set. */
    void run() throws IOException {
        while (!stopped) {
            Due next = timers.peek();
            long waitMs = next == null ? 100 : Math.max(0, (next.nanos - System.nanoTime() + 999_999) / 1_000_000);
            if (waitMs == 0) {
                selector.selectNow();
            } else {
                selector.select(Math.min(100, waitMs));
            }
            for (var keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
                SelectionKey key = keys.next();
                keys.remove();
                if (key.isValid() && key.attachment() instanceof Listener listener) {
                    listener.accept();
                } else if (key.isValid() && key.attachment() instanceof Conn conn) {
                    conn.ready();
                }
            }
            while ((next = timers.peek()) != null && next.nanos <= System.nanoTime()) {
                timers.poll().task.run();
            }
        }
    }

    /** A listening socket on a free loopback port. */
    final class Listener {
        final ServerSocketChannel channel;
        private final Consumer<Conn> onAccept;
        private final SelectionKey key;

        private Listener(int port, int backlog, Consumer<Conn> onAccept) throws IOException {
            this.onAccept = onAccept;
            channel = ServerSocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(LOOPBACK, port), backlog);
            key = channel.register(selector, SelectionKey.OP_ACCEPT, this);
        }

        int port() {
            return channel.socket().getLocalPort();
        }

        /** Stops or resumes accepting; the system goes on completing connections up to the backlog. */
        void accepting(boolean on) {
            key.interestOps(on ? SelectionKey.OP_ACCEPT : 0);
        }

        void close() {
            try {
                channel.close();
                selector.selectNow();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private void accept() throws IOException {
            SocketChannel socket;
            while ((socket = channel.accept()) != null) {
                accepted++;
                Conn conn = new Conn(socket, true);
                onAccept.accept(conn);
            }
        }
    }

    Listener listen(int backlog, Consumer<Conn> onAccept) throws IOException {
        return new Listener(0, backlog, onAccept);
    }

    Listener listen(int port, int backlog, Consumer<Conn> onAccept) throws IOException {
        return new Listener(port, backlog, onAccept);
    }

    /** Opens a connection; what is sent before it is up waits. */
    Conn connect(InetSocketAddress address) {
        try {
            SocketChannel socket = SocketChannel.open();
            Conn conn = new Conn(socket, false);
            socket.connect(address);
            return conn;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One connection. */
    final class Conn {
        final SocketChannel channel;
        private final SelectionKey key;
        private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        private ByteBuffer in = ByteBuffer.allocate(1 << 12);
        private boolean up;
        boolean closed;
        /** While set, nothing is read and nothing is written, as from a machine that is cut off. */
        boolean silent;
        Consumer<Wire.Message> onMessage = m -> {};
        /** Receives raw bytes instead of messages, if set. */
        Consumer<ByteBuffer> onBytes;
        Runnable onUp = () -> {};
        Runnable onClosed = () -> {};

        private Conn(SocketChannel channel, boolean up) throws IOException {
            this.channel = channel;
            this.up = up;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            key = channel.register(selector, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
        }

        void send(Wire.Message message) {
            send(message.encode());
        }

        void send(byte[] bytes) {
            if (!closed) {
                out.add(ByteBuffer.wrap(bytes));
                if (up && !silent) {
                    flush();
                }
            }
        }

        private void ready() {
            try {
                if (key.isConnectable()) {
                    channel.finishConnect();
                    up = true;
                    key.interestOps(SelectionKey.OP_READ);
                    onUp.run();
                }
                if (key.isValid() && key.isWritable()) {
                    flush();
                }
                if (key.isValid() && key.isReadable() && !closed) {
                    read();
                }
                if (!closed && up && !out.isEmpty() && !silent) {
                    flush();
                }
            } catch (IOException e) {
                close();
            }
        }

        private void read() throws IOException {
            int count;
            while (!closed && !silent && (count = channel.read(readBuffer.clear())) != 0) {
                if (count < 0) {
                    close();
                    return;
                }
                readBuffer.flip();
                if (onBytes != null) {
                    onBytes.accept(readBuffer);
                    continue;
                }
                if (in.remaining() < count) {
                    ByteBuffer larger = ByteBuffer.allocate(2 * (in.position() + count));
                    larger.put(in.flip());
                    in = larger;
                }
                in.put(readBuffer).flip();
                Wire.Message message;
                while (!closed && (message = Wire.take(in)) != null) {
                    onMessage.accept(message);
                }
                in.compact();
            }
        }

        private void flush() {
            try {
                while (!out.isEmpty()) {
                    channel.write(out.peek());
                    if (out.peek().hasRemaining()) {
                        break;
                    }
                    out.poll();
                }
                if (key.isValid()) {
                    key.interestOps(SelectionKey.OP_READ | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE));
                }
            } catch (IOException e) {
                close();
            }
        }

        /** Makes the connection fall silent: it stays open, nothing is read or written any more. */
        void fallSilent() {
            silent = true;
            if (key.isValid()) {
                key.interestOps(0);
            }
        }

        /** Resets the connection once something has come on it, as a machine does that does not know it. */
        void answerWithReset() {
            silent = false;
            onBytes = bytes -> reset();
            if (key.isValid()) {
                key.interestOps(SelectionKey.OP_READ);
            }
        }

        void close() {
            if (!closed) {
                closed = true;
                try {
                    channel.close();
                } catch (IOException e) {
                    // it is closed all the same
                }
                onClosed.run();
            }
        }

        void reset() {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // closed already
            }
            close();
        }
    }
}
