import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One connection of a viewers' front to a session manager. */
final class Front implements AutoCloseable {
    private final Record record;
    private final String name;
    private final Socket socket;
    private final OutputStream out;
    private final Map<Long, List<Wire>> received = new LinkedHashMap<>();
    private final Map<String, Double> firstAt = new LinkedHashMap<>();
    private boolean ended;

    Front(Record record, String name, int port) throws IOException {
        this.record = record;
        this.name = name;
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Threads.start(this::read);
    }

    private void read() throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        try {
            while (true) {
                Wire message = Wire.read(in);
                record.line(name + ": gets " + message);
                synchronized (this) {
                    received.computeIfAbsent(message.id, id -> new ArrayList<>()).add(message);
                    firstAt.putIfAbsent(message.type + " " + message.id, record.seconds());
                    notifyAll();
                }
                if (message.type == Wire.RELEASE) {
                    send(new Wire(Wire.HEARD, message.id));
                }
            }
        } finally {
            synchronized (this) {
                ended = true;
                notifyAll();
            }
            record.line(name + ": connection has ended");
            socket.close();
        }
    }

    /** Returns when the first message of a type on a session came, in seconds of the record; -1 if none did. */
    synchronized double firstAt(long id, int type) {
        return firstAt.getOrDefault(type + " " + id, -1.0);
    }

    synchronized boolean ended() {
        return ended;
    }

    void send(Wire message) throws IOException {
        byte[] bytes = message.encode();
        synchronized (out) {
            out.write(bytes);
            out.flush();
        }
    }

    /** Sends a set-up of a viewer that waits {@code waitMs}. */
    void setUp(long id, String sessionClass, String title, String extras, int waitMs) throws IOException {
        record.line(name + ": sends set-up " + Wire.hex(id) + " class " + sessionClass + " title " + title + " extras "
                + extras + " wait " + waitMs);
        send(new Wire(Wire.SET_UP, id)
                .with(Wire.CLASS, sessionClass)
                .with(Wire.WAIT, String.valueOf(waitMs))
                .with(Wire.TITLE, title)
                .with(Wire.EXTRAS, extras)
                .with(Wire.DESCRIPTION, "viewer of " + Wire.hex(id)));
    }

    /** Waits for the first message of a type on a session; null if none comes in time. */
    synchronized Wire await(long id, int type, long timeoutMs) throws InterruptedException {
        long untilNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (true) {
            for (Wire message : received.getOrDefault(id, List.of())) {
                if (message.type == type) {
                    return message;
                }
            }
            long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0 || ended) {
                return null;
            }
            wait(leftMs);
        }
    }

    /** Waits for the final answer of a set-up: an answer or a release; null if none comes in time. */
    synchronized Wire awaitFinal(long id, long timeoutMs) throws InterruptedException {
        long untilNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (true) {
            for (Wire message : received.getOrDefault(id, List.of())) {
                if (message.type == Wire.ANSWER || message.type == Wire.RELEASE) {
                    return message;
                }
            }
            long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0 || ended) {
                return null;
            }
            wait(leftMs);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
