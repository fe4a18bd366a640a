/**
 * The client of the box directory: the list of boxes, readings of the common clock, and the list saved for a restart.
 */
package calicovale.front.directory;
