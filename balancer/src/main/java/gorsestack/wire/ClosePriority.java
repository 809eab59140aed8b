package gorsestack.wire;

/** The order in which clients' connections are closed when there are too many, first to last. */
public enum ClosePriority {
    /** Its request was rejected or had its response early, and what still arrives is discarded. */
    LINGERING,
    /** No request has begun on it for some time after it was opened. */
    NEVER_USED,
    /** It has been idle for long after an earlier request. */
    IDLE,
    /** Part of a request has arrived, and nothing more for some time. */
    STOPPED,
    /** It is being closed already. */
    CLOSING,
    /** It is not closed. */
    KEEP
}
