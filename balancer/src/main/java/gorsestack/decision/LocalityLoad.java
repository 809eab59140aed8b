package gorsestack.decision;

/**
 * The load of one locality, computed from the load reports of its upstreams. Latencies are ratios to the mean latency
 * objective of all products. {@link LocalityRouter} refreshes and reads it; {@link AdmissionControl},
 * {@link LoadReports} and {@link UpstreamSelector} read it, all on the thread of the {@link BalancingPolicy}.
 */
final class LocalityLoad {
    /** Initial value of the sums that are used as divisors, which prevents a division by 0 without reports. */
    private static final double NEARLY_ZERO = 1e-9;
    /**
     * Time constant of the decay of a report, in latency objectives. Without the decay, an old report of an overload
     * would keep all calls away.
     */
    private static final double REPORT_DECAY_SLOS = 20;

    /** Upper bound on the latency ratio of one upstream in the sum. */
    private static final double MAX_LATENCY_RATIO = 4;
    /** Ratio to the baseline latency at which the locality counts as full, within the bounds below. */
    private static final double QUEUEING_PER_BASELINE = 1.5;

    private static final double MIN_LATENCY_LIMIT = 0.4;
    private static final double MAX_LATENCY_LIMIT = 0.6;

    /** Mean throughput of an upstream, in calls per latency objective. */
    double meanThroughput;
    /** Mean of each upstream's calls in flight divided by its size, weighted by throughput. */
    double meanLoad;
    /** Expected latency ratio of the next attempt. */
    double latencyRatio;
    /** The latency ratio at which the locality counts as full. */
    double latencyLimit;

    /** Recomputes the load from the reports of a locality's upstreams that are not ejected. */
    void refresh(UpstreamState[] members, long now, double meanSlo) {
        double throughput = NEARLY_ZERO;
        double count = NEARLY_ZERO;
        double latencyWeights = NEARLY_ZERO;
        double loads = 0;
        double latencies = 0;
        double baselines = 0;
        for (UpstreamState upstream : members) {
            if (upstream.reportedAt > 0 && upstream.latencyRatio > 0 && !upstream.ejected) {
                double load = upstream.reportedInFlight / upstream.size();
                double upstreamThroughput = upstream.throughput();
                count++;
                throughput += upstreamThroughput;
                loads += upstreamThroughput * load;
                latencyWeights += upstreamThroughput / (load + 1);
                baselines += upstreamThroughput * upstream.latencyRatio / Math.max(1, load);
                double weight = StrictMath.exp((upstream.reportedAt - now) / (REPORT_DECAY_SLOS * meanSlo));
                latencies +=
                        upstreamThroughput / (load + 1) * Math.min(MAX_LATENCY_RATIO, upstream.latencyRatio) * weight;
            }
        }
        meanThroughput = throughput / count;
        meanLoad = loads / throughput;
        latencyRatio = latencies / latencyWeights;
        double baseline = baselines / throughput;
        latencyLimit = Math.max(MIN_LATENCY_LIMIT, Math.min(MAX_LATENCY_LIMIT, QUEUEING_PER_BASELINE * baseline));
    }
}
