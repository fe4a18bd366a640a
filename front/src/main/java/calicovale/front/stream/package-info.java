/**
 * Long-lived streams of server-sent events that a manager keeps open. This package must not interpret the events.
 */
package calicovale.front.stream;
