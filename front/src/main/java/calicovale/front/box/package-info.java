/**
 * The client of media boxes: set-ups, messages on sessions, and the boxes' event streams. This package must not
 * choose a box.
 */
package calicovale.front.box;
