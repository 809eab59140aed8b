package gorsestack.invariant;

/**
 * The rules that the program must never violate. Each constant describes a violation, which is detected after it has happened. The
 * constants' names are keys of the status document.
 */
public enum Rule {
    /** A request was sent after its client's disconnect or final response, its deadline or repeat window, or the drain grace period. */
    SEND,
    /** A retry or a rate-limit response was sent although an earlier attempt may have executed and a duplicate may do harm. */
    REPEAT,
    /** A connection was closed before a request that had been read received its complete response. */
    CLOSE,
    /** A request that became a call did not receive exactly one response. */
    ANSWER
}
