package gorsestack.decision;

/**
 * Enforces rule 4: the attempts that all balancers together send to an upstream that started recently stay within its
 * allowance, which grows with its age. No balancer sees what the others send, so each draws its permits at random, with
 * a probability that grows with the time since its last draw; the sum over the fleet is random as well. Used by
 * {@link UpstreamSelector} and {@link OutlierDetector} on the thread of the {@link BalancingPolicy}.
 */
final class SlowStart {
    private static final double NANOS_PER_SECOND = 1e9;
    /**
     * Fraction of the overload multiple that all balancers together send on average. The rest is a margin for the random
     * variation of the sum over all balancers.
     */
    private static final double TARGET_PER_OVERLOAD_MULTIPLE = 0.3;
    /** Maximum time that counts in a draw, in overload windows; an unused permit expires after it without another draw. */
    private static final int MAX_WINDOWS_DRAWN = 2;

    private final Settings.Rules rules;
    private final FleetQuota fleetQuota;
    private final UpstreamTable upstreams;
    private final Locality[] localities;
    private final SeededRandom random;

    SlowStart(
            Settings.Rules rules,
            FleetQuota fleetQuota,
            UpstreamTable upstreams,
            Locality[] localities,
            SeededRandom random) {
        this.rules = rules;
        this.fleetQuota = fleetQuota;
        this.upstreams = upstreams;
        this.localities = localities;
        this.random = random;
    }

    /**
     * Returns whether this balancer may send an attempt to the upstream now. Draws a permit at random only while the
     * upstream is warming up.
     */
    boolean permits(UpstreamState upstream, long now) {
        if (!upstreams.isWarmingUp(upstream, now, rules.slowStartTime())) {
            return true;
        }
        double permitRate = permitsPerSecond(upstream, now);
        // Only the most recent windows count. Without this limit, the permits that all balancers have accumulated
        // would be used at the same time when a zone is lost.
        long sinceLastDraw = now - upstream.slowStartDrawnAt;
        long countedTime = Math.min(sinceLastDraw, MAX_WINDOWS_DRAWN * rules.overloadWindow());
        upstream.slowStartPermit = (upstream.slowStartPermit && countedTime == sinceLastDraw)
                || random.next() < permitRate * countedTime / NANOS_PER_SECOND;
        upstream.slowStartDrawnAt = now;
        return upstream.slowStartPermit;
    }

    /**
     * Returns the rate of permits for an upstream that is warming up: a fraction of the overload multiple of its present
     * capacity. This capacity is the rate at which a warm upstream responds to this balancer, times the fraction of it
     * that the upstream has reached by its age. The rate of a warm upstream is the mean over the upstream's own locality,
     * or over all localities if that is higher, because a locality may have no warm upstream; it is at least one attempt
     * a second from all balancers together, also if nothing has been learned.
     */
    private double permitsPerSecond(UpstreamState upstream, long now) {
        double responses = 0;
        double warm = 0;
        for (Locality locality : localities) {
            responses += locality.recentResponses(now);
            warm += locality.warmCount;
        }
        Locality own = upstream.locality;
        double perWarmUpstream =
                Math.max(responses / Math.max(1, warm), own.recentResponses(now) / Math.max(1, own.warmCount));
        double warmRate = Math.max(
                Locality.RESPONSE_WINDOWS_PER_SLOW_START * NANOS_PER_SECOND * perWarmUpstream / rules.slowStartTime(),
                fleetQuota.processQuota / fleetQuota.instances);
        double age = (now - upstreams.startedAt(upstream)) / (double) rules.slowStartTime();
        double capacityFraction = rules.initialCapacityFraction() + (1 - rules.initialCapacityFraction()) * age;
        return warmRate * capacityFraction * TARGET_PER_OVERLOAD_MULTIPLE * rules.overloadMultiple();
    }
}
