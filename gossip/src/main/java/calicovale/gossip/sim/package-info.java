/**
 * Owns the simulator of a group: many members over the pure classes in virtual time, with a network that loses, delays and
 * cuts. The same seed gives the same run.
 */
package calicovale.gossip.sim;
