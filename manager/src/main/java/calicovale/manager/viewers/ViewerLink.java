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

/** Owns one connection of a viewers' front and the set-ups that wait for an answer on it. */
final class ViewerLink implements Connection.Handler, Session.Origin {
    final Connection connection;
    final double openedAtMs;
    /** Sessions of this connection that are owed an answer. */
    final Set<Session> owed = new LinkedHashSet<>();
    /** Whether anything of use has come: a test or a set-up that could be read. */
    boolean useful;
    /** Messages of use, and faults of the protocol. */
    int good;

    int faults;
    /** Sessions that stood by this connection. */
    int carried;

    double usedAtMs;
    double partialSinceMs;
    private final ViewerDesk desk;
    private final SignalParser parser = new SignalParser();

    ViewerLink(ViewerDesk desk, Connection connection, double nowMs) {
        this.desk = desk;
        this.connection = connection;
        openedAtMs = nowMs;
        usedAtMs = nowMs;
    }

    /** 0: it never said anything of use; 1: it asked; 2: what it asked for came to play. */
    int worth() {
        return carried > 0 ? 2 : useful ? 1 : 0;
    }

    void send(Message message) {
        connection.write(message.encode());
    }

    @Override
    public void onBytes(Connection c, ByteBuffer bytes) {
        usedAtMs = desk.nowMs();
        try {
            parser.feed(bytes, message -> {
                desk.take(this, message);
                return !c.isClosed();
            });
        } catch (MessageFramingException e) {
            desk.unreadable(this, e.getMessage());
        }
        if (!parser.hasPartialMessage()) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0) {
            partialSinceMs = usedAtMs;
        }
    }

    @Override
    public void onClosed(Connection c, IOException cause) {
        desk.closed(this);
    }
}
