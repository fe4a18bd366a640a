package calicovale.protocols.net;

/** What one loop has counted since its start; written by its thread only, read by others as an estimate. */
public final class LoopCounters {
    /** Connections accepted. */
    public long accepted;
    /** Connections asked for. */
    public long connects;
    /** Connections that could not be tried, such as for lack of descriptors. */
    public long connectErrors;
    /** Reads that brought something. */
    public long reads;
    /** Bytes read. */
    public long bytesRead;
    /** Bytes written. */
    public long bytesWritten;
    /** Connections reset because too much waited for a slow peer. */
    public long pendingOverflows;
    /** Datagrams received. */
    public long datagramsReceived;
    /** Datagrams sent. */
    public long datagramsSent;
    /** Datagrams that the system had no room for. */
    public long datagramsDropped;
    /** Failures of a datagram call. */
    public long datagramErrors;
    /** Failures of an accept call, such as a lack of descriptors. */
    public long acceptErrors;
    /** Failures of a close call. */
    public long closeErrors;
    /** Failures in an owner's code; the connection or timer concerned was dropped. */
    public long handlerErrors;
    /** Timers that fired. */
    public long timersFired;
    /** Messages from other threads that were refused, since the mailbox was full. */
    public volatile long mailboxOverflows;
}
