package gorsestack.invariant;

/**
 * The rules that the program must never violate. Each constant describes a violation, which is detected when or after it happens. The
 * constants' names are keys of the status document.
 */
public enum Rule {
    /** A request was sent after its client's disconnect or final response, its deadline or repeat window, or the drain grace period. */
    SEND,
    /** A retry or a rate-limit response was sent although an earlier attempt may have executed and a duplicate may do harm. */
    REPEAT,
    /**
     * A connection was closed before a request that had been read received its complete response. Not counted if the client disconnected or
     * stopped reading.
     */
    CLOSE,
    /** A second response was produced for a call that already had its final one; it was not sent. */
    ANSWER
}
