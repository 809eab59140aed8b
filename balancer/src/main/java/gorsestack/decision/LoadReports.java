package gorsestack.decision;

import gorsestack.decision.Settings.Product;

/**
 * Learns each upstream's load from its load reports and from those that peers pass on, and sends the newest reports to
 * peers. One of a thousand balancers sends an upstream two attempts a minute, too few to estimate its load from these
 * alone. Used by {@link BalancingPolicy} on its thread.
 */
final class LoadReports {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Latency objective in nanoseconds that is assumed if the settings contain no product. */
    private static final double DEFAULT_SLO = 1e9;
    /** Weight of a new report's latency in the moving mean. Reports are noisy, so the mean covers about the last three. */
    private static final double LATENCY_WEIGHT = 0.3;
    /** Weight of a new report's number of calls in flight in the moving mean. */
    private static final double IN_FLIGHT_WEIGHT = 0.5;
    /** Number of calls in flight that is added to the reported one, so that the latency of an idle upstream is not 0. */
    private static final double IDLE_IN_FLIGHT = 0.2;
    /** Number of responses that the moving mean of the work of a call covers. */
    private static final int WORK_WINDOW = 20;
    /**
     * Multiple of the time without a response that counts as the latency of an upstream. Without this, an upstream that
     * does not respond would keep its last reported latency, because it sends no reports either.
     */
    private static final int SILENCE_FACTOR = 4;
    /** Number of peers that are sent a message when an attempt ends. Two messages spread a report faster than one that is twice as long. */
    private static final int PEERS_PER_OUTCOME = 2;

    private final Settings settings;
    private final UpstreamTable upstreams;
    private final OutlierDetector outliers;
    private final SeededRandom random;
    private final PolicyActions actions;
    /** Whether upstreams send load reports. */
    private final boolean enabled;
    /** Mean latency objective of all products, in nanoseconds. */
    private final double meanSlo;
    /** Latency ratio of a call that is alone at an upstream of size 1; 0 if unknown. */
    private double workPerCall;

    LoadReports(
            Settings settings,
            UpstreamTable upstreams,
            OutlierDetector outliers,
            SeededRandom random,
            PolicyActions actions) {
        this.settings = settings;
        this.upstreams = upstreams;
        this.outliers = outliers;
        this.random = random;
        this.actions = actions;
        enabled = settings.usesReports();
        meanSlo = settings.products().stream().mapToLong(Product::slo).average().orElse(DEFAULT_SLO);
    }

    double meanSlo() {
        return meanSlo;
    }

    /** Processes a load report that an upstream sent. Ignores a malformed report and one from an unknown upstream. */
    void onReport(String id, double[] row, long now) {
        UpstreamState upstream = upstreams.find(id);
        double inFlight = settings.reports().inFlightIn(row);
        double rate = settings.reports().rateIn(row);
        if (upstream == null || inFlight < 0 || Double.isNaN(rate)) {
            return;
        }
        double latency = expectedLatency(upstream, inFlight, rate);
        update(
                upstream,
                upstream.latencyRatio == 0
                        ? latency
                        : upstream.latencyRatio + (latency - upstream.latencyRatio) * LATENCY_WEIGHT,
                upstream.reportedAt == 0
                        ? inFlight
                        : upstream.reportedInFlight + (inFlight - upstream.reportedInFlight) * IN_FLIGHT_WEIGHT,
                now);
    }

    /**
     * Returns the latency ratio to expect of the next call at an upstream. With a reported rate, this is by Little's law
     * the time that responding to the calls in flight takes; without a rate, it is the work of these calls and of the
     * next one.
     */
    private double expectedLatency(UpstreamState upstream, double inFlight, double rate) {
        return rate < 0
                ? workPerCall * (inFlight + 1) / upstream.size()
                : (inFlight + IDLE_IN_FLIGHT) / (rate + 1) * NANOS_PER_SECOND / meanSlo;
    }

    /** Processes a peer's message. The newest report on an upstream is kept, whichever balancer received it. */
    void onPeerMessage(byte[] message, long now) {
        LoadGossip.read(message, now, (idHash, latencyRatio, inFlight, reportedAt) -> {
            UpstreamState upstream = upstreams.findByIdHash(idHash);
            if (enabled
                    && upstream != null
                    && reportedAt > Math.max(upstream.reportedAt, upstreams.startedAt(upstream))) {
                update(upstream, latencyRatio, inFlight, reportedAt);
            }
        });
    }

    /**
     * Replaces the known load of an upstream. Readmits an ejected one whose latency is below the objective or below three
     * times the mean of its locality.
     */
    private void update(UpstreamState upstream, double latencyRatio, double inFlight, long reportedAt) {
        double readmissionRatio = Math.max(1, 3 * upstream.locality.load.latencyRatio);
        outliers.setEjected(upstream, upstream.ejected && latencyRatio >= readmissionRatio);
        upstream.reportedInFlight = inFlight;
        upstream.attemptsSinceReport = 0;
        upstream.latencyRatio = latencyRatio;
        upstream.reportedAt = reportedAt;
    }

    /** Raises the latency of an upstream at which an attempt has had no response for the given duration. */
    void onSilence(UpstreamState upstream, long duration, long now) {
        if (enabled) {
            double increase = Math.max(0, SILENCE_FACTOR * duration / meanSlo - upstream.latencyRatio);
            update(upstream, upstream.latencyRatio + increase * LATENCY_WEIGHT, upstream.reportedInFlight, now);
        }
    }

    /**
     * Processes the end of an attempt: learns the work of a call from a response that contained a load report, and sends
     * the newest reports to peers.
     */
    void onOutcome(UpstreamState upstream, Product product, Outcome outcome, long latency, long now) {
        if (!enabled) {
            return;
        }
        if (outcome == Outcome.FULFILLED && upstream.reportedAt == now) {
            double work = latency / (double) product.slo() * upstream.size() / (upstream.reportedInFlight + 1);
            workPerCall += (work - workPerCall) / (workPerCall == 0 ? 1 : WORK_WINDOW);
        }
        sendToPeers(now);
    }

    /** Sends the newest load reports to peers that are chosen at random. */
    private void sendToPeers(long now) {
        if (!settings.limits().peerMessagesAllowed() || settings.instances() <= 1) {
            return;
        }
        UpstreamState[] newest = upstreams.newestReported(LoadGossip.MAX_ENTRIES);
        if (newest.length == 0) {
            return;
        }
        byte[] message = LoadGossip.write(newest, now);
        for (int i = 0; i < PEERS_PER_OUTCOME; i++) {
            int peer = (int) (random.next() * (settings.instances() - 1));
            actions.sendToPeer(peer < settings.instanceIndex() ? peer : peer + 1, message);
        }
    }
}
