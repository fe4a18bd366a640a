package calicovale.manager.servers;

import calicovale.protocols.net.ConnectFailedException;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageFramingException;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.SignalParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Owns one connection to a video server and the attempts that are out on it. */
final class ServerLink implements Connection.Handler {
    final VideoServer server;
    final Map<Long, Attempt> attempts = new LinkedHashMap<>();
    Connection connection;
    /** Whether it stands and what waited for that has been written. */
    boolean open;
    /** Whether nothing more is to be sent or heard on it: what it brought cannot be read, or it goes to an old process. */
    boolean useless;

    final double openedAtMs;
    double usedAtMs;
    double heardAtMs;
    /** When the message that has not ended yet began; 0: none. */
    double partialSinceMs;

    private final ServerPool pool;
    private final SignalParser parser = new SignalParser();
    private final List<Message> waiting = new ArrayList<>();
    private boolean stood;
    private boolean ignored;

    ServerLink(ServerPool pool, VideoServer server, double nowMs) {
        this.pool = pool;
        this.server = server;
        openedAtMs = nowMs;
        usedAtMs = nowMs;
        heardAtMs = nowMs;
    }

    /** Sends a message, now or once the link stands. */
    void send(Message message) {
        usedAtMs = pool.nowMs();
        if (open) {
            connection.write(message.encode());
        } else {
            waiting.add(message);
        }
    }

    /** Takes a set-up back that was not written yet; false if it was. */
    boolean unsend(long session) {
        waiting.removeIf(m -> m.sessionId() == session);
        return !stood;
    }

    /** Messages that wait for the link to stand. */
    boolean waits() {
        return !waiting.isEmpty();
    }

    @Override
    public void onOpen(Connection c) {
        // what waits goes out with the decisions: a viewer's close may lie unread on another connection
        pool.decide(() -> stands(c));
    }

    private void stands(Connection c) {
        if (c.isClosed()) {
            return;
        }
        open = true;
        stood = true;
        heardAtMs = pool.nowMs();
        List<Message> all = List.copyOf(waiting);
        waiting.clear();
        for (Message message : all) {
            c.write(message.encode());
        }
        if (!c.isClosed()) {
            pool.opened(this);
        }
    }

    @Override
    public void onBytes(Connection c, ByteBuffer bytes) {
        heardAtMs = pool.nowMs();
        usedAtMs = heardAtMs;
        server.heardAtMs = heardAtMs;
        server.tries = 0;
        try {
            parser.feed(bytes, message -> {
                pool.decide(() -> take(message));
                return true;
            });
        } catch (MessageFramingException e) {
            useless = true;
            pool.decide(() -> spoilt(e.getMessage()));
        }
        if (!parser.hasPartialMessage()) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0) {
            partialSinceMs = heardAtMs;
        }
    }

    private void take(Message message) {
        String fault = ignored ? null : pool.take(this, message);
        if (fault != null) {
            spoilt(fault);
        }
    }

    /** Nothing more on it is of use, whatever it brought behind. */
    void spoilt(String why) {
        if (!ignored) {
            ignored = true;
            useless = true;
            pool.spoilt(this, why);
        }
    }

    /**
     * It is carried no more from here on; what that means for its attempts follows with the decisions: this may be called from
     * within a write, and what came before the close is heard first.
     */
    @Override
    public void onClosed(Connection c, IOException cause) {
        open = false;
        List<Message> releases =
                waiting.stream().filter(m -> m.type() == MessageType.REL).toList();
        waiting.clear();
        pool.dropped(this);
        pool.decide(() ->
                pool.closed(this, stood, cause instanceof ConnectFailedException failed ? failed : null, releases));
    }
}
