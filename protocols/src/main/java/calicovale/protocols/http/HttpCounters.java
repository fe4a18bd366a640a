package calicovale.protocols.http;

/** What one server or client has counted since its start; written by its loop's thread only. */
public final class HttpCounters {
    /** Requests read whole. */
    public long requests;
    /** Responses written or read whole. */
    public long responses;
    /** Messages refused by a parser or a bound. */
    public long refused;
    /** Requests whose peer left before the answer. */
    public long gone;
    /** Connections refused at the bound on connections. */
    public long connectionsRefused;
    /** Connections closed since they were idle or slow. */
    public long timedOut;
    /** Preflights of pages of other origins. */
    public long preflights;
    /** Exchanges whose handler failed: answered with 500 where no answer had begun. */
    public long handlerErrors;
    /** Calls refused at the bound on connections to one origin. */
    public long poolOverflows;
}
