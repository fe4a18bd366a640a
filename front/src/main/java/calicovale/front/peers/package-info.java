/**
 * Exchange of observations about boxes with other session managers by gossip, if the settings enable it. This package
 * must not depend on players.
 */
package calicovale.front.peers;
