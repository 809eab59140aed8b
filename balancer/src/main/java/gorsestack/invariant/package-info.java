/**
 * Checks at run time that the program keeps its rules, from what was written to sockets rather than from what was decided. Knows no other
 * package, so that each of them may report here.
 */
package gorsestack.invariant;
