package calicovale.protocols.http;

import calicovale.protocols.net.Connection;
import java.nio.ByteBuffer;

/** Owns the body of an answer that is written part by part. */
public final class BodyStream {
    private final HttpServer.Peer peer;
    private final Exchange exchange;
    private final boolean chunked;
    private boolean ended;
    private Runnable onDrained;

    BodyStream(HttpServer.Peer peer, Exchange exchange, boolean chunked) {
        this.peer = peer;
        this.exchange = exchange;
        this.chunked = chunked;
    }

    /** Writes a part; false if the peer has left or its bound on waiting bytes was hit. */
    public boolean write(byte[] part) {
        if (ended || exchange.gone()) {
            return false;
        }
        return part.length == 0 || peer.connection().write(chunked ? HttpWriter.chunk(part) : ByteBuffer.wrap(part));
    }

    /** Ends the body; the connection may then carry another exchange. */
    public void end() {
        if (ended || exchange.gone()) {
            return;
        }
        ended = true;
        if (chunked) {
            peer.connection().write(HttpWriter.lastChunk());
        }
        peer.streamEnded();
    }

    /** Bytes that wait for the peer. */
    public int pendingBytes() {
        return peer.connection().pendingBytes();
    }

    /** Calls {@code body} each time all that waited has been written. */
    public void onDrained(Runnable body) {
        onDrained = body;
    }

    void drained() {
        if (onDrained != null) {
            onDrained.run();
        }
    }

    /** The connection. */
    public Connection connection() {
        return peer.connection();
    }
}
