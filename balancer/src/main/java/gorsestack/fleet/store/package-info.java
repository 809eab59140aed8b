/** Durable storage of a member's Raft log. */
package gorsestack.fleet.store;
