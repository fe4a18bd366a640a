/**
 * Messages on the wire: their CBOR form (RFC 8949), the signed envelope around it, the keys that may sign, and the
 * checks made before a message is parsed. The package has no I/O and no clock of its own.
 */
package calicovale.gossip.wire;
