/**
 * HTTP/1.1 server and client (RFC 9110, RFC 9112), problem details (RFC 9457) and server-sent events. This package
 * must not depend on sessions, boxes or players.
 */
package calicovale.protocols.http;
