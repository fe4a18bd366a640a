/** Owns the link to the event bus and the reading of its events. It must not know viewers, sessions or the controller's host. */
package calicovale.manager.bus;
