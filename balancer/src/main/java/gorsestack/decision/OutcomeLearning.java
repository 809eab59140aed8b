package gorsestack.decision;

import gorsestack.decision.Settings.Product;

/**
 * Passes the outcome of each attempt to all that learn from it: outlier detection, retry budget, load reports, latencies and concurrency
 * limits. Part of {@link BalancingPolicy} and used on its thread.
 */
final class OutcomeLearning {
    /** A success is late if its latency exceeds both the objective and this multiple of the locality's mean latency. */
    private static final int LATE_PER_MEAN_LATENCY = 3;

    private final OutlierDetector outliers;
    private final RetryBudget retryBudget;
    private final LoadReports reports;
    private final LatencyEstimator latencies;

    OutcomeLearning(
            OutlierDetector outliers, RetryBudget retryBudget, LoadReports reports, LatencyEstimator latencies) {
        this.outliers = outliers;
        this.retryBudget = retryBudget;
        this.reports = reports;
        this.latencies = latencies;
    }

    /** Updates everything that is learned from an attempt that has ended. */
    void onOutcome(CallAttempt attempt, Product product, Outcome outcome, long duration, long now) {
        UpstreamState upstream = attempt.upstream;
        Locality locality = attempt.locality;
        AdaptiveConcurrencyLimit concurrency = locality.concurrency;
        double weight = LatencyEstimator.sampleWeight(upstream, product, now);
        boolean late = duration > Math.max(1, LATE_PER_MEAN_LATENCY * concurrency.latencyRatio) * product.slo();
        outliers.onOutcome(upstream, outcome, late, now);
        if (outcome == Outcome.FULFILLED) {
            retryBudget.onResponse();
            locality.countResponse(now);
        }
        if (outcome == Outcome.TIMED_OUT) {
            reports.onSilence(upstream, duration, now);
        }
        // The duration of an error is no response latency, and that of an attempt cut short is only a lower bound.
        if (outcome == Outcome.FULFILLED || duration > concurrency.latencyRatio * product.slo()) {
            concurrency.onLatency(now, product, duration);
            latencies.onLatency(upstream, product, duration, weight);
        } else if (outcome == Outcome.ERROR) {
            latencies.onError(upstream, weight);
        }
        reports.onOutcome(upstream, product, outcome, duration, now);
    }
}
