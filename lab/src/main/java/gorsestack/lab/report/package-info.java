/**
 * Stores the results of runs, and draws reports, charts and comparisons from them.
 */
package gorsestack.lab.report;
