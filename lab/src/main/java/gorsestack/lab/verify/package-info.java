/**
 * Stores the records of a run, verifies rules against them, and computes metrics from them.
 */
package gorsestack.lab.verify;
