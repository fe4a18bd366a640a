package calicovale.protocols.http;

/** Counters of one server or client since its start. Only its loop's thread writes them. */
public final class HttpCounters {
    /** Requests that a server received whole, or calls of a client, including those that failed before being sent. */
    public long requests;
    /** Responses written whole by a server, or received whole by a client. */
    public long responses;
    /** Messages refused because they were malformed or exceeded a limit. */
    public long messagesRefused;
    /** Requests whose client closed the connection before the response was complete. */
    public long abandonedRequests;
    /** Connections refused because the limit on connections was reached. */
    public long connectionsRefused;
    /** Connections closed because they were idle or too slow. */
    public long connectionsTimedOut;
    /** CORS preflight requests answered. */
    public long preflights;
    /** Exchanges whose handler threw an exception; answered with 500 if no response had begun. */
    public long handlerErrors;
    /** Calls refused because the limit on connections to their origin was reached. */
    public long poolOverflows;
}
