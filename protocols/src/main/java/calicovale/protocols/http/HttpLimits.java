package calicovale.protocols.http;

/**
 * The bounds of HTTP messages and connections.
 *
 * @param lineBytes longest start line
 * @param headerCount most header fields of a message
 * @param headerBytes most bytes of all header fields of a message
 * @param bodyBytes most bytes of a body that is kept whole
 * @param pipelinedBytes bytes of later requests that are kept while one is answered
 * @param headMs time for a message's head once its first byte came (408 after it)
 * @param bodyMs time for a body (408 after it)
 * @param idleMs time without a request after which a connection is closed
 * @param connections most connections of a server; further ones get 503 and are closed
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

    /** Bounds that suit playlists and small JSON bodies. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(8192, 64, 16_384, 1 << 20, 65_536, 5000, 10_000, 60_000, 60_000);
}
