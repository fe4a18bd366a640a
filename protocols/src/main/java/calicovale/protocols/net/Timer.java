package calicovale.protocols.net;

/** A task that an event loop runs once after a delay. */
public interface Timer {

    /** Cancels the task; does nothing if it has already run. Must be called on the loop's thread. */
    void cancel();
}
