package calicovale.manager.viewers;

import calicovale.manager.sessions.Session;
import calicovale.protocols.net.Connection;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.SignalException;
import calicovale.protocols.signal.SignalParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.Set;

/** Owns one connection of a viewers' front and the set-ups that wait for an answer on it. */
final class ViewerLink implements Connection.Handler, Session.Requester {
    final Connection connection;
    final double openedAtMs;
    /** Sessions of this connection that are owed an answer. */
    final Set<Session> awaitingAnswer = new LinkedHashSet<>();
    /** Whether anything of use has come: a test or a set-up that could be read. */
    boolean hasSentValidMessage;
    /** Messages of use, and faults of the protocol. */
    int validMessages;

    int protocolFaults;
    /** Sessions that stood by this connection. */
    int sessionsPlayed;

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

    /** 0: it never said anything of use; 1: it asked; 2: what it asked for came to play. */
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
        } catch (SignalException e) {
            gateway.rejectStream(this, e.getMessage());
        }
        if (!parser.midMessage()) {
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
