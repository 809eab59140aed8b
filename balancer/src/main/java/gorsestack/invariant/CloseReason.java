package gorsestack.invariant;

/** Why a client's connection ends. The list is closed: a connection ends for one of these or by its client. */
public enum CloseReason {
    /** The client closed, half closed or reset it, or the system did. */
    CLIENT_GONE,
    /** Nothing was asked on it for longer than a client may wait with its first request. */
    NEVER_ASKED,
    /** It rested between calls while connections had to go: for room, before the process ends, or as clients are sent away. */
    IDLE,
    /** Its last answer said that it would close. */
    LAST_ANSWER,
    /** What came makes no sense, or did not come to its end in time; an error was written. */
    BAD_REQUEST,
    /** More was sent ahead than is kept; what was kept has been answered. */
    SENT_TOO_MUCH,
    /** It was answered before its body had come, and the rest has come or stands still. */
    ANSWERED_EARLY,
    /** An answer broke off on its way from the upstream after its first bytes had gone out. */
    ANSWER_CUT,
    /** The client takes nothing of its answer. */
    STALLED,
    /** Its error has been written, and the room is needed. */
    ROOM,
    /** The process ends. */
    SHUTDOWN
}
