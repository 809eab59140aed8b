package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests how attempts change the latency estimate of an upstream. */
class LatencyEstimatorTest {
    private static final Product PRODUCT = PolicySimulation.product("p", Repeat.IDEMPOTENT, Scope.ALL);

    private static UpstreamState upstream(UpstreamClass upstreamClass) {
        UpstreamState upstream = new UpstreamState(0);
        upstream.upstreamClass = upstreamClass;
        return upstream;
    }

    @Test
    void startsWithTypicalLatencyOfClassWhenUpstreamIsNew() {
        LatencyEstimator latencies = new LatencyEstimator(true);
        UpstreamClass upstreamClass = new UpstreamClass();
        latencies.onLatency(upstream(upstreamClass), PRODUCT, PRODUCT.slo() / 2, 0.125);
        assertEquals(0.5, upstreamClass.typicalLatencyRatio);
        UpstreamState other = upstream(upstreamClass);
        latencies.onLatency(other, PRODUCT, PRODUCT.slo() / 2, 0.125);
        assertEquals(0.5, other.latencyRatio);
    }

    @Test
    void boundsWeightAndLatencyOfSample() {
        UpstreamState upstream = upstream(new UpstreamClass());
        upstream.lastResponseAt = 1000 * MS;
        assertEquals(0.125, LatencyEstimator.sampleWeight(upstream, PRODUCT, 1000 * MS));
        assertEquals(0.3, LatencyEstimator.sampleWeight(upstream, PRODUCT, 9000 * MS));
        new LatencyEstimator(false).onLatency(upstream, PRODUCT, 100 * PRODUCT.slo(), 0.125);
        assertEquals(2, upstream.latencyRatio);
    }

    /** Guards against an upstream that fails quickly and therefore counts as the fastest. */
    @Test
    void raisesLatencyRatioOnError() {
        UpstreamState upstream = upstream(new UpstreamClass());
        upstream.latencyRatio = 0.1;
        new LatencyEstimator(false).onError(upstream, 0.3);
        assertTrue(upstream.latencyRatio > 0.6, "ratio " + upstream.latencyRatio);
    }
}
