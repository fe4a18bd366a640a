/**
 * Programme changes: their documents, their durable log, the session ledger, and the choice of the change that a
 * session shows at a boundary. This package must not depend on sockets, on the text of playlists or on the session
 * manager.
 */
package calicovale.stitch;
