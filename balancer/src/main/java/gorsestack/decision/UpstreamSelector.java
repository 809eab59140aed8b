package gorsestack.decision;

/**
 * Selects the upstream of each attempt by weighted round-robin within the localities, beginning with the locality that
 * {@link LocalityRouter} chooses. When no upstream is eligible, it searches again with one preference fewer; the rules
 * for repeated requests and slow start always hold. Used by {@link BalancingPolicy} on its thread.
 */
final class UpstreamSelector {
    /** A pass over the localities. Each pass drops one more preference than the one before it. */
    private enum Pass {
        /** Respects all preferences. */
        PREFERRED(false, false, false),
        /**
         * Allows all members of a locality, whatever they have in flight; behind the first tier, also the members of a
         * locality that does not admit the call.
         */
        ANY_LOAD(true, false, false),
        /** Also allows an upstream that the call has already tried, if none of the call's attempts is in flight. */
        SAME_UPSTREAM_AGAIN(true, true, false),
        /** Also allows ejected upstreams, and any upstream that the call has already tried. */
        EJECTED_TOO(true, true, true);

        final boolean ignoresLoad;
        final boolean allowsSameUpstream;
        final boolean allowsEjected;

        Pass(boolean ignoresLoad, boolean allowsSameUpstream, boolean allowsEjected) {
            this.ignoresLoad = ignoresLoad;
            this.allowsSameUpstream = allowsSameUpstream;
            this.allowsEjected = allowsEjected;
        }
    }

    private static final Pass[] ALL_PASSES = Pass.values();
    private static final Pass[] HEALTHY_PASSES = {Pass.PREFERRED, Pass.ANY_LOAD, Pass.SAME_UPSTREAM_AGAIN};

    /** Fraction of first attempts that probe an ejected upstream. */
    private static final double PROBE_FRACTION = 1 / 50.0;
    /** Interval, in latency objectives, at which calls that would otherwise be rejected probe each ejected upstream. */
    private static final int PROBE_INTERVAL_SLOS = 2;
    /** Minimum number of upstreams that are tried first where load reports are used. */
    private static final int MIN_SUBSET = 3;

    /** Number of recent calls for which the subset of upstreams that are tried first gets one more member. */
    private static final int CALLS_PER_SUBSET_MEMBER = 18;
    /** Time constant of the decay of recent calls, in nanoseconds. */
    private static final double RECENT_CALLS_WINDOW = 6e9;
    /**
     * The first pass skips an upstream with more attempts in flight than this multiple of the mean plus
     * {@link #MAX_IN_FLIGHT_OFFSET}; the sum is scaled by the upstream's speed.
     */
    private static final double MAX_IN_FLIGHT_PER_MEAN = 1.25;

    /** Number of attempts in flight that the first pass allows in addition to the multiple of the mean. */
    private static final double MAX_IN_FLIGHT_OFFSET = 0.5;
    /** Bounds of a speed that is estimated from this balancer's own attempts, which are weak evidence. */
    private static final double MIN_SPEED = 0.25;

    private static final double MAX_SPEED = 2;
    /** Bounds of a speed that is estimated from load reports, which are stronger evidence. */
    private static final double MIN_REPORTED_SPEED = 0.02;

    private static final double MAX_REPORTED_SPEED = 3;

    private final Settings settings;
    private final FleetQuota fleetQuota;
    private final Locality[] localities;
    private final LocalityRouter router;
    private final AdmissionControl admission;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final SeededRandom random;
    private final boolean usesReports;
    private final double meanSlo;
    /** Exponentially decayed number of calls as of {@link #calledAt}. */
    private double recentCalls;

    private long calledAt;

    UpstreamSelector(
            Settings settings,
            FleetQuota fleetQuota,
            Locality[] localities,
            AdmissionControl admission,
            OutlierDetector outliers,
            SlowStart slowStart,
            SeededRandom random,
            double meanSlo) {
        this.settings = settings;
        this.fleetQuota = fleetQuota;
        this.localities = localities;
        this.admission = admission;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.random = random;
        this.meanSlo = meanSlo;
        router = new LocalityRouter(localities, random);
        usesReports = settings.usesReports();
    }

    /** Counts a call from a client. */
    void onCall(long now) {
        recentCalls = recentCalls * StrictMath.exp((calledAt - now) / RECENT_CALLS_WINDOW) + 1;
        calledAt = now;
    }

    /** Returns the number of calls, decayed exponentially with a time constant of six seconds, as of the last call. */
    double recentCalls() {
        return recentCalls;
    }

    /** Returns the upstream for the call's next attempt; null if no upstream is eligible. */
    UpstreamState select(CallState call, long now) {
        int first = usesReports ? router.drawByLoad(now, meanSlo) : router.firstHealthy(now);
        admission.drawForAttempt();
        // A call that may have only one attempt is never used as a probe.
        boolean mayProbe = call.attemptCount == 0 && call.attemptLimit > 1;
        UpstreamState probe = mayProbe && random.next() < PROBE_FRACTION ? outliers.nextProbe(now) : null;
        if (probe != null) {
            return probe;
        }
        for (Pass pass : passes()) {
            for (int i = 0; i < localities.length; i++) {
                Locality locality = localities[(first + i) % localities.length];
                UpstreamState found = rotate(locality, candidateCount(locality, pass, call, now), pass, call, now);
                if (found != null) {
                    return found;
                }
            }
        }
        // Without this, a fleet that receives few calls would send few probes, and an upstream that failed briefly
        // would stay ejected for seconds.
        return mayProbe ? outliers.nextProbe(now, PROBE_INTERVAL_SLOS * call.product.slo()) : null;
    }

    /**
     * Returns the passes to make. Except for probes, the first tier tries ejected upstreams only if no upstream is
     * healthy. Without this, attempts beyond the limits would go to the upstreams of a lost zone, which have capacity
     * when all other limits are reached, and would fail there.
     */
    private Pass[] passes() {
        if (settings.tier() != 0) {
            return ALL_PASSES;
        }
        for (Locality locality : localities) {
            if (locality.healthyCount() > 0) {
                return HEALTHY_PASSES;
            }
        }
        return ALL_PASSES;
    }

    /**
     * Returns how many members take part in the rotation; 0 if the locality does not admit the call. No balancer sees
     * the queues that other balancers cause. Where load reports are used, the first pass is therefore limited to a small
     * subset in this balancer's own order, with one more member for every three calls a second, so that each member gets
     * another attempt, and returns a new report, within seconds.
     */
    private int candidateCount(Locality locality, Pass pass, CallState call, long now) {
        boolean limited = !pass.ignoresLoad || settings.tier() == 0;
        if (limited && !admission.admits(locality, call, now)) {
            return 0;
        }
        if (pass.ignoresLoad || !usesReports) {
            return locality.members.length;
        }
        int subset = MIN_SUBSET + (int) (recentCalls / CALLS_PER_SUBSET_MEMBER);
        return Math.min(subset, locality.members.length);
    }

    /**
     * Selects the next eligible member; null if none is eligible. Members take attempts in proportion to their speed up
     * to a speed of 2, at which a member takes an attempt at every visit: each visit adds half the member's speed to its
     * credit, and a credit of 1 pays for an attempt. Slower members skip some visits.
     */
    private UpstreamState rotate(Locality locality, int candidateCount, Pass pass, CallState call, long now) {
        CallAttempt firstPossiblyExecuted = call.firstPossiblyExecutedAttempt();
        double maxInFlight = MAX_IN_FLIGHT_PER_MEAN * locality.concurrency.inFlight / Math.max(1, candidateCount)
                + MAX_IN_FLIGHT_OFFSET;
        boolean anyEligible = false;
        for (int k = 0; k < candidateCount || anyEligible; k++) {
            UpstreamState upstream = locality.members[(locality.rotationCursor + k) % candidateCount];
            double speed = speed(upstream);
            if ((pass.ignoresLoad || upstream.inFlight <= maxInFlight * speed)
                    && (pass.allowsEjected || !upstream.ejected)
                    && mayVisit(upstream, pass, call)
                    && RepeatSafety.isSafeAt(call.product, firstPossiblyExecuted, upstream)
                    && slowStart.permits(upstream, now)) {
                anyEligible = true;
                upstream.rotationCredit += speed / 2;
                if (upstream.rotationCredit >= 1) {
                    upstream.rotationCredit--;
                    locality.rotationCursor = (locality.rotationCursor + k + 1) % candidateCount;
                    return upstream;
                }
            }
        }
        return null;
    }

    /**
     * Returns whether this pass allows the upstream for the call. An upstream that failed the call is tried again if no
     * attempt is in flight, because a deduplicated call may have no other upstream.
     */
    private static boolean mayVisit(UpstreamState upstream, Pass pass, CallState call) {
        return pass.allowsEjected
                || (pass.allowsSameUpstream && call.attemptsInFlight == 0)
                || !call.hasTried(upstream);
    }

    /** Returns the upstream's estimated speed relative to the mean of its locality. */
    private double speed(UpstreamState upstream) {
        return usesReports ? reportedSpeed(upstream) : observedSpeed(upstream);
    }

    /** Returns the relative speed by load reports and the attempts since the last one; 1 if nothing is known. */
    private static double reportedSpeed(UpstreamState upstream) {
        if (upstream.latencyRatio == 0) {
            return 1;
        }
        LocalityLoad localityLoad = upstream.locality.load;
        double load = (upstream.reportedInFlight + upstream.attemptsSinceReport) / upstream.size();
        double speed = upstream.throughput() / localityLoad.meanThroughput * (localityLoad.meanLoad + 1) / (load + 1);
        return Math.max(MIN_REPORTED_SPEED, Math.min(MAX_REPORTED_SPEED, speed));
    }

    /**
     * Returns the relative speed by the upstream's nominal size, where the settings have one, and by its latency relative
     * to its class, or to its locality where there are no nominal sizes. Without this, a slow upstream would get as many
     * calls as a fast one and respond late to all of them.
     *
     * <p>One of many balancers makes too few attempts to measure an upstream's latency. The typical latency of the class
     * is used until the latency of the upstream is known. The typical latency also counts more the smaller this balancer's
     * quota of the locality is, because its own attempts in flight then do not show where the attempts of other balancers
     * queue.
     */
    private double observedSpeed(UpstreamState upstream) {
        Locality locality = upstream.locality;
        double typicalLatency = upstream.upstreamClass.typicalLatencyRatio;
        double meanLatency = locality.concurrency.latencyRatio;
        double expectedLatency = settings.nominalWeights() ? typicalLatency : meanLatency;
        double ownLatency = upstream.latencyRatio == 0 ? typicalLatency : upstream.latencyRatio;
        // Guards against a list in which all sizes are 0, with which no upstream would be selected and the rotation
        // would never end.
        double size = settings.nominalWeights() && locality.meanWeight > 0
                ? upstream.endpoint.weight() / locality.meanWeight
                : 1;
        double relativeSpeed = ownLatency == 0 || expectedLatency == 0
                ? 1
                : expectedLatency
                        / ownLatency
                        * StrictMath.pow(meanLatency / typicalLatency, 1 - fleetQuota.ofOwnLocality);
        return Math.max(MIN_SPEED, Math.min(MAX_SPEED, size * relativeSpeed));
    }
}
