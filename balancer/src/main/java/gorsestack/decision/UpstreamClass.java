package gorsestack.decision;

/**
 * Upstreams of the same locality, type and nominal size, which are expected to have similar latencies. Used by
 * {@link LatencyEstimator} and {@link UpstreamSelector} on the thread of the {@link BalancingPolicy}.
 */
final class UpstreamClass {
    /** The properties that the upstreams of a class have in common. */
    record Key(int locality, String kind, double weight) {}

    /** Number of attempts that the moving mean covers. */
    private static final int WINDOW = 20;

    /** Moving mean of the latency ratio of recent attempts at upstreams of the class; 0 if unknown. */
    double typicalLatencyRatio;

    /** Adds the latency ratio of an attempt to the moving mean. */
    void onLatency(double latencyRatio) {
        typicalLatencyRatio += (latencyRatio - typicalLatencyRatio) / (typicalLatencyRatio == 0 ? 1 : WINDOW);
    }
}
