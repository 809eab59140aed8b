package gorsestack.recovery;

/**
 * Phase of a process's recovery after its start, as {@link RecoveryProgress} tracks it. The names of the constants are part of the status
 * report.
 */
public enum RecoveryPhase {
    /** No endpoint list has been received since the start. */
    COLD,
    /** An endpoint list is known, but clients are not accepted yet. */
    LISTED,
    /** Clients are accepted, but not enough calls succeed yet. */
    WARMING,
    /** Calls succeed as in normal operation. */
    FULL
}
