/**
 * The simulated network: the loopback addresses of a run, and the links between parties. The state of a link decides whether its data is
 * delayed, dropped or reset. Real sockets carry the data.
 */
package gorsestack.lab.net;
