/**
 * Owns the hosting of the controller: events in, actions out, one at a time, and the reading of a platform's settings. It knows
 * the controller alone: no sockets, no files, no form of text.
 */
package calicovale.host;
