/**
 * Creates, starts and shuts down one session manager and its components. It contains no decisions on sessions.
 */
package calicovale.front;
