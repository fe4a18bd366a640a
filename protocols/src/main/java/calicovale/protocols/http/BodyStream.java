package calicovale.protocols.http;

import calicovale.protocols.net.Connection;
import java.nio.ByteBuffer;

/** Body of a response that is written in parts. All methods must be called on the loop's thread. */
public final class BodyStream {
    private final HttpServer.ClientConnection client;
    private final Exchange exchange;
    private final boolean chunked;
    private boolean ended;
    private Runnable onDrained;

    BodyStream(HttpServer.ClientConnection client, Exchange exchange, boolean chunked) {
        this.client = client;
        this.exchange = exchange;
        this.chunked = chunked;
    }

    /**
     * Writes a part. Returns false if the body has ended, the client has closed the connection, or the limit on
     * waiting bytes was exceeded.
     */
    public boolean write(byte[] part) {
        if (ended || exchange.clientClosed()) {
            return false;
        }
        return part.length == 0 || client.connection().write(chunked ? HttpWriter.chunk(part) : ByteBuffer.wrap(part));
    }

    /** Ends the body; the connection can then be used for another exchange. */
    public void end() {
        if (ended || exchange.clientClosed()) {
            return;
        }
        ended = true;
        if (chunked) {
            client.connection().write(HttpWriter.lastChunk());
        }
        client.finishStream();
    }

    /** Returns the number of bytes waiting to be written to the client. */
    public int pendingBytes() {
        return client.connection().pendingBytes();
    }

    /** Sets an action that runs each time all queued bytes have been written. */
    public void onDrained(Runnable action) {
        onDrained = action;
    }

    void notifyDrained() {
        if (onDrained != null) {
            onDrained.run();
        }
    }

    /** Returns the connection that carries the body. */
    public Connection connection() {
        return client.connection();
    }
}
