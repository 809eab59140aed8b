package gorsestack.invariant;

/** All reasons for which a client's connection is closed. The constants' names are keys of the status document ("closes.*"). */
public enum CloseReason {
    /** The client or the operating system closed, half-closed or reset the connection. */
    CLIENT_GONE,
    /** The client had sent no request when the connection was closed, because it was overdue or for a reason of {@link #IDLE}. */
    NEVER_ASKED,
    /** The connection was idle when connections had to be closed: over the limit, at shutdown, or to move clients to another balancer. */
    IDLE,
    /** The last response on the connection carried "Connection: close". */
    LAST_ANSWER,
    /** A request was malformed, rejected or not completed in time; an error response was written unless another was under way. */
    BAD_REQUEST,
    /** The client pipelined more than the balancer buffers; the buffered requests have been served. */
    SENT_TOO_MUCH,
    /** The response was sent before the request body was complete, and the rest has arrived, is malformed or has stalled. */
    ANSWERED_EARLY,
    /** The upstream's response was cut off after its first bytes had been forwarded. */
    ANSWER_CUT,
    /** The client does not read its response. */
    STALLED,
    /** The last response has been written, the connection waited for the client to close it, and connections were over the limit. */
    ROOM,
    /** The balancer process shuts down. */
    SHUTDOWN
}
