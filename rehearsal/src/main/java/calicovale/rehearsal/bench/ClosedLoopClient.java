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

/**
 * Load generator with a closed loop: each of its connections sends the next request as soon as the response to the
 * last is complete.
 */
final class ClosedLoopClient {
    private final AtomicLong responses = new AtomicLong();
    private final AtomicLong non200Responses = new AtomicLong();
    private final AtomicLong requestsSent = new AtomicLong();
    private volatile boolean stopping;
    private final List<Thread> threads = new ArrayList<>();

    /**
     * Creates a client; {@link #start} starts its threads.
     *
     * @param address server to which all connections are opened
     * @param connections number of connections, divided evenly among the threads
     * @param maxRequests total number of requests after which the client ends
     * @param target returns the target of a request by its number, from 0
     */
    ClosedLoopClient(
            InetSocketAddress address,
            int threadCount,
            int connections,
            long maxRequests,
            LongFunction<String> target) {
        for (int t = 0; t < threadCount; t++) {
            Thread thread = new Thread(
                    () -> {
                        try {
                            run(address, connections / threadCount, maxRequests, target);
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    },
                    "load-" + t);
            thread.setDaemon(true);
            threads.add(thread);
        }
    }

    ClosedLoopClient start() {
        threads.forEach(Thread::start);
        return this;
    }

    /** Returns the number of complete responses. */
    long responses() {
        return responses.get();
    }

    /** Returns the number of complete responses whose status was not 200. */
    long non200Responses() {
        return non200Responses.get();
    }

    /** Waits until all requests were answered. */
    void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Stops sending, and waits for the threads to end. */
    void stop() throws InterruptedException {
        stopping = true;
        join();
    }

    private static final class ClientConnection {
        final SocketChannel channel;
        final ByteBuffer in = ByteBuffer.allocate(1 << 16);

        ClientConnection(SocketChannel channel) {
            this.channel = channel;
        }
    }

    /** Sends the next request; returns false if the maximum number was sent already. */
    private boolean sendRequest(ClientConnection connection, long maxRequests, LongFunction<String> target)
            throws IOException {
        long requestNumber = requestsSent.getAndIncrement();
        if (requestNumber >= maxRequests) {
            return false;
        }
        ByteBuffer out = ByteBuffer.wrap(("GET " + target.apply(requestNumber) + " HTTP/1.1\r\nHost: h\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        while (out.hasRemaining()) {
            connection.channel.write(out);
        }
        return true;
    }

    private void run(InetSocketAddress address, int connections, long maxRequests, LongFunction<String> target)
            throws IOException {
        try (Selector selector = Selector.open()) {
            List<ClientConnection> open = new ArrayList<>();
            int awaitingResponse = 0;
            for (int i = 0; i < connections; i++) {
                SocketChannel channel = SocketChannel.open(address);
                channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                channel.configureBlocking(false);
                ClientConnection connection = new ClientConnection(channel);
                open.add(connection);
                channel.register(selector, SelectionKey.OP_READ, connection);
                awaitingResponse += sendRequest(connection, maxRequests, target) ? 1 : 0;
            }
            while (!stopping && awaitingResponse > 0) {
                selector.select(200);
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    ClientConnection connection = (ClientConnection) keys.next().attachment();
                    keys.remove();
                    if (connection.channel.read(connection.in) < 0) {
                        throw new IOException("the server closed a connection");
                    }
                    int status = completeStatus(connection.in);
                    if (status > 0) {
                        responses.incrementAndGet();
                        non200Responses.addAndGet(status == 200 ? 0 : 1);
                        connection.in.clear();
                        awaitingResponse -= sendRequest(connection, maxRequests, target) ? 0 : 1;
                    }
                }
            }
            for (ClientConnection connection : open) {
                connection.channel.close();
            }
        }
    }

    /** Returns the status of the response in the buffer if it is complete, otherwise 0. */
    private static int completeStatus(ByteBuffer in) {
        byte[] bytes = in.array();
        int end = in.position();
        int length = -1;
        for (int i = 0; i + 3 < end; i++) {
            if (bytes[i] == '\r' && bytes[i + 2] == 'C' && bytes[i + 10] == 'L' && end > i + 18) {
                // the line starts with "Content-Length: "; its number begins 18 bytes after the CR
                length = 0;
                for (int k = i + 18; k < end && bytes[k] >= '0' && bytes[k] <= '9'; k++) {
                    length = 10 * length + bytes[k] - '0';
                }
            }
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                return length >= 0 && end >= i + 4 + length
                        ? (bytes[9] - '0') * 100 + (bytes[10] - '0') * 10 + bytes[11] - '0'
                        : 0;
            }
        }
        return 0;
    }
}
