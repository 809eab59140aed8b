package gorsestack.invariant;

/** What the program must never do; each is checked after the fact. */
public enum Rule {
    /** A request went out for a client that had left, after its final answer, past its time or repeat window, or after the drain grace. */
    SEND,
    /** A further attempt, or a rate-limit reply, although an earlier attempt may have run and a repeat may do harm. */
    REPEAT,
    /** A connection ended although a request that was read had no whole answer. */
    CLOSE,
    /** A request that became a call was not answered exactly once. */
    ANSWER
}
