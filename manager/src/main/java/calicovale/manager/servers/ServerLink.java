package calicovale.manager.servers;

import calicovale.protocols.net.ConnectFailedException;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
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
    /** Whether it stands and what waited for that has been written. */
    boolean open;
    /** Whether nothing more is to be sent or heard on it: what it brought cannot be read, or it goes to an old process. */
    boolean unusable;

    final double openedAtMs;
    double lastUsedAtMs;
    double lastReceivedAtMs;
    /** When the message that has not ended yet began; 0: none. */
    double partialSinceMs;

    private final ServerPool pool;
    private final SignalParser parser = new SignalParser();
    private final List<Message> queued = new ArrayList<>();
    private boolean everOpen;
    private boolean failed;

    ServerLink(ServerPool pool, VideoServer server, double nowMs) {
        this.pool = pool;
        this.server = server;
        openedAtMs = nowMs;
        lastUsedAtMs = nowMs;
        lastReceivedAtMs = nowMs;
    }

    /** Sends a message, now or once the link stands. */
    void send(Message message) {
        lastUsedAtMs = pool.nowMs();
        if (open) {
            connection.write(message.encode());
        } else {
            queued.add(message);
        }
    }

    /** Takes a set-up back that was not written yet; false if it was. */
    boolean discardUnsent(long sessionId) {
        queued.removeIf(m -> m.session() == sessionId);
        return !everOpen;
    }

    /** Messages that wait for the link to stand. */
    boolean hasQueued() {
        return !queued.isEmpty();
    }

    @Override
    public void onOpen(Connection opened) {
        // what waits goes out with the decisions: a viewer's close may lie unread on another connection
        pool.deferDecision(() -> opened(opened));
    }

    private void opened(Connection openedConnection) {
        if (openedConnection.isClosed()) {
            return;
        }
        open = true;
        everOpen = true;
        lastReceivedAtMs = pool.nowMs();
        List<Message> messages = List.copyOf(queued);
        queued.clear();
        for (Message message : messages) {
            openedConnection.write(message.encode());
        }
        if (!openedConnection.isClosed()) {
            pool.linkOpened(this);
        }
    }

    @Override
    public void onBytes(Connection source, ByteBuffer bytes) {
        lastReceivedAtMs = pool.nowMs();
        lastUsedAtMs = lastReceivedAtMs;
        server.lastReceivedAtMs = lastReceivedAtMs;
        server.reconnectAttempts = 0;
        try {
            parser.feed(bytes, message -> {
                pool.deferDecision(() -> handle(message));
                return true;
            });
        } catch (SignalException e) {
            unusable = true;
            pool.deferDecision(() -> fail(e.getMessage()));
        }
        if (!parser.midMessage()) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0) {
            partialSinceMs = lastReceivedAtMs;
        }
    }

    private void handle(Message message) {
        String fault = failed ? null : pool.handle(this, message);
        if (fault != null) {
            fail(fault);
        }
    }

    /** Nothing more on it is of use, whatever it brought behind. */
    void fail(String reason) {
        if (!failed) {
            failed = true;
            unusable = true;
            pool.linkFailed(this, reason);
        }
    }

    /**
     * It is carried no more from here on; what that means for its attempts follows with the decisions: this may be called from
     * within a write, and what came before the close is heard first.
     */
    @Override
    public void onClosed(Connection closed, IOException cause) {
        open = false;
        List<Message> releases =
                queued.stream().filter(m -> m.type() == MessageType.REL).toList();
        queued.clear();
        pool.linkRemoved(this);
        pool.deferDecision(() -> pool.linkClosed(
                this, everOpen, cause instanceof ConnectFailedException failed ? failed : null, releases));
    }
}
