/**
 * Simulated viewers, which arrive, enforce their deadlines, play, retry and leave. They use the front's protocol only.
 */
package calicovale.rehearsal.viewers;
