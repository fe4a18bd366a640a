/**
 * Non-blocking sockets: single-threaded event loops around a selector, with timers and connections that have bounded
 * write buffers. This package must not depend on the protocols spoken on the connections or on the kinds of peers.
 */
package calicovale.protocols.net;
