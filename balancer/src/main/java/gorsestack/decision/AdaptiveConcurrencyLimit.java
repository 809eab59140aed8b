package gorsestack.decision;

import gorsestack.decision.Settings.Product;

/**
 * Limits the attempts in flight at one locality by additive increase and multiplicative decrease on the mean latency relative to the
 * objective. It keeps about as many attempts in flight as the locality responds to in 0.35 to 0.6 of the objective. Belongs to a
 * {@link Locality}; used on the policy's thread only. Times are in nanoseconds.
 */
final class AdaptiveConcurrencyLimit {
    /** Whether a test has disabled the limit in order to show what it prevents. */
    private static final boolean DISABLED_BY_TEST = Boolean.getBoolean("gorsestack.test.unbraked");

    /** Minimum limit while the limit is disabled, too high to be reached. */
    private static final double DISABLED_MINIMUM = 1e6;
    /** Initial limit of a new locality as a multiple of its minimum; a higher one has to be reached by increases. */
    private static final double INITIAL_PER_MINIMUM = 1.4;
    /** Latency ratio above which the limit decreases, as a multiple of the baseline; bounded by the next two constants. */
    private static final double QUEUEING_PER_BASELINE = 1.5;

    private static final double MIN_LATENCY_TARGET = 0.35;
    private static final double MAX_LATENCY_TARGET = 0.6;
    /** Factor of one decrease of the limit. */
    private static final double DECREASE_FACTOR = 0.85;
    /** Increase of the limit per attempt, so that limits grow by the same fraction at any size of fleet. */
    private static final double INCREASE = 0.05;
    /** Fraction of the limit that must be in use for an increase: an unused limit does not show whether a higher one would be safe. */
    private static final double MIN_UTILIZATION_TO_INCREASE = 0.6;
    /** Multiple of the mean at which a latency sample is capped: a few upstreams that hang, here or a tier below, are not a queue. */
    private static final double MAX_LATENCY_PER_MEAN = 4;

    /** Lowest cap of a latency sample, relative to the objective. */
    private static final double MIN_LATENCY_CAP = 0.1;
    /** Highest cap of a latency sample, relative to the objective. */
    private static final double MAX_LATENCY_RATIO = 2;
    /** Weights of a sample: the mean covers about twenty attempts, or one latency objective where attempts are fewer, but at least five. */
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    private static final double MAX_SAMPLE_WEIGHT = 0.2;

    /** Maximum number of attempts in flight; 0 until a minimum above 0 is set. */
    double limit;
    /** Lower bound of the limit. */
    double minLimit;
    /** Mean latency of recent attempts, relative to the objective. */
    double latencyRatio;
    /** Mean latency of recent attempts without queueing, relative to the objective. */
    double baselineLatencyRatio;

    /** Number of attempts in flight. */
    int inFlight;
    /** Mean number of attempts in flight over about the last latency objective. */
    double recentInFlight;

    private long inFlightChangedAt;
    private long decreasedAt;
    private long latencyAt;

    /** Sets the minimum and raises the limit to it if necessary; the first minimum above 0 sets the initial limit. */
    void setMinLimit(double minimum) {
        minLimit = DISABLED_BY_TEST ? DISABLED_MINIMUM : minimum;
        limit = limit == 0 ? INITIAL_PER_MINIMUM * minLimit : Math.max(limit, minLimit);
    }

    /** Changes the number of attempts in flight, and updates its mean. */
    void trackInFlight(long now, Product product, int change) {
        double weight = StrictMath.exp((inFlightChangedAt - now) / (double) product.slo());
        recentInFlight = inFlight + (recentInFlight - inFlight) * weight;
        inFlightChangedAt = now;
        inFlight += change;
    }

    /** Updates the mean latency and the limit from the duration of an attempt. */
    void onLatency(long now, Product product, long latency) {
        double cap = Math.max(MIN_LATENCY_CAP, MAX_LATENCY_PER_MEAN * latencyRatio);
        double sample = Math.min(cap, Math.min(MAX_LATENCY_RATIO, latency / (double) product.slo()));
        double weight =
                Math.max(MIN_SAMPLE_WEIGHT, Math.min(MAX_SAMPLE_WEIGHT, (now - latencyAt) / (double) product.slo()));
        latencyRatio += (sample - latencyRatio) * weight;
        latencyAt = now;
        // At the minimum limit there is no queue, so the latency there is the baseline. Without this, work that takes
        // longer at all upstreams would count as queueing, and calls that would be in time would be rejected.
        baselineLatencyRatio = limit > minLimit
                ? Math.min(baselineLatencyRatio, latencyRatio)
                : baselineLatencyRatio + (latencyRatio - baselineLatencyRatio) * weight;
        adjust(now, product);
    }

    private void adjust(long now, Product product) {
        double target = Math.max(
                MIN_LATENCY_TARGET, Math.min(MAX_LATENCY_TARGET, QUEUEING_PER_BASELINE * baselineLatencyRatio));
        if (latencyRatio > target) {
            // A decrease takes about one mean latency to show its effect, so there is at most one in that time.
            if (now - decreasedAt > latencyRatio * product.slo()) {
                limit = Math.max(minLimit, limit * DECREASE_FACTOR);
                decreasedAt = now;
            }
        } else if (inFlight > MIN_UTILIZATION_TO_INCREASE * limit) {
            limit += INCREASE;
        }
    }
}
