/**
 * Builds sessions' media playlists: which segments they list, at which rung and from which box. Does no I/O.
 */
package calicovale.front.playlist;
