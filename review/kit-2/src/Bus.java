import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The event bus of one session manager: numbered events, and a line with the last number every second. */
final class Bus implements AutoCloseable {
    private final Record record;
    private final ServerSocket listening;
    private final List<String> events = new ArrayList<>();
    private final List<OutputStream> followers = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    /** Time in ms by which all that is written on new connections comes late. */
    volatile long slowMs;

    Bus(Record record) throws IOException {
        this.record = record;
        listening = new ServerSocket();
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Threads.start(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    /** One entry of the list of video servers. */
    static String entry(String name, int port, int cell, String lifecycle, long startedAtMs) {
        return entry(name, port, "ops-center", "two-core", cell, lifecycle, startedAtMs);
    }

    static String entry(
            String name, int port, String zone, String kind, int cell, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + port
                + "\",\"zone\":\"" + zone + "\",\"machineType\":\"" + kind + "\",\"cell\":" + cell + ",\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.5,\"startedAtMs\":" + startedAtMs + "}";
    }

    /** Adds an event; it is written to all connections that follow. */
    synchronized void add(String... entries) {
        int offset = events.size() + 1;
        String event = "{\"offset\":" + offset + ",\"topology\":{\"generation\":" + offset + ",\"reset\":" + (offset == 1)
                + ",\"instances\":[" + String.join(",", entries) + "]}}";
        events.add(event);
        record.line("bus: event " + event);
        for (OutputStream follower : List.copyOf(followers)) {
            write(follower, event);
        }
    }

    /** The value of "known" in a configuration that is written now. */
    synchronized String known() {
        return "{\"offset\":" + events.size() + ",\"batch\":[" + String.join(",", events) + "]}";
    }

    private void write(OutputStream out, String line) {
        try {
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            followers.remove(out);
        }
    }

    private void accept() throws Exception {
        while (true) {
            Socket socket = listening.accept();
            synchronized (this) {
                sockets.add(socket);
            }
            Threads.start(() -> follow(socket));
        }
    }

    private void follow(Socket socket) throws Exception {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String from = in.readLine();
        if (from == null || !from.startsWith("from ")) {
            record.line("bus: unexpected line " + from);
            socket.close();
            return;
        }
        record.line("bus: connection, line '" + from + "'");
        OutputStream out = slowMs > 0 ? new LateStream(socket.getOutputStream(), slowMs) : socket.getOutputStream();
        synchronized (this) {
            for (String event : List.copyOf(events).subList(Integer.parseInt(from.substring(5).trim()), events.size())) {
                write(out, event);
            }
            write(out, String.valueOf(events.size()));
            followers.add(out);
        }
        while (!socket.isClosed()) {
            Thread.sleep(1000);
            synchronized (this) {
                if (!followers.contains(out)) {
                    return;
                }
                write(out, String.valueOf(events.size()));
            }
        }
    }

    /** Breaks all connections off. */
    synchronized void breakOff() throws IOException {
        record.line("bus: breaks all connections off");
        followers.clear();
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
