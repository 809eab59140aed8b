package gorsestack.wire;

import gorsestack.settings.Limits;

/**
 * Records the times of events on one client's connection and decides which timeouts have passed. Used by {@link ClientConnection} and
 * {@link ClientRequestReader} on the event loop's thread only.
 */
final class ClientTimings {
    private final Limits limits;
    private long openedAt;
    private long requestBegunAt;
    /** Time at which bytes last arrived or were sent, or reading was paused or resumed. */
    private long lastProgressAt;

    private long idleSince;

    ClientTimings(Limits limits) {
        this.limits = limits;
    }

    void opened(long now) {
        openedAt = now;
        requestBegunAt = now;
        idleSince = now;
    }

    void requestBegun(long begunAt) {
        requestBegunAt = begunAt;
    }

    void progressed(long now) {
        lastProgressAt = now;
    }

    long lastProgressAt() {
        return lastProgressAt;
    }

    void becameIdle(long now) {
        idleSince = now;
    }

    /** Returns whether the rest of a request that already has its response has stopped arriving. */
    boolean discardStalled(long now) {
        return now - lastProgressAt >= limits.client().stallTimeoutNanos();
    }

    /** Returns whether a request takes too long. A body may arrive slowly, down to a minimum rate, but must not stop arriving. */
    boolean requestOverdue(long now, HttpParser parser) {
        if (parser.head() == null) {
            return now - requestBegunAt >= limits.client().requestHeadTimeoutNanos();
        }
        return now - lastProgressAt >= limits.client().stallTimeoutNanos()
                || now - requestBegunAt - limits.client().requestHeadTimeoutNanos()
                        >= parser.bodyBytes() * limits.client().maxNanosPerBodyByte();
    }

    /** Returns whether a connection without a request has been open for too long. */
    boolean firstRequestOverdue(long now) {
        return now - openedAt >= limits.client().idleTimeoutNanos();
    }

    /** Returns the priority for being closed of a connection on which no request has begun. */
    ClosePriority priorityBetweenCalls(long now, boolean hasRequested) {
        if (!hasRequested) {
            boolean firstRequestMayFollow = now - openedAt < limits.client().firstRequestGraceNanos();
            return firstRequestMayFollow ? ClosePriority.KEEP : ClosePriority.NEVER_USED;
        }
        boolean idleForLong = now - idleSince >= limits.client().idleTimeoutNanos();
        return idleForLong ? ClosePriority.IDLE : ClosePriority.KEEP;
    }

    /** Returns whether nothing has arrived of an incomplete request for so long that it gives way when there are too many connections. */
    boolean requestStopped(long now) {
        return now - lastProgressAt >= limits.client().stoppedRequestGraceNanos();
    }

    /** Returns whether the last response was sent so recently that the client may still be reading it. */
    boolean justResponded(long now) {
        return now - idleSince < limits.client().closeLingerNanos();
    }
}
