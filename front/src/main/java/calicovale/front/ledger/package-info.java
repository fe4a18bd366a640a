/**
 * Owns the writing of the sessions' ledger: what sessions may have been given is on disk before it is. It must not know
 * players, playlists' text or boxes.
 */
package calicovale.front.ledger;
