package gorsestack.recovery;

/**
 * Phase of a process's recovery after its start, as {@link RecoveryProgress} tracks it. The names of the constants must not change: they
 * appear in the log and, in lower case, in the status document and the response to health checks.
 */
public enum RecoveryPhase {
    /** No endpoint list has been received since the start, and the deadline for one has not passed. */
    COLD,
    /** An endpoint list was received, or the deadline for one has passed; clients are not accepted yet. */
    LISTED,
    /** Clients are accepted, but not enough calls succeed yet and the upstreams' slow start is not over. */
    WARMING,
    /** Enough calls succeed, or the upstreams' slow start is over. */
    FULL
}
