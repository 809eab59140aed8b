/** Adapts the simulator's wire format, one batch of JSON per line, to the policies of the balancers that are simulated. */
package gorsestack.simulator;
