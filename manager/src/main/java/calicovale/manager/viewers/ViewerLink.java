package calicovale.manager.viewers;

import calicovale.manager.sessions.Session;
import calicovale.protocols.net.ByteBudget;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageFramingException;
import calicovale.protocols.signal.SignalParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One connection of a viewers' front, with the set-ups that wait for an answer on it. */
final class ViewerLink implements Connection.Handler, Session.Requester {
    /** Bytes waiting to be written above which nothing is read from the connection. */
    private static final int MAX_UNWRITTEN_BYTES = 1 << 16;

    final Connection connection;
    final double openedAtMs;
    /** Sessions of this connection whose set-ups are not answered yet, with the bytes reserved for each. */
    private final Map<Session, Integer> awaitingAnswer = new LinkedHashMap<>();
    /** Sessions of this connection whose set-ups are not decided yet, oldest first. */
    final Map<Session, ViewerGateway.Request> undecided = new LinkedHashMap<>();
    /** Sum of the bytes reserved for {@link #awaitingAnswer}. */
    private long reservedBytes;
    /** Whether a valid message has come: a test or a set-up. */
    boolean hasSentValidMessage;
    /** Whether a valid set-up has come. */
    boolean hasSentSetUp;
    /** Number of the latest of the {@link PendingReleases} that was sent on it. */
    long lastPendingRelease;
    /** Whether the viewers' front has ended the connection in order. */
    boolean closedByPeer;
    /** Number of valid messages: tests and set-ups. */
    int validMessages;
    /** Number of rejected messages. */
    int protocolFaults;
    /** Number of answers and hand-overs of playing sessions on this connection; it never decreases. */
    int sessionsPlayed;

    /** Clock time, in ms, of the last received bytes or sent answer. */
    double lastUsedAtMs;
    /** Clock time, in ms, when an incomplete message began; 0: there is none. */
    double partialSinceMs;
    /** Clock time, in ms, when reading was paused because too much waits to be written; 0: it is not paused. */
    double unwrittenSinceMs;

    private final ViewerGateway gateway;
    private final SignalParser parser = new SignalParser();

    ViewerLink(ViewerGateway gateway, Connection connection, double nowMs) {
        this.gateway = gateway;
        this.connection = connection;
        openedAtMs = nowMs;
        lastUsedAtMs = nowMs;
    }

    /** Returns 2 with answers or hand-overs of playing sessions, 1 with other valid messages only, 0 with none. */
    int retentionRank() {
        return sessionsPlayed > 0 ? 2 : hasSentValidMessage ? 1 : 0;
    }

    /** Returns the number of set-ups that are not answered yet. */
    int unansweredSetUps() {
        return awaitingAnswer.size();
    }

    /** Reserves the bytes of a set-up that is to be held; returns false if there is no room for them. */
    boolean reserve(ByteBudget budget, int bytes) {
        boolean reserved = budget.reserve(reservedBytes, bytes);
        reservedBytes += reserved ? bytes : 0;
        return reserved;
    }

    /** Adds a session whose set-up waits for its answer, with the bytes that were reserved for it. */
    void addUnanswered(Session session, int bytes) {
        awaitingAnswer.put(session, bytes);
    }

    /** Removes a session whose set-up needs no answer any more; returns false if it needed none before. */
    boolean removeUnanswered(Session session, ByteBudget budget) {
        undecided.remove(session);
        Integer bytes = awaitingAnswer.remove(session);
        if (bytes == null) {
            return false;
        }
        reservedBytes -= bytes;
        budget.release(bytes);
        return true;
    }

    /** Removes and returns the oldest set-up that is not decided yet, or returns null if there is none. */
    Map.Entry<Session, ViewerGateway.Request> pollUndecided() {
        var oldestFirst = undecided.entrySet().iterator();
        if (!oldestFirst.hasNext()) {
            return null;
        }
        Map.Entry<Session, ViewerGateway.Request> oldest = oldestFirst.next();
        oldestFirst.remove();
        return oldest;
    }

    /** Removes all sessions whose set-ups are not answered yet, and returns them. */
    List<Session> removeAllUnanswered(ByteBudget budget) {
        List<Session> sessions = List.copyOf(awaitingAnswer.keySet());
        sessions.forEach(session -> removeUnanswered(session, budget));
        return sessions;
    }

    /** Sends a message. If the front does not read what it is sent, nothing more is read from it meanwhile. */
    void send(Message message) {
        connection.write(message.encode());
        if (unwrittenSinceMs == 0 && connection.pendingBytes() > MAX_UNWRITTEN_BYTES) {
            unwrittenSinceMs = gateway.nowMs();
            connection.pause();
        }
    }

    @Override
    public void onDrained(Connection drained) {
        if (unwrittenSinceMs > 0) {
            unwrittenSinceMs = 0;
            // the rest of a message could not be read meanwhile
            partialSinceMs = partialSinceMs > 0 ? gateway.nowMs() : 0;
            drained.resume();
        }
    }

    @Override
    public void onBytes(Connection source, ByteBuffer bytes) {
        lastUsedAtMs = gateway.nowMs();
        try {
            parser.feed(bytes, message -> {
                partialSinceMs = 0;
                gateway.handle(this, message);
                return !source.isClosed();
            });
        } catch (MessageFramingException e) {
            gateway.rejectStream(this, e.getMessage());
        }
        if (!parser.hasPartialMessage()) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0) {
            partialSinceMs = lastUsedAtMs;
        }
    }

    @Override
    public void onEnd(Connection ended) {
        closedByPeer = true;
        ended.close();
    }

    @Override
    public void onClosed(Connection closed, IOException cause) {
        gateway.linkClosed(this);
    }
}
