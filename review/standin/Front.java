package standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The viewers' front: sends set-ups on one connection, a new one when that is closed, and keeps what stands. */
final class Front {
    /** Bound in ms from a session's end at its server to its release, with the 50 ms of the protocol page. */
    static final double RELEASE_BOUND_MS = 8050;

    private final World world;
    private final Random random;
    private Loop.Conn conn;
    /** Set-ups without an answer. */
    private final Map<Long, Double> asked = new HashMap<>();
    /** Sessions that stand for the client. */
    private final Map<Long, Double> standing = new HashMap<>();
    /** Sessions that are over at their server and stand for the client, with the time of their end. */
    private final Map<Long, Double> over = new HashMap<>();
    /** Sessions that are over without any release within the bound. */
    final List<String> left = new ArrayList<>();

    long sent;
    long answered;
    long turnedAway;
    long released;
    /** Set-ups whose connection ended before an answer. */
    long cut;

    Front(World world, long seed) {
        this.world = world;
        random = new Random(seed);
        world.loop.after(100, this::check);
    }

    /** Sends a set-up for a title that {@code copies} cells from {@code home} on hold. */
    void ask(String sessionClass, int home, int copies, int top, int waitMs) {
        if (conn == null || conn.closed) {
            connect();
        }
        long id = random.nextLong();
        asked.put(id, world.nowMs());
        sent++;
        Wire.Message message = setUp(id, sessionClass, home, copies, top, waitMs);
        world.record("front: sends " + message + " " + sessionClass + " " + message.text(Wire.EXTRAS) + ", waits " + waitMs + " ms");
        conn.send(message);
    }

    Wire.Message setUp(long id, String sessionClass, int home, int copies, int top, int waitMs) {
        return new Wire.Message(Wire.SET_UP, id)
                .with(Wire.CLASS, sessionClass)
                .with(Wire.WAIT, String.valueOf(waitMs))
                .with(Wire.TITLE, Wire.id(home))
                .with(
                        Wire.EXTRAS,
                        "home:" + home + ";copies:" + copies + ";top:" + top + ";viewer:" + Wire.id(random.nextLong()))
                .with(Wire.DESCRIPTION, "wanted");
    }

    private void connect() {
        world.record("front: connects");
        Loop.Conn opened = world.loop.connect(world.listen);
        conn = opened;
        opened.onMessage = this::handle;
        opened.onClosed = () -> {
            world.record("front: a connection has ended with " + asked.size() + " set-ups open");
            cut += asked.size();
            asked.clear();
        };
    }

    /** The network resets the connection. */
    void resetConnection() {
        conn.reset();
    }

    private void handle(Wire.Message message) {
        long id = message.session;
        if (message.type == Wire.ANSWER && asked.remove(id) != null) {
            answered++;
            standing.put(id, world.nowMs());
            world.record("front: " + message);
        } else if (message.type == Wire.RELEASE && asked.remove(id) != null) {
            turnedAway++;
            world.record("front: " + message);
        } else if (message.type == Wire.RELEASE && standing.remove(id) != null) {
            released++;
            Double endMs = over.remove(id);
            world.record("front: " + message
                    + (endMs == null
                            ? ""
                            : String.format(", %.0f ms after its end at the server", world.nowMs() - endMs)));
        } else {
            world.record("front: unexpected " + message);
        }
    }

    /** Notes that a session has ended at its server. */
    void overAtServer(VideoServer server, long id) {
        world.record(server.name + ": session " + Wire.id(id) + " is over");
        if (standing.containsKey(id)) {
            over.put(id, world.nowMs());
        }
    }

    private void check() {
        world.loop.after(100, this::check);
        for (var sessions = over.entrySet().iterator(); sessions.hasNext(); ) {
            var session = sessions.next();
            if (world.nowMs() - session.getValue() > RELEASE_BOUND_MS) {
                sessions.remove();
                left.add(Wire.id(session.getKey()));
                world.record("front: session " + Wire.id(session.getKey()) + " is over since "
                        + (long) (world.nowMs() - session.getValue()) + " ms and was not released");
            }
        }
    }

    /** Whether every session that is over has been released or counts as left. */
    boolean settled() {
        return over.isEmpty();
    }

    String counts() {
        return "sent " + sent + ", answered " + answered + ", turned away " + turnedAway + ", cut " + cut + ", released "
                + released + ", standing " + standing.size() + ", left standing after their end " + left.size();
    }
}
