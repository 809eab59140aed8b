package gorsestack.lab.standin;

import gorsestack.lab.scenario.Scenario.Tier;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Starts and holds all upstreams of a run, including those that have been replaced. Confined to the event loop. */
public final class UpstreamPool implements AutoCloseable {
    /** The maximum number of upstreams. Each needs a last byte in its address that no other upstream, relay or discovery uses. */
    private static final int MAX_UPSTREAMS = 250;

    /** The upstreams by their numbers. */
    public final List<Upstream> all = new ArrayList<>();

    private final Testbed testbed;
    private final List<IdempotencyStore> idempotencyStores = new ArrayList<>();

    /** Starts the upstreams of all tiers, warm. Those of every tier but the last one get the numbers of their sidecars. */
    public UpstreamPool(Testbed testbed) {
        this.testbed = testbed;
        int sidecar = testbed.scenario.fleet().balancers();
        for (int tier = 0; tier < testbed.scenario.tiers().size(); tier++) {
            idempotencyStores.add(new IdempotencyStore());
            Tier settings = testbed.scenario.tiers().get(tier);
            for (int i = 0; i < settings.upstreams(); i++) {
                int ownSidecar = lastTier(tier) ? Upstream.NO_SIDECAR : sidecar++;
                add(tier, testbed.zone(i), i % settings.cells(), ownSidecar, true);
            }
        }
    }

    private boolean lastTier(int tier) {
        return tier + 1 == testbed.scenario.tiers().size();
    }

    /** Returns the balancers that call a tier: those of the fleet for the first tier, otherwise the sidecars of the previous tier. */
    public List<Integer> callers(int tier) {
        int first = 0;
        int count = testbed.scenario.fleet().balancers();
        for (int earlierTier = 0; earlierTier < tier; earlierTier++) {
            first += count;
            count = testbed.scenario.tiers().get(earlierTier).upstreams();
        }
        return IntStream.range(first, first + count).boxed().toList();
    }

    /** Starts an upstream that replaces another one in the same tier, zone and cell. It begins with a slow start. */
    public Upstream addReplacement(Upstream replaced) {
        int sidecar = lastTier(replaced.tier)
                ? Upstream.NO_SIDECAR
                : testbed.scenario.fleet().balancers() + replaced.number;
        return add(replaced.tier, replaced.zone, replaced.cell, sidecar, false);
    }

    private Upstream add(int tier, String zone, int cell, int sidecar, boolean warm) {
        if (all.size() >= MAX_UPSTREAMS) {
            throw new IllegalStateException(
                    "cannot add an upstream: the addresses of a run are enough for " + MAX_UPSTREAMS + " upstreams");
        }
        Upstream added = new Upstream(
                testbed, all.size(), tier, zone, cell, idempotencyStores.get(tier), callers(tier), sidecar, warm);
        all.add(added);
        return added;
    }

    @Override
    public void close() {
        all.forEach(Upstream::close);
    }
}
