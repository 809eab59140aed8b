package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests of the load that is computed from the load reports of a locality's upstreams. */
class LocalityLoadTest {
    private static final double SLO = 400 * MS;

    private static UpstreamState reported(double inFlight, double latencyRatio, long reportedAt) {
        UpstreamState upstream = new UpstreamState(0);
        upstream.endpoint = entry("u", EndpointState.READY, 0, 0, "a");
        upstream.reportedInFlight = inFlight;
        upstream.latencyRatio = latencyRatio;
        upstream.reportedAt = reportedAt;
        return upstream;
    }

    @Test
    void followsLatencyOfUpstreamsUntilTheirReportsAreOld() {
        LocalityLoad load = new LocalityLoad();
        UpstreamState[] members = {reported(30, 2, MS), reported(30, 2, MS)};
        load.refresh(members, MS, SLO);
        assertTrue(load.latencyRatio > 1.9, "latency " + load.latencyRatio);
        assertTrue(load.meanLoad > 29, "load " + load.meanLoad);
        load.refresh(members, 100_000 * MS, SLO);
        assertTrue(load.latencyRatio < 0.01, "latency " + load.latencyRatio);
    }

    @Test
    void ignoresEjectedUpstreams() {
        LocalityLoad load = new LocalityLoad();
        UpstreamState ejected = reported(30, 2, MS);
        ejected.ejected = true;
        load.refresh(new UpstreamState[] {ejected, reported(0, 0.1, MS)}, MS, SLO);
        assertTrue(load.latencyRatio < 0.2, "latency " + load.latencyRatio);
        assertEquals(0.4, load.latencyLimit, "the lowest latency limit");
    }
}
