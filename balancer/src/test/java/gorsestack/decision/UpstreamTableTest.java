package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Scope;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that slots of upstreams are assigned, kept while a call refers to them, and freed. */
class UpstreamTableTest {
    @Test
    void findsUpstreamByIdHashUnlessTwoIdsHaveTheSame() {
        UpstreamTable table = new UpstreamTable();
        UpstreamState upstream = table.findOrAdd("u0");
        assertSame(upstream, table.findOrAdd("u0"));
        assertSame(upstream, table.findByIdHash(upstream.idHash));
        assertNull(table.findByIdHash(upstream.idHash + 1));
        int[] seen = new int[1 << 24];
        for (int i = 1; ; i++) {
            UpstreamState other = table.findOrAdd("u" + i);
            if (seen[other.idHash] > 0) {
                assertNull(table.findByIdHash(other.idHash), "two ids with the same hash");
                return;
            }
            seen[other.idHash] = i;
        }
    }

    @Test
    void returnsUpstreamsWithNewestReportsFirst() {
        UpstreamTable table = new UpstreamTable();
        long[] reportedAt = {3, 0, 5, 1, 4};
        for (int i = 0; i < reportedAt.length; i++) {
            table.findOrAdd("u" + i).reportedAt = reportedAt[i];
        }
        UpstreamState[] newest = table.newestReported(3);
        assertEquals(3, newest.length);
        assertEquals(5, newest[0].reportedAt);
        assertEquals(4, newest[1].reportedAt);
        assertEquals(3, newest[2].reportedAt);
    }

    @Test
    void combinesMaintenanceWithStateFromDiscovery() {
        UpstreamTable table = new UpstreamTable();
        UpstreamState upstream = table.findOrAdd("u0");
        table.update(upstream, entry("u0", EndpointState.READY, 5, 0, "a"));
        assertTrue(table.isAvailable(upstream));
        table.setMaintenance("u0", UpstreamTable.NOT_ENDED);
        assertFalse(table.isAvailable(upstream));
        assertEquals(5, table.startedAt(upstream));
        table.setMaintenance("u0", 9);
        assertTrue(table.isAvailable(upstream));
        assertEquals(9, table.startedAt(upstream));
        assertTrue(table.isWarmingUp(upstream, 18, 10));
        assertFalse(table.isWarmingUp(upstream, 19, 10));
    }

    /**
     * New upstreams have new ids, so the state of removed ones has to be released, or memory runs out. It must not pass to
     * the upstream that reuses the slot.
     */
    @Test
    void releasesRemovedUpstreamsWhenNoCallRefersToThem() {
        UpstreamTable table = new UpstreamTable();
        UpstreamState first = table.findOrAdd("u0");
        first.endpoint = entry("u0", EndpointState.GONE, 0, 0, "a");
        first.referencingAttempts = 1;
        assertTrue(!table.isReleasable(first), "not releasable while a call refers to the upstream");
        first.referencingAttempts = 0;
        first.lastResponseAt = 5;
        table.release(first);
        assertTrue(!table.isReleasable(first), "not releasable twice");
        assertEquals(first, table.findOrAdd("u1"));
        assertEquals(0, first.lastResponseAt);
        for (int seed = 0; seed < 5; seed++) {
            PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(2, 0, 2, false, Scope.CELL), seed);
            for (int i = 0; i < 500; i++) {
                simulation.call("c" + i, List.of("read", "mark", "once").get(i % 3), 1000 * MS);
                int removed = i;
                simulation.updateEndpoints(
                        Kind.DELTA,
                        entry("u" + removed, EndpointState.GONE, 0, removed % 6 / 2, removed % 6 < 3 ? "a" : "b"),
                        entry("u" + (i + 6), EndpointState.READY, 0, i % 6 / 2, i % 6 < 3 ? "a" : "b"));
                simulation.runTo(simulation.now + 20 * MS);
                simulation.end("c" + i, 0, i % 5 == 0 ? Outcome.ERROR : Outcome.FULFILLED);
            }
            int slots = simulation.policy.upstreams.slots().size();
            assertTrue(slots < 80, "slots: " + slots);
            simulation.settle();
        }
    }
}
