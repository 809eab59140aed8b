package gorsestack.decision;

/**
 * Decides which locality an attempt tries first. Without load reports this is the balancer's own locality unless too few
 * of its upstreams are healthy; with load reports it is drawn at random, weighted by throughput and load. Used by
 * {@link UpstreamSelector} on the thread of the {@link BalancingPolicy}.
 */
final class LocalityRouter {
    /** Minimum fraction of healthy members; traffic leaves a locality with a smaller one. */
    private static final double MIN_HEALTHY_FRACTION = 0.7;
    /**
     * Maximum time in nanoseconds for which traffic stays away from a locality that has recovered. Up to this maximum,
     * the time is as long as the locality was unhealthy.
     */
    private static final long MAX_RETURN_DELAY_NANOS = 5_000_000_000L;
    /** Weight of a locality other than the balancer's own, whose weight is 1, because leaving the own one is costly. */
    private static final double OTHER_LOCALITY_WEIGHT = 0.01;
    /**
     * Power of one plus the mean load by which a locality's weight is divided. The weighted draw prevents traffic from swinging between
     * localities, as it would if all of it went to the least loaded one.
     */
    private static final int LOAD_EXPONENT = 3;

    private final Locality[] localities;
    private final SeededRandom random;
    /** The time at which each locality became unhealthy, kept until traffic may return to it; 0 otherwise. */
    private final long[] unhealthySince;
    /** The earliest time at which traffic may return to each locality. */
    private final long[] returnAt;

    private final double[] cumulativeWeights;

    LocalityRouter(Locality[] localities, SeededRandom random) {
        this.localities = localities;
        this.random = random;
        unhealthySince = new long[localities.length];
        returnAt = new long[localities.length];
        cumulativeWeights = new double[localities.length];
    }

    /**
     * Returns the index of the first locality that traffic has not left; 0, the balancer's own one, if it has left all.
     * The time away grows with the time that the locality was unhealthy. Without this, traffic would leave a zone for
     * the maximum time after one slow response from its only upstream.
     */
    int firstHealthy(long now) {
        for (int i = 0; i < localities.length; i++) {
            Locality locality = localities[i];
            if (locality.healthyCount() < MIN_HEALTHY_FRACTION * locality.members.length) {
                unhealthySince[i] = unhealthySince[i] == 0 ? now : unhealthySince[i];
                returnAt[i] = now + Math.min(MAX_RETURN_DELAY_NANOS, now - unhealthySince[i]);
            } else if (now >= returnAt[i]) {
                unhealthySince[i] = 0;
                return i;
            }
        }
        return 0;
    }

    /**
     * Refreshes the load of all localities and returns the index of one that is drawn at random. The weight of a
     * locality is the throughput of its healthy members divided by the third power of one plus its mean load; localities
     * other than the balancer's own one have a lower weight.
     */
    int drawByLoad(long now, double meanSlo) {
        double total = 0;
        for (int i = 0; i < localities.length; i++) {
            Locality locality = localities[i];
            LocalityLoad load = locality.load;
            load.refresh(locality.members, now, meanSlo);
            double weightedHealthyCount = (i == 0 ? 1 : OTHER_LOCALITY_WEIGHT) * locality.healthyCount();
            total += weightedHealthyCount * load.meanThroughput / StrictMath.pow(1 + load.meanLoad, LOAD_EXPONENT);
            cumulativeWeights[i] = total;
        }
        double drawn = random.next() * total;
        for (int i = 0; i < localities.length; i++) {
            if (drawn < cumulativeWeights[i]) {
                return i;
            }
        }
        return 0;
    }
}
