package gorsestack.decision;

/**
 * The state that this balancer keeps about one upstream. It is a slot of {@link UpstreamTable}: once no call refers to
 * an upstream that was removed, another upstream may take its slot. Latencies are ratios to the latency objective. Used
 * by the mechanisms of {@link BalancingPolicy} on its thread.
 */
final class UpstreamState {
    /** Number of the slot, which gives upstreams a stable order. */
    final int index;

    Endpoint endpoint;
    Locality locality;
    UpstreamClass upstreamClass;
    /** Hash of the id, which identifies the upstream in messages between peers and orders a balancer's subset. */
    int idHash;
    /**
     * Number of calls that have an attempt at this upstream. They refer to it because the upstream of a call's first
     * attempt decides where a repeat may go.
     */
    int referencingAttempts;

    /** Number of this balancer's own attempts that are in flight to the upstream. */
    int inFlight;
    /** Credit in the weighted round-robin, which grows at each visit; an attempt costs 1. */
    double rotationCredit;
    /** Mean latency ratio of recent attempts, or of recent load reports where they are used; 0 if unknown. */
    double latencyRatio;
    /** Time at which the upstream last responded to an attempt, with success or an error, such as a refused connection. */
    long lastResponseAt;

    int consecutiveFailures;
    boolean ejected;
    /** Time at which the upstream was last considered for a probe while ejected. */
    long probeConsideredAt;

    /**
     * Time at which the newest load report was received, by this balancer or by a peer that passed it on, or at which a
     * missing response last raised the latency; 0 if never.
     */
    long reportedAt;
    /** Number of calls in flight at the upstream, from all balancers, according to its load reports. */
    double reportedInFlight;
    /** Number of this balancer's attempts since the newest load report. */
    int attemptsSinceReport;

    /** Whether the last slow-start draw permitted an attempt that has not been sent yet; used while warming up. */
    boolean slowStartPermit;
    /** Time of the last slow-start draw; used while warming up. */
    long slowStartDrawnAt;

    UpstreamState(int index) {
        this.index = index;
    }

    /** Returns the nominal size, at least 0.1 because it is used as a divisor. */
    double size() {
        return Math.max(0.1, endpoint.weight());
    }

    /**
     * Returns the throughput by Little's law: the calls in flight divided by their latency. A queue raises both in the
     * same proportion.
     */
    double throughput() {
        return Math.max(size(), reportedInFlight + 1) / Math.max(1e-3, latencyRatio);
    }

    /** Resets what was learned before a restart, as it does not apply afterwards. */
    void forgetLearned(long now) {
        consecutiveFailures = 0;
        latencyRatio = 0;
        reportedAt = 0;
        // Rule 4: permits accrue only with time. Without this, a permit kept across a restart would allow a burst.
        slowStartPermit = false;
        slowStartDrawnAt = now;
    }
}
