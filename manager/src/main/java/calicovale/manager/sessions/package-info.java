/** The table of sessions and their states. It does no input or output and reads no clock. */
package calicovale.manager.sessions;
