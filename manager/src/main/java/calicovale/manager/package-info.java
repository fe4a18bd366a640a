/**
 * The live session manager: one process with one event loop and one controller. Connections of viewers, links to
 * video servers and the event bus each have a package; this one connects them to the controller. Decisions on
 * placement and quality are the controller's alone.
 */
package calicovale.manager;
