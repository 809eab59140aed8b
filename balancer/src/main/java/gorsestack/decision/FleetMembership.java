package gorsestack.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Applies updates from discovery and maintenance orders from operators to the upstreams, and assigns the available
 * upstreams to localities. Used by {@link BalancingPolicy} on its thread.
 */
final class FleetMembership {
    /**
     * Minimum concurrency limit of one upstream for the whole fleet, in attempts. Three attempts at an upstream hardly
     * queue, because part of their time is spent in the tier below.
     */
    private static final int MIN_LIMIT_PER_UPSTREAM = 3;

    private final Settings settings;
    private final FleetQuota fleetQuota;
    private final UpstreamTable upstreams;
    private final Locality[] localities;
    private final OutlierDetector outliers;
    private final SeededRandom random;

    FleetMembership(
            Settings settings,
            FleetQuota fleetQuota,
            UpstreamTable upstreams,
            Locality[] localities,
            OutlierDetector outliers,
            SeededRandom random) {
        this.settings = settings;
        this.fleetQuota = fleetQuota;
        this.upstreams = upstreams;
        this.localities = localities;
        this.outliers = outliers;
        this.random = random;
    }

    /** Applies a snapshot or a delta of the endpoint list, and frees the slots of removed upstreams that no call uses. */
    void apply(EndpointUpdate update, long now) {
        if (update.isDelta()) {
            for (Endpoint endpoint : update.endpoints()) {
                apply(endpoint, now);
            }
        } else {
            applySnapshot(update, now);
        }
        for (UpstreamState upstream : upstreams.releasable()) {
            outliers.setEjected(upstream, false);
            upstreams.release(upstream);
        }
        assignLocalities(now);
    }

    /** Applies a snapshot: upstreams that it does not contain have been removed. */
    private void applySnapshot(EndpointUpdate update, long now) {
        boolean[] listed =
                new boolean[upstreams.slots().size() + update.endpoints().size()];
        for (Endpoint endpoint : update.endpoints()) {
            listed[apply(endpoint, now).index] = true;
        }
        for (UpstreamState upstream : upstreams.slots()) {
            if (!listed[upstream.index]) {
                upstreams.update(upstream, upstream.endpoint.removed());
            }
        }
    }

    private UpstreamState apply(Endpoint endpoint, long now) {
        UpstreamState known = upstreams.find(endpoint.id());
        return known == null ? add(endpoint, now) : update(known, endpoint, now);
    }

    private UpstreamState add(Endpoint endpoint, long now) {
        UpstreamState upstream = upstreams.findOrAdd(endpoint.id());
        upstream.rotationCredit = random.next();
        place(upstream, endpoint);
        upstreams.update(upstream, endpoint);
        upstream.identity.onListed(now);
        resetState(upstream, now);
        return upstream;
    }

    /** Updates an upstream; forgets what was learned if it has restarted, had been removed or is in another zone than before. */
    private UpstreamState update(UpstreamState upstream, Endpoint listed, long now) {
        Endpoint previous = upstream.endpoint;
        // What was known of a removed upstream stays: the message that removes it may hold nothing but its id.
        Endpoint endpoint = listed.state() == EndpointState.GONE ? previous.removed() : listed;
        boolean moved = endpoint.zone().isPresent() && settings.localityOf(endpoint.zone()) != upstream.locality.index;
        boolean restarted = previous.startedAt() != endpoint.startedAt() || previous.state() == EndpointState.GONE;
        if (moved) {
            place(upstream, endpoint);
        }
        upstreams.update(upstream, endpoint);
        if (restarted) {
            upstream.identity.onListed(now);
        }
        if (restarted || moved) {
            resetState(upstream, now);
        }
        return upstream;
    }

    /** Puts an upstream into the locality of its zone. Attempts in flight stay counted in the locality in which they began. */
    private void place(UpstreamState upstream, Endpoint endpoint) {
        int locality = settings.localityOf(endpoint.zone());
        upstream.locality = localities[locality];
        upstream.upstreamClass = upstreams.classOf(locality, endpoint.kind(), endpoint.weight());
    }

    private void resetState(UpstreamState upstream, long now) {
        outliers.setEjected(upstream, false);
        upstream.forgetLearned(now);
    }

    /**
     * Applies an operator's maintenance order. An upstream in maintenance gets no attempts, whatever discovery reports.
     *
     * @param endedAt when the maintenance ended, from which time the upstream warms up, or
     *     {@link UpstreamTable#NOT_ENDED} to begin it
     */
    void setMaintenance(String id, long endedAt, long now) {
        upstreams.setMaintenance(id, endedAt);
        UpstreamState upstream = upstreams.find(id);
        if (upstream != null) {
            resetState(upstream, now);
            assignLocalities(now);
        }
    }

    /**
     * Sets this process's quota and scales the concurrency limits to it. Without this, two processes that run side by
     * side during an upgrade would each act as the whole balancer.
     */
    void setProcessQuota(double quota, long now) {
        for (Locality locality : localities) {
            locality.concurrency.limit *= quota / fleetQuota.processQuota;
        }
        fleetQuota.processQuota = quota;
        assignLocalities(now);
    }

    /** Recomputes the members of each locality, the sums over them, and the minimum concurrency limits. */
    private void assignLocalities(long now) {
        UpstreamState[][] members = availableByLocality();
        for (Locality locality : localities) {
            if (settings.usesReports()) {
                sortBySubsetRank(members[locality.index]);
            }
            locality.setMembers(members[locality.index], upstreams, now);
            int count = locality.members.length;
            locality.concurrency.setMinLimit(
                    MIN_LIMIT_PER_UPSTREAM * count * fleetQuota.processQuota * fleetQuota.ofLocality(locality.index));
        }
    }

    /** Returns the available upstreams of each locality, in the order of their slots, in one pass because lists are large. */
    private UpstreamState[][] availableByLocality() {
        List<UpstreamState> slots = upstreams.slots();
        UpstreamState[][] members = new UpstreamState[localities.length][slots.size()];
        int[] counts = new int[localities.length];
        for (int i = 0; i < slots.size(); i++) {
            UpstreamState upstream = slots.get(i);
            if (upstreams.isAvailable(upstream)) {
                int locality = upstream.locality.index;
                members[locality][counts[locality]++] = upstream;
            }
        }
        for (int i = 0; i < members.length; i++) {
            members[i] = Arrays.copyOf(members[i], counts[i]);
        }
        return members;
    }

    /**
     * Sorts upstreams into this balancer's own order, which is used with load reports. The sort key holds rank and slot
     * in one number, because numbers sort faster than objects.
     */
    private void sortBySubsetRank(UpstreamState[] members) {
        long[] sortKeys = new long[members.length];
        for (int i = 0; i < members.length; i++) {
            sortKeys[i] =
                    (long) UpstreamTable.subsetRank(members[i], settings.instanceIndex()) << 32 | members[i].index;
        }
        Arrays.sort(sortKeys);
        for (int i = 0; i < members.length; i++) {
            members[i] = upstreams.slots().get((int) sortKeys[i]);
        }
    }
}
