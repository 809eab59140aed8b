package gorsestack.fleet;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lease and fence, exhaustively in the small. */
class LeaseModelTest {
    private static final System.Logger LOG = System.getLogger("gorsestack.test");
    /** Steps from the moment in which any of three may take the duty, and from that in which one has. */
    private static final int DEPTH = 8;

    private static final int DEPTH_OWNED = 11;
    private static final int MOST = 1_000_000;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingThatMustNotBeIsReached(boolean owned) {
        LeaseModel.Explored all = LeaseModel.explore(LeaseModel.Bug.NONE, owned, owned ? DEPTH_OWNED : DEPTH, MOST);
        assertNull(all.wrong(), all.wrong() + "\n" + String.join("\n", all.way()));
        assertTrue(all.states() > 10_000 && all.states() < MOST, "all of them: " + all.states());
        LOG.log(System.Logger.Level.INFO, "{0} states", all.states());
    }

    /** The check finds what it is there for. */
    @Test
    void eachPlantedBugIsFound() {
        for (LeaseModel.Bug bug : LeaseModel.bugs()) {
            LeaseModel.Explored all = LeaseModel.explore(bug, false, 7, MOST);
            if (all.wrong() == null) {
                all = LeaseModel.explore(bug, true, DEPTH_OWNED, MOST);
            }
            assertNotNull(all.wrong(), bug + " not found in " + all.states() + " states");
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0} in {1} steps, {2} states: {3}\n{4}",
                    bug,
                    all.way().size(),
                    all.states(),
                    all.wrong(),
                    String.join("\n", all.way()));
        }
    }
}
