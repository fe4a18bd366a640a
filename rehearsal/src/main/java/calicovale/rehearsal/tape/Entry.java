package calicovale.rehearsal.tape;

/**
 * One thing that crossed a socket, or a mark of the script.
 *
 * @param atMs when, by the one clock of the rehearsal
 * @param end whose end of the connection: {@code viewers}, {@code manager:N}, {@code box:N}, {@code directory}, or
 *        {@code script}
 * @param peer what the connection is to, as that end named it; for marks, what is concerned
 * @param conn number of the connection at this end
 * @param exchange number of the exchange on the connection, from 0
 * @param kind what it is
 * @param method of a request, else null; the type of an event; the kind of a mark
 * @param target of a request; repeated in what answers it
 * @param status of a response, else 0
 * @param body of requests, events and playlists, null where it was not kept; of a head: the session that it names
 * @param bytes length of the body
 */
public record Entry(
        double atMs,
        String end,
        String peer,
        long conn,
        int exchange,
        Kind kind,
        String method,
        String target,
        int status,
        String body,
        long bytes) {

    /** What an entry is. */
    public enum Kind {
        /** A connection stands. */
        OPENED,
        /** A request is whole. */
        REQUEST,
        /** A response's head is whole. */
        HEAD,
        /** A response is whole. */
        RESPONSE,
        /** One server-sent event. */
        EVENT,
        /** The peer's sending side ended. */
        ENDED,
        /** Closed at this end. */
        CLOSED,
        /** Bytes that are no HTTP, or a response without a request. */
        MALFORMED,
        /** The script did something. */
        MARK
    }
}
