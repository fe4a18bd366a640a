/**
 * Owns who is in the group, after SWIM (Das, Gupta, Motivala 2002) with the corrections of Lifeguard (Dadgar, Phillips, Currey
 * 2018). It has no I/O, no clock and no random source of its own, and must not know boxes or sessions.
 */
package calicovale.gossip.member;
