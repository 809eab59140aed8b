package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Scope;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests of what a fleet sends to upstreams that started recently. */
class SlowStartTest {
    @Test
    void permitsWarmUpstreamAlwaysAndOneThatIsWarmingUpByElapsedTime() {
        Settings settings = PolicySimulation.settings(1, 0, 2, false, Scope.ALL);
        UpstreamTable table = new UpstreamTable();
        UpstreamState upstream = table.findOrAdd("u0");
        Locality[] localities = {new Locality(0, settings.rules().slowStartTime())};
        upstream.locality = localities[0];
        SlowStart slowStart =
                new SlowStart(settings.rules(), new FleetQuota(settings), table, localities, new SeededRandom(1));
        long start = 1000 * MS;
        table.update(upstream, entry("u0", EndpointState.READY, start, 0, "a"));
        upstream.forgetLearned(start);
        assertFalse(slowStart.permits(upstream, start), "no time has passed since the start");
        int permits = 0;
        for (int second = 1; second < 20; second++) {
            permits += slowStart.permits(upstream, start + second * 1000L * MS) ? 1 : 0;
            upstream.slowStartPermit = false;
        }
        assertTrue(permits > 0 && permits < 19, permits + " permits in 19 s");
        assertTrue(slowStart.permits(upstream, start + 20_000 * MS), "warm");
    }

    /** An upstream that is warming up fails if all balancers together send it more than its present capacity. */
    @Test
    void allBalancersTogetherStayWithinBudgetOfUpstreamThatIsWarmingUp() {
        int balancers = 4;
        double capacity = 50;
        for (int seed = 0; seed < 20; seed++) {
            List<PolicySimulation> simulations = new ArrayList<>();
            List<Long> toCold = new ArrayList<>();
            SplittableRandom random = new SplittableRandom(seed);
            for (int b = 0; b < balancers; b++) {
                simulations.add(
                        withSixUpstreams(PolicySimulation.settings(balancers, 0, 2, false, Scope.ALL), seed * 10 + b));
            }
            int restartAtMs = seed % 2 == 0 ? 2000 : 0;
            for (int ms = 0; ms < 24_000; ms++) {
                for (PolicySimulation simulation : simulations) {
                    if (ms == restartAtMs) {
                        simulation.updateEndpoints(
                                Kind.DELTA, entry("u0", EndpointState.READY, simulation.now, 0, "a"));
                    }
                    simulation.runTo(simulation.now + MS);
                    if (random.nextDouble() < 0.8 * capacity * 6 / balancers / 1000) {
                        String id = "c" + ms;
                        simulation.call(id, "read", 1000 * MS);
                        PolicySimulation.ApiCall call = simulation.calls.get(id);
                        if (!call.attempts.isEmpty()) {
                            if (call.attempts.get(0).upstream.equals("u0") && ms >= restartAtMs) {
                                toCold.add((long) ms - restartAtMs);
                            }
                            simulation.schedule(
                                    simulation.now + 30 * MS, () -> simulation.end(id, 0, Outcome.FULFILLED));
                        }
                    }
                }
            }
            for (int i = 0; i < toCold.size(); i++) {
                long windowStart = toCold.get(i);
                long sent = toCold.stream()
                        .filter(sentAt -> sentAt >= windowStart && sentAt < windowStart + 1000)
                        .count();
                double capacityFraction = 0.15 + 0.85 * Math.min(1, windowStart / 20_000.0);
                assertTrue(
                        sent <= 2.5 * capacity * capacityFraction,
                        "sent " + sent + " in a second at " + windowStart + " ms");
            }
            assertTrue(toCold.size() > 100, "attempts to the upstream that is warming up: " + toCold.size());
        }
    }

    /**
     * Each balancer's quota of the upstream's budget may be less than one call. If every balancer rounded it down, none would
     * send a call and the upstream would never warm up.
     */
    @Test
    void hundredBalancersTogetherUseBudgetOfUpstreamThatIsWarmingUp() {
        int sent = 0;
        for (int b = 0; b < 100; b++) {
            PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(100, 1, 1, false, Scope.ALL), b);
            for (int i = 0; i < 60; i++) {
                if (i == 20) {
                    simulation.updateEndpoints(Kind.DELTA, entry("u0", EndpointState.READY, simulation.now, 0, "a"));
                }
                String id = "c" + i;
                simulation.call(id, "once", 1000 * MS);
                sent += i >= 20
                                && simulation
                                        .calls
                                        .get(id)
                                        .attempts
                                        .get(0)
                                        .upstream
                                        .equals("u0")
                        ? 1
                        : 0;
                simulation.fulfilLater(id, 30 * MS);
                simulation.runTo(simulation.now + 300 * MS);
            }
        }
        assertTrue(sent > 200 && sent < 1000, sent + " attempts to the upstream that is warming up");
    }
}
