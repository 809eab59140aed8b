/**
 * A test lab that starts many balancer processes with stand-ins for their environment, injects faults, and verifies what clients and
 * upstreams observed. {@link gorsestack.lab.Main} is the command line; docs/lab.md describes its use and docs/lab-design.md its structure.
 */
package gorsestack.lab;
