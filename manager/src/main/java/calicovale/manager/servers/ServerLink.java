package calicovale.manager.servers;

import calicovale.protocols.net.ConnectFailedException;
import calicovale.protocols.net.Connection;
import calicovale.protocols.net.Timer;
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

/** One connection to a video server, with the attempts in progress on it. */
final class ServerLink implements Connection.Handler {
    final VideoServer server;
    /** Number of the link among those to its server, from 1. */
    final int number;

    final Map<Long, Attempt> attempts = new LinkedHashMap<>();
    Connection connection;
    /** Whether the connection is open and the queued messages have been written. */
    boolean open;
    /**
     * Whether the link must not be used any more, because a malformed message was received on it or it leads to a
     * previous process.
     */
    boolean unusable;
    /**
     * Whether the manager has ended its side. What the server sent before it noticed is still read; the link no longer
     * belongs to those of its server.
     */
    boolean closing;
    /** Closes the connection if the server does not; null: the link is not closing. */
    Timer closeTimer;
    /** Whether it was closed to make room for a link to another server. */
    boolean evicted;

    /** Whether it was closed because nothing came on it while an attempt waited for its answer. */
    boolean silent;
    /**
     * Whether everything that the server has sent on the link was read, because the server itself ended its side. After
     * any other end a message may be lost.
     */
    boolean inputComplete;

    /** Clock time, in ms, when the link began to be opened. */
    final double openedAtMs;
    /** Clock time, in ms, when the link was open; 0: it has not been yet. */
    double establishedAtMs;
    /** Clock time, in ms, of the last message sent or received. */
    double lastUsedAtMs;
    /** Clock time, in ms, when something was last received. */
    double lastReceivedAtMs;
    /** Clock time, in ms, when an incomplete message began; 0: there is none. */
    double partialSinceMs;

    private final ServerPool pool;
    private final SignalParser parser = new SignalParser();
    private final List<Message> queued = new ArrayList<>();
    private boolean everOpen;
    private boolean failed;

    ServerLink(ServerPool pool, VideoServer server, double nowMs) {
        this.pool = pool;
        this.server = server;
        number = ++server.linksCreated;
        openedAtMs = nowMs;
        lastUsedAtMs = nowMs;
        lastReceivedAtMs = nowMs;
    }

    /** Sends a message, at once or when the link opens. */
    void send(Message message) {
        lastUsedAtMs = pool.nowMs();
        if (open) {
            write(message);
        } else {
            queued.add(message);
        }
    }

    private void write(Message message) {
        if (message.type() == MessageType.REL) {
            pool.releaseWritten(this, message);
        }
        connection.write(message.encode());
    }

    /** Drops the queued messages of a session. Returns whether the link has never been open, so that none was sent. */
    boolean discardUnsent(long sessionId) {
        queued.removeIf(m -> m.sessionId() == sessionId);
        return !everOpen;
    }

    /** Returns whether messages wait for the link to open. */
    boolean hasQueued() {
        return !queued.isEmpty();
    }

    @Override
    public void onOpen(Connection opened) {
        // the queued messages are sent with the decisions of this turn, because a viewer's close may be unread on
        // another connection
        pool.deferDecision(() -> markOpen(opened));
    }

    private void markOpen(Connection openedConnection) {
        if (openedConnection.isClosed()) {
            return;
        }
        open = true;
        everOpen = true;
        establishedAtMs = pool.nowMs();
        lastReceivedAtMs = establishedAtMs;
        List<Message> messages = List.copyOf(queued);
        queued.clear();
        messages.forEach(this::write);
        if (!openedConnection.isClosed()) {
            pool.linkOpened(this);
        }
    }

    @Override
    public void onBytes(Connection source, ByteBuffer bytes) {
        lastReceivedAtMs = pool.nowMs();
        lastUsedAtMs = lastReceivedAtMs;
        server.recordReceived(lastReceivedAtMs);
        try {
            parser.feed(bytes, message -> {
                partialSinceMs = 0;
                pool.deferMessage(message, () -> handle(message));
                return true;
            });
        } catch (MessageFramingException e) {
            unusable = true;
            pool.deferDecision(() -> fail(e.getMessage()));
        }
        if (!parser.hasPartialMessage()) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0) {
            partialSinceMs = lastReceivedAtMs;
        }
    }

    private void handle(Message message) {
        String fault = failed ? null : pool.handle(this, message);
        if (fault != null) {
            fail(fault);
        } else if (!failed) {
            server.reconnectAttempts = 0;
        }
    }

    /** Marks the link as failed and resets it, once. What was received after the fault is ignored. */
    void fail(String reason) {
        if (!failed) {
            failed = true;
            unusable = true;
            inputComplete = false;
            pool.linkFailed(this, reason);
        }
    }

    @Override
    public void onEnd(Connection ended) {
        inputComplete = !parser.hasPartialMessage() && !unusable;
        ended.close();
    }

    /**
     * Removes the link at once and ends its attempts with the decisions of this turn, because this may be called
     * from within a write and messages that came before the close are handled first.
     */
    @Override
    public void onClosed(Connection closed, IOException cause) {
        open = false;
        List<Message> releases =
                queued.stream().filter(m -> m.type() == MessageType.REL).toList();
        queued.clear();
        pool.linkRemoved(this);
        pool.deferDecision(() -> pool.linkClosed(
                this,
                everOpen,
                cause instanceof ConnectFailedException connectFailure ? connectFailure : null,
                releases));
    }
}
