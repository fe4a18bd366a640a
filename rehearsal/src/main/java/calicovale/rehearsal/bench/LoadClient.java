package calicovale.rehearsal.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/** Owns a closed load: some connections on some threads, each asking again as soon as it was answered. */
final class LoadClient {
    private final AtomicLong answers = new AtomicLong();
    private final AtomicLong others = new AtomicLong();
    private final AtomicLong asked = new AtomicLong();
    private volatile boolean stopping;
    private final List<Thread> threads = new ArrayList<>();

    /** {@code target} gives the path of request number n; {@code most}: requests in all. */
    LoadClient(InetSocketAddress to, int threadCount, int connections, long most, LongFunction<String> target) {
        for (int t = 0; t < threadCount; t++) {
            Thread thread = new Thread(
                    () -> {
                        try {
                            run(to, connections / threadCount, most, target);
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    },
                    "load-" + t);
            thread.setDaemon(true);
            threads.add(thread);
        }
    }

    LoadClient start() {
        threads.forEach(Thread::start);
        return this;
    }

    long answers() {
        return answers.get();
    }

    /** Answers whose status was not 200. */
    long others() {
        return others.get();
    }

    void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    void stop() throws InterruptedException {
        stopping = true;
        join();
    }

    private static final class Wire {
        final SocketChannel channel;
        final ByteBuffer in = ByteBuffer.allocate(1 << 16);

        Wire(SocketChannel channel) {
            this.channel = channel;
        }
    }

    private boolean ask(Wire wire, long most, LongFunction<String> target) throws IOException {
        long n = asked.getAndIncrement();
        if (n >= most) {
            return false;
        }
        ByteBuffer out = ByteBuffer.wrap(
                ("GET " + target.apply(n) + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        while (out.hasRemaining()) {
            wire.channel.write(out);
        }
        return true;
    }

    private void run(InetSocketAddress to, int connections, long most, LongFunction<String> target) throws IOException {
        try (Selector selector = Selector.open()) {
            List<Wire> wires = new ArrayList<>();
            int busy = 0;
            for (int i = 0; i < connections; i++) {
                SocketChannel c = SocketChannel.open(to);
                c.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                c.configureBlocking(false);
                Wire wire = new Wire(c);
                wires.add(wire);
                c.register(selector, SelectionKey.OP_READ, wire);
                busy += ask(wire, most, target) ? 1 : 0;
            }
            while (!stopping && busy > 0) {
                selector.select(200);
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    Wire wire = (Wire) keys.next().attachment();
                    keys.remove();
                    if (wire.channel.read(wire.in) < 0) {
                        throw new IOException("the server closed a connection");
                    }
                    int status = whole(wire.in);
                    if (status > 0) {
                        answers.incrementAndGet();
                        others.addAndGet(status == 200 ? 0 : 1);
                        wire.in.clear();
                        busy -= ask(wire, most, target) ? 0 : 1;
                    }
                }
            }
            for (Wire wire : wires) {
                wire.channel.close();
            }
        }
    }

    /** The status if one answer is whole, else 0. */
    private static int whole(ByteBuffer in) {
        byte[] a = in.array();
        int end = in.position();
        int length = -1;
        for (int i = 0; i + 3 < end; i++) {
            if (a[i] == '\r' && a[i + 2] == 'C' && a[i + 10] == 'L' && end > i + 18) {
                // "\r\nContent-Length: "
                length = 0;
                for (int k = i + 18; k < end && a[k] >= '0' && a[k] <= '9'; k++) {
                    length = 10 * length + a[k] - '0';
                }
            }
            if (a[i] == '\r' && a[i + 1] == '\n' && a[i + 2] == '\r' && a[i + 3] == '\n') {
                return length >= 0 && end >= i + 4 + length ? (a[9] - '0') * 100 + (a[10] - '0') * 10 + a[11] - '0' : 0;
            }
        }
        return 0;
    }
}
