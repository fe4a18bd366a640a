/**
 * Benchmarks. Where a baseline exists, it is measured in the same run and the result is reported as a ratio to it. No
 * test may pass or fail by these figures.
 */
package calicovale.rehearsal.bench;
