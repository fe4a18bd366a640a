package standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A sound video server of the protocol page, on one loopback port. */
final class VideoServer {
    /** Time in ms between two notes on the fullness of the link; {@code specifics.tellMs} of the settings. */
    private static final double NOTE_MS = 3250;
    /** Time in ms from a set-up to its answer. */
    private static final double SET_UP_MS = 60;

    /** Receives what the case has to know. */
    interface Listener {
        default void setUp(VideoServer server, Wire.Message message) {}

        default void started(VideoServer server, long session) {}

        /** The session is over at the server; {@code why} is "end" or "lost". */
        default void over(VideoServer server, long session, String why) {}
    }

    final String name;
    final int cell;
    private final World world;
    private final Loop loop;
    private final Listener listener;
    private final Loop.Listener socket;
    /** Open connections, in the order in which they came. */
    private final List<Loop.Conn> open = new ArrayList<>();
    /** Connections of before the machine vanished, of which the present process knows nothing. */
    private final List<Loop.Conn> stale = new ArrayList<>();
    /** Connections with which the machine fills its own queue, so that new ones never come up. */
    private final List<Loop.Conn> fillers = new ArrayList<>();
    /** Releases that go out also on the next connection that is opened. */
    private final List<Wire.Message> forNextConnection = new ArrayList<>();
    /** Standing sessions with the connection of their set-up. */
    private final Map<Long, Loop.Conn> sessions = new HashMap<>();
    private boolean vanished;
    /** Number of starts of the process; what an earlier one had planned is void. */
    private int process;
    /** Whether its link is asked for in full, so that it turns set-ups away. */
    boolean full;
    /** Mean length of a session in ms; 0: sessions play until the case ends them. */
    double sessionMs;
    long accepted;

    VideoServer(World world, String name, int cell, Listener listener) throws IOException {
        this.world = world;
        this.loop = world.loop;
        this.name = name;
        this.cell = cell;
        this.listener = listener;
        socket = loop.listen(64, this::accept);
        note(0);
    }

    String entry(String state, long startedAtMs) {
        return World.entry(name, socket.port(), cell, state, 1.5, startedAtMs);
    }

    List<Long> sessions() {
        return List.copyOf(sessions.keySet());
    }

    private void accept(Loop.Conn conn) {
        if (vanished) {
            // one that had come up before the queue was full; the machine is gone, so it says nothing
            conn.fallSilent();
            stale.add(conn);
            return;
        }
        accepted++;
        open.add(conn);
        conn.onClosed = () -> open.remove(conn);
        conn.onMessage = message -> handle(conn, message);
        List<Wire.Message> waiting = List.copyOf(forNextConnection);
        forNextConnection.clear();
        waiting.forEach(conn::send);
    }

    private void handle(Loop.Conn conn, Wire.Message message) {
        long id = message.session;
        if (message.type == Wire.RELEASE) {
            sessions.remove(id);
            conn.send(new Wire.Message(Wire.RELEASE_HEARD, id));
        } else if (message.type == Wire.SET_UP) {
            listener.setUp(this, message);
            if (full) {
                conn.send(Wire.release(id, 34).with(Wire.LOAD, "util:1.0;x1:0.5"));
                return;
            }
            int startedBy = process;
            loop.after(SET_UP_MS, () -> {
                if (conn.closed || process != startedBy || vanished) {
                    return;
                }
                sessions.put(id, conn);
                conn.send(new Wire.Message(Wire.ANSWER, id).with(Wire.DESCRIPTION, "given by " + name));
                conn.send(new Wire.Message(Wire.NOTE, id).with(Wire.NOTE_KIND, "profile").with(Wire.NOTE_VALUE,
                        message.text(Wire.RUNG_VALUE) == null ? "0" : message.text(Wire.RUNG_VALUE)));
                listener.started(this, id);
                if (sessionMs > 0) {
                    loop.after(sessionMs * (0.7 + 0.6 * ((id >>> 32) % 1000 & 0xffff) / 1000), () -> {
                        if (process == startedBy) {
                            finish(id);
                        }
                    });
                }
            });
        }
    }

    /** Ends a standing session: the release goes out on its connection, else on an open one, and on the next one. */
    void finish(long id) {
        if (!sessions.containsKey(id)) {
            return;
        }
        Loop.Conn conn = sessions.remove(id);
        Wire.Message release = Wire.release(id, 16);
        if (conn.closed) {
            conn = open.isEmpty() ? null : open.get(open.size() - 1);
        }
        if (conn != null) {
            conn.send(release);
        }
        forNextConnection.add(release);
        listener.over(this, id, "end");
    }

    /** Tells how full the link is, on one session that stands here. */
    private void note(int startedBy) {
        if (process != startedBy) {
            return;
        }
        loop.after(NOTE_MS, () -> note(startedBy));
        for (Map.Entry<Long, Loop.Conn> session : sessions.entrySet()) {
            Loop.Conn conn = session.getValue();
            if (conn.closed && !open.isEmpty()) {
                conn = open.get(open.size() - 1);
            }
            if (!conn.closed && !vanished) {
                conn.send(new Wire.Message(Wire.NOTE, session.getKey())
                        .with(Wire.NOTE_KIND, "nic")
                        .with(Wire.NOTE_VALUE, full ? "1.0" : "0.4"));
                lastNoteMs = world.nowMs();
                return;
            }
        }
    }

    /** Time of the last note, in ms since the start of the case. */
    double lastNoteMs;

    /** The machine vanishes: open connections stay open and silent, new ones never come up, its sessions are over. */
    void vanish() throws IOException {
        vanished = true;
        process++;
        socket.accepting(false);
        for (int i = 0; i < 70; i++) {
            fillers.add(loop.connect(new InetSocketAddress(world.listen.getAddress(), socket.port())));
        }
        for (Loop.Conn conn : List.copyOf(open)) {
            conn.fallSilent();
            stale.add(conn);
        }
        open.clear();
        sessions.keySet().forEach(id -> listener.over(this, id, "lost"));
        sessions.clear();
        forNextConnection.clear();
    }

    /** The machine returns with a new process, which resets what it does not know once something comes on it. */
    void returnCold() {
        fillers.forEach(Loop.Conn::close);
        fillers.clear();
        vanished = false;
        for (Loop.Conn conn : stale) {
            conn.answerWithReset();
        }
        socket.accepting(true);
        note(process);
    }
}
