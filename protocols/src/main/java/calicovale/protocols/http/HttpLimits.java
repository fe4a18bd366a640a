package calicovale.protocols.http;

/**
 * Limits of HTTP messages and connections.
 *
 * @param lineBytes maximum length in bytes of a start line and of a chunk size line
 * @param headerCount maximum number of header fields of a message
 * @param headerBytes maximum size in bytes of all header fields of a message
 * @param bodyBytes maximum size in bytes of a body that is buffered whole
 * @param pipelinedBytes size in bytes of buffered later requests from which on a connection is not read while a
 *     request is being answered
 * @param headMs time in ms for a request's head, from its first byte; a server then responds with 408
 * @param bodyMs time in ms for a request with a body, from its first byte; a server then responds with 408
 * @param idleMs time in ms without a request after which a connection is closed
 * @param connections maximum number of connections of a server; further ones get 503 and are closed
 */
public record HttpLimits(
        int lineBytes,
        int headerCount,
        int headerBytes,
        int bodyBytes,
        int pipelinedBytes,
        double headMs,
        double bodyMs,
        double idleMs,
        int connections) {

    /** Limits for playlists and small JSON bodies. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(8192, 64, 16_384, 1 << 20, 65_536, 5000, 10_000, 60_000, 60_000);
}
