/**
 * Owns the signalling messages between viewers' fronts, session managers and video servers: their parser and writer, after the
 * shape of the ISDN user part (Q.763) with causes after Q.850. It holds no policy and knows no sockets.
 */
package calicovale.protocols.signal;
