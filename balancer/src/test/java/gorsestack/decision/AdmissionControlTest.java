package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static gorsestack.decision.PolicySimulation.pendingCallsDuring;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which calls are admitted, and after what delay rejected clients are advised to retry. */
class AdmissionControlTest {
    private static AdmissionControl admission(Locality locality) {
        Settings settings = PolicySimulation.settings(1, 0, 2, false, Scope.ALL);
        return new AdmissionControl(settings, new FleetQuota(settings), new Locality[] {locality}, new SeededRandom(1));
    }

    @Test
    void admitsCallsUpToLimitThatIsLowerForProductsOfLessValue() {
        Locality locality = new Locality(0, 0);
        locality.concurrency.limit = 10;
        AdmissionControl admission = admission(locality);
        CallState valuable = new CallState("c", 1, PolicySimulation.product("p", Repeat.NON_IDEMPOTENT, Scope.ALL));
        CallState cheap = new CallState("d", 2, PolicySimulation.product("q", Repeat.IDEMPOTENT, Scope.ALL));
        valuable.deadline = 2000 * MS;
        cheap.deadline = 2000 * MS;
        locality.concurrency.inFlight = 6;
        assertTrue(admission.admits(locality, valuable, MS));
        assertFalse(admission.admits(locality, cheap, MS));
        locality.concurrency.inFlight = 10;
        assertFalse(admission.admits(locality, valuable, MS));
    }

    @Test
    void advisesRetryAfterQuarterOfObjectiveAndLaterWithJitter() {
        AdmissionControl admission = admission(new Locality(0, 0));
        Product product = PolicySimulation.product("p", Repeat.IDEMPOTENT, Scope.ALL);
        assertEquals(100 * MS, admission.retryAfter(product));
        admission.setRetryAfterJitter(1);
        long jittered = admission.retryAfter(product);
        assertTrue(jittered > 100 * MS && jittered <= 500 * MS, "" + jittered);
    }

    /** Guards against overload in which every call is admitted and every call is late: the first tier rejects calls over its limits. */
    @Test
    void rejectsCallsAtOnceOnFirstTierWhenLocalitiesAreFullAndLate() {
        for (int tier = 0; tier < 2; tier++) {
            PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, tier, 2, false, Scope.ALL), 1);
            for (int i = 0; i < 400; i++) {
                simulation.call("c" + i, "read", 1000 * MS);
                simulation.fulfilLater("c" + i, 350 * MS);
                simulation.runTo(simulation.now + 5 * MS);
            }
            long rejected = simulation.calls.values().stream()
                    .filter(c -> "rate-limited".equals(c.response)
                            && c.respondedAt == c.startedAt
                            && c.retryAfter == 100 * MS)
                    .count();
            assertTrue(
                    tier == 0 ? rejected > 100 : rejected == 0, rejected + " calls rejected at once on tier " + tier);
        }
    }

    /**
     * Guards against overload of a balancer's own locality. A locality whose upstreams are warming up or unreachable has nothing in flight
     * and seems to have capacity, so calls would be admitted that only the own locality can take.
     */
    @Test
    void keepsWithinLimitWhenAnotherLocalityIsUnusable() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 2, false, Scope.ALL), 1);
        for (int u = 3; u < 6; u++) {
            simulation.updateEndpoints(Kind.DELTA, entry("u" + u, EndpointState.READY, simulation.now, u / 2, "b"));
        }
        int maxInFlight = pendingCallsDuring(simulation, 400, 5 * MS, 600 * MS).getMax();
        assertTrue(maxInFlight > 5 && maxInFlight < 40, maxInFlight + " calls in flight at once");
    }

    /** Guards against overload in which calls of low billed value, or with little remaining time, use up the capacity of the others. */
    @Test
    void rejectsCallsOfLowValueOrLittleRemainingTimeFirstWhenOverloaded() {
        for (boolean byRemainingTime : List.of(false, true)) {
            PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
            for (int i = 0; i < 600; i++) {
                boolean lowPriority = i % 2 == 0;
                simulation.call(
                        "c" + i,
                        lowPriority || byRemainingTime ? "read" : "once",
                        (lowPriority && byRemainingTime ? 200 : 1000) * MS);
                simulation.fulfilLater("c" + i, 150 * MS);
                simulation.runTo(simulation.now + 5 * MS);
            }
            long[] fulfilled = new long[2];
            simulation.calls.values().stream()
                    .filter(c -> "fulfilled".equals(c.response))
                    .forEach(c -> fulfilled[Integer.parseInt(c.id.substring(1)) % 2]++);
            assertTrue(
                    fulfilled[1] > 2 * fulfilled[0] && fulfilled[0] > 0,
                    fulfilled[1] + " calls of high priority fulfilled, of low priority " + fulfilled[0]);
        }
    }

    /** Guards against clients that are rejected together and all retry together. No delay may exceed what the settings allow. */
    @Test
    void spreadsAdvisedRetryDelayWhenJitterIsSet() {
        for (double jitter : new double[] {0, 0.5, 1}) {
            PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 2, false, Scope.ALL), 1);
            simulation.policy.setRetryAfterJitter(jitter);
            for (int i = 0; i < 400; i++) {
                simulation.call("c" + i, "read", 1000 * MS);
                simulation.runTo(simulation.now + MS);
            }
            var delays = simulation.calls.values().stream()
                    .filter(c -> "rate-limited".equals(c.response))
                    .mapToLong(c -> c.retryAfter)
                    .summaryStatistics();
            assertTrue(
                    delays.getCount() > 100
                            && delays.getMin() >= 100 * MS
                            && delays.getMax() <= 100 * MS + jitter * 400 * MS,
                    delays.toString());
            assertTrue(delays.getMax() - delays.getMin() >= 0.9 * jitter * 400 * MS, delays.toString());
        }
    }
}
