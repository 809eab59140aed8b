package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests of which locality an attempt tries first. */
class LocalityRouterTest {
    private static Locality locality(int index, int members, int ejected) {
        Locality locality = new Locality(index, 0);
        locality.members = new UpstreamState[members];
        locality.ejectedCount = ejected;
        return locality;
    }

    @Test
    void skipsLocalityWithTooFewHealthyUpstreams() {
        Locality[] localities = {locality(0, 10, 4), locality(1, 10, 0)};
        LocalityRouter router = new LocalityRouter(localities, new SeededRandom(1));
        assertEquals(1, router.firstHealthy(1000 * MS));
        localities[0].ejectedCount = 3;
        assertEquals(0, router.firstHealthy(1001 * MS));
        localities[0].ejectedCount = 4;
        localities[1].ejectedCount = 10;
        assertEquals(0, router.firstHealthy(1002 * MS), "own locality when no locality has enough healthy upstreams");
    }

    @Test
    void drawsOwnLocalityMostOftenUnlessItIsOverloaded() {
        UpstreamState[] members = new UpstreamState[2];
        Locality[] localities = {new Locality(0, 0), new Locality(1, 0)};
        for (int i = 0; i < members.length; i++) {
            members[i] = new UpstreamState(i);
            members[i].endpoint = entry("u" + i, EndpointState.READY, 0, 0, "a");
            members[i].reportedAt = MS;
            members[i].latencyRatio = 0.5;
            localities[i].members = new UpstreamState[] {members[i]};
        }
        LocalityRouter router = new LocalityRouter(localities, new SeededRandom(1));
        int toOther = 0;
        for (int i = 0; i < 1000; i++) {
            toOther += router.drawByLoad(MS, 400 * MS);
        }
        assertTrue(toOther > 0 && toOther < 40, toOther + " of 1000 to the other locality");
        members[0].reportedInFlight = 200;
        members[0].latencyRatio = 100;
        toOther = 0;
        for (int i = 0; i < 1000; i++) {
            toOther += router.drawByLoad(MS, 400 * MS);
        }
        assertTrue(toOther > 900, toOther + " of 1000 to the other locality while the own one is overloaded");
    }

    /** With one upstream in each zone, one slow response once made traffic leave the zone for five seconds. */
    @Test
    void returnsToLocalityAfterAsLongAsItWasUnhealthy() {
        for (int unhealthyTime : new int[] {100, 2000, 9000}) {
            PolicySimulation simulation = new PolicySimulation(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
            simulation.updateEndpoints(
                    Kind.CACHED,
                    entry("u0", EndpointState.READY, 0, 0, "a"),
                    entry("u1", EndpointState.READY, 0, 1, "b"));
            simulation.call("slow", "once", 12_000 * MS);
            assertEquals("u0", simulation.calls.get("slow").attempts.get(0).upstream);
            simulation.runTo(simulation.now + 210 * MS);
            long startedAt = simulation.now;
            int calls = 0;
            for (; simulation.now < startedAt + unhealthyTime * MS; simulation.runTo(simulation.now + 50 * MS)) {
                simulation.call("c" + ++calls, "once", 1000 * MS);
                simulation.end("c" + calls, 0, Outcome.FULFILLED);
                assertEquals("u1", simulation.calls.get("c" + calls).attempts.get(0).upstream);
            }
            simulation.updateEndpoints(
                    Kind.DELTA, entry("u0", EndpointState.READY, simulation.now - 30_000 * MS, 0, "a"));
            long recoveredAt = simulation.now;
            while (simulation.now < recoveredAt + 6000 * MS) {
                simulation.call("c" + ++calls, "once", 1000 * MS);
                String selected = simulation.calls.get("c" + calls).attempts.get(0).upstream;
                simulation.end("c" + calls, 0, Outcome.FULFILLED);
                if (selected.equals("u0")) {
                    break;
                }
                simulation.runTo(simulation.now + 50 * MS);
            }
            long returnDelay = (simulation.now - recoveredAt) / MS;
            assertTrue(
                    returnDelay <= Math.min(5000, unhealthyTime) + 100
                            && returnDelay >= Math.min(5000, unhealthyTime) - 200,
                    unhealthyTime + " ms unhealthy, ms until traffic returned: " + returnDelay);
        }
    }
}
