package gorsestack.settings;

import java.util.concurrent.TimeUnit;

/**
 * Holds the limits on the connections that this balancer opens to upstreams. Immutable.
 *
 * @param maxConnections the number of connections to all upstreams together: one for each attempt in flight, and idle ones
 * @param connectTimeoutNanos how long an attempt waits for its connection; the setting {@code connectTimeout}
 * @param maxConnectNanos how long a connect may take before it is abandoned. A connection that completes after its attempt has timed out
 *     is kept for the next attempt; until it is abandoned, a connect to an unreachable host occupies a descriptor.
 * @param idleTimeoutNanos how long an idle connection is kept: seven tenths of the setting {@code connIdle}. If the upstream closed the
 *     connection at its own limit, a request sent at that moment would end with a reset although it may have been executed.
 * @param silenceThresholdNanos the time after which the upstream of an attempt is treated as unresponsive if it has sent nothing: half of
 *     the strictest latency objective, but no less than four connect timeouts, as the reaction costs a connect
 * @param reuseDelayNanos how long a connection stays unused after a response, so that excess bytes after the response are detected;
 *     several iterations of the I/O thread
 * @param quarantineReuseDelayNanos the same for an upstream in quarantine: ten times as long
 * @param quarantineNanos how long the longer delay applies after an upstream has sent a second response to one request. A new connection
 *     costs the upstream a hundredth of a call, and the fault, where it occurs, recurs every second or two.
 * @param bufferingTimeoutNanos how long a response that is larger than {@link BufferLimits#bodyBytes()} may be buffered so that the call
 *     can still be retried; it is forwarded after this time even if it is incomplete
 * @param streamStallTimeoutNanos the longest pause within a body that is being forwarded, in either direction. A body that is being forwarded cannot be requested from another upstream, and a sender or receiver that pauses for
 *     longer has stopped.
 * @param drainGraceNanos the time after which a request that is sent to a draining upstream counts as an invariant violation; not used
 *     for decisions
 */
public record UpstreamLimits(
        int maxConnections,
        long connectTimeoutNanos,
        long maxConnectNanos,
        long idleTimeoutNanos,
        long silenceThresholdNanos,
        long reuseDelayNanos,
        long quarantineReuseDelayNanos,
        long quarantineNanos,
        long bufferingTimeoutNanos,
        long streamStallTimeoutNanos,
        long drainGraceNanos) {

    /**
     * Returns the limits for one deployment.
     *
     * @param sockets the descriptors available to clients and upstreams together
     * @param upstreamIdleNanos the idle timeout of the upstreams themselves
     * @param strictestObjectiveMillis the smallest latency objective of any product
     */
    static UpstreamLimits of(
            int sockets,
            long connectTimeoutNanos,
            long upstreamIdleNanos,
            long drainGraceNanos,
            double strictestObjectiveMillis) {
        int maxConnections = sockets / 2;
        long maxConnectNanos = Math.max(TimeUnit.MILLISECONDS.toNanos(2_000), 2 * connectTimeoutNanos);
        long idleTimeoutNanos = upstreamIdleNanos * 7 / 10;
        long halfObjectiveNanos = (long) (strictestObjectiveMillis / 2 * Limits.NANOS_PER_MILLI);
        long silenceThresholdNanos = Math.max(4 * connectTimeoutNanos, halfObjectiveNanos);
        long reuseDelayNanos = TimeUnit.MILLISECONDS.toNanos(10);
        long quarantineReuseDelayNanos = TimeUnit.MILLISECONDS.toNanos(100);
        long quarantineNanos = TimeUnit.MILLISECONDS.toNanos(10_000);
        long bufferingTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(250);
        long streamStallTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(5_000);
        return new UpstreamLimits(
                maxConnections,
                connectTimeoutNanos,
                maxConnectNanos,
                idleTimeoutNanos,
                silenceThresholdNanos,
                reuseDelayNanos,
                quarantineReuseDelayNanos,
                quarantineNanos,
                bufferingTimeoutNanos,
                streamStallTimeoutNanos,
                drainGraceNanos);
    }
}
