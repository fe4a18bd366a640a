/** Owns the connections of viewers' fronts: who may connect and stay, what a set-up says, and the one answer. */
package calicovale.manager.viewers;
