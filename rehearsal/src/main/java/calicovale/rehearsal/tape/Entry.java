package calicovale.rehearsal.tape;

/**
 * One event on a socket, or a mark set by the script of the day. Recordings hold one JSON object a line with the
 * component names as keys.
 *
 * @param atMs time of the event in ms, on the clock shared by all processes of the rehearsal
 * @param end the process at whose end of the connection the event was recorded: {@code viewers}, {@code manager:N},
 *        {@code box:N}, {@code directory}; {@code script} for marks
 * @param peer the remote end, by the name that the recording end gave the connection; for marks, the process or fault
 *        that the mark is about
 * @param conn number of the connection at this end, unique within the process; 0 for marks
 * @param exchange number of the request-response exchange on the connection, from 0; -1 for a response that belongs to
 *        no request
 * @param kind the kind of event
 * @param method method of the request; the type of a server-sent event; the kind of a mark; otherwise null
 * @param target target of the request, repeated in the entries of its response; otherwise null
 * @param status status of the response, otherwise 0
 * @param body body of a request, event or playlist, null where it was not kept; for {@code HEAD}, the value of the
 *        {@code Calicovale-Session} header; for {@code MALFORMED}, the reason; for a mark, its detail
 * @param bytes length of the body: bytes, or characters for a server-sent event
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

    /** Kind of an entry. */
    public enum Kind {
        /** The connection was established. */
        OPENED,
        /** A request is complete. */
        REQUEST,
        /** The head of a response is complete. */
        HEAD,
        /** A response is complete. */
        RESPONSE,
        /** One server-sent event. */
        EVENT,
        /** The peer closed its sending direction. */
        ENDED,
        /** The connection was closed at this end. */
        CLOSED,
        /** Bytes that are not valid HTTP, or a response without a request. */
        MALFORMED,
        /** A mark of the script, for example the start of a fault. */
        MARK
    }
}
