/** Client of the event bus and parser of its events. Must not depend on viewers, sessions or the controller's host. */
package calicovale.manager.bus;
