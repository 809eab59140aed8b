package gorsestack.settings;

import java.util.concurrent.TimeUnit;

/**
 * Holds the limits on the admin listener. Immutable.
 *
 * @param maxConnections the number of operators' connections, which are counted separately from clients' connections; a further one
 *     replaces the oldest
 * @param requestTimeoutNanos the longest time until a request has been received. A request has a line or two; callers that stall in the
 *     middle of one are known to do so for 4 s.
 */
public record AdminLimits(int maxConnections, long requestTimeoutNanos) {

    /** Returns the limits, which are the same in every deployment. */
    static AdminLimits standard() {
        int maxConnections = 12;
        long requestTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(5_000);
        return new AdminLimits(maxConnections, requestTimeoutNanos);
    }
}
