/** Links to video servers, attempts, and detection of dead servers. Must not depend on the viewers package. */
package calicovale.manager.servers;
