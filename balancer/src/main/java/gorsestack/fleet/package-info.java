/**
 * Leases with fencing tokens, which the members of a fleet agree on through Raft. No class here has a thread, a clock or I/O of its own,
 * and each object is used by one thread. No command of the program uses this package yet.
 */
package gorsestack.fleet;
