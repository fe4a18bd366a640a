/**
 * Parses and writes the signalling messages between viewers' fronts, session managers and video servers. The format
 * follows the ISDN user part (Q.763), the cause codes follow Q.850. The package uses no sockets; what a message causes
 * is decided by the callers.
 */
package calicovale.protocols.signal;
