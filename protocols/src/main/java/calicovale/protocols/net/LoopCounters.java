package calicovale.protocols.net;

/**
 * Counters of one event loop since its start. Only the loop's thread writes them, other than
 * {@link #mailboxOverflows}; other threads may read stale values.
 */
public final class LoopCounters {
    /** Connections accepted. */
    public long accepted;
    /** Outgoing connections requested. */
    public long connects;
    /** Outgoing connections that failed before the connect call returned, such as for lack of file descriptors. */
    public long connectErrors;
    /** Read calls that returned data. */
    public long reads;
    /** Bytes read. */
    public long bytesRead;
    /** Bytes written. */
    public long bytesWritten;
    /** Connections reset because the bytes waiting for a slow peer exceeded {@link LoopLimits#pendingBytes()}. */
    public long pendingOverflows;
    /** Datagrams received. */
    public long datagramsReceived;
    /** Datagrams sent. */
    public long datagramsSent;
    /** Datagrams dropped because the socket's send buffer was full. */
    public long datagramsDropped;
    /** Failed send and receive calls on datagram sockets. */
    public long datagramErrors;
    /** Failed accept calls, such as for lack of file descriptors. */
    public long acceptErrors;
    /** Failed close calls. */
    public long closeErrors;
    /**
     * Exceptions thrown by handlers, messages, timers and deferred tasks; the connection concerned was closed, or the
     * task was dropped.
     */
    public long handlerErrors;
    /** Timers whose task ran. */
    public long timersFired;
    /** Messages refused because the mailbox was full; also written by other threads. */
    public volatile long mailboxOverflows;
}
