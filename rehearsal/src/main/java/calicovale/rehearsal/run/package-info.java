/**
 * Execution of a scripted day: its processes, their event loops and the scheduled faults.
 */
package calicovale.rehearsal.run;
