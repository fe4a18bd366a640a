package calicovale.manager.viewers;

import calicovale.manager.sessions.Session;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageFramingException;
import calicovale.protocols.signal.SignalParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.Set;

/** One connection of a viewers' front, with the set-ups that wait for an answer on it. */
final class ViewerLink implements Connection.Handler, Session.Requester {
    final Connection connection;
    final double openedAtMs;
    /** Sessions of this connection whose set-ups are not answered yet. */
    final Set<Session> awaitingAnswer = new LinkedHashSet<>();
    /** Whether a valid message has come: a test or a set-up. */
    boolean hasSentValidMessage;
    /** Number of valid messages, and of protocol faults. */
    int validMessages;

    int protocolFaults;
    /** Number of sessions of this connection that came to play; it never decreases. */
    int sessionsPlayed;

    /** Clock times, in ms; {@code partialSinceMs} is when an incomplete message began, 0: there is none. */
    double lastUsedAtMs;

    double partialSinceMs;

    private final ViewerGateway gateway;
    private final SignalParser parser = new SignalParser();

    ViewerLink(ViewerGateway gateway, Connection connection, double nowMs) {
        this.gateway = gateway;
        this.connection = connection;
        openedAtMs = nowMs;
        lastUsedAtMs = nowMs;
    }

    /** Returns 0 without valid messages, 1 with valid messages only, 2 with sessions that came to play. */
    int retentionRank() {
        return sessionsPlayed > 0 ? 2 : hasSentValidMessage ? 1 : 0;
    }

    void send(Message message) {
        connection.write(message.encode());
    }

    @Override
    public void onBytes(Connection source, ByteBuffer bytes) {
        lastUsedAtMs = gateway.nowMs();
        try {
            parser.feed(bytes, message -> {
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
    public void onClosed(Connection closed, IOException cause) {
        gateway.linkClosed(this);
    }
}
