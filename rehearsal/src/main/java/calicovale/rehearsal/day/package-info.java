/**
 * Day files: which processes are started, which viewers arrive, and which faults occur when. How a day is carried out
 * is defined in the package {@code run}, not here.
 */
package calicovale.rehearsal.day;
