package gorsestack.decision;

/**
 * The state that this balancer keeps about one upstream. It is a slot of {@link UpstreamTable}: once no call refers to
 * an upstream that was removed, another upstream may take its slot. Latencies are ratios to the latency objective. Used
 * by the mechanisms of {@link BalancingPolicy} on its thread.
 */
final class UpstreamState {
    /** Number of the slot, which gives upstreams a stable order. */
    final int index;

    /** What is known about the process at the upstream's address. */
    final UpstreamIdentity identity = new UpstreamIdentity();

    Endpoint endpoint;
    Locality locality;
    UpstreamClass upstreamClass;
    /** Hash of the id, which identifies the upstream in messages between peers and gives each balancer its own order of upstreams. */
    int idHash;
    /**
     * Number of attempts at this upstream whose calls have not been released. They refer to it because the upstream of a
     * call's first attempt decides where a repeat may go.
     */
    int referencingAttempts;

    /** Number of this balancer's attempts in flight to the upstream, without those whose request body is still arriving. */
    int inFlight;
    /** Credit in the weighted round-robin, which grows at each visit; an attempt costs 1. */
    double rotationCredit;
    /** Mean latency ratio of recent attempts, or of recent load reports where they are used; 0 if unknown. */
    double latencyRatio;
    /** Time at which an attempt last ended with a conclusive outcome other than a timeout, even a refused connection; 0 if never. */
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
    /** Moving mean, over load reports, of the number of calls in flight at the upstream from all balancers. */
    double reportedInFlight;
    /** Number of this balancer's attempts since a load report or a missing response last updated the upstream's load. */
    int attemptsSinceReport;

    /** Whether the last slow-start draw, or an earlier one, permitted an attempt that has not been sent; used while warming up. */
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
     * same proportion. The calls in flight include the next one and are at least the nominal size.
     */
    double throughput() {
        return Math.max(size(), reportedInFlight + 1) / Math.max(1e-3, latencyRatio);
    }

    /** Forgets what was learned, as it does not apply to an upstream that is new, has restarted or gets a maintenance order. */
    void forgetLearned(long now) {
        consecutiveFailures = 0;
        latencyRatio = 0;
        reportedAt = 0;
        // Rule 4: permits accrue only with time. Without this, a permit kept across a restart would allow a burst.
        slowStartPermit = false;
        slowStartDrawnAt = now;
    }
}
