/** Injection of operating system faults into single processes, by a preloaded library. */
package gorsestack.lab.shim;
