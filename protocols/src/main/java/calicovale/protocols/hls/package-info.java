/**
 * Parses and writes HLS playlists (RFC 8216 and its successor draft). Unknown tags and comments are kept in their
 * places. The package does not depend on sessions or on the choice of the segments that a viewer receives.
 */
package calicovale.protocols.hls;
