/**
 * Writing of the durable session ledger: what a session may be given is on disk before it is given to the player.
 * This package must not depend on players, the text of playlists, or boxes.
 */
package calicovale.front.ledger;
