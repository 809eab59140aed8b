package gorsestack.decision;

import java.util.List;
import java.util.Optional;

/**
 * The part of one balancer's configuration on which its decisions depend. Immutable; {@link BalancingPolicy} is created with it. Times are
 * in nanoseconds.
 *
 * @param instanceIndex this balancer's index among the instances of its tier
 * @param instances the number of balancers in its tier
 * @param tier 0 for the first tier, which receives the clients' calls
 * @param zone this balancer's zone
 * @param zones all zones; traffic spills over to them in this order, cyclically from the balancer's own zone on
 * @param watchesEndpoints whether the balancer has to watch the endpoint list; otherwise the list is pushed to it
 * @param nominalWeights whether the weights in the endpoint list are the upstreams' nominal sizes
 * @param valueByWork whether a product's value is measured by the work done for it
 * @param worstProductWeight how much the worst-served product counts in the operator's optimization target, 0 for not at all; the more it
 *     counts, the less admission depends on the products' values
 * @param clockResolution the length of one step of the clock
 */
public record Settings(
        int instanceIndex,
        int instances,
        int tier,
        String zone,
        List<String> zones,
        List<Product> products,
        Limits limits,
        Rules rules,
        boolean watchesEndpoints,
        boolean nominalWeights,
        Reports reports,
        boolean valueByWork,
        double worstProductWeight,
        long clockResolution) {

    /** The effect of a repeated request. */
    public enum Repeat {
        /** A repeat has the same effect as a single request. */
        IDEMPOTENT,
        /** Within the repeat window, the upstreams in the scope recognize a repeat and do not execute it again. */
        DEDUPLICATED,
        /** A repeat may do harm. */
        NON_IDEMPOTENT
    }

    /** The upstreams that recognize a repeat of a deduplicated call. */
    public enum Scope {
        /** All upstreams. */
        ALL,
        /** The upstreams of the first attempt's zone. */
        ZONE,
        /** The upstreams of the first attempt's cell; see {@link Endpoint#cell}. */
        CELL
    }

    /**
     * Returns a zone's index among the localities: 0 for this balancer's own zone, then the others in the cyclic order of {@code zones},
     * and {@code zones.size()} for an unknown zone. If the balancer's own zone is not listed, the first zone counts as its own.
     */
    int localityOf(Optional<String> endpointZone) {
        int own = Math.max(0, zones.indexOf(zone));
        int position = endpointZone.map(zones::indexOf).orElse(-1);
        return position < 0 ? zones.size() : (position - own + zones.size()) % zones.size();
    }

    /** Returns whether upstreams report their load; otherwise a balancer relies on its own attempts. */
    boolean usesReports() {
        return reports.inFlight() >= 0;
    }

    /** Returns these settings with repeat windows shortened by a margin for the time from the decision on an attempt to its last byte. */
    public Settings withShorterRepeatWindows(long margin) {
        List<Product> shortened = products.stream()
                .map(p -> new Product(
                        p.name(),
                        p.repeat(),
                        p.scope(),
                        Math.max(0, p.repeatWindow() - margin),
                        p.slo(),
                        p.clientTimeout(),
                        p.billedValue(),
                        p.lateBilledValue()))
                .toList();
        return new Settings(
                instanceIndex,
                instances,
                tier,
                zone,
                zones,
                shortened,
                limits,
                rules,
                watchesEndpoints,
                nominalWeights,
                reports,
                valueByWork,
                worstProductWeight,
                clockResolution);
    }

    /**
     * One kind of API call.
     *
     * @param repeatWindow the time for which upstreams recognize a repeat
     * @param slo the latency objective
     * @param clientTimeout the timeout of a client that does not send one
     * @param billedValue the value of a response within the objective
     * @param lateBilledValue the value of a response after the objective
     */
    public record Product(
            String name,
            Repeat repeat,
            Scope scope,
            long repeatWindow,
            long slo,
            long clientTimeout,
            double billedValue,
            double lateBilledValue) {}

    /**
     * Limits that the operator sets.
     *
     * @param maxAttempts the maximum number of attempts of one call
     * @param mayCancel whether attempts may be cancelled
     * @param hedgingAllowed whether an attempt may start while another one of the same call is in flight
     * @param retryAfter whether rate-limit responses advise when to retry
     * @param maxRetryAfter the longest delay advised
     * @param peerMessagesAllowed whether balancers exchange messages
     */
    public record Limits(
            int maxAttempts,
            boolean mayCancel,
            boolean hedgingAllowed,
            boolean retryAfter,
            long maxRetryAfter,
            boolean peerMessagesAllowed) {}

    /**
     * The format of the load reports that upstreams send.
     *
     * @param columns the names of a report's columns
     * @param inFlight the index of the column with the calls in flight; -1 if there is none
     * @param rate the index of the column with the responses per second; -1 if there is none
     */
    public record Reports(List<String> columns, int inFlight, int rate) {
        /** Values from here on are implausible: no upstream has as many calls in flight, or as many responses per second. */
        private static final double MAX_VALUE = 1e9;

        /** The setting for upstreams that send no reports. */
        public static final Reports NONE = new Reports(List.of(), -1, -1);

        /** Returns the calls in flight; -1 if the row holds no plausible number of them. */
        double inFlightIn(double[] row) {
            return value(row, inFlight);
        }

        /**
         * Returns the responses per second; -1 if reports have no such column, so that the load is computed without a rate, and NaN if the
         * row has no plausible number in it, so that the report is ignored.
         */
        double rateIn(double[] row) {
            double responsesPerSecond = value(row, rate);
            return rate >= 0 && responsesPerSecond < 0 ? Double.NaN : responsesPerSecond;
        }

        private static double value(double[] row, int column) {
            boolean present = row != null && column >= 0 && column < row.length;
            return present && row[column] >= 0 && row[column] < MAX_VALUE ? row[column] : -1;
        }
    }

    /**
     * Parameters of discovery and of slow start that a deployment sets.
     *
     * @param watchDeadline the time after which every endpoint update counts as delivered; requests for the list are scheduled within it.
     *     After a start, it is also the longest wait for a list, the period in which a restart storm is detected, and the uptime below
     *     which a balancer counts as recently started.
     * @param slowStartTime the time for which an upstream warms up after its start
     * @param initialCapacityFraction the fraction of its capacity that an upstream has at its start
     * @param overloadMultiple the multiple of its present capacity at which an upstream fails from overload
     * @param overloadWindow the window over which attempts to an upstream are summed up for that multiple
     */
    public record Rules(
            long watchDeadline,
            long slowStartTime,
            double initialCapacityFraction,
            double overloadMultiple,
            long overloadWindow) {}
}
