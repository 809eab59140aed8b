package gorsestack.wire;

import gorsestack.settings.Limits;
import java.util.function.DoubleSupplier;

/**
 * Computes how long to wait before the watch on discovery is opened again. All delays are random: if a hundred balancers that were refused
 * together came back together, they would keep discovery down. Used by {@link DiscoveryWatch} on the event loop's thread only.
 */
final class PollBackoff {
    /** Shortest delay after a failed watch, as a fraction of the longest. */
    private static final double MIN_FRACTION = 0.25;

    private final Limits limits;
    private final DoubleSupplier jitter;

    /**
     * Creates a backoff.
     *
     * @param jitter draws a number from 0 up to 1; called once for each delay
     */
    PollBackoff(Limits limits, DoubleSupplier jitter) {
        this.limits = limits;
        this.jitter = jitter;
    }

    /** Returns the delay after a watch that delivered something, and for an address that is being moved to: none besides the jitter. */
    long shortDelay() {
        return (long) (jitter.getAsDouble() * limits.discovery().reconnectJitterNanos());
    }

    /**
     * Returns the delay after a watch that delivered nothing. It is short enough that, together with the time spent on that watch, an
     * update is received before discovery counts it as delivered.
     *
     * @param nanosSpent how long that watch took, in nanoseconds
     */
    long delayAfterFailure(long nanosSpent) {
        long longest = Math.max(
                limits.discovery().reconnectJitterNanos(), limits.discovery().maxRetryDelayNanos() - nanosSpent);
        return (long) (longest * (MIN_FRACTION + (1 - MIN_FRACTION) * jitter.getAsDouble()));
    }
}
