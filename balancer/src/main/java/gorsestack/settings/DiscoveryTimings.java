package gorsestack.settings;

import java.util.concurrent.TimeUnit;

/**
 * Holds the timings of the watch on service discovery, for the layer that talks to discovery. Immutable.
 *
 * <p>An update has to be in effect 6 s after discovery has it and is reachable. Therefore, for each way in which a watch can fail,
 * {@code watchSilence + reconnectJitter + response + timer delay} and {@code time lost + retry + response + timer delay} stay within that
 * deadline.
 *
 * @param watchSilenceNanos the silence after which a watch is considered lost; slightly more than two of discovery's periods of 2 s
 * @param reconnectJitterNanos the range over which the polls of balancers are spread whose watches ended together
 * @param connectTimeoutNanos the longest time to connect to discovery. Connecting to a reachable discovery takes milliseconds, or some
 *     tens of them on a loaded core. An agent that pushes lists runs on this host.
 * @param maxRetryDelayNanos the longest delay before a retry, from which the time already lost is subtracted. If lists are pushed, the
 *     drain grace has to cover the refused connect, the retry and the response, and no other balancer polls that agent.
 * @param firstUpdateTimeoutNanos the longest time until the first update of the first watch on a new address. An update there has to be
 *     in effect 4 s after SIGHUP: a watch that gets no response leaves time for a second one, and one whose response takes the longest
 *     time that discovery takes for a call, 2 s, is followed.
 */
public record DiscoveryTimings(
        long watchSilenceNanos,
        long reconnectJitterNanos,
        long connectTimeoutNanos,
        long maxRetryDelayNanos,
        long firstUpdateTimeoutNanos) {

    private static final long UPDATE_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(6_000);
    /** The time after SIGHUP by which what the new discovery has must be in effect. */
    private static final long MOVE_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);
    /** The time in which a reachable discovery accepts a connection and sends its first line. */
    private static final long RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(750);
    /** The delay of reads and timers on a slow core. */
    private static final long TIMER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Returns the timings for one deployment.
     *
     * @param pushed whether an agent on this host pushes the lists; otherwise the balancer polls discovery
     * @param drainGraceNanos how long requests may still be sent to an upstream that drains
     */
    static DiscoveryTimings of(boolean pushed, long drainGraceNanos) {
        long reconnectJitterNanos = TimeUnit.MILLISECONDS.toNanos(500);
        long watchSilenceNanos = UPDATE_DEADLINE_NANOS - reconnectJitterNanos - RESPONSE_NANOS - TIMER_DELAY_NANOS;
        long connectTimeoutNanos = pushed ? reconnectJitterNanos : TimeUnit.MILLISECONDS.toNanos(1_000);
        long maxRetryDelayNanos = pushed
                ? Math.max(reconnectJitterNanos, drainGraceNanos - RESPONSE_NANOS - TIMER_DELAY_NANOS)
                : UPDATE_DEADLINE_NANOS - RESPONSE_NANOS - TIMER_DELAY_NANOS;
        long firstUpdateTimeoutNanos = MOVE_DEADLINE_NANOS - reconnectJitterNanos - RESPONSE_NANOS - TIMER_DELAY_NANOS;
        return new DiscoveryTimings(
                watchSilenceNanos,
                reconnectJitterNanos,
                connectTimeoutNanos,
                maxRetryDelayNanos,
                firstUpdateTimeoutNanos);
    }
}
