package gorsestack.decision;

import gorsestack.decision.Settings.Product;

/**
 * Decides whether a locality may admit a call, and after what delay a rejected client should retry. Without it, when more calls arrive
 * than the upstreams have capacity for, all of them queue and all are late. Calls over a locality's limit go to the next locality, and
 * calls over all limits are rejected by the first tier; later tiers do not reject calls, as work has already been spent on them. Used by
 * {@link BalancingPolicy} and {@link UpstreamSelector} on the policy's thread.
 */
final class AdmissionControl {
    /** Lower bound of the highest product value, which is a divisor, for settings whose products have no value. */
    private static final double MIN_BEST_VALUE = 1e-9;
    /** Fraction of the limit that depends on a product's value, where settings measure value by work; any product keeps the rest. */
    private static final double VALUE_WEIGHT = 0.7;
    /** Factor by which the weight of the worst-served product in the optimization target reduces that fraction. */
    private static final double FAIRNESS_WEIGHT = 2.5;
    /**
     * Smallest minimum limit of the own locality at which attempts in flight are counted. Below it they are too few to be counted, and
     * load reports decide.
     */
    private static final double MIN_LIMIT_TO_COUNT = 0.4;
    /** Lowest fraction of calls that load reports admit. If all were rejected, no report would arrive and all would stay rejected. */
    private static final double MIN_ADMITTED = 0.05;
    /** Advised retry delay as a fraction of the objective: long enough for capacity to become free, short enough for a response in time. */
    private static final double RETRY_AFTER_PER_SLO = 0.25;

    private final Settings.Limits limits;
    private final FleetQuota fleetQuota;
    private final Locality[] localities;
    private final SeededRandom random;
    private final boolean usesReports;
    private final double valueWeight;
    private final double bestValue;
    /** Random number drawn once per attempt. With one per locality, hardly any call would be rejected and most would leave their zone. */
    private double sheddingDraw;

    /** Spread of the advised retry delay, in latency objectives; 0 for none. */
    private double retryAfterJitter;

    AdmissionControl(Settings settings, FleetQuota fleetQuota, Locality[] localities, SeededRandom random) {
        this.limits = settings.limits();
        this.fleetQuota = fleetQuota;
        this.localities = localities;
        this.random = random;
        usesReports = settings.usesReports();
        double best = MIN_BEST_VALUE;
        for (Product product : settings.products()) {
            best = Math.max(best, product.billedValue());
        }
        bestValue = best;
        valueWeight = settings.valueByWork()
                ? VALUE_WEIGHT * Math.max(0, 1 - FAIRNESS_WEIGHT * settings.worstProductWeight())
                : 0;
    }

    /** Draws the random number for an attempt, before {@link #admits} is called for any locality. */
    void drawForAttempt() {
        sheddingDraw = usesReports ? random.next() : 0;
    }

    /** Returns whether the locality admits the call, by load reports where this balancer has too few attempts in flight. */
    boolean admits(Locality locality, CallState call, long now) {
        if (usesReports && localities[0].concurrency.minLimit < MIN_LIMIT_TO_COUNT) {
            return admitsByReports(locality.load, call.product);
        }
        return admitsByLimit(locality.concurrency, call, now);
    }

    /**
     * Rejects a fraction of calls that grows as the locality's latency exceeds its limit. For a product without value, it begins at half
     * the limit.
     */
    private boolean admitsByReports(LocalityLoad load, Product product) {
        double latencyLimit = load.latencyLimit * (1 + product.billedValue() / bestValue) / 2;
        return sheddingDraw < Math.max(MIN_ADMITTED, 2 - load.latencyRatio / latencyLimit);
    }

    /**
     * Compares the attempts in flight with a limit that is lower for products of less value and for calls with less remaining time, as a
     * storm of retries that can hardly be in time would otherwise use it up. The mean over the last latency objective stays within the
     * limit. The present number may exceed the limit by up to the limit's square root, because at one of many balancers it varies more than
     * the fleet's total does.
     */
    private boolean admitsByLimit(AdaptiveConcurrencyLimit concurrency, CallState call, long now) {
        concurrency.trackInFlight(now, call.product, 0);
        double timeFraction = Math.min(1, (call.deadline - now) / (double) call.product.slo());
        double limit =
                concurrency.limit * timeFraction * (1 - valueWeight * (1 - call.product.billedValue() / bestValue));
        // A call whose body is still arriving needs capacity later, which the mean predicts better than the present
        // number.
        return concurrency.recentInFlight < limit
                && (call.bodyIncomplete
                        || concurrency.inFlight < limit + Math.sqrt(limit * (1 - fleetQuota.ofOwnLocality)));
    }

    /** Sets the spread of the advised retry delay: without it, clients that a recovering fleet rejects would all retry at once. */
    void setRetryAfterJitter(double jitter) {
        retryAfterJitter = jitter;
    }

    /** Returns the delay in nanoseconds after which a rejected client should retry; 0 gives no advice. */
    long retryAfter(Product product) {
        double slos =
                retryAfterJitter > 0 ? RETRY_AFTER_PER_SLO + retryAfterJitter * random.next() : RETRY_AFTER_PER_SLO;
        return limits.retryAfter() ? Math.min(limits.maxRetryAfter(), (long) (product.slo() * slos)) : 0;
    }
}
