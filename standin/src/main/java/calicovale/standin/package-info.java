/**
 * Stand-ins for external systems, which are media boxes and the box directory, and the faults that can be injected into
 * them. This package must not depend on the session manager's code; it only implements the same protocol.
 */
package calicovale.standin;
