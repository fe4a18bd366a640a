package calicovale.rehearsal.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;

/**
 * Baseline for the benchmarks of the front: a server with one selector thread that answers each request with the same
 * bytes. It does not parse requests, so that it shows the throughput that sockets and selector permit.
 */
final class BaselineServer implements AutoCloseable {
    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final byte[] response;
    private final Thread thread;
    private volatile boolean stopping;

    /**
     * Starts a server on a free loopback port.
     *
     * @param response the complete response to each request
     */
    BaselineServer(byte[] response) throws IOException {
        this.response = response;
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
        ByteBuffer out = ByteBuffer.allocateDirect(response.length);
        try {
            while (!stopping) {
                selector.select();
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    if (key.isAcceptable()) {
                        SocketChannel channel = server.accept();
                        channel.configureBlocking(false);
                        channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                        channel.register(selector, SelectionKey.OP_READ);
                        continue;
                    }
                    SocketChannel channel = (SocketChannel) key.channel();
                    in.clear();
                    if (channel.read(in) < 0) {
                        channel.close();
                        continue;
                    }
                    // a request ends with an empty line; the client sends each one in a single write
                    boolean ended = in.position() >= 2
                            && in.get(in.position() - 1) == '\n'
                            && in.get(in.position() - 2) == '\r';
                    if (ended) {
                        out.clear().put(response).flip();
                        while (out.hasRemaining()) {
                            channel.write(out);
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
