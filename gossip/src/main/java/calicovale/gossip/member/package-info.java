/**
 * Group membership after SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey
 * 2018). The package has no I/O, clock or random source of its own, and must not depend on boxes or sessions.
 */
package calicovale.gossip.member;
