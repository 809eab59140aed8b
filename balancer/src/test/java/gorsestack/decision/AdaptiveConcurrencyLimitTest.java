package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.pendingCallsDuring;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests that a locality's concurrency limit follows latency. */
class AdaptiveConcurrencyLimitTest {
    private static final Product PRODUCT = PolicySimulation.product("p", Repeat.IDEMPOTENT, Scope.ALL);

    /** Returns a fully used limit after this number of attempts, one every 5 ms, that all have the same latency. */
    private static AdaptiveConcurrencyLimit limitAfter(int attempts, long latency) {
        AdaptiveConcurrencyLimit concurrency = new AdaptiveConcurrencyLimit();
        concurrency.setMinLimit(10);
        concurrency.inFlight = 1000;
        for (int i = 0; i < attempts; i++) {
            concurrency.onLatency((1000 + 5 * i) * MS, PRODUCT, latency);
        }
        return concurrency;
    }

    @Test
    void increasesLimitWhileLatencyIsLowAndElseDecreasesItToMinimum() {
        assertEquals(14 + 100 * 0.05, limitAfter(100, 40 * MS).limit, 1e-9);
        assertEquals(10, limitAfter(1000, 700 * MS).limit);
        assertTrue(
                limitAfter(1, 700 * MS).limit >= 0.85 * 14, "a single slow attempt may decrease the limit only once");
    }

    @Test
    void doesNotIncreaseUnusedLimit() {
        AdaptiveConcurrencyLimit concurrency = limitAfter(0, 0);
        concurrency.inFlight = 1;
        concurrency.onLatency(1000 * MS, PRODUCT, 40 * MS);
        assertEquals(14, concurrency.limit);
    }

    /** Guards against a limit that falls to its minimum because a few attempts that hang raise the mean latency of a fast locality. */
    @Test
    void keepsLimitWhenFewAttemptsHang() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        for (int i = 0; i < 2000; i++) {
            simulation.call("c" + i, "once", 700 * MS);
            if (i % 8 > 0) {
                simulation.fulfilLater("c" + i, 50 * MS);
            }
            simulation.runTo(simulation.now + 3 * MS);
        }
        long rejected = simulation.calls.values().stream()
                .filter(c -> "rate-limited".equals(c.response))
                .count();
        assertTrue(rejected < 200, rejected + " calls rejected");
    }

    /** Guards against overload by a fleet of a hundred balancers, each of which sends at least one call at a time to a few upstreams. */
    @Test
    void limitsBalancerToLessThanOneCallWhenItsQuotaIsSmaller() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(100, 0, 1, false, Scope.ALL), 1);
        double inFlight =
                pendingCallsDuring(simulation, 2000, 20 * MS, 300 * MS).getAverage();
        assertTrue(inFlight > 0.1 && inFlight < 0.8, inFlight + " calls in flight on average");
    }
}
