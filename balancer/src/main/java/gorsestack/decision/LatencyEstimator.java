package gorsestack.decision;

import gorsestack.decision.Settings.Product;

/**
 * Estimates the mean latency of each upstream from this balancer's own attempts, as a ratio to the latency objective. Where load reports
 * are used, {@link LoadReports} sets the mean instead, and attempts only provide its first value and raise it on errors. Used by
 * {@link BalancingPolicy} on its thread; the state is in {@link UpstreamState} and {@link UpstreamClass}.
 */
final class LatencyEstimator {
    /**
     * Smallest weight of a response: the mean covers about eight attempts, or two objectives where one of many balancers sees fewer than
     * that. Old responses do not describe the present, and the noise of single balancers averages out over many.
     */
    private static final double MIN_SAMPLE_WEIGHT = 0.125;

    private static final double MAX_SAMPLE_WEIGHT = 0.3;
    /** Latency objectives since the last response after which a response would have the weight 1, before the bounds above. */
    private static final double SLOS_PER_FULL_WEIGHT = 2;
    /** Upper bound of a latency sample, as one of few attempts is weak evidence. */
    private static final double MAX_LATENCY_RATIO = 2;

    private final boolean usesReports;

    LatencyEstimator(boolean usesReports) {
        this.usesReports = usesReports;
    }

    /** Returns the weight of a response that arrives now. */
    static double sampleWeight(UpstreamState upstream, Product product, long now) {
        double slos = (now - upstream.lastResponseAt) / (SLOS_PER_FULL_WEIGHT * product.slo());
        return Math.max(MIN_SAMPLE_WEIGHT, Math.min(MAX_SAMPLE_WEIGHT, slos));
    }

    /** Updates the estimates of an upstream and of its class; an upstream without an estimate first takes over that of its class. */
    void onLatency(UpstreamState upstream, Product product, long latency, double weight) {
        double ratio = Math.min(MAX_LATENCY_RATIO, latency / (double) product.slo());
        upstream.upstreamClass.onLatency(ratio);
        if (upstream.latencyRatio == 0) {
            upstream.latencyRatio = upstream.upstreamClass.typicalLatencyRatio;
        }
        if (!usesReports) {
            upstream.latencyRatio += (ratio - upstream.latencyRatio) * weight;
        }
    }

    /**
     * Counts an error as the highest latency. Without this, an upstream that quickly fails half its calls, and is readmitted by the other
     * half, would seem to be the fastest.
     */
    void onError(UpstreamState upstream, double weight) {
        upstream.latencyRatio += (MAX_LATENCY_RATIO - upstream.latencyRatio) * weight;
    }
}
