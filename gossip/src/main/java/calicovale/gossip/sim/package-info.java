/**
 * Simulator of a group: many members run the membership protocol in virtual time, over a network with losses, delays
 * and partitions. The same seed gives the same run.
 */
package calicovale.gossip.sim;
