package gorsestack.invariant;

/** The reasons for which an attempt or a call is rejected. The constants' names are keys of the status document ("refusals.*"). */
public enum RejectionReason {
    /** The client disconnected before the attempt's request was written. */
    CLIENT_LEFT,
    /** The attempt's deadline, repeat window or drain grace period had passed, or its call had ended, before its request was written. */
    TOO_LATE,
    /** No connection was available for the attempt. */
    NO_CONNECTION,
    /** The call came on a connection over the limit of client connections. */
    NO_ROOM,
    /** The call has the same id as a call in flight. */
    SAME_ID,
    /** The call had no response at its deadline, so the backstop timer sent one. */
    LEFT_UNANSWERED,
    /** The upstream read the call's large body too slowly: its client may have sent all of it and no longer waits. */
    BODY_HELD_BACK,
    /** Contact with the attempt's upstream was lost before its request was written, so another process may be at its address. */
    MAY_BE_REPLACED,
    /** The client's large upload is not read on, so that it may have disconnected without this being seen. */
    CLIENT_UNSEEN
}
