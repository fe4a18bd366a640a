package calicovale.manager.servers;

import calicovale.protocols.net.ConnectFailedException;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.SignalException;
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
    boolean open;
    double usedAtMs;
    double heardAtMs;
    /** When the message that has not ended yet began; 0: none. */
    double partialSinceMs;
    private final ServerPool pool;
    private final SignalParser parser = new SignalParser();
    private final List<Message> waiting = new ArrayList<>();

    ServerLink(ServerPool pool, VideoServer server, double nowMs) {
        this.pool = pool;
        this.server = server;
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
        return !open && waiting.removeIf(m -> m.session() == session);
    }

    @Override
    public void onOpen(Connection c) {
        open = true;
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
        try {
            parser.feed(bytes, message -> {
                String fault = pool.take(this, message);
                if (fault != null) {
                    pool.spoilt(this, fault);
                }
                return !c.isClosed();
            });
        } catch (SignalException e) {
            pool.spoilt(this, e.getMessage());
        }
        if (!parser.midMessage()) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0) {
            partialSinceMs = heardAtMs;
        }
    }

    @Override
    public void onClosed(Connection c, IOException cause) {
        boolean stood = open;
        open = false;
        waiting.clear();
        pool.closed(this, stood, cause instanceof ConnectFailedException failed ? failed : null);
    }
}
