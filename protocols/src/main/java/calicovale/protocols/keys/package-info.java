/**
 * Generates and converts Ed25519 keys, signs and verifies (RFC 8032). What is signed, and who may sign it, is decided
 * by the callers.
 */
package calicovale.protocols.keys;
