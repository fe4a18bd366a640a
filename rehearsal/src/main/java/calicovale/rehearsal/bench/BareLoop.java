package calicovale.rehearsal.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;

/** Owns the floor: a selector loop on one thread that answers every request's end with the same bytes and does no more. */
final class BareLoop implements AutoCloseable {
    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final byte[] answer;
    private final Thread thread;
    private volatile boolean stopping;

    BareLoop(byte[] answer) throws IOException {
        this.answer = answer;
        server.bind(new InetSocketAddress("127.0.0.1", 0));
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        thread = new Thread(this::run, "bare-loop");
        thread.start();
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) server.getLocalAddress();
    }

    long threadId() {
        return thread.getId();
    }

    private void run() {
        ByteBuffer in = ByteBuffer.allocateDirect(1 << 16);
        ByteBuffer out = ByteBuffer.allocateDirect(answer.length);
        try {
            while (!stopping) {
                selector.select();
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    if (key.isAcceptable()) {
                        SocketChannel c = server.accept();
                        c.configureBlocking(false);
                        c.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                        c.register(selector, SelectionKey.OP_READ);
                        continue;
                    }
                    SocketChannel c = (SocketChannel) key.channel();
                    in.clear();
                    if (c.read(in) < 0) {
                        c.close();
                        continue;
                    }
                    // a request ends with an empty line; the client sends each whole
                    boolean ended = in.position() >= 2
                            && in.get(in.position() - 1) == '\n'
                            && in.get(in.position() - 2) == '\r';
                    if (ended) {
                        out.clear().put(answer).flip();
                        while (out.hasRemaining()) {
                            c.write(out);
                        }
                    }
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        stopping = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
