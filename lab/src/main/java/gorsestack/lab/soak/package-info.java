/** The soak: runs with random, overlapping disturbances, additional checks of the processes, and shrinking of schedules that fail. */
package gorsestack.lab.soak;
