package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Scope;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests of which upstream of a locality gets an attempt. */
class UpstreamSelectorTest {
    @Test
    void sendsEqualUpstreamsEqualNumbersOfCalls() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        int[] calls = new int[3];
        for (int i = 0; i < 300; i++) {
            simulation.call("c" + i, "once", 1000 * MS);
            calls[simulation.calls.get("c" + i).attempts.get(0).upstream.charAt(1) - '0']++;
            simulation.end("c" + i, 0, Outcome.FULFILLED);
        }
        for (int callsToUpstream : calls) {
            assertTrue(
                    callsToUpstream > 90 && callsToUpstream < 110,
                    callsToUpstream + " of 300 calls to one of three upstreams");
        }
    }

    /** With less than one attempt for each upstream, a balancer can learn that a class of upstreams is slow only from the whole class. */
    @Test
    void learnsSpeedOfClassFromAllItsUpstreams() {
        PolicySimulation simulation = new PolicySimulation(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        Endpoint[] entries = new Endpoint[300];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = new Endpoint(
                    "u" + i,
                    EndpointState.READY,
                    0,
                    OptionalInt.of(0),
                    1,
                    i % 2 == 0 ? "slow" : "quick",
                    Optional.of("a"));
        }
        simulation.updateEndpoints(Kind.CACHED, entries);
        int toSlow = 0;
        for (int i = 0; i < 160; i++) {
            String id = "c" + i;
            simulation.call(id, "once", 1000 * MS);
            boolean isSlow = Integer.parseInt(simulation
                                    .calls
                                    .get(id)
                                    .attempts
                                    .get(0)
                                    .upstream
                                    .substring(1))
                            % 2
                    == 0;
            toSlow += isSlow && i >= 40 ? 1 : 0;
            simulation.fulfilLater(id, (isSlow ? 90 : 30) * MS);
            simulation.runTo(simulation.now + 100 * MS);
        }
        assertTrue(toSlow > 10 && toSlow < 45, toSlow + " of 120 calls to the slow half");
    }

    /** With nominal sizes of 0 no upstream would collect enough credit, and the rotation would never end. */
    @Test
    void selectsUpstreamWhenAllNominalSizesAreZero() {
        Settings base = PolicySimulation.settings(1, 0, 1, false, Scope.ALL);
        PolicySimulation simulation = new PolicySimulation(
                new Settings(
                        0,
                        1,
                        0,
                        "a",
                        base.zones(),
                        base.products(),
                        base.limits(),
                        base.rules(),
                        false,
                        true,
                        base.reports(),
                        true,
                        0,
                        MS),
                1);
        simulation.updateEndpoints(
                Kind.CACHED, new Endpoint("u0", EndpointState.READY, 0, OptionalInt.of(0), 0, "", Optional.of("a")));
        assertTimeoutPreemptively(Duration.ofSeconds(5), () -> simulation.call("c", "once", 1000 * MS));
        assertEquals(1, simulation.calls.get("c").attempts.size());
    }
}
