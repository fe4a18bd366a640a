/**
 * The common time that managers share. This package does no I/O.
 */
package calicovale.front.time;
