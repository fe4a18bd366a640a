/**
 * Owns the live session manager: one process, one event loop, one controller. Connections of viewers, links to video servers and
 * the event bus each have a package; this one ties them to the controller. It decides nothing on placement and quality.
 */
package calicovale.manager;
