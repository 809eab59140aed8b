package gorsestack.fleet;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests leases and fencing tokens in all states of a small model. */
class LeaseModelTest {
    private static final System.Logger LOG = System.getLogger("gorsestack.test");
    /** Maximum number of steps from the state in which any of the three members may acquire the lease. */
    private static final int DEPTH = 8;
    /** Maximum number of steps from the state in which one member has acquired the lease. */
    private static final int DEPTH_OWNED = 11;

    private static final int MAX_STATES = 1_000_000;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reachesNoStateThatViolatesAnInvariant(boolean initiallyOwned) {
        LeaseModel.Exploration result = LeaseModel.explore(
                LeaseModel.Bug.NONE, initiallyOwned, initiallyOwned ? DEPTH_OWNED : DEPTH, MAX_STATES);
        assertNull(result.violation(), result.violation() + "\n" + String.join("\n", result.trace()));
        assertTrue(result.states() > 10_000 && result.states() < MAX_STATES, "number of states: " + result.states());
        LOG.log(System.Logger.Level.INFO, "{0} states", result.states());
    }

    /** Proves that the checks find the faults that they are meant to find. */
    @Test
    void findsEachPlantedBug() {
        for (LeaseModel.Bug bug : LeaseModel.bugs()) {
            LeaseModel.Exploration result = LeaseModel.explore(bug, false, 7, MAX_STATES);
            if (result.violation() == null) {
                result = LeaseModel.explore(bug, true, DEPTH_OWNED, MAX_STATES);
            }
            assertNotNull(result.violation(), bug + " not found in " + result.states() + " states");
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0} found in {1} steps and {2} states: {3}\n{4}",
                    bug,
                    result.trace().size(),
                    result.states(),
                    result.violation(),
                    String.join("\n", result.trace()));
        }
    }
}
