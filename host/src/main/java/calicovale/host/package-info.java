/**
 * Runs the session controller, one event at a time, and reads a platform's settings. The package depends on the
 * controller only; sockets, files and text formats belong to its callers.
 */
package calicovale.host;
