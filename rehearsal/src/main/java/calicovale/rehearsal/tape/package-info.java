/**
 * Recording of the traffic on the sockets of a rehearsal. Whether the traffic keeps the rules is checked in the package
 * {@code judge}, not here.
 */
package calicovale.rehearsal.tape;
