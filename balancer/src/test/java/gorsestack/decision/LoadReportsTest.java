package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Scope;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/** Tests of what a balancer learns from load reports and from its peers. */
class LoadReportsTest {
    @Test
    void ignoresMalformedReportsAndThoseOfUnknownUpstreams() {
        PolicySimulation simulation = new PolicySimulation(
                PolicySimulation.reporting(PolicySimulation.settings(1000, 0, 1, false, Scope.ALL), 0), 1);
        simulation.updateEndpoints(Kind.CACHED, entry("u0", EndpointState.READY, 0, 0, "a"));
        UpstreamState upstream = simulation.policy.upstreams.find("u0");
        simulation.policy.onLoadReport(simulation.now, "u1", new double[] {30, 3});
        simulation.policy.onLoadReport(simulation.now, "u0", new double[] {30});
        simulation.policy.onLoadReport(simulation.now, "u0", new double[] {Double.NaN, 3});
        assertEquals(0, upstream.reportedAt);
        simulation.policy.onLoadReport(simulation.now, "u0", new double[] {30, 3});
        assertEquals(simulation.now, upstream.reportedAt);
        assertEquals(3, upstream.reportedInFlight);
    }

    /**
     * Returns how many of the calls to one of a thousand balancers go to u0.
     *
     * @param before runs before each call, with the number of the call
     */
    private static int callsToU0(int calls, int instanceIndex, BiConsumer<PolicySimulation, Integer> before) {
        PolicySimulation simulation = new PolicySimulation(
                PolicySimulation.reporting(PolicySimulation.settings(1000, 0, 1, false, Scope.ALL), instanceIndex),
                instanceIndex);
        simulation.updateEndpoints(
                Kind.CACHED, entry("u0", EndpointState.READY, 0, 0, "a"), entry("u1", EndpointState.READY, 0, 0, "a"));
        int sentToU0 = 0;
        for (int i = 0; i < calls; i++) {
            before.accept(simulation, i);
            simulation.call("c" + i, "once", 1000 * MS);
            List<PolicySimulation.Attempt> attempts = simulation.calls.get("c" + i).attempts;
            sentToU0 += !attempts.isEmpty() && attempts.get(0).upstream.equals("u0") ? 1 : 0;
            simulation.fulfilLater("c" + i, 20 * MS);
            simulation.runTo(simulation.now + 100 * MS);
        }
        simulation.settle();
        return sentToU0;
    }

    /** One of a thousand balancers sends an upstream too few attempts to estimate its load; it uses the reports of its peers. */
    @Test
    void prefersFasterUpstreamByOwnReportsAndThoseOfPeers() {
        BiConsumer<PolicySimulation, Integer> receiveReports = (simulation, i) -> {
            simulation.policy.onLoadReport(simulation.now, "u0", new double[] {5, 30});
            simulation.policy.onLoadReport(simulation.now, "u1", new double[] {30, 3});
        };
        assertTrue(callsToU0(100, 0, (simulation, i) -> {}) > 30, "without reports no upstream is preferred");
        int byReports = callsToU0(100, 0, receiveReports);
        assertTrue(byReports < 12, byReports + " calls to the slow upstream with its own reports");
        PolicySimulation peer = new PolicySimulation(
                PolicySimulation.reporting(PolicySimulation.settings(1000, 0, 1, false, Scope.ALL), 7), 7);
        peer.updateEndpoints(
                Kind.CACHED,
                entry("u0", EndpointState.READY, 0, 0, "a"),
                entry("u1", EndpointState.READY, 0, 0, "a"),
                entry("u9", EndpointState.READY, 0, 0, "a"));
        int byPeerMessages = callsToU0(100, 3, (simulation, i) -> {
            peer.now = simulation.now;
            receiveReports.accept(peer, i);
            peer.policy.onLoadReport(peer.now, "u9", new double[] {30, 3});
            peer.call("t" + i, "once", 1000 * MS);
            peer.end("t" + i, 0, Outcome.FULFILLED);
            simulation.policy.onPeerMessage(simulation.now, peer.peerMessages.get(peer.peerMessages.size() - 1));
        });
        assertTrue(byPeerMessages < 12, byPeerMessages + " calls to the slow upstream with messages of a peer");
        assertEquals(200, peer.peerMessages.size(), "two peer messages for each attempt that ends");
    }

    /**
     * An upstream that does not respond sends no reports either. Its last good report would attract calls for as long as
     * it hangs.
     */
    @Test
    void raisesLatencyOfUpstreamThatDoesNotRespond() {
        PolicySimulation simulation = new PolicySimulation(
                PolicySimulation.reporting(PolicySimulation.settings(1000, 0, 1, false, Scope.ALL), 0), 1);
        simulation.updateEndpoints(Kind.CACHED, entry("u0", EndpointState.READY, 0, 0, "a"));
        simulation.policy.onLoadReport(simulation.now, "u0", new double[] {30, 3});
        double before = simulation.policy.upstreams.slots().get(0).latencyRatio;
        simulation.runTo(simulation.now + 10 * MS);
        simulation.call("c", "once", 1000 * MS);
        simulation.runTo(simulation.now + 900 * MS);
        assertTrue(
                simulation.policy.upstreams.slots().get(0).latencyRatio > 2 * before,
                before + " to " + simulation.policy.upstreams.slots().get(0).latencyRatio);
    }

    /**
     * While all calls are rejected, no attempt is sent and no new report arrives. If the old reports kept their weight,
     * all calls would stay rejected.
     */
    @Test
    void admitsCallsAgainWhenReportsOfOverloadAreOld() {
        PolicySimulation simulation = new PolicySimulation(
                PolicySimulation.reporting(PolicySimulation.settings(1000, 0, 1, false, Scope.ALL), 0), 1);
        simulation.updateEndpoints(Kind.CACHED, entry("u0", EndpointState.READY, 0, 0, "a"));
        for (int i = 0; i < 20; i++) {
            simulation.policy.onLoadReport(simulation.now, "u0", new double[] {1, 200});
        }
        int[] admitted = new int[2];
        for (int i = 0; i < 1100; i++) {
            int phase = i < 1000 ? 0 : 1;
            simulation.call("c" + i, "once", 1000 * MS);
            admitted[phase] += simulation.calls.get("c" + i).attempts.size();
            simulation.fulfilLater("c" + i, 10 * MS);
            simulation.runTo(simulation.now + (i == 999 ? 30_000 : phase == 0 ? 1 : 20) * MS);
        }
        assertTrue(
                admitted[0] > 0 && admitted[0] < 150 && admitted[1] > 80,
                admitted[0] + " calls admitted during the overload, " + admitted[1] + " after it");
    }
}
