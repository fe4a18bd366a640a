/**
 * Creates, starts and shuts down one session manager and its components. This package must not make decisions.
 */
package calicovale.front;
