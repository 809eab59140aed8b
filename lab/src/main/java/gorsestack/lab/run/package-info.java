/**
 * Runs a scenario from the start of the processes to the verdict, and injects its faults.
 */
package gorsestack.lab.run;
