package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests of {@link EndpointWatchSchedule}. */
class EndpointWatchScheduleTest {
    /** Without a retry a drain would go unnoticed; retries without a delay would overload discovery. */
    @Test
    void retriesFailedWatchAfterDelay() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(10, 0, 2, true, Scope.ALL), 1);
        simulation.runTo(simulation.now + 3000 * MS);
        assertEquals(1, simulation.startedWatches);
        simulation.updateEndpoints(Kind.FAILED);
        simulation.runTo(simulation.now + 1000 * MS);
        assertEquals(1, simulation.startedWatches);
        simulation.runTo(simulation.now + 8000 * MS);
        assertEquals(2, simulation.startedWatches);
    }
}
