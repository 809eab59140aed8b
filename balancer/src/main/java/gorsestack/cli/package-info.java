/** Prints the reports of commands: the status of a running balancer and the content of a persisted state file. */
package gorsestack.cli;
