/** Owns the links to video servers: attempts, what stands there, and whether a server lives. It must not know viewers. */
package calicovale.manager.servers;
