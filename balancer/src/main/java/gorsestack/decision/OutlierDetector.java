package gorsestack.decision;

import java.util.ArrayDeque;

/**
 * Ejects upstreams that fail or do not respond, selects ejected upstreams for probes, and readmits those that respond in
 * time. Part of {@link BalancingPolicy} and used on its thread.
 */
final class OutlierDetector {
    /** Number of consecutive failures at which an upstream is ejected. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    private final FleetQuota fleetQuota;
    private final UpstreamTable upstreams;
    private final SlowStart slowStart;
    private final SeededRandom random;
    /** Ejected upstreams in the order in which they are considered for a probe. */
    private final ArrayDeque<UpstreamState> ejected = new ArrayDeque<>();

    OutlierDetector(FleetQuota fleetQuota, UpstreamTable upstreams, SlowStart slowStart, SeededRandom random) {
        this.fleetQuota = fleetQuota;
        this.upstreams = upstreams;
        this.slowStart = slowStart;
        this.random = random;
    }

    /** Returns whether an attempt with this outcome is evidence about the health of its upstream. */
    static boolean isConclusive(Outcome outcome) {
        return outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT && outcome != Outcome.MALFORMED_RESPONSE;
    }

    /**
     * Processes the outcome of an attempt.
     *
     * @param late whether the latency exceeds the latency objective and is far above the mean of the locality
     */
    void onOutcome(UpstreamState upstream, Outcome outcome, boolean late, long now) {
        if (!isConclusive(outcome)) {
            return;
        }
        if (outcome != Outcome.TIMED_OUT) {
            upstream.lastResponseAt = now;
        }
        if (outcome == Outcome.FULFILLED) {
            upstream.consecutiveFailures = 0;
            // A late success readmits no upstream. Without this, each response of an overloaded upstream, which
            // responds eventually, would readmit it. Lateness is relative to the mean, so a slowdown that all
            // upstreams share keeps none of them ejected.
            setEjected(upstream, upstream.ejected && late);
        } else if (++upstream.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            setEjected(upstream, true);
        }
    }

    /**
     * Ejects the upstream of an attempt that is still in flight if the upstream has responded to nothing since the
     * attempt was sent. Without this, an upstream that accepts calls and responds to none would cause no failures until
     * the attempts time out.
     */
    void ejectIfUnresponsive(CallAttempt attempt) {
        if (attempt.inFlight && attempt.upstream.lastResponseAt < attempt.timedFrom) {
            setEjected(attempt.upstream, true);
        }
    }

    /** Ejects or readmits an upstream, and updates the number of ejected members of its locality. */
    void setEjected(UpstreamState upstream, boolean eject) {
        if (upstream.ejected == eject) {
            return;
        }
        upstream.ejected = eject;
        if (upstreams.isAvailable(upstream)) {
            upstream.locality.ejectedCount += eject ? 1 : -1;
        }
        ejected.remove(upstream);
        if (eject) {
            ejected.add(upstream);
        }
    }

    /** Returns the next ejected upstream to probe; null if none may be probed. */
    UpstreamState nextProbe(long now) {
        return nextProbe(now, 0);
    }

    /**
     * Returns the ejected upstream to probe with a call that would otherwise be rejected; null if there is none. With an
     * interval above 0, only upstreams without an attempt in flight are probed, and each is drawn with a probability
     * that grows with the time since it was last considered, so that all balancers together send each upstream as many
     * probes in an interval as there are zones.
     */
    UpstreamState nextProbe(long now, long interval) {
        for (int remaining = ejected.size(); remaining > 0; remaining--) {
            UpstreamState upstream = ejected.remove();
            ejected.add(upstream);
            boolean drawn = interval == 0 || (upstream.inFlight == 0 && drawProbe(upstream, now, interval));
            upstream.probeConsideredAt = now;
            if (drawn && upstreams.isAvailable(upstream) && slowStart.permits(upstream, now)) {
                return upstream;
            }
        }
        return null;
    }

    /** Draws whether this balancer probes the upstream now. */
    private boolean drawProbe(UpstreamState upstream, long now, long interval) {
        double elapsedFraction = Math.min(1, (now - upstream.probeConsideredAt) / (double) interval);
        return random.next() < fleetQuota.processQuota * fleetQuota.ofOwnLocality * elapsedFraction;
    }
}
