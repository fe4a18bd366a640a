/** Owns the table of sessions and the states they go through. It has no input and output and takes no time of its own. */
package calicovale.manager.sessions;
