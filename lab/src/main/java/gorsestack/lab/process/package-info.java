/** The balancer processes of a run: their configuration and state folders, how they are started, signalled and ended. */
package gorsestack.lab.process;
