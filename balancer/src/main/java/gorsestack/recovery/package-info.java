/**
 * Recovery after a restart: stores a balancer's state, decides which parts of it are still valid at a start, and restores lost state from
 * peers. This package does not depend on sockets or threads; callers pass the current time.
 */
package gorsestack.recovery;
