package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests when idle connections are closed. */
class IdleConnectionPolicyTest {
    /** Without the closes, a thousand balancers that each keep an idle connection would fill an upstream's connection table. */
    @Test
    void closesIdleConnectionsOnlyWhenBalancersAreMany() {
        for (int instances : new int[] {2, 1000}) {
            PolicySimulation simulation =
                    withSixUpstreams(PolicySimulation.settings(instances, 0, 1, false, Scope.ALL), 1);
            for (int i = 0; i < 20; i++) {
                simulation.call("c" + i, "once", 1000 * MS);
                simulation.fulfilLater("c" + i, 10 * MS);
                simulation.runTo(simulation.now + 3000 * MS);
            }
            assertTrue(
                    instances == 2 ? simulation.idleConnectionCloses == 0 : simulation.idleConnectionCloses >= 15,
                    instances + " balancers, idle connections closed: " + simulation.idleConnectionCloses);
        }
    }
}
