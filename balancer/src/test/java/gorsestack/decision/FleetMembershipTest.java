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
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.Test;

/** Tests that updates from discovery and maintenance orders of operators are applied to the upstreams. */
class FleetMembershipTest {
    @Test
    void removesUpstreamMissingFromSnapshotButNotFromDelta() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 2, false, Scope.ALL), 1);
        UpstreamState upstream = simulation.policy.upstreams.find("u0");
        simulation.updateEndpoints(Kind.DELTA, entry("u1", EndpointState.READY, 0, 0, "a"));
        assertEquals(EndpointState.READY, upstream.endpoint.state());
        simulation.updateEndpoints(Kind.SNAPSHOT, entry("u1", EndpointState.READY, 0, 0, "a"));
        assertEquals(EndpointState.GONE, upstream.endpoint.state());
        assertNull(simulation.policy.upstreams.find("u0"));
        assertEquals(1, upstream.locality.members.length);
    }

    /**
     * An upstream that is listed in another zone than before belongs to that zone from then on. The attempts in flight at it stay counted in
     * the zone in which they began; without this, that zone would count them for good.
     */
    @Test
    void movesUpstreamToTheZoneInWhichItIsListed() {
        PolicySimulation simulation = new PolicySimulation(PolicySimulation.settings(1, 0, 2, false, Scope.ALL), 1);
        simulation.updateEndpoints(Kind.CACHED, entry("u0", EndpointState.READY, 0, 0, "a"));
        UpstreamState upstream = simulation.policy.upstreams.find("u0");
        Locality before = upstream.locality;
        simulation.call("c", "once", 400 * MS);
        assertEquals(1, before.concurrency.inFlight);
        simulation.updateEndpoints(Kind.DELTA, entry("u0", EndpointState.READY, 5, 0, "b"));
        assertEquals(1, upstream.locality.index);
        assertEquals(0, before.members.length);
        assertEquals(1, upstream.locality.members.length);
        simulation.end("c", 0, Outcome.FULFILLED);
        assertEquals(0, before.concurrency.inFlight);
        assertEquals(0, upstream.locality.concurrency.inFlight);
    }

    /** An entry that tells no zone neither moves the upstream nor says that its process is the listed one. */
    @Test
    void keepsLocalityAndDoubtOfUpstreamWhoseEntryTellsNoZone() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 2, false, Scope.ALL), 1);
        UpstreamState upstream = simulation.policy.upstreams.find("u0");
        Locality before = upstream.locality;
        simulation.policy.identities().onContactLost("u0", simulation.now);
        simulation.updateEndpoints(
                Kind.DELTA,
                new Endpoint("u0", EndpointState.DRAINING, 0, OptionalInt.empty(), 1, "", Optional.empty()));
        simulation.updateEndpoints(Kind.DELTA, entry("u0", EndpointState.READY, 0, 0, "a"));
        assertSame(before, upstream.locality);
        assertFalse(upstream.identity.isKnown());
        simulation.updateEndpoints(Kind.DELTA, entry("u0", EndpointState.READY, 5, 0, "a"));
        assertTrue(upstream.identity.isKnown(), "it has restarted");
    }

    /**
     * Discovery may list an upstream that is in maintenance, also with a new start time or, after it was removed, in another
     * slot. Maintenance has to hold in each of these cases.
     */
    @Test
    void sendsNothingToUpstreamInMaintenanceWhenDiscoveryListsIt() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 2, false, Scope.ALL), 1);
        int[] callCount = new int[1];
        IntSupplier callsToU1 = () -> {
            int sentToU1 = 0;
            for (int i = 0; i < 100; i++) {
                String id = "c" + callCount[0]++;
                simulation.call(id, "read", 1000 * MS);
                sentToU1 +=
                        simulation.calls.get(id).attempts.stream().anyMatch(attempt -> attempt.upstream.equals("u1"))
                                ? 1
                                : 0;
                simulation.fulfilLater(id, 20 * MS);
                simulation.runTo(simulation.now + 50 * MS);
            }
            return sentToU1;
        };
        assertTrue(callsToU1.getAsInt() > 10);
        simulation.policy.setMaintenance(simulation.now, "u1", UpstreamTable.NOT_ENDED);
        assertEquals(0, callsToU1.getAsInt());
        simulation.updateEndpoints(Kind.DELTA, entry("u1", EndpointState.READY, simulation.now, 0, "a"));
        assertEquals(0, callsToU1.getAsInt(), "calls after a restart of the upstream");
        simulation.updateEndpoints(
                Kind.SNAPSHOT,
                entry("u2", EndpointState.READY, 0, 0, "a"),
                entry("u3", EndpointState.READY, 0, 0, "a"));
        simulation.updateEndpoints(
                Kind.DELTA, entry("u9", EndpointState.READY, 0, 0, "a"), entry("u1", EndpointState.READY, 0, 0, "a"));
        assertEquals(0, callsToU1.getAsInt(), "calls after discovery removed the upstream and listed it again");
        simulation.policy.setMaintenance(simulation.now, "u1", simulation.now);
        int afterReturn = callsToU1.getAsInt();
        assertTrue(
                afterReturn > 0 && afterReturn < 15,
                afterReturn + " of 100 calls in 5 s to the upstream that was returned to service");
        for (String id : List.of("u1", "u2", "u3", "u9")) {
            simulation.policy.setMaintenance(simulation.now, id, UpstreamTable.NOT_ENDED);
        }
        simulation.call("none", "once", 1000 * MS);
        assertEquals(
                "rate-limited",
                simulation.calls.get("none").response,
                "immediate response while all upstreams are in maintenance");
        simulation.settle();
    }
}
