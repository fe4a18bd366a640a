/**
 * Runs a member of the group within a process: settings, key files and the roster folder, and the sockets on the event
 * loop. The package must not depend on sessions or the controller.
 */
package calicovale.gossip.net;
