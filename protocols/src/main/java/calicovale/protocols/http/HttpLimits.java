package calicovale.protocols.http;

/**
 * Limits of HTTP messages and connections.
 *
 * @param lineBytes maximum length in bytes of a start line and of a chunk size line
 * @param headerCount maximum number of header fields of a message
 * @param headerBytes maximum size in bytes of all header fields of a message
 * @param bodyBytes maximum size in bytes of a body that is buffered whole
 * @param pipelinedBytes number of buffered bytes of pipelined requests at which reading of a connection stops until
 *     the current request is answered
 * @param headMs maximum time in ms from the first byte of a request to the end of its head; a server responds with 408
 *     when it is exceeded
 * @param bodyMs maximum time in ms from the first byte of a request to the end of its body; a server responds with 408
 *     when it is exceeded
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
