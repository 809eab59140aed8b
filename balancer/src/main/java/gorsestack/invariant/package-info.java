/**
 * Checks at run time that the program keeps its rules, based on what was written to sockets rather than on what was decided, and counts the
 * violations, closes, rejections and retries for the status document. Depends only on {@code gorsestack.decision}, so that every adapter
 * can report here.
 */
package gorsestack.invariant;
