/**
 * Judges a run from its recording of the sockets alone: the six rules, the playlists, the traces of faults and the
 * report. This package must not depend on the programs that ran.
 */
package calicovale.rehearsal.judge;
