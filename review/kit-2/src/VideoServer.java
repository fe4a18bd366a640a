import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A sound video server by the protocol page. It answers set-ups, holds what stands, sends notes on it, and sends a
 * release on the connection of its set-up, else on any open one, and also on the next one that is opened.
 */
class VideoServer implements AutoCloseable {
    /** Time in ms between two notes of a server. */
    static final long NOTE_MS = 1000;

    /** One connection from a session manager. */
    final class Link {
        final int number;
        final Socket socket;
        private final OutputStream out;
        volatile boolean closed;

        Link(int number, Socket socket) throws IOException {
            this.number = number;
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        /** Sends a message; one that the connection does not take any more is dropped. */
        void send(Wire message) {
            sendBytes(message.encode(), message.toString());
        }

        synchronized void sendBytes(byte[] bytes, String what) {
            record.line(name + ": sends on connection " + number + ": " + what);
            try {
                out.write(bytes);
                out.flush();
            } catch (IOException e) {
                record.line(name + ": connection " + number + " takes nothing: " + e.getMessage());
                closed = true;
            }
        }

        /** Ends the connection with a TCP reset. */
        void reset() throws IOException {
            record.line(name + ": connection " + number + " is reset");
            closed = true;
            socket.setSoLinger(true, 0);
            socket.close();
        }

        private void read() throws IOException {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            try {
                while (true) {
                    handle(this, Wire.read(in));
                }
            } finally {
                closed = true;
                record.line(name + ": connection " + number + " has ended");
                synchronized (VideoServer.this) {
                    links.remove(this);
                }
                socket.close();
            }
        }
    }

    final Record record;
    final String name;
    private final ServerSocket listening;
    final List<Link> links = new ArrayList<>();
    /** What stands, with the connection of its set-up. */
    final Map<Long, Link> standing = new LinkedHashMap<>();
    /** All set-ups that came whole, in order. */
    final List<Wire> setUps = new ArrayList<>();
    /** Releases that are sent also on the next connection. */
    private final List<Wire> owedReleases = new ArrayList<>();

    private int connections;
    /** The port of a server that has died. */
    int diedAtPort;

    /** Starts a server; port 0 takes a free one. */
    VideoServer(Record record, String name, int port) throws IOException {
        this.record = record;
        this.name = name;
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        bind(port);
        record.line(name + ": listens at port " + port());
        Threads.start(this::accept);
        Threads.start(this::sendNotes);
    }

    /** Binds the port, which may still be held for a moment by a server that has just died. */
    private void bind(int port) throws IOException {
        for (int tries = 0; ; tries++) {
            try {
                listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
                return;
            } catch (BindException e) {
                if (tries == 20) {
                    throw e;
                }
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    int port() {
        return listening.getLocalPort();
    }

    private void accept() throws Exception {
        while (true) {
            Socket socket = listening.accept();
            Link link;
            synchronized (this) {
                link = new Link(++connections, socket);
                links.add(link);
                record.line(name + ": connection " + link.number + " is open");
                owedReleases.forEach(link::send);
                owedReleases.clear();
            }
            Threads.start(link::read);
        }
    }

    private void sendNotes() throws Exception {
        while (!listening.isClosed()) {
            Thread.sleep(NOTE_MS);
            synchronized (this) {
                for (Map.Entry<Long, Link> entry : standing.entrySet()) {
                    Link link = linkFor(entry.getValue());
                    if (link != null) {
                        link.send(new Wire(Wire.NOTE, entry.getKey())
                                .with(Wire.NOTE_KIND, "nic")
                                .with(Wire.VALUE, "0.2"));
                        break;
                    }
                }
            }
        }
    }

    private Link linkFor(Link own) {
        return !own.closed ? own : links.stream().filter(link -> !link.closed).findFirst().orElse(null);
    }

    void handle(Link link, Wire message) {
        synchronized (this) {
            record.line(name + ": gets on connection " + link.number + ": " + message
                    + (message.type == Wire.SET_UP ? " title " + message.text(Wire.TITLE) : ""));
            switch (message.type) {
                case Wire.SET_UP -> {
                    setUps.add(message);
                    onSetUp(link, message);
                }
                case Wire.RELEASE -> {
                    standing.remove(message.id);
                    link.send(new Wire(Wire.HEARD, message.id));
                }
                default -> {}
            }
        }
    }

    /** Answers a set-up. */
    void onSetUp(Link link, Wire setUp) {
        answer(link, setUp.id);
    }

    final void answer(Link link, long id) {
        standing.put(id, link);
        link.send(new Wire(Wire.ANSWER, id).with(Wire.DESCRIPTION, "made by " + name + " for " + Wire.hex(id)));
    }

    /** Ends a session that stands: its release is sent now, and also on the next connection that is opened. */
    final synchronized void end(long id) {
        Link own = standing.remove(id);
        record.line(name + ": session " + Wire.hex(id) + " has come to its end");
        Wire release = Wire.release(id, 16);
        Link link = linkFor(own);
        if (link != null) {
            link.send(release);
        }
        owedReleases.add(release);
    }

    /** Returns the number of sessions that stand. */
    final synchronized int sessions() {
        return standing.size();
    }

    /** Returns the number of connections on which the sessions that stand were set up. */
    final synchronized int linksOfStanding() {
        return (int) standing.values().stream().distinct().count();
    }

    /** Returns what stands. */
    final synchronized List<Long> standingIds() {
        return List.copyOf(standing.keySet());
    }

    /** The process ends with its machine, without a word: its sessions are cut. */
    final synchronized void falls() throws IOException {
        record.line(name + ": ends with its machine, its sessions are cut");
        standing.clear();
        listening.close();
    }

    /** Returns the session that stands for longest; the notes are on it. */
    final synchronized long firstStanding() {
        return standing.keySet().iterator().next();
    }

    /** Dies as a process does: its connections are reset, its port refuses, its sessions are cut. */
    synchronized void die() throws IOException {
        record.line(name + ": dies");
        diedAtPort = port();
        listening.close();
        for (Link link : List.copyOf(links)) {
            link.reset();
        }
        standing.clear();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
