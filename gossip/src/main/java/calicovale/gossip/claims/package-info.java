/**
 * Claims of members about boxes: statements, their dissemination, and their evaluation by a quorum. The package has no
 * I/O, clock or random source of its own, and must not depend on sessions or the controller.
 */
package calicovale.gossip.claims;
