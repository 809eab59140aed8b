package gorsestack.decision;

/**
 * The available upstreams of one zone, with sums over them, so that no call has to iterate over the whole fleet. The
 * last locality holds the upstreams of unknown zones. Part of {@link BalancingPolicy} and used on its thread.
 */
final class Locality {
    /** Number of response-counting windows in the slow-start time. */
    static final double RESPONSE_WINDOWS_PER_SLOW_START = 4;

    /** Index among the localities; 0 is the balancer's own one. */
    final int index;

    final AdaptiveConcurrencyLimit concurrency = new AdaptiveConcurrencyLimit();
    final LocalityLoad load = new LocalityLoad();

    UpstreamState[] members = {};
    /** Index of the member at which the rotation continues. */
    int rotationCursor;

    /** Number of ejected members. */
    int ejectedCount;
    /** Number of members that were not warming up when the members were last set. */
    int warmCount;

    /** Mean nominal size of the members. */
    double meanWeight;

    private final long slowStartTime;
    /** Exponentially decayed number of responses as of {@link #respondedAt}. */
    private double responses;

    private long respondedAt;

    Locality(int index, long slowStartTime) {
        this.index = index;
        this.slowStartTime = slowStartTime;
    }

    /** Replaces the members and recomputes the sums over them. */
    void setMembers(UpstreamState[] upstreams, UpstreamTable table, long now) {
        double weight = 0;
        int ejected = 0;
        int warm = 0;
        for (UpstreamState upstream : upstreams) {
            weight += upstream.endpoint.weight() / upstreams.length;
            ejected += upstream.ejected ? 1 : 0;
            warm += table.isWarmingUp(upstream, now, slowStartTime) ? 0 : 1;
        }
        members = upstreams;
        meanWeight = weight;
        ejectedCount = ejected;
        warmCount = warm;
    }

    int healthyCount() {
        return members.length - ejectedCount;
    }

    /** Returns the learned state with which another process of this balancer, or a peer, may start. */
    LearnedLocality exportLearned(long now) {
        return LearnedLocality.ofRow(
                concurrency.limit,
                concurrency.latencyRatio,
                concurrency.baselineLatencyRatio,
                recentResponses(now),
                members.length);
    }

    /**
     * Adopts the state that another process or peers learned, with its concurrency limit scaled to this process's quota.
     * Ignores malformed state, such as a row of unknown length or one with implausible values.
     */
    void restoreLearned(LearnedLocality learned, long now, double quota) {
        if (learned.isWellFormed()) {
            concurrency.limit = Math.max(concurrency.minLimit, learned.concurrencyLimit() * quota);
            concurrency.latencyRatio = learned.latencyRatio();
            concurrency.baselineLatencyRatio = learned.baselineLatencyRatio();
            responses = learned.responseRate();
            respondedAt = now;
        }
    }

    void countResponse(long now) {
        responses = recentResponses(now) + 1;
        respondedAt = now;
    }

    /**
     * Returns the exponentially decayed number of responses. The time constant is a quarter of the slow-start time: long
     * enough to cover a few calls, and short enough to follow changes of the load.
     */
    double recentResponses(long now) {
        return responses
                * StrictMath.exp((respondedAt - now) * RESPONSE_WINDOWS_PER_SLOW_START / Math.max(1, slowStartTime));
    }
}
