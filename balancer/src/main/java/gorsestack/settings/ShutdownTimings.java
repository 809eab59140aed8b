package gorsestack.settings;

import java.util.concurrent.TimeUnit;

/**
 * Holds the timings of the graceful shutdown, counted from SIGTERM. Immutable.
 *
 * @param acceptNanos how long new connections are accepted; clients continue to connect for another 0.2 to 0.4 s
 * @param serveNanos how long new calls are served. The last call that is received has half of the longest latency objective left, and
 *     most calls take less; before that, connected clients may have no other balancer.
 * @param endNanos the time by which all calls have to be complete; SIGKILL follows no earlier than 0.7 s after the longest client timeout
 * @param responseNanos how much longer a response that is being forwarded may take: 32 MB to a client that reads 0.5 MB/s
 */
public record ShutdownTimings(long acceptNanos, long serveNanos, long endNanos, long responseNanos) {

    /** The time between the longest client timeout and the end of the process; SIGKILL follows 0.7 s after that timeout. */
    private static final int END_MARGIN_MILLIS = 650;

    /**
     * Returns the timings for one deployment.
     *
     * @param longestTimeoutMillis the longest client timeout of any product, limited to the time by which SIGKILL is delayed
     * @param longestObjectiveMillis the largest latency objective of any product
     */
    static ShutdownTimings of(double longestTimeoutMillis, double longestObjectiveMillis) {
        long acceptNanos = TimeUnit.MILLISECONDS.toNanos(600);
        double lastCallMillis = longestTimeoutMillis + END_MARGIN_MILLIS - longestObjectiveMillis / 2;
        long serveNanos = Math.max(acceptNanos, (long) (lastCallMillis * Limits.NANOS_PER_MILLI));
        long endNanos = (long) (longestTimeoutMillis * Limits.NANOS_PER_MILLI)
                + TimeUnit.MILLISECONDS.toNanos(END_MARGIN_MILLIS);
        long responseNanos = TimeUnit.MILLISECONDS.toNanos(60_000);
        return new ShutdownTimings(acceptNanos, serveNanos, endNanos, responseNanos);
    }
}
